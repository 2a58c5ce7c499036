//! Errors that end the adapter before the end of its input.

use std::io;

/// Error of the input or of the streams. Every error ends the process.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input could not be read.
    #[error("the input cannot be read: {source}")]
    Read {
        /// Error of the operating system.
        source: io::Error,
    },
    /// Standard output could not be written.
    #[error("the output cannot be written: {source}")]
    Write {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The input ends within a frame's header.
    #[error("the input ends at byte {position} of a frame's header")]
    TruncatedHeader {
        /// Number of bytes received of the header.
        position: usize,
    },
    /// The input ends within a frame.
    #[error("the input ends at byte {position} of a frame of {length}")]
    TruncatedFrame {
        /// Number of bytes received of the frame.
        position: usize,
        /// Length of the frame in bytes according to its header.
        length: usize,
    },
    /// The length of a frame is less than that of its header.
    #[error("a frame's length of {length} is less than its header, at byte 8 of the frame")]
    LengthBelowHeader {
        /// Length of the frame in bytes according to its header.
        length: usize,
    },
    /// The frame ends within a field.
    #[error("{field} is cut short at byte {position} of the frame")]
    TruncatedField {
        /// Name of the field.
        field: &'static str,
        /// Position of the field's start in the frame.
        position: usize,
    },
    /// A field or a record has an invalid value.
    #[error("{problem}, before byte {position} of the frame")]
    Invalid {
        /// Description of the problem.
        problem: String,
        /// Number of bytes read of the frame.
        position: usize,
    },
    /// The settings of an instance are not usable.
    #[error("{0}")]
    Settings(String),
    /// The length of a reply does not fit into its length field.
    #[error("a reply is too long for its length field of 4 bytes")]
    ReplyTooLong,
}
