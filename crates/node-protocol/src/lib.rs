//! The protocol between clients, hosts, storage nodes and the endpoint list service, as `docs/wire.md` sets it down
//! byte by byte. Pure: bytes in, messages out, and back.
//!
//! The decoder never panics, never sizes anything by a promised length, and refuses a frame by its header
//! alone when that promises more than [`MOST_BODY`] bytes.

mod fields;
mod message;

pub use message::{
    Attempt, Final, FinalCode, Hello, Line, List, MapLine, MapNews, Mapped, Message, MoveStage, Outcome,
    OutcomeCode, Role, State, Take, LONG_AGO, VERSION,
};

use fields::Fields;
use std::fmt;

/// Bytes of a frame's header: body length, kind, a zero, length of the fields, checksum.
pub const HEADER: usize = 12;
/// The largest payload of a read or write.
pub const MOST_PAYLOAD: usize = 1 << 20;
/// The largest body of a frame: the payload and room for the fields, or the longest list.
pub const MOST_BODY: usize = MOST_PAYLOAD + (1 << 10);
/// The most nodes that one list may name.
pub const MOST_LINES: usize = (MOST_BODY - 32) / message::LINE;
/// The most lines that one part of map news may hold.
pub const MOST_MAP_LINES: usize = (MOST_BODY - 32) / message::MAP_LINE;
/// Kinds from here on may be skipped by a reader that does not know them.
const SKIPPABLE: u8 = 0x80;

/// Why bytes are not a frame. After any of these the connection cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The header promises more than [`MOST_BODY`].
    TooLong(usize),
    /// The checksum of header and body does not hold.
    Checksum,
    UnknownKind(u8),
    /// A message of this kind ends within the named field.
    CutShort(&'static str),
    /// The named field holds a value that it cannot have.
    Impossible(&'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::TooLong(n) => write!(f, "a frame of {n} bytes, where {MOST_BODY} are the most"),
            Fault::Checksum => write!(f, "a frame whose checksum does not hold"),
            Fault::UnknownKind(kind) => write!(f, "a frame of the unknown kind {kind}"),
            Fault::CutShort(field) => write!(f, "a frame that ends before its {field}"),
            Fault::Impossible(field) => write!(f, "a frame with an impossible {field}"),
        }
    }
}

impl std::error::Error for Fault {}

/// What stands at the start of the bytes: nothing whole yet, a frame to skip, or a message; with the bytes
/// that it takes up.
#[derive(Debug, PartialEq)]
pub enum Read<'a> {
    Partial,
    Skip(usize),
    Whole(Message<'a>, usize),
}

/// Reads the frame at the start of `bytes`.
pub fn read(bytes: &[u8]) -> Result<Read<'_>, Fault> {
    let Some(header) = bytes.first_chunk::<HEADER>() else { return Ok(Read::Partial) };
    let [l0, l1, l2, l3, kind, _, f0, f1, c0, c1, c2, c3] = *header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length > MOST_BODY {
        return Err(Fault::TooLong(length));
    }
    let Some(body) = bytes.get(HEADER..HEADER + length) else { return Ok(Read::Partial) };
    if u32::from_le_bytes([c0, c1, c2, c3]) != checksum(&header[..8], body) {
        return Err(Fault::Checksum);
    }
    let fixed = usize::from(u16::from_le_bytes([f0, f1]));
    let Some((fields, payload)) = body.split_at_checked(fixed) else {
        return Err(Fault::CutShort("fields"));
    };
    match Message::decode(kind, &mut Fields::new(fields), payload)? {
        Some(message) => Ok(Read::Whole(message, HEADER + length)),
        None if kind >= SKIPPABLE => Ok(Read::Skip(HEADER + length)),
        None => Err(Fault::UnknownKind(kind)),
    }
}

/// The messages at the start of some bytes, those to be skipped passed over; ends where nothing whole is left, and
/// after a fault nothing can be read on.
pub struct Frames<'a> {
    bytes: &'a [u8],
    used: usize,
}

impl<'a> Frames<'a> {
    pub fn new(bytes: &'a [u8]) -> Frames<'a> {
        Frames { bytes, used: 0 }
    }

    /// Bytes of all frames that were handed out or passed over.
    pub fn used(&self) -> usize {
        self.used
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = Result<Message<'a>, Fault>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            match read(&self.bytes[self.used..]) {
                Ok(Read::Partial) => return None,
                Ok(Read::Skip(n)) => self.used += n,
                Ok(Read::Whole(message, n)) => {
                    self.used += n;
                    return Some(Ok(message));
                }
                Err(fault) => return Some(Err(fault)),
            }
        }
    }
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(header), body)
}

/// Appends a message as one frame. A payload beyond [`MOST_PAYLOAD`] or a list beyond [`MOST_LINES`] is the
/// caller's to refuse before.
pub fn write(message: &Message, out: &mut Vec<u8>) {
    let at = out.len();
    out.extend_from_slice(&[0; HEADER]);
    let (kind, payload) = message.encode(out);
    let fixed = (out.len() - at - HEADER) as u16;
    out.extend_from_slice(payload);
    message.finish(out);
    let length = (out.len() - at - HEADER) as u32;
    debug_assert!(length as usize <= MOST_BODY, "a frame of {length} bytes");
    let header = &mut out[at..at + HEADER];
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4] = kind;
    header[6..8].copy_from_slice(&fixed.to_le_bytes());
    let sum = checksum(&out[at..at + 8], &out[at + HEADER..]);
    out[at + 8..at + HEADER].copy_from_slice(&sum.to_le_bytes());
}
