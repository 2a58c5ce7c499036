//! The head of a request, checked as a whole.

use crate::head::{BadHead, Fields, MOST_FIELDS};
use crate::MOST_BODY;

/// Why a request is refused, with the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub status: u16,
    pub why: &'static str,
}

impl From<BadHead> for Refused {
    fn from(bad: BadHead) -> Refused {
        match bad {
            BadHead::Malformed => Refused { status: 400, why: "the head is malformed" },
            BadHead::TooLong => Refused { status: 431, why: "the head is too long" },
        }
    }
}

#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub fields: Fields<'a>,
    /// The length of the body behind the head; within the bound.
    pub body: usize,
    /// No further request is to come on this connection.
    pub close: bool,
}

/// Reads a whole head, as [`crate::Heads`] found it.
pub fn request(head: &[u8]) -> Result<Request<'_>, Refused> {
    let refused = |status, why| Err(Refused { status, why });
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(used)) if used == head.len() => {}
        Err(httparse::Error::TooManyHeaders) => return refused(431, "the head has too many fields"),
        Err(httparse::Error::Version) => return refused(505, "only HTTP/1.1 is spoken here"),
        _ => return refused(400, "the head is malformed"),
    }
    let (Some(method), Some(target)) = (parsed.method, parsed.path) else {
        return refused(400, "the head is malformed");
    };
    if parsed.version != Some(1) {
        return refused(505, "only HTTP/1.1 is spoken here");
    }
    let fields = Fields::of(parsed.headers);
    if fields.all("host").count() != 1 {
        return refused(400, "there must be one Host");
    }
    let coded = fields.all("transfer-encoding").next().is_some();
    let Ok(length) = fields.length() else { return refused(400, "the length is not one number") };
    match (coded, length) {
        (true, Some(_)) => return refused(400, "the body has a length and a coding"),
        (true, None) => return refused(411, "the body needs a length"),
        (false, None) if matches!(method, "PUT" | "POST" | "PATCH") => {
            return refused(411, "the body needs a length")
        }
        (false, Some(length)) if length > MOST_BODY as u64 => return refused(413, "the body is too long"),
        _ => {}
    }
    if fields.all("expect").next().is_some() {
        return refused(417, "no expectation is met here");
    }
    let close = fields.says("connection", "close");
    Ok(Request { method, target, fields, body: length.unwrap_or(0) as usize, close })
}

/// Whether bytes behind a request may be the next one, as far as they go: what cannot be shows that the length
/// before it was wrong.
pub fn begins_like_a_request(bytes: &[u8]) -> bool {
    let word = bytes.iter().position(|b| !b.is_ascii_uppercase()).unwrap_or(bytes.len());
    match &bytes[word..] {
        [] => word <= 16,
        [b' '] => word > 0,
        [b' ', next, ..] => word > 0 && *next == b'/',
        _ => false,
    }
}
