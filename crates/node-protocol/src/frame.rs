//! Frames: a header with length, kind and checksum, followed by the message's fields and payload.

use crate::fields::{FieldReader, FieldWriter};
use crate::message::{Message, ENDPOINT_ENTRY_LENGTH, MAP_ENTRY_LENGTH};
use crate::DecodeError;

/// Length of a frame's header: body length, kind, a zero, length of the fields, checksum.
pub const HEADER_LENGTH: usize = 12;
/// Maximum payload of a read or write.
pub const MAX_PAYLOAD_LENGTH: usize = 1 << 20;
/// Maximum body of a frame: the payload and space for the fields, or the longest list.
pub const MAX_BODY_LENGTH: usize = MAX_PAYLOAD_LENGTH + (1 << 10);
/// Space for the fields before the entries of a list or map.
const FIELDS_BEFORE_ENTRIES: usize = 32;
/// Maximum number of entries of one endpoint list.
pub const MAX_LIST_ENTRIES: usize = (MAX_BODY_LENGTH - FIELDS_BEFORE_ENTRIES) / ENDPOINT_ENTRY_LENGTH;
/// Maximum number of entries in one part of an extent map update.
pub const MAX_MAP_ENTRIES: usize = (MAX_BODY_LENGTH - FIELDS_BEFORE_ENTRIES) / MAP_ENTRY_LENGTH;
/// First of the kinds that a reader skips if unknown.
const FIRST_SKIPPABLE_KIND: u8 = 0x80;
/// Number of header bytes before the checksum, which covers them.
const CHECKSUM_OFFSET: usize = 8;

/// Result of decoding the start of a byte sequence, with the number of bytes used.
#[derive(Debug, PartialEq)]
pub enum Decoded<'a> {
    /// The frame is incomplete.
    Incomplete,
    /// A frame of an unknown kind that may be skipped.
    Skipped(usize),
    /// A message.
    Frame(Message<'a>, usize),
}

/// Decodes the frame at the start of `bytes`.
pub fn decode(bytes: &[u8]) -> Result<Decoded<'_>, DecodeError> {
    let Some(header) = bytes.first_chunk::<HEADER_LENGTH>() else { return Ok(Decoded::Incomplete) };
    let [l0, l1, l2, l3, kind, _, f0, f1, c0, c1, c2, c3] = *header;
    let body_length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if body_length > MAX_BODY_LENGTH {
        return Err(DecodeError::BodyTooLong(body_length));
    }
    let frame_length = HEADER_LENGTH + body_length;
    let Some(body) = bytes.get(HEADER_LENGTH..frame_length) else { return Ok(Decoded::Incomplete) };
    if u32::from_le_bytes([c0, c1, c2, c3]) != checksum(&header[..CHECKSUM_OFFSET], body) {
        return Err(DecodeError::ChecksumMismatch);
    }
    let fields_length = usize::from(u16::from_le_bytes([f0, f1]));
    let Some((fields, payload)) = body.split_at_checked(fields_length) else {
        return Err(DecodeError::Truncated("fields"));
    };
    match Message::decode(kind, &mut FieldReader::new(fields), payload)? {
        Some(message) => Ok(Decoded::Frame(message, frame_length)),
        None if kind >= FIRST_SKIPPABLE_KIND => Ok(Decoded::Skipped(frame_length)),
        None => Err(DecodeError::UnknownKind(kind)),
    }
}

/// Appends a message as one frame. The caller must keep the payload within [`MAX_PAYLOAD_LENGTH`] and a list
/// within [`MAX_LIST_ENTRIES`].
pub fn encode(message: &Message<'_>, out: &mut Vec<u8>) {
    let start = out.len();
    let body_start = start + HEADER_LENGTH;
    out.extend_from_slice(&[0; HEADER_LENGTH]);
    message.encode_fields(&mut FieldWriter(out));
    let fields_length = (out.len() - body_start) as u16;
    message.encode_payload(&mut FieldWriter(out));
    let body_length = (out.len() - body_start) as u32;
    debug_assert!(body_length as usize <= MAX_BODY_LENGTH, "a frame of {body_length} bytes");
    let header = &mut out[start..body_start];
    header[..4].copy_from_slice(&body_length.to_le_bytes());
    header[4] = message.kind();
    header[6..8].copy_from_slice(&fields_length.to_le_bytes());
    let sum = checksum(&out[start..start + CHECKSUM_OFFSET], &out[body_start..]);
    out[start + CHECKSUM_OFFSET..body_start].copy_from_slice(&sum.to_le_bytes());
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(header), body)
}

/// Iterator over the messages at the start of a byte sequence, which skips frames of unknown skippable kinds.
/// Ends at the first incomplete frame; after an error no further frame can be decoded.
pub struct Frames<'a> {
    bytes: &'a [u8],
    consumed: usize,
}

impl<'a> Frames<'a> {
    /// Creates an iterator over the frames of these bytes.
    pub fn new(bytes: &'a [u8]) -> Frames<'a> {
        Frames { bytes, consumed: 0 }
    }

    /// Returns the number of bytes of all frames that were returned or skipped.
    pub fn consumed(&self) -> usize {
        self.consumed
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = Result<Message<'a>, DecodeError>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            match decode(&self.bytes[self.consumed..]) {
                Ok(Decoded::Incomplete) => return None,
                Ok(Decoded::Skipped(length)) => self.consumed += length,
                Ok(Decoded::Frame(message, length)) => {
                    self.consumed += length;
                    return Some(Ok(message));
                }
                Err(error) => return Some(Err(error)),
            }
        }
    }
}
