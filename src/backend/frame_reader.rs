//! Splits the bytes received from a tile server into frames. Without I/O.

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
    /// The complete frames without their length prefixes, in the order received.
    pub(super) frames: Vec<Vec<u8>>,
    /// Why the bytes behind the complete frames can't be a frame.
    pub(super) error: Option<ResponseError>,
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

    /// Removes the complete frames from the buffer.
    pub(super) fn take_frames(&mut self) -> TakenFrames {
        let (mut frames, mut at, mut error) = (Vec::new(), 0, None);
        while let Some((length, rest)) = self.received[at..].split_first_chunk::<LENGTH_PREFIX_BYTES>() {
            let length = match frame_length(*length, rest.first()) {
                Ok(length) => length,
                Err(invalid) => {
                    error = Some(invalid);
                    break;
                }
            };
            let Some(frame) = rest.get(..length) else { break };
            frames.push(frame.to_vec());
            at += LENGTH_PREFIX_BYTES + length;
        }
        self.received.drain(..at);
        self.received.shrink_to(RETAINED_BUFFER_BYTES);
        TakenFrames { frames, error }
    }
}

/// Decodes a frame's length; `letter` is the first byte behind it, once that is received.
fn frame_length(prefix: [u8; LENGTH_PREFIX_BYTES], letter: Option<&u8>) -> Result<usize, ResponseError> {
    let length = u32::from_be_bytes(prefix);
    if length == 0 || length as usize > MAX_FRAME_BYTES {
        return Err(ResponseError::LengthOutOfRange(length));
    }
    match letter {
        Some(letter) if !FRAME_LETTERS.contains(letter) => Err(ResponseError::UnknownLetter(*letter)),
        _ => Ok(length as usize),
    }
}
