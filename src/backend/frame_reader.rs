//! Splits the bytes received from a tile server into frames. Without I/O.
//!
//! The length that a frame states is all that delimits a value. A length that is too short shows only in what
//! follows: the rest of the value can't be the start of a frame, whose first byte is 0 and whose second is 0 or
//! 1, as [`MAX_FRAME_BYTES`] bounds its length. The frame in front of such bytes is therefore discarded. A length
//! that is too long shows in the frame itself once another one follows: it contains the start of that one.

use super::frame::MAX_FRAME_BYTES;
use super::response_error::ResponseError;

/// Length of a frame's length prefix, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Letters of the frames that a tile server sends.
const FRAME_LETTERS: &[u8] = b"aepl";
/// Capacity that the buffer keeps between responses, which are usually short, in bytes.
const RETAINED_BUFFER_BYTES: usize = 4 * 1024;

/// The frames taken from the buffer at once.
#[derive(Debug)]
pub(super) struct TakenFrames {
    /// The complete frames without their length prefixes, in the order received. The bytes behind each of them
    /// are the start of a frame, or have not been received yet.
    pub(super) frames: Vec<Vec<u8>>,
    /// Why the bytes behind the complete frames can't be a frame.
    pub(super) error: Option<ResponseError>,
    /// The complete frame whose stated length may be wrong: the bytes directly behind it can't be a frame, or it
    /// contains the start of another one.
    pub(super) unconfirmed: Option<Vec<u8>>,
}

/// Buffer of the bytes received on a connection that are not a complete frame yet.
#[derive(Debug, Default)]
pub(super) struct FrameReader {
    received: Vec<u8>,
}

impl FrameReader {
    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Number of buffered bytes.
    pub(super) fn len(&self) -> usize {
        self.received.len()
    }

    /// Whether no bytes are buffered.
    pub(super) fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Removes the complete frames from the buffer. With `has_unread_bytes` the last one stays if it ends the
    /// buffer, as what follows it is still to be read.
    pub(super) fn take_frames(&mut self, has_unread_bytes: bool) -> TakenFrames {
        let (mut frames, mut at) = (Vec::new(), 0);
        let error = loop {
            let rest = &self.received[at..];
            let length = match frame_length(rest) {
                Ok(Some(length)) => length,
                Ok(None) => break None,
                Err(error) => break Some(error),
            };
            let Some(frame) = rest.get(LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length) else { break None };
            frames.push(frame.to_vec());
            if contains_frame_start(frame) {
                break Some(ResponseError::EmbeddedFrame);
            }
            at += LENGTH_PREFIX_BYTES + length;
        };
        if has_unread_bytes
            && error.is_none()
            && at == self.received.len()
            && let Some(last) = frames.pop()
        {
            at -= LENGTH_PREFIX_BYTES + last.len();
        }
        self.received.drain(..at);
        self.received.shrink_to(RETAINED_BUFFER_BYTES);
        let unconfirmed = if error.is_some() { frames.pop() } else { None };
        TakenFrames { frames, error, unconfirmed }
    }
}

/// Whether the start of another frame, or the beginning of such a start at its end, is part of a frame.
fn contains_frame_start(frame: &[u8]) -> bool {
    let zero_bytes = frame.iter().enumerate().filter(|(_, byte)| **byte == 0);
    zero_bytes.map(|(at, _)| &frame[at..]).any(|rest| frame_length(rest).is_ok())
}

/// Returns the length that the frame at the start of `bytes` states, or `None` if too few bytes are received to
/// tell.
///
/// # Errors
///
/// If no frame starts like this, however it continues.
fn frame_length(bytes: &[u8]) -> Result<Option<usize>, ResponseError> {
    let received = bytes.len().min(LENGTH_PREFIX_BYTES);
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    prefix[..received].copy_from_slice(&bytes[..received]);
    // The lowest length with these first bytes.
    let length = u32::from_be_bytes(prefix);
    let is_complete = received == LENGTH_PREFIX_BYTES;
    if length as usize > MAX_FRAME_BYTES || (is_complete && length == 0) {
        return Err(ResponseError::LengthOutOfRange(length));
    }
    match bytes.get(LENGTH_PREFIX_BYTES) {
        Some(letter) if !FRAME_LETTERS.contains(letter) => Err(ResponseError::UnknownLetter(*letter)),
        _ => Ok(is_complete.then_some(length as usize)),
    }
}

#[cfg(test)]
mod tests;
