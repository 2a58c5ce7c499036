//! The exchanges of one connection to a server, one at a time.

use crate::Ms;
use std::collections::VecDeque;
use xxhash_rust::xxh3::Xxh3;

/// How every answer begins.
const RESPONSE_START: &[u8] = b"HTTP/1.1 ";
/// ResponseReader that are remembered for each connection.
const MAX_REMEMBERED_RESPONSES: usize = 32;

/// A whole answer as it came on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedResponse<'a> {
    pub status: u16,
    pub body: &'a [u8],
    /// What came behind it by now.
    pub trailing: &'a [u8],
    /// The request that the answer itself names, where it does.
    pub names: Option<&'a str>,
}

/// Why an answer may belong to another request than the open one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMismatch {
    /// It names another request.
    DifferentRequestId,
    /// It is the same as an earlier one on this connection.
    DuplicateResponse,
    /// The beginning of another answer stands inside its body, and more came behind it: a part of an earlier answer
    /// came first, and was filled up with what came next.
    ContainsAnotherResponse,
}

impl ResponseMismatch {
    /// The word that stands for it in logs.
    pub fn word(self) -> &'static str {
        match self {
            ResponseMismatch::DifferentRequestId => "different_request_id",
            ResponseMismatch::DuplicateResponse => "duplicate_response",
            ResponseMismatch::ContainsAnotherResponse => "contains_another_response",
        }
    }
}

/// What is known of the exchanges of one connection.
#[derive(Clone, Debug, Default)]
pub struct ExchangeHistory {
    /// Digests of earlier answers, the last one at the end.
    earlier: VecDeque<u64>,
    exchanges: u32,
    ended: Ms,
}

impl ExchangeHistory {
    /// CompleteRequest answers that came on the connection.
    pub fn exchanges(&self) -> u32 {
        self.exchanges
    }

    /// For how long nothing has been asked on it.
    pub fn idle_for(&self, now: Ms) -> Ms {
        now - self.ended
    }

    /// Whether an answer is the open request's own. On a connection that was never used before nothing else can come.
    /// On any other, what is left of an earlier exchange may come first: a copy of its answer, or a part of one.
    /// Guards against an answer that reaches another request's client; it could harm where a server gives the same
    /// answer to two requests on one connection: the second attempt counts as one that may have run.
    pub fn verify(&self, answer: &ReceivedResponse, request: &str) -> Result<(), ResponseMismatch> {
        if answer.names.is_some_and(|named| named != request) {
            return Err(ResponseMismatch::DifferentRequestId);
        }
        if self.exchanges == 0 {
            return Ok(());
        }
        if self.earlier.contains(&digest(answer)) {
            return Err(ResponseMismatch::DuplicateResponse);
        }
        if contains_another_response(answer.body, answer.trailing) {
            return Err(ResponseMismatch::ContainsAnotherResponse);
        }
        Ok(())
    }

    /// The exchange ended with an answer that was its own.
    pub fn record(&mut self, now: Ms, answer: &ReceivedResponse) {
        if self.earlier.len() == MAX_REMEMBERED_RESPONSES {
            self.earlier.pop_front();
        }
        self.earlier.push_back(digest(answer));
        (self.exchanges, self.ended) = (self.exchanges + 1, now);
    }
}

fn digest(answer: &ReceivedResponse) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(&answer.status.to_le_bytes());
    digest.update(answer.body);
    digest.digest()
}

/// Whether another answer begins inside a body and goes on behind it. A body alone may hold anything.
fn contains_another_response(body: &[u8], trailing: &[u8]) -> bool {
    if trailing.is_empty() {
        return false;
    }
    let length = RESPONSE_START.len();
    if body.windows(length).any(|bytes| bytes == RESPONSE_START) {
        return true;
    }
    (1..length.min(body.len() + 1)).any(|inside| {
        let (start, rest) = RESPONSE_START.split_at(inside);
        body.ends_with(start) && (trailing.starts_with(rest) || rest.starts_with(trailing))
    })
}

#[cfg(test)]
mod tests;
