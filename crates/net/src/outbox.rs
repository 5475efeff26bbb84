//! Output buffers that wait to be written, combined into as few vectored writes as possible.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};

/// Most buffers passed to one vectored write.
pub const MAX_IO_SLICES: usize = 32;

/// Queue of output buffers, written in order.
#[derive(Default)]
pub struct Outbox {
    buffers: VecDeque<Vec<u8>>,
    /// Bytes of the first buffer that are already written.
    written: usize,
    completed: u64,
}

impl Outbox {
    /// Appends a buffer; an empty one is ignored.
    pub fn push(&mut self, buffer: Vec<u8>) {
        if !buffer.is_empty() {
            self.buffers.push_back(buffer);
        }
    }

    /// Whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.buffers.is_empty()
    }

    /// Buffers that are not completely written.
    pub fn len(&self) -> usize {
        self.buffers.len()
    }

    /// Bytes that are not written yet.
    pub fn pending_bytes(&self) -> usize {
        self.buffers.iter().map(Vec::len).sum::<usize>() - self.written
    }

    /// Number of partially written buffers: 0, or 1 for the first.
    pub fn partially_written(&self) -> usize {
        usize::from(self.written > 0)
    }

    /// Removes the last buffer, unless part of it is already written.
    pub fn remove_last_unstarted(&mut self) {
        if self.buffers.len() > self.partially_written() {
            self.buffers.pop_back();
        }
    }

    /// Total number of buffers written completely so far.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Writes as much as the sink accepts and returns whether everything is written.
    ///
    /// # Errors
    ///
    /// When the sink fails; a sink that would block is no error.
    pub fn flush(&mut self, sink: &mut impl Write) -> io::Result<bool> {
        while !self.buffers.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_IO_SLICES];
            let mut count = 0;
            for (slice, buffer) in slices.iter_mut().zip(&self.buffers) {
                let from = if count == 0 { self.written } else { 0 };
                *slice = IoSlice::new(&buffer[from..]);
                count += 1;
            }
            match sink.write_vectored(&slices[..count]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => self.advance(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Removes the buffers that are completely written after `written` more bytes.
    fn advance(&mut self, written: usize) {
        self.written += written;
        while let Some(first) = self.buffers.front().map(Vec::len).filter(|&first| self.written >= first) {
            self.written -= first;
            self.buffers.pop_front();
            self.completed += 1;
        }
    }
}

#[cfg(test)]
mod tests;
