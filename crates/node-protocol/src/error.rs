//! Errors of decoding.

use crate::frame::MAX_BODY_LENGTH;

/// Reason why bytes are not a valid frame. After any of these errors the connection cannot be read further,
/// as the start of the next frame is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The header states this body length, which exceeds [`MAX_BODY_LENGTH`].
    #[error("frame body of {0} bytes exceeds the limit of {MAX_BODY_LENGTH}")]
    BodyTooLong(usize),
    /// The checksum does not match the header and body.
    #[error("frame checksum mismatch")]
    ChecksumMismatch,
    /// The frame has an unknown kind that a reader may not skip.
    #[error("unknown frame kind {0}")]
    UnknownKind(u8),
    /// The frame ends within the named field.
    #[error("frame truncated before the end of field: {0}")]
    Truncated(&'static str),
    /// The named field has an invalid value.
    #[error("invalid frame field: {0}")]
    InvalidField(&'static str),
}
