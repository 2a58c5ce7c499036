//! Requests as their bytes arrive, and their heads.

use crate::chunked_body::ChunkedBodyReader;
use crate::head::{HeadError, HeadReader, Headers, MAX_HEADERS};
use crate::response::MalformedResponse;
use crate::MAX_REQUEST_BODY_BYTES;
use thiserror::Error;

/// Why a request is not accepted, and the status of the response that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{status}: {reason}")]
pub struct Rejection {
    /// The status.
    pub status: u16,
    /// The reason, which is the body of the response.
    pub reason: &'static str,
}

impl From<HeadError> for Rejection {
    fn from(bad: HeadError) -> Rejection {
        match bad {
            HeadError::Malformed => Rejection { status: 400, reason: "the head is malformed" },
            HeadError::TooLong => Rejection { status: 431, reason: "the head is too long" },
        }
    }
}

/// How the body after a head is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// So many bytes, within the limit; 0 where the head states none.
    Length(usize),
    /// In chunks.
    Chunked,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target.
    pub target: &'a str,
    /// The headers.
    pub headers: Headers<'a>,
    /// How the body is framed.
    pub framing: BodyFraming,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The connection is to be closed after the response.
    pub close: bool,
}

/// Reads a complete head, as [`crate::HeadReader`] found it.
pub fn parse_request_head(head: &[u8]) -> Result<RequestHead<'_>, Rejection> {
    let reject = |status, reason| Err(Rejection { status, reason });
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(used)) if used == head.len() => {}
        Err(httparse::Error::TooManyHeaders) => return reject(431, "the head has too many fields"),
        Err(httparse::Error::Version) => return reject(505, "only HTTP/1.1 is spoken here"),
        _ => return reject(400, "the head is malformed"),
    }
    let (Some(method), Some(target)) = (parsed.method, parsed.path) else {
        return reject(400, "the head is malformed");
    };
    if parsed.version != Some(1) {
        return reject(505, "only HTTP/1.1 is spoken here");
    }
    let headers = Headers::from_parsed(parsed.headers);
    if headers.all("host").count() != 1 {
        return reject(400, "there must be one Host");
    }
    let codings: Vec<&[u8]> = headers.all("transfer-encoding").collect();
    let Ok(length) = headers.content_length() else { return reject(400, "the length is not one number") };
    let framing = match (codings.as_slice(), length) {
        ([], Some(length)) if length > MAX_REQUEST_BODY_BYTES as u64 => {
            return reject(413, "the body is too long")
        }
        ([], Some(length)) => BodyFraming::Length(length as usize),
        ([], None) if matches!(method, "PUT" | "POST" | "PATCH") => {
            return reject(411, "the body needs a length")
        }
        ([], None) => BodyFraming::Length(0),
        // Two readers could frame it differently, and one of them would find a request in the body.
        (_, Some(_)) => return reject(400, "the body has a length and a coding"),
        ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => BodyFraming::Chunked,
        _ => return reject(501, "the body has a coding that is not known here"),
    };
    let expects_continue = match headers.single("expect") {
        Ok(None) => false,
        Ok(Some(word)) if word.eq_ignore_ascii_case(b"100-continue") => true,
        _ => return reject(417, "no such expectation is met here"),
    };
    let close = headers.has_token("connection", "close");
    Ok(RequestHead { method, target, headers, framing, expects_continue, close })
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteRequest {
    /// Its head, which [`parse_request_head`] reads.
    pub head: Vec<u8>,
    /// Its body, without framing.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
enum Stage {
    #[default]
    Head,
    SizedBody(Vec<u8>, usize),
    ChunkedBodyReader(Vec<u8>, ChunkedBodyReader),
}

/// Reads the requests of one connection, one at a time.
#[derive(Clone, Debug, Default)]
pub struct RequestReader {
    heads: HeadReader,
    stage: Stage,
    /// The client waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

impl RequestReader {
    /// Whether a head was read whose body is incomplete.
    pub fn in_progress(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// Whether the client waits for `100 Continue` before it sends the body; true once.
    pub fn expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// The memory that an incomplete request takes.
    pub fn memory_bytes(&self) -> usize {
        match &self.stage {
            Stage::Head => 0,
            Stage::SizedBody(head, _) => head.capacity(),
            Stage::ChunkedBodyReader(head, chunks) => head.capacity() + chunks.body.capacity(),
        }
    }

    /// Uses what it can of the input: how many bytes, and a request if one is complete.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<CompleteRequest>), Rejection> {
        let mut used = 0;
        if !self.in_progress() {
            // Some clients end a body with a line break that belongs to nothing.
            while input[used..].starts_with(b"\r\n") {
                (used, self.heads) = (used + 2, HeadReader::default());
            }
            let rest = &input[used..];
            let Some(length) = self.heads.find_end(rest)? else { return Ok((used, None)) };
            used += length;
            let read = parse_request_head(&rest[..length])?;
            let head = rest[..length].to_vec();
            self.expects_continue = read.expects_continue;
            self.stage = match read.framing {
                BodyFraming::Length(length) => Stage::SizedBody(head, length),
                BodyFraming::Chunked => Stage::ChunkedBodyReader(head, ChunkedBodyReader::default()),
            };
        }
        let rest = &input[used..];
        let (head, body) = match std::mem::take(&mut self.stage) {
            Stage::SizedBody(head, length) if rest.len() >= length => {
                used += length;
                (head, rest[..length].to_vec())
            }
            Stage::ChunkedBodyReader(head, mut chunks) => {
                let malformed = |_: MalformedResponse| Rejection {
                    status: 400,
                    reason: "the body's chunks are malformed",
                };
                let (consumed, whole) = chunks.read(rest, MAX_REQUEST_BODY_BYTES).map_err(malformed)?;
                used += consumed;
                if !whole {
                    self.stage = Stage::ChunkedBodyReader(head, chunks);
                    return Ok((used, None));
                }
                (head, chunks.body)
            }
            stage => {
                self.stage = stage;
                return Ok((used, None));
            }
        };
        self.expects_continue = false;
        Ok((used, Some(CompleteRequest { head, body })))
    }
}

/// Whether bytes after a request may begin another one, as far as they go. If not, the length before them was wrong.
pub fn may_begin_request(bytes: &[u8]) -> bool {
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
