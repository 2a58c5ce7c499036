//! Why the adapter ends before its input does.

use std::io;

/// A fault of the input, or of the streams themselves. All of them end the process.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input failed.
    #[error("the input cannot be read: {source}")]
    Read {
        /// What the system said.
        source: io::Error,
    },
    /// Standard output failed.
    #[error("the output cannot be written: {source}")]
    Write {
        /// What the system said.
        source: io::Error,
    },
    /// The input ends within a frame's header.
    #[error("the input ends at byte {position} of a frame's header")]
    HeaderCutShort {
        /// Bytes of the header that came.
        position: usize,
    },
    /// The input ends within a frame.
    #[error("the input ends at byte {position} of a frame of {length}")]
    FrameCutShort {
        /// Bytes of the frame that came.
        position: usize,
        /// Bytes of the frame by its header.
        length: usize,
    },
    /// A frame claims to be shorter than its header.
    #[error("a frame's length of {length} is less than its header, at byte 8 of the frame")]
    LengthBelowHeader {
        /// Bytes of the frame by its header.
        length: usize,
    },
    /// The frame ends before a field does.
    #[error("{field} is cut short at byte {position} of the frame")]
    FieldCutShort {
        /// The field.
        field: &'static str,
        /// Where the field starts.
        position: usize,
    },
    /// A field or a record cannot be what it says.
    #[error("{problem}, before byte {position} of the frame")]
    Invalid {
        /// What is wrong.
        problem: String,
        /// How far the frame was read.
        position: usize,
    },
    /// The settings of an instance are not usable.
    #[error("{0}")]
    Settings(String),
    /// A reply does not fit its length field.
    #[error("a reply outgrew its length field")]
    ReplyTooLong,
}
