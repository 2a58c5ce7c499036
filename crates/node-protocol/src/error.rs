//! Why bytes are not a frame.

use crate::frame::MAX_BODY_LENGTH;

/// Why bytes are not a frame. After any of these the connection cannot be read on: there is no way to find the next
/// frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The header promises a body of this length, more than [`MAX_BODY_LENGTH`].
    #[error("a frame of {0} bytes, where {MAX_BODY_LENGTH} are the most")]
    BodyTooLong(usize),
    /// The checksum of header and body does not match.
    #[error("a frame whose checksum does not hold")]
    ChecksumMismatch,
    /// A kind that a reader may not skip.
    #[error("a frame of the unknown kind {0}")]
    UnknownKind(u8),
    /// The frame ends within the named field.
    #[error("a frame that ends before its {0}")]
    Truncated(&'static str),
    /// The named field holds a value that it cannot have.
    #[error("a frame with an impossible {0}")]
    InvalidField(&'static str),
}
