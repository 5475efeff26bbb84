//! Bytes that wait to be written, gathered into as few writes as the system takes.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};

/// Most pieces gathered into one write.
pub const GATHER: usize = 32;

/// Pieces that wait to be written, in order.
#[derive(Default)]
pub struct Outbox {
    pieces: VecDeque<Vec<u8>>,
    /// How much of the first is written.
    written: usize,
    finished: u64,
}

impl Outbox {
    /// Appends a piece.
    pub fn push(&mut self, piece: Vec<u8>) {
        if !piece.is_empty() {
            self.pieces.push_back(piece);
        }
    }

    /// Whether all is written.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Pieces that wait, one that is partly written included.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Bytes that wait to be written.
    pub fn held(&self) -> usize {
        self.pieces.iter().map(Vec::len).sum::<usize>() - self.written
    }

    /// Pieces that are partly written: none or the first.
    pub fn begun(&self) -> usize {
        usize::from(self.written > 0)
    }

    /// Takes the last piece back, unless it has been begun.
    pub fn take_back_last(&mut self) {
        if self.pieces.len() > self.begun() {
            self.pieces.pop_back();
        }
    }

    /// Pieces that have been written whole, ever.
    pub fn finished(&self) -> u64 {
        self.finished
    }

    /// Writes what the sink takes. Gives whether all is written.
    ///
    /// # Errors
    ///
    /// When the sink fails.
    pub fn flush(&mut self, sink: &mut impl Write) -> io::Result<bool> {
        while !self.pieces.is_empty() {
            let mut slices = [IoSlice::new(&[]); GATHER];
            let mut count = 0;
            for (slot, piece) in slices.iter_mut().zip(&self.pieces) {
                let from = if count == 0 { self.written } else { 0 };
                *slot = IoSlice::new(&piece[from..]);
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

    fn advance(&mut self, written: usize) {
        self.written += written;
        while let Some(first) = self.pieces.front().map(Vec::len).filter(|&first| self.written >= first) {
            self.written -= first;
            self.pieces.pop_front();
            self.finished += 1;
        }
    }
}

#[cfg(test)]
mod tests;
