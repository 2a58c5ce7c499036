//! Responses as their bytes arrive. Interim responses (1xx) are skipped; a response counts when its body is complete.

use crate::chunked_body::ChunkedBodyReader;
use crate::head::{HeadError, HeadReader, Headers, MAX_HEADERS};
use crate::MAX_RESPONSE_BODY_BYTES;
use thiserror::Error;

/// How many interim responses may precede a response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its headers, in their order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Its body, without framing.
    pub body: Vec<u8>,
    /// The connection carries no further request.
    pub close: bool,
}

impl Response {
    /// A header's value as text; none where it is absent, repeated or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter().filter(|header| header.0.eq_ignore_ascii_case(name));
        let first = all.next()?;
        if all.next().is_some() {
            return None;
        }
        std::str::from_utf8(&first.1).ok()
    }
}

/// Bytes that are no response, however they go on.
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
    ChunkedBodyReader(Response, ChunkedBodyReader),
    /// A body that ends with its connection.
    UntilClose(Response),
}

/// Reads the responses of one connection, one at a time.
#[derive(Clone, Debug, Default)]
pub struct ResponseReader {
    heads: HeadReader,
    interim: u32,
    stage: Stage,
}

impl ResponseReader {
    /// The memory that an incomplete response takes.
    pub fn memory_bytes(&self) -> usize {
        match &self.stage {
            Stage::ChunkedBodyReader(_, chunks) => chunks.body.capacity(),
            Stage::UntilClose(response) => response.body.capacity(),
            Stage::Head | Stage::SizedBody(..) => 0,
        }
    }

    /// Whether a head was read whose body is incomplete.
    pub fn in_progress(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// The peer has ended its side in order, and everything was read: the response whose body ends with that. It must
    /// not be called for a connection that broke, which says nothing of how much was to come.
    pub fn on_end_of_stream(&mut self) -> Option<Response> {
        match std::mem::take(&mut self.stage) {
            Stage::UntilClose(response) => Some(response),
            _ => None,
        }
    }

    /// Uses what it can of the input: how many bytes, and a response if one is complete.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<Response>), MalformedResponse> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match std::mem::take(&mut self.stage) {
                Stage::Head => {
                    let Some(length) = self.heads.find_end(rest)? else { return Ok((used, None)) };
                    used += length;
                    match head(&rest[..length])? {
                        None if self.interim == MAX_INTERIM_RESPONSES => return Err(MalformedResponse),
                        None => self.interim += 1,
                        Some(stage) => self.stage = stage,
                    }
                }
                Stage::SizedBody(mut response, length) if rest.len() >= length => {
                    response.body = rest[..length].to_vec();
                    self.interim = 0;
                    return Ok((used + length, Some(response)));
                }
                Stage::ChunkedBodyReader(mut response, mut chunks) => {
                    let (consumed, whole) = chunks.read(rest, MAX_RESPONSE_BODY_BYTES)?;
                    used += consumed;
                    if whole {
                        response.body = chunks.body;
                        self.interim = 0;
                        return Ok((used, Some(response)));
                    }
                    self.stage = Stage::ChunkedBodyReader(response, chunks);
                    return Ok((used, None));
                }
                Stage::UntilClose(mut response) => {
                    if response.body.len() + rest.len() > MAX_RESPONSE_BODY_BYTES {
                        return Err(MalformedResponse);
                    }
                    response.body.extend_from_slice(rest);
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

/// How the body behind a head is framed; none for a 1xx.
fn head(head: &[u8]) -> Result<Option<Stage>, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(used)) if used == head.len() => {}
        _ => return Err(MalformedResponse),
    }
    let (Some(status), Some(1)) = (parsed.code, parsed.version) else { return Err(MalformedResponse) };
    let headers = Headers::from_parsed(parsed.headers);
    // No request asks to change protocols.
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
        close: headers.has_token("connection", "close"),
    };
    match (codings.as_slice(), length) {
        ([], Some(length)) if length <= MAX_RESPONSE_BODY_BYTES as u64 => {
            Ok(Some(Stage::SizedBody(response, length as usize)))
        }
        ([], None) if matches!(status, 204 | 304) => Ok(Some(Stage::SizedBody(response, 0))),
        ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Stage::ChunkedBodyReader(response, ChunkedBodyReader::default())))
        }
        ([], None) => Ok(Some(Stage::UntilClose(Response { close: true, ..response }))),
        _ => Err(MalformedResponse),
    }
}
