//! Incremental reader of responses. Interim responses (1xx) are skipped; a response is returned when its body
//! is complete.

use crate::chunked_body::ChunkedBodyReader;
use crate::head::{HeadError, HeadReader, Headers, MAX_HEADERS};
use crate::MAX_RESPONSE_BODY_BYTES;
use thiserror::Error;

/// First bytes of every response.
pub const RESPONSE_START: &[u8] = b"HTTP/1.1 ";
/// Number of digits of a status code.
const STATUS_DIGITS: usize = 3;
/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Evidence for where the body of a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The head states the length, which may be wrong.
    Stated,
    /// The bytes themselves mark the end: the last chunk, or the end of the stream.
    Marked,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Evidence for the end of the body.
    pub body_end: BodyEnd,
    /// True if the connection carries no further request.
    pub close: bool,
}

impl Response {
    /// Returns a header's value as text; none where the header is absent, repeated or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut matching = self.headers.iter().filter(|header| header.0.eq_ignore_ascii_case(name));
        let first = matching.next()?;
        if matching.next().is_some() {
            return None;
        }
        std::str::from_utf8(&first.1).ok()
    }
}

/// Returns whether bytes begin with the status line of a response, up to the status code.
pub fn begins_response(bytes: &[u8]) -> bool {
    let Some(status) = bytes.strip_prefix(RESPONSE_START) else { return false };
    status.len() >= STATUS_DIGITS && status[..STATUS_DIGITS].iter().all(u8::is_ascii_digit)
}

/// Error for bytes that are not a response, whatever bytes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the bytes are no HTTP/1.1 response")]
pub struct MalformedResponse;

impl From<HeadError> for MalformedResponse {
    fn from(_: HeadError) -> MalformedResponse {
        MalformedResponse
    }
}

#[derive(Clone, Debug, Default)]
enum Stage {
    #[default]
    Head,
    SizedBody(Response, usize),
    ChunkedBody(Response, ChunkedBodyReader),
    /// A body that ends with the connection.
    UntilClose(Response),
}

/// Reader of the responses of one connection, one at a time.
#[derive(Clone, Debug, Default)]
pub struct ResponseReader {
    head_reader: HeadReader,
    interim: u32,
    stage: Stage,
}

impl ResponseReader {
    /// Returns the memory that an incomplete response takes.
    pub fn memory_bytes(&self) -> usize {
        match &self.stage {
            Stage::ChunkedBody(_, chunks) => chunks.body.capacity(),
            Stage::UntilClose(response) => response.body.capacity(),
            Stage::Head | Stage::SizedBody(..) => 0,
        }
    }

    /// Returns whether a head was read whose body is incomplete.
    pub fn in_progress(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// Returns the response whose body ends with the connection. Must be called only after the peer closed
    /// its side in order and all input was read: after a broken connection, the number of missing bytes is
    /// unknown.
    pub fn on_end_of_stream(&mut self) -> Option<Response> {
        match std::mem::take(&mut self.stage) {
            Stage::UntilClose(response) => Some(response),
            _ => None,
        }
    }

    /// Parses the input; returns the number of bytes used, and a response if one is complete.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<Response>), MalformedResponse> {
        let mut used = 0;
        loop {
            let unread = &input[used..];
            match std::mem::take(&mut self.stage) {
                Stage::Head => {
                    let Some(length) = self.head_reader.find_end(unread)? else { return Ok((used, None)) };
                    used += length;
                    match parse_head(&unread[..length])? {
                        None if self.interim == MAX_INTERIM_RESPONSES => return Err(MalformedResponse),
                        None => self.interim += 1,
                        Some(stage) => self.stage = stage,
                    }
                }
                Stage::SizedBody(mut response, length) if unread.len() >= length => {
                    response.body = unread[..length].to_vec();
                    self.interim = 0;
                    return Ok((used + length, Some(response)));
                }
                Stage::ChunkedBody(mut response, mut chunks) => {
                    let (consumed, complete) = chunks.read(unread, MAX_RESPONSE_BODY_BYTES)?;
                    used += consumed;
                    if complete {
                        response.body = chunks.body;
                        self.interim = 0;
                        return Ok((used, Some(response)));
                    }
                    self.stage = Stage::ChunkedBody(response, chunks);
                    return Ok((used, None));
                }
                Stage::UntilClose(mut response) => {
                    if response.body.len() + unread.len() > MAX_RESPONSE_BODY_BYTES {
                        return Err(MalformedResponse);
                    }
                    response.body.extend_from_slice(unread);
                    self.stage = Stage::UntilClose(response);
                    return Ok((input.len(), None));
                }
                stage => {
                    self.stage = stage;
                    return Ok((used, None));
                }
            }
        }
    }
}

/// Parses a head and returns the framing of the body that follows; none for a 1xx response.
fn parse_head(head: &[u8]) -> Result<Option<Stage>, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(used)) if used == head.len() => {}
        _ => return Err(MalformedResponse),
    }
    let (Some(status), Some(1)) = (parsed.code, parsed.version) else { return Err(MalformedResponse) };
    let headers = Headers::from_parsed(parsed.headers);
    // No request of this host asks to switch protocols.
    if !(100..=599).contains(&status) || status == 101 {
        return Err(MalformedResponse);
    }
    if status < 200 {
        return Ok(None);
    }
    let length = headers.content_length().map_err(|_| MalformedResponse)?;
    let codings: Vec<&[u8]> = headers.all("transfer-encoding").collect();
    let response = Response {
        status,
        headers: parsed.headers.iter().map(|h| (h.name.to_string(), h.value.to_vec())).collect(),
        body: Vec::new(),
        body_end: BodyEnd::Stated,
        close: headers.has_token("connection", "close"),
    };
    match (codings.as_slice(), length) {
        ([], Some(length)) if length <= MAX_RESPONSE_BODY_BYTES as u64 => {
            Ok(Some(Stage::SizedBody(response, length as usize)))
        }
        ([], None) if matches!(status, 204 | 304) => Ok(Some(Stage::SizedBody(response, 0))),
        ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => {
            let response = Response { body_end: BodyEnd::Marked, ..response };
            Ok(Some(Stage::ChunkedBody(response, ChunkedBodyReader::default())))
        }
        ([], None) => {
            let response = Response { body_end: BodyEnd::Marked, close: true, ..response };
            Ok(Some(Stage::UntilClose(response)))
        }
        _ => Err(MalformedResponse),
    }
}
