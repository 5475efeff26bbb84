//! Why bytes from a tile server are not a valid response.

use super::frame::MAX_FRAME_BYTES;

/// Why bytes from a tile server are not a valid response. The connection is closed, as the boundaries of what
/// follows, or the part that a response belongs to, are unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ResponseError {
    /// The stated length of a frame is outside the allowed range; the lowest possible one if the length prefix is
    /// not completely received.
    #[error("a frame states a length of {0} bytes, which is not from 1 to {MAX_FRAME_BYTES}")]
    LengthOutOfRange(u32),
    /// A frame starts with a letter that the protocol does not have.
    #[error("a frame has the letter 0x{0:02x}, which the protocol does not have")]
    UnknownLetter(u8),
    /// A frame contains what starts another one, so that its stated length is too long.
    #[error("a frame contains the start of another one")]
    EmbeddedFrame,
    /// The line of an answer can't be parsed.
    #[error("the line of an answer is not `ID END SCORE REPORT`")]
    UnreadableAnswer,
    /// An answer names a part that is not in flight on the connection.
    #[error("an answer names a part that is not in flight on the connection")]
    UnknownPart,
    /// A probe was answered that is not in flight on the connection.
    #[error("a probe was answered that is not in flight on the connection")]
    UnknownProbe,
}

/// Connections to tile servers that were closed because of an invalid response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MalformedCounts {
    /// Connections closed.
    pub connections: u64,
    /// Answers that were discarded, as their stated length may be wrong.
    pub unconfirmed_answers: u64,
}
