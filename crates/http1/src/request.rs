//! The head of a request, checked as a whole.

use crate::answer::Spoilt;
use crate::chunks::Chunks;
use crate::head::{BadHead, Fields, Heads, MOST_FIELDS};
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

/// How the body behind a head is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes, within the bound; none at all where the head says nothing.
    Length(usize),
    Chunked,
}

#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub fields: Fields<'a>,
    pub framing: Framing,
    /// The client waits for a word before it sends the body.
    pub expects: bool,
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
    let codings: Vec<&[u8]> = fields.all("transfer-encoding").collect();
    let Ok(length) = fields.length() else { return refused(400, "the length is not one number") };
    let framing = match (codings.as_slice(), length) {
        ([], Some(length)) if length > MOST_BODY as u64 => return refused(413, "the body is too long"),
        ([], Some(length)) => Framing::Length(length as usize),
        ([], None) if matches!(method, "PUT" | "POST" | "PATCH") => {
            return refused(411, "the body needs a length")
        }
        ([], None) => Framing::Length(0),
        // Two readers could frame it in two ways, and one of them would find a request in the body.
        (_, Some(_)) => return refused(400, "the body has a length and a coding"),
        ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => Framing::Chunked,
        _ => return refused(501, "the body has a coding that is not known here"),
    };
    let expects = match fields.one("expect") {
        Ok(None) => false,
        Ok(Some(word)) if word.eq_ignore_ascii_case(b"100-continue") => true,
        _ => return refused(417, "no such expectation is met here"),
    };
    let close = fields.says("connection", "close");
    Ok(Request { method, target, fields, framing, expects, close })
}

/// A request as it came, whole: its head, which [`request`] reads, and its body without framing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
enum Stage {
    #[default]
    Head,
    Length(Vec<u8>, usize),
    Chunks(Vec<u8>, Chunks),
}

/// Reads the requests of one connection, one at a time.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    heads: Heads,
    stage: Stage,
    /// The client is owed the word for which it keeps its body back.
    expects: bool,
}

impl Requests {
    /// Whether a head was read whose body is not whole yet.
    pub fn begun(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// Whether the client waits for a word before it sends the body; said once.
    pub fn expects(&mut self) -> bool {
        std::mem::take(&mut self.expects)
    }

    /// The memory that a request takes that is not whole yet.
    pub fn held(&self) -> usize {
        match &self.stage {
            Stage::Head => 0,
            Stage::Length(head, _) => head.capacity(),
            Stage::Chunks(head, chunks) => head.capacity() + chunks.body.capacity(),
        }
    }

    /// Uses what it can of the input: how many bytes, and a request where one is whole.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<Whole>), Refused> {
        let mut used = 0;
        if !self.begun() {
            // Some end a body with a line's end that belongs to nothing.
            while input[used..].starts_with(b"\r\n") {
                (used, self.heads) = (used + 2, Heads::default());
            }
            let rest = &input[used..];
            let Some(length) = self.heads.end(rest)? else { return Ok((used, None)) };
            used += length;
            let read = request(&rest[..length])?;
            let head = rest[..length].to_vec();
            self.expects = read.expects;
            self.stage = match read.framing {
                Framing::Length(length) => Stage::Length(head, length),
                Framing::Chunked => Stage::Chunks(head, Chunks::default()),
            };
        }
        let rest = &input[used..];
        let (head, body) = match std::mem::take(&mut self.stage) {
            Stage::Length(head, length) if rest.len() >= length => {
                used += length;
                (head, rest[..length].to_vec())
            }
            Stage::Chunks(head, mut chunks) => {
                let malformed = |_: Spoilt| Refused { status: 400, why: "the body's chunks are malformed" };
                let (taken, whole) = chunks.read(rest, MOST_BODY).map_err(malformed)?;
                used += taken;
                if !whole {
                    self.stage = Stage::Chunks(head, chunks);
                    return Ok((used, None));
                }
                (head, chunks.body)
            }
            stage => {
                self.stage = stage;
                return Ok((used, None));
            }
        };
        self.expects = false;
        Ok((used, Some(Whole { head, body })))
    }
}

/// Whether bytes behind a request may be the next one, as far as they go: what cannot be shows that the length
/// before it was wrong.
pub fn begins_like_a_request(bytes: &[u8]) -> bool {
    let bytes = match bytes {
        b"\r" => &[],
        _ => bytes.strip_prefix(b"\r\n").unwrap_or(bytes),
    };
    let word = bytes.iter().position(|b| !b.is_ascii_uppercase()).unwrap_or(bytes.len());
    match &bytes[word..] {
        [] => word <= 16,
        [b' '] => word > 0,
        [b' ', next, ..] => word > 0 && *next == b'/',
        _ => false,
    }
}
