//! Incremental reader of requests, and parser of their heads.

use crate::chunked_body::ChunkedBodyReader;
use crate::head::{HeadError, HeadReader, Headers, MAX_HEADERS};
use crate::response::MalformedResponse;
use crate::MAX_REQUEST_BODY_BYTES;
use thiserror::Error;

/// Reason why a request is rejected, with the status of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{status}: {reason}")]
pub struct Rejection {
    /// Status code of the response.
    pub status: u16,
    /// Reason, sent as the body of the response.
    pub reason: &'static str,
}

impl From<HeadError> for Rejection {
    fn from(error: HeadError) -> Rejection {
        match error {
            HeadError::Malformed => Rejection { status: 400, reason: "the head is malformed" },
            HeadError::TooLong => Rejection { status: 431, reason: "the head is too long" },
        }
    }
}

/// Framing of the body that follows a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// A body of this length, within the limit; 0 where the head states none.
    Length(usize),
    /// A chunked body.
    Chunked,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    /// Request method.
    pub method: &'a str,
    /// Request target.
    pub target: &'a str,
    /// Headers.
    pub headers: Headers<'a>,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// True if the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// True if the connection is to be closed after the response.
    pub close: bool,
}

/// Parses a complete head, as delimited by [`crate::HeadReader`].
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
        // Two readers could frame the body differently, and one of them would parse part of it as a request.
        (_, Some(_)) => return reject(400, "the body has a length and a coding"),
        ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => BodyFraming::Chunked,
        _ => return reject(501, "the body has a coding that is not known here"),
    };
    let expects_continue = match headers.single("expect") {
        Ok(None) => false,
        Ok(Some(expectation)) if expectation.eq_ignore_ascii_case(b"100-continue") => true,
        _ => return reject(417, "no such expectation is met here"),
    };
    let close = headers.has_token("connection", "close");
    Ok(RequestHead { method, target, headers, framing, expects_continue, close })
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteRequest {
    /// Head, as parsed by [`parse_request_head`].
    pub head: Vec<u8>,
    /// Body without its framing.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
enum Stage {
    #[default]
    Head,
    SizedBody(Vec<u8>, usize),
    ChunkedBody(Vec<u8>, ChunkedBodyReader),
}

/// Reader of the requests of one connection, one at a time.
#[derive(Clone, Debug, Default)]
pub struct RequestReader {
    head_reader: HeadReader,
    stage: Stage,
    /// True if the client waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

impl RequestReader {
    /// Returns whether a head was read whose body is incomplete.
    pub fn in_progress(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body; true once per request.
    pub fn expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// Returns the memory that an incomplete request takes.
    pub fn memory_bytes(&self) -> usize {
        match &self.stage {
            Stage::Head => 0,
            Stage::SizedBody(head, _) => head.capacity(),
            Stage::ChunkedBody(head, chunks) => head.capacity() + chunks.body.capacity(),
        }
    }

    /// Parses the input; returns the number of bytes used, and a request if one is complete.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<CompleteRequest>), Rejection> {
        let mut used = self.read_head(input)?;
        let unread = &input[used..];
        let (head, body) = match std::mem::take(&mut self.stage) {
            Stage::SizedBody(head, length) if unread.len() >= length => {
                used += length;
                (head, unread[..length].to_vec())
            }
            Stage::ChunkedBody(head, mut chunks) => {
                let (consumed, complete) = read_chunks(&mut chunks, unread)?;
                used += consumed;
                if !complete {
                    self.stage = Stage::ChunkedBody(head, chunks);
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

    /// Parses the input without keeping the request: heads are checked, and bodies are dropped as they arrive. Returns
    /// the number of bytes used, and whether a request is complete. A request of which a part was skipped can only be
    /// skipped.
    pub fn skip(&mut self, input: &[u8]) -> Result<(usize, bool), Rejection> {
        let mut used = self.read_head(input)?;
        let unread = &input[used..];
        match std::mem::take(&mut self.stage) {
            Stage::Head => return Ok((used, false)),
            Stage::SizedBody(_, length) if unread.len() < length => {
                self.stage = Stage::SizedBody(Vec::new(), length - unread.len());
                return Ok((input.len(), false));
            }
            Stage::SizedBody(_, length) => used += length,
            Stage::ChunkedBody(_, mut chunks) => {
                let (consumed, complete) = read_chunks(&mut chunks, unread)?;
                used += consumed;
                if !complete {
                    chunks.drop_body();
                    self.stage = Stage::ChunkedBody(Vec::new(), chunks);
                    return Ok((used, false));
                }
            }
        }
        self.expects_continue = false;
        Ok((used, true))
    }

    /// Reads a head unless the body of a request is being read; returns the number of bytes used.
    fn read_head(&mut self, input: &[u8]) -> Result<usize, Rejection> {
        let mut used = 0;
        if self.in_progress() {
            return Ok(used);
        }
        // Some clients send a line break after a body; it belongs to neither request.
        while input[used..].starts_with(b"\r\n") {
            (used, self.head_reader) = (used + 2, HeadReader::default());
        }
        let unread = &input[used..];
        let Some(length) = self.head_reader.find_end(unread)? else { return Ok(used) };
        used += length;
        let parsed_head = parse_request_head(&unread[..length])?;
        let head = unread[..length].to_vec();
        self.expects_continue = parsed_head.expects_continue;
        self.stage = match parsed_head.framing {
            BodyFraming::Length(length) => Stage::SizedBody(head, length),
            BodyFraming::Chunked => Stage::ChunkedBody(head, ChunkedBodyReader::default()),
        };
        Ok(used)
    }
}

/// Reads chunks of a request's body; returns the number of bytes used, and whether the body is complete.
fn read_chunks(chunks: &mut ChunkedBodyReader, input: &[u8]) -> Result<(usize, bool), Rejection> {
    let malformed =
        |_: MalformedResponse| Rejection { status: 400, reason: "the body's chunks are malformed" };
    chunks.read(input, MAX_REQUEST_BODY_BYTES).map_err(malformed)
}

/// Methods of HTTP. A method that is not complete yet must be the start of one of them.
const METHODS: [&str; 9] = ["GET", "PUT", "POST", "HEAD", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"];
/// Maximum length of a method.
const MAX_METHOD_BYTES: usize = 16;

/// Returns whether the bytes after a request may be the start of another one. If not, the stated length of
/// the request's body was wrong.
pub fn may_begin_request(bytes: &[u8]) -> bool {
    let bytes = match bytes {
        b"\r" => &[],
        _ => bytes.strip_prefix(b"\r\n").unwrap_or(bytes),
    };
    let method_length = bytes.iter().position(|b| !b.is_ascii_uppercase()).unwrap_or(bytes.len());
    let (method, rest) = bytes.split_at(method_length);
    let is_method = (1..=MAX_METHOD_BYTES).contains(&method_length);
    match rest {
        [] => METHODS.iter().any(|known| known.as_bytes().starts_with(method)),
        [b' '] => is_method,
        [b' ', next, ..] => is_method && *next == b'/',
        _ => false,
    }
}
