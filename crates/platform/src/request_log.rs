//! Why requests were refused, sent again or left without an answer, and why connections were closed: a log line for
//! some of each kind, and counters for all.

use crate::log_limit::LogLimit;
use magpiewick::{Ms, Outcome};
use magpiewick_desk::Reason;
use std::collections::BTreeMap;

/// Lines of each kind at the default level: as many at once, and so many a second for long.
const BURST: u32 = 8;
const PER_SECOND: f64 = 0.5;

/// Why a client's connection was closed by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// Another client takes its place.
    Evicted,
    /// Too many bytes wait in memory.
    OverMemory,
    /// It did not read its answer.
    Unread,
    /// It sent nothing whole in time.
    Idle,
}

impl Closed {
    pub fn word(self) -> &'static str {
        match self {
            Closed::Evicted => "evicted",
            Closed::OverMemory => "over-memory",
            Closed::Unread => "answer-not-read",
            Closed::Idle => "idle",
        }
    }
}

/// Counters of requests and connections since the start, by reason.
#[derive(Clone, Debug, Default)]
pub struct RequestCounts {
    /// Answered by the host itself.
    pub answered: BTreeMap<&'static str, u64>,
    /// Attempts after the first, by what the one before met.
    pub retried: BTreeMap<&'static str, u64>,
    pub closed: BTreeMap<&'static str, u64>,
}

/// Writes the lines and keeps the counters.
pub struct RequestLog {
    refused: LogLimit,
    answered: LogLimit,
    retried: LogLimit,
    gone: LogLimit,
    closed: LogLimit,
    pub counts: RequestCounts,
}

/// A request as the log names it.
pub struct Named<'a> {
    pub id: &'a str,
    pub attempts: u32,
    pub age: Ms,
    /// The node that the last attempt went to.
    pub node: Option<&'a str>,
}

impl Default for RequestLog {
    fn default() -> RequestLog {
        let limit = || LogLimit::new(BURST, PER_SECOND);
        RequestLog {
            refused: limit(),
            answered: limit(),
            retried: limit(),
            gone: limit(),
            closed: limit(),
            counts: RequestCounts::default(),
        }
    }
}

impl RequestLog {
    /// What a client sent was refused before it became a request.
    pub fn refused(&mut self, now: Ms, client: u64, status: u16, why: &str) {
        if let Some(suppressed) = self.refused.admit(now) {
            tracing::info!(client, status, why, suppressed, "refused what a client sent");
        }
    }

    /// The host gave the final answer itself.
    pub fn answered(&mut self, now: Ms, request: &Named, status: u16, reason: Reason) {
        let reason = reason.word();
        *self.counts.answered.entry(reason).or_default() += 1;
        if let Some(suppressed) = self.answered.admit(now) {
            let (id, attempts, age_ms, node) = (request.id, request.attempts, request.age, request.node);
            tracing::info!(id, status, reason, attempts, age_ms, node, suppressed, "request not served");
        }
    }

    /// A further attempt of a request begins at `to`.
    pub fn retried(&mut self, now: Ms, request: &Named, to: &str, after: Outcome) {
        let after = Reason::After(after).word();
        *self.counts.retried.entry(after).or_default() += 1;
        if let Some(suppressed) = self.retried.admit(now) {
            let (id, attempt, age_ms, node) = (request.id, request.attempts, request.age, request.node);
            tracing::info!(id, attempt, age_ms, node, to, after, suppressed, "request sent again");
        }
    }

    /// The client closed its connection while its request was open.
    pub fn client_gone(&mut self, now: Ms, request: &Named) {
        if let Some(suppressed) = self.gone.admit(now) {
            let (id, attempts, age_ms, node) = (request.id, request.attempts, request.age, request.node);
            tracing::info!(id, attempts, age_ms, node, suppressed, "client left its request");
        }
    }

    /// No connection could be accepted, and none is for a while.
    pub fn accept_failed(&mut self, now: Ms, error: &std::io::Error) {
        if let Some(suppressed) = self.refused.admit(now) {
            tracing::warn!(%error, suppressed, "no connection can be accepted for now");
        }
    }

    /// The host closed a client's connection.
    pub fn closed(&mut self, now: Ms, client: u64, asked: u32, why: Closed) {
        let why = why.word();
        *self.counts.closed.entry(why).or_default() += 1;
        if let Some(suppressed) = self.closed.admit(now) {
            tracing::info!(client, asked, why, suppressed, "closed a client's connection");
        }
    }
}
