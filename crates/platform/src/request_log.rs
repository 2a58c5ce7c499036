//! Why requests were refused, sent again or left without an answer, and why connections were closed: a log line for
//! some of each kind, and counters for all.

use crate::log_limit::LogLimit;
use crate::outcome::Sign;
use magpiewick::{Ms, Outcome};
use magpiewick_engine::Reason;
use std::collections::BTreeMap;

/// Lines of each kind at the default level: as many at once, and so many a second for long.
const BURST: u32 = 8;
const PER_SECOND: f64 = 0.5;

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// The client ended or broke it.
    ByClient,
    /// Another client takes its place.
    Evicted,
    /// Too many bytes wait in memory.
    OverMemory,
    /// It did not read its answer.
    Unread,
    /// It sent nothing whole in time.
    Idle,
    /// Its last answer was written and read, or the client was given the time to read it.
    Finished,
}

impl Closed {
    pub fn word(self) -> &'static str {
        match self {
            Closed::ByClient => "by-client",
            Closed::Evicted => "evicted",
            Closed::OverMemory => "over-memory",
            Closed::Unread => "answer-not-read",
            Closed::Idle => "idle",
            Closed::Finished => "finished",
        }
    }
}

/// Why a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamClosed {
    /// It rested for too long.
    Retired,
    /// It made room for another.
    GaveWay,
    /// Its node drains or has gone, or is at another address.
    EndpointLeft,
    /// Its node once sent more than it was asked for, or its last answer was a refusal or an error.
    Distrusted,
    /// Bytes came on it while it rested.
    UnexpectedBytes,
    /// Its node ended it while it rested.
    EndedAtRest,
    /// Its answer said so, ended with it, or came with bytes behind it or before its request was written whole.
    AfterAnswer,
    /// The attempt on it ended without a whole answer.
    Attempt(Sign),
}

impl UpstreamClosed {
    pub fn word(self) -> &'static str {
        match self {
            UpstreamClosed::Retired => "retired",
            UpstreamClosed::GaveWay => "gave-way",
            UpstreamClosed::EndpointLeft => "endpoint-left",
            UpstreamClosed::Distrusted => "not-to-be-reused",
            UpstreamClosed::UnexpectedBytes => "unexpected-bytes",
            UpstreamClosed::EndedAtRest => "ended-at-rest",
            UpstreamClosed::AfterAnswer => "after-answer",
            UpstreamClosed::Attempt(sign) => sign.word(),
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
    /// Connections to nodes that ended.
    pub upstream_closed: BTreeMap<&'static str, u64>,
    /// Bytes that came from a node outside an exchange, by node: how often.
    pub unexpected: BTreeMap<String, u64>,
    /// Answers that were given to nobody, as they may belong to another request.
    pub doubted: BTreeMap<&'static str, u64>,
}

/// Nodes that are counted by name: a list that names new nodes day after day must not make the counters grow.
const MOST_NAMED: usize = 256;

/// Writes the lines and keeps the counters.
pub struct RequestLog {
    refused: LogLimit,
    answered: LogLimit,
    retried: LogLimit,
    gone: LogLimit,
    closed: LogLimit,
    upstream_closed: LogLimit,
    unexpected: LogLimit,
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
            upstream_closed: limit(),
            unexpected: limit(),
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
        let reason = reason.as_str();
        *self.counts.answered.entry(reason).or_default() += 1;
        if let Some(suppressed) = self.answered.admit(now) {
            let (id, attempts, age_ms, node) = (request.id, request.attempts, request.age, request.node);
            tracing::info!(id, status, reason, attempts, age_ms, node, suppressed, "request not served");
        }
    }

    /// A further attempt of a request begins at `to`.
    pub fn retried(&mut self, now: Ms, request: &Named, to: &str, after: Outcome) {
        let after = Reason::After(after).as_str();
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

    /// A client's connection ended; `open`: its request that had no answer yet.
    pub fn closed(&mut self, now: Ms, client: u64, asked: u32, open: Option<u64>, why: Closed) {
        let word = why.word();
        *self.counts.closed.entry(word).or_default() += 1;
        tracing::debug!(client, asked, open, why = word, "client connection ended");
        let ordinary = matches!(why, Closed::ByClient | Closed::Finished);
        if let Some(suppressed) = (!ordinary).then(|| self.closed.admit(now)).flatten() {
            tracing::info!(client, asked, open, why = word, suppressed, "closed a client's connection");
        }
    }

    /// A request was read whole and taken; `request` is its number in other lines.
    pub fn taken(&self, client: u64, id: &str, request_id: u64, in_front: u32) {
        tracing::debug!(client, id, request_id, in_front, "request taken");
    }

    /// An answer was handed to a client's connection.
    pub fn replied(&self, client: u64, request_id: Option<u64>, status: u16, close: bool) {
        tracing::debug!(client, request_id, status, close, "answer queued");
    }

    /// An attempt begins on a connection to a node.
    pub fn attempt_begun(&self, request: &Named, connection: u64, exchanges: u32, deadline: Ms) {
        let (id, attempt, node) = (request.id, request.attempts, request.node);
        tracing::debug!(id, attempt, node, connection, exchanges, deadline_ms = deadline, "attempt written");
    }

    /// An attempt ended.
    pub fn attempt_ended(&self, request: &Named, outcome: Outcome, latency: Ms) {
        let (id, attempt, node) = (request.id, request.attempts, request.node);
        let outcome = Reason::After(outcome).as_str();
        tracing::debug!(id, attempt, node, outcome, latency_ms = latency, "attempt ended");
    }

    /// A connection to a node ended.
    pub fn upstream_closed(
        &mut self,
        now: Ms,
        node: Option<&str>,
        connection: u64,
        exchanges: u32,
        why: UpstreamClosed,
    ) {
        let why = why.word();
        *self.counts.upstream_closed.entry(why).or_default() += 1;
        tracing::debug!(node, connection, exchanges, why, "connection to a node ended");
        if let Some(suppressed) = self.upstream_closed.admit(now) {
            tracing::info!(node, connection, exchanges, why, suppressed, "closed a connection to a node");
        }
    }

    /// An answer came that may belong to another request than the open one, and was given to nobody.
    pub fn doubted(&mut self, now: Ms, node: Option<&str>, connection: u64, doubt: &'static str) {
        *self.counts.doubted.entry(doubt).or_default() += 1;
        if let Some(suppressed) = self.unexpected.admit(now) {
            tracing::warn!(node, connection, doubt, suppressed, "an answer may be another request's");
        }
    }

    /// Bytes came from a node that belong to no exchange, so long after the last one on their connection ended.
    pub fn unexpected_bytes(
        &mut self,
        now: Ms,
        node: Option<&str>,
        connection: u64,
        bytes: usize,
        rested: Ms,
    ) {
        let name = node.unwrap_or("unlisted");
        let counts = &mut self.counts.unexpected;
        if counts.len() < MOST_NAMED || counts.contains_key(name) {
            *counts.entry(name.to_string()).or_default() += 1;
        }
        if let Some(suppressed) = self.unexpected.admit(now) {
            let rested_ms = rested;
            tracing::warn!(node, connection, bytes, rested_ms, suppressed, "unexpected bytes from a node");
        }
    }
}
