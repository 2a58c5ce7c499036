//! Reader of frames from the input.

use crate::error::AdapterError;
use std::io::Read;

/// Length of a frame's header in bytes: clock u64, frame length u32, records u32, batch u32.
pub(crate) const HEADER_LENGTH: usize = 20;
/// Position of the frame's length in the header.
const LENGTH_FIELD: std::ops::Range<usize> = 8..12;

/// Reads one frame into `frame` and returns whether there was one before the end of the input. The buffer grows
/// with the data received, regardless of the length in the header.
pub(crate) fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, AdapterError> {
    frame.clear();
    read_up_to(input, HEADER_LENGTH, frame)?;
    if frame.is_empty() {
        return Ok(false);
    }
    if frame.len() < HEADER_LENGTH {
        return Err(AdapterError::TruncatedHeader { position: frame.len() });
    }
    let mut length = [0; 4];
    length.copy_from_slice(&frame[LENGTH_FIELD]);
    let length = u32::from_le_bytes(length) as usize;
    if length < HEADER_LENGTH {
        return Err(AdapterError::LengthBelowHeader { length });
    }
    read_up_to(input, length - HEADER_LENGTH, frame)?;
    if frame.len() < length {
        return Err(AdapterError::TruncatedFrame { position: frame.len(), length });
    }
    Ok(true)
}

/// Appends up to `length` bytes; fewer at the end of the input.
fn read_up_to(input: &mut impl Read, length: usize, frame: &mut Vec<u8>) -> Result<(), AdapterError> {
    let read = input.by_ref().take(length as u64).read_to_end(frame);
    read.map(|_| ()).map_err(|source| AdapterError::Read { source })
}
