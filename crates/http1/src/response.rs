//! Responses as their bytes come: 1xx are passed over, a body counts only when it is whole.

use crate::chunked_body::ChunkedBodyReader;
use crate::head::{HeadError, HeadReader, Headers, MAX_HEADERS};
use crate::MAX_RESPONSE_BODY_BYTES;

/// How many 1xx may come before an answer.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub fields: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// The connection carries no further request.
    pub close: bool,
}

impl Response {
    /// A field's value as text; none where it is absent, doubled or not text.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut all = self.fields.iter().filter(|f| f.0.eq_ignore_ascii_case(name));
        let first = all.next()?;
        if all.next().is_some() {
            return None;
        }
        std::str::from_utf8(&first.1).ok()
    }
}

/// Bytes that are no answer, however they go on: malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// Reads the answers of one connection, one at a time.
#[derive(Clone, Debug, Default)]
pub struct ResponseReader {
    heads: HeadReader,
    interim: u32,
    stage: Stage,
}

impl ResponseReader {
    /// The memory that an answer takes that is not whole yet.
    pub fn memory_bytes(&self) -> usize {
        match &self.stage {
            Stage::ChunkedBodyReader(_, chunks) => chunks.body.capacity(),
            Stage::UntilClose(answer) => answer.body.capacity(),
            Stage::Head | Stage::SizedBody(..) => 0,
        }
    }

    /// Whether the head of an answer was read whose end is still to come.
    pub fn in_progress(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// The peer ended its side in order, and all that came was read: the answer whose body that ends. Only an end in
    /// order is one; a connection that broke says nothing of how much was to come.
    pub fn on_end_of_stream(&mut self) -> Option<Response> {
        match std::mem::take(&mut self.stage) {
            Stage::UntilClose(answer) => Some(answer),
            _ => None,
        }
    }

    /// Uses what it can of the input: how many bytes, and an answer where one is whole.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<Response>), MalformedResponse> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match std::mem::take(&mut self.stage) {
                Stage::Head => {
                    let Some(length) = self.heads.end(rest)? else { return Ok((used, None)) };
                    used += length;
                    match head(&rest[..length])? {
                        None if self.interim == MAX_INTERIM_RESPONSES => return Err(MalformedResponse),
                        None => self.interim += 1,
                        Some(stage) => self.stage = stage,
                    }
                }
                Stage::SizedBody(mut answer, length) if rest.len() >= length => {
                    answer.body = rest[..length].to_vec();
                    self.interim = 0;
                    return Ok((used + length, Some(answer)));
                }
                Stage::ChunkedBodyReader(mut answer, mut chunks) => {
                    let (consumed, whole) = chunks.read(rest, MAX_RESPONSE_BODY_BYTES)?;
                    used += consumed;
                    if whole {
                        answer.body = chunks.body;
                        self.interim = 0;
                        return Ok((used, Some(answer)));
                    }
                    self.stage = Stage::ChunkedBodyReader(answer, chunks);
                    return Ok((used, None));
                }
                Stage::UntilClose(mut answer) => {
                    if answer.body.len() + rest.len() > MAX_RESPONSE_BODY_BYTES {
                        return Err(MalformedResponse);
                    }
                    answer.body.extend_from_slice(rest);
                    self.stage = Stage::UntilClose(answer);
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
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(used)) if used == head.len() => {}
        _ => return Err(MalformedResponse),
    }
    let (Some(status), Some(1)) = (parsed.code, parsed.version) else { return Err(MalformedResponse) };
    let headers = Headers::from_parsed(parsed.headers);
    // Nobody asked to change protocols.
    if !(100..=599).contains(&status) || status == 101 {
        return Err(MalformedResponse);
    }
    if status < 200 {
        return Ok(None);
    }
    let length = headers.content_length().map_err(|_| MalformedResponse)?;
    let codings: Vec<&[u8]> = headers.all("transfer-encoding").collect();
    let answer = Response {
        status,
        fields: parsed.headers.iter().map(|h| (h.name.to_string(), h.value.to_vec())).collect(),
        body: Vec::new(),
        close: headers.has_token("connection", "close"),
    };
    match (codings.as_slice(), length) {
        ([], Some(length)) if length <= MAX_RESPONSE_BODY_BYTES as u64 => {
            Ok(Some(Stage::SizedBody(answer, length as usize)))
        }
        ([], None) if matches!(status, 204 | 304) => Ok(Some(Stage::SizedBody(answer, 0))),
        ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Stage::ChunkedBodyReader(answer, ChunkedBodyReader::default())))
        }
        ([], None) => Ok(Some(Stage::UntilClose(Response { close: true, ..answer }))),
        _ => Err(MalformedResponse),
    }
}
