//! The exchanges of one connection to a server, one at a time.

use crate::Ms;
use std::collections::VecDeque;
use xxhash_rust::xxh3::Xxh3;

/// How every answer begins.
const ANSWER_START: &[u8] = b"HTTP/1.1 ";
/// Answers that are remembered for each connection.
const REMEMBERED: usize = 32;

/// A whole answer as it came on a connection.
#[derive(Clone, Copy, Debug)]
pub struct Arrived<'a> {
    pub status: u16,
    pub body: &'a [u8],
    /// What came behind it by now.
    pub behind: &'a [u8],
    /// The request that the answer itself names, where it does.
    pub names: Option<&'a str>,
}

/// Why an answer may belong to another request than the open one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It names another request.
    NamesAnother,
    /// It is the same as an earlier one on this connection.
    CopyOfEarlier,
    /// The beginning of another answer stands inside its body, and more came behind it: a part of an earlier answer
    /// came first, and was filled up with what came next.
    HoldsAnother,
}

impl Doubt {
    /// The word that stands for it in logs.
    pub fn word(self) -> &'static str {
        match self {
            Doubt::NamesAnother => "names-another-request",
            Doubt::CopyOfEarlier => "copy-of-earlier",
            Doubt::HoldsAnother => "holds-another-answer",
        }
    }
}

/// What is known of the exchanges of one connection.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// Digests of earlier answers, the last one at the end.
    earlier: VecDeque<u64>,
    exchanges: u32,
    ended: Ms,
}

impl Upstream {
    /// Whole answers that came on the connection.
    pub fn exchanges(&self) -> u32 {
        self.exchanges
    }

    /// For how long nothing has been asked on it.
    pub fn rested(&self, now: Ms) -> Ms {
        now - self.ended
    }

    /// Whether an answer is the open request's own. On a connection that was never used before nothing else can come.
    /// On any other, what is left of an earlier exchange may come first: a copy of its answer, or a part of one.
    /// Guards against an answer that reaches another request's client; it could harm where a server gives the same
    /// answer to two requests on one connection: the second attempt counts as one that may have run.
    pub fn judge(&self, answer: &Arrived, request: &str) -> Result<(), Doubt> {
        if answer.names.is_some_and(|named| named != request) {
            return Err(Doubt::NamesAnother);
        }
        if self.exchanges == 0 {
            return Ok(());
        }
        if self.earlier.contains(&digest(answer)) {
            return Err(Doubt::CopyOfEarlier);
        }
        if holds_another(answer.body, answer.behind) {
            return Err(Doubt::HoldsAnother);
        }
        Ok(())
    }

    /// The exchange ended with an answer that was its own.
    pub fn ended(&mut self, now: Ms, answer: &Arrived) {
        if self.earlier.len() == REMEMBERED {
            self.earlier.pop_front();
        }
        self.earlier.push_back(digest(answer));
        (self.exchanges, self.ended) = (self.exchanges + 1, now);
    }
}

fn digest(answer: &Arrived) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(&answer.status.to_le_bytes());
    digest.update(answer.body);
    digest.digest()
}

/// Whether another answer begins inside a body and goes on behind it. A body alone may hold anything.
fn holds_another(body: &[u8], behind: &[u8]) -> bool {
    if behind.is_empty() {
        return false;
    }
    let length = ANSWER_START.len();
    if body.windows(length).any(|bytes| bytes == ANSWER_START) {
        return true;
    }
    (1..length.min(body.len() + 1)).any(|inside| {
        let (start, rest) = ANSWER_START.split_at(inside);
        body.ends_with(start) && (behind.starts_with(rest) || rest.starts_with(behind))
    })
}

#[cfg(test)]
mod tests;
