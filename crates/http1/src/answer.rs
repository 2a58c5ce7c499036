//! Answers as their bytes come: 1xx are passed over, a body counts only when it is whole.

use crate::chunks::Chunks;
use crate::head::{BadHead, Fields, Heads, MOST_FIELDS};
use crate::MOST_ANSWER;

/// How many 1xx may come before an answer.
const MOST_INTERIM: u32 = 16;

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub fields: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// The connection carries no further request.
    pub close: bool,
}

impl Answer {
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

/// Bytes that are no answer, however they go on: spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spoilt;

impl From<BadHead> for Spoilt {
    fn from(_: BadHead) -> Spoilt {
        Spoilt
    }
}

#[derive(Clone, Debug, Default)]
enum Stage {
    #[default]
    Head,
    Length(Answer, usize),
    Chunks(Answer, Chunks),
    /// A body that ends with its connection.
    ToEnd(Answer),
}

/// Reads the answers of one connection, one at a time.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    heads: Heads,
    interim: u32,
    stage: Stage,
}

impl Answers {
    /// The memory that an answer takes that is not whole yet.
    pub fn held(&self) -> usize {
        match &self.stage {
            Stage::Chunks(_, chunks) => chunks.body.capacity(),
            Stage::ToEnd(answer) => answer.body.capacity(),
            Stage::Head | Stage::Length(..) => 0,
        }
    }

    /// Whether the head of an answer was read whose end is still to come.
    pub fn begun(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// The peer ended its side in order, and all that came was read: the answer whose body that ends. Only an end in
    /// order is one; a connection that broke says nothing of how much was to come.
    pub fn ended(&mut self) -> Option<Answer> {
        match std::mem::take(&mut self.stage) {
            Stage::ToEnd(answer) => Some(answer),
            _ => None,
        }
    }

    /// Uses what it can of the input: how many bytes, and an answer where one is whole.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<Answer>), Spoilt> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match std::mem::take(&mut self.stage) {
                Stage::Head => {
                    let Some(length) = self.heads.end(rest)? else { return Ok((used, None)) };
                    used += length;
                    match head(&rest[..length])? {
                        None if self.interim == MOST_INTERIM => return Err(Spoilt),
                        None => self.interim += 1,
                        Some(stage) => self.stage = stage,
                    }
                }
                Stage::Length(mut answer, length) if rest.len() >= length => {
                    answer.body = rest[..length].to_vec();
                    self.interim = 0;
                    return Ok((used + length, Some(answer)));
                }
                Stage::Chunks(mut answer, mut chunks) => {
                    let (taken, whole) = chunks.read(rest, MOST_ANSWER)?;
                    used += taken;
                    if whole {
                        answer.body = chunks.body;
                        self.interim = 0;
                        return Ok((used, Some(answer)));
                    }
                    self.stage = Stage::Chunks(answer, chunks);
                    return Ok((used, None));
                }
                Stage::ToEnd(mut answer) => {
                    if answer.body.len() + rest.len() > MOST_ANSWER {
                        return Err(Spoilt);
                    }
                    answer.body.extend_from_slice(rest);
                    self.stage = Stage::ToEnd(answer);
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
fn head(head: &[u8]) -> Result<Option<Stage>, Spoilt> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(used)) if used == head.len() => {}
        _ => return Err(Spoilt),
    }
    let (Some(status), Some(1)) = (parsed.code, parsed.version) else { return Err(Spoilt) };
    let fields = Fields::of(parsed.headers);
    // Nobody asked to change protocols.
    if !(100..=599).contains(&status) || status == 101 {
        return Err(Spoilt);
    }
    if status < 200 {
        return Ok(None);
    }
    let length = fields.length().map_err(|_| Spoilt)?;
    let codings: Vec<&[u8]> = fields.all("transfer-encoding").collect();
    let answer = Answer {
        status,
        fields: parsed.headers.iter().map(|h| (h.name.to_string(), h.value.to_vec())).collect(),
        body: Vec::new(),
        close: fields.says("connection", "close"),
    };
    match (codings.as_slice(), length) {
        ([], Some(length)) if length <= MOST_ANSWER as u64 => {
            Ok(Some(Stage::Length(answer, length as usize)))
        }
        ([], None) if matches!(status, 204 | 304) => Ok(Some(Stage::Length(answer, 0))),
        ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Stage::Chunks(answer, Chunks::default())))
        }
        ([], None) => Ok(Some(Stage::ToEnd(Answer { close: true, ..answer }))),
        _ => Err(Spoilt),
    }
}
