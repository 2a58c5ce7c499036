//! What an operator reads of the discovery client: each of its state changes as a log line, and its counters.

use crate::log_limit::LogLimit;
use magpiewick::Ms;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Lines at the default level: as many at once, and so many a second for long.
const BURST: u32 = 24;
const PER_SECOND: f64 = 2.0;

/// Why a call to discovery ended without a list that could be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be begun; the system's error.
    Connect(String),
    /// The connection ended or broke before an answer was whole.
    Broke,
    NoAnswerInTime,
    Status(u16),
    /// Bytes that are no HTTP answer.
    Spoilt,
    /// A body that is no list.
    Malformed(String),
    /// Changes that do not follow what is known.
    Gap,
    TooLarge,
}

impl CallFailure {
    /// The name under which it is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            CallFailure::Connect(_) => "connect",
            CallFailure::Broke => "broke",
            CallFailure::NoAnswerInTime => "no-answer-in-time",
            CallFailure::Status(_) => "status",
            CallFailure::Spoilt => "spoilt",
            CallFailure::Malformed(_) => "malformed",
            CallFailure::Gap => "gap",
            CallFailure::TooLarge => "too-large",
        }
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallFailure::Connect(error) => write!(f, "no connection: {error}"),
            CallFailure::Broke => write!(f, "the connection ended before an answer was whole"),
            CallFailure::NoAnswerInTime => write!(f, "no answer in time"),
            CallFailure::Status(status) => write!(f, "status {status}"),
            CallFailure::Spoilt => write!(f, "the answer is not HTTP"),
            CallFailure::Malformed(why) => write!(f, "the body is not a list: {why}"),
            CallFailure::Gap => write!(f, "changes to a list that is not known"),
            CallFailure::TooLarge => write!(f, "the answer is too large for the memory"),
        }
    }
}

/// What a reload of the configuration file came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    Taken,
    Unchanged,
    Refused,
}

/// Counters of the discovery client since the start.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryCounts {
    pub calls: u64,
    pub answers: u64,
    pub answers_of_former: u64,
    pub failures: BTreeMap<&'static str, u64>,
    pub reloads_taken: u64,
    pub reloads_unchanged: u64,
    pub reloads_refused: u64,
}

/// Writes the lines and keeps the counters.
pub struct DiscoveryLog {
    limit: LogLimit,
    pub counts: DiscoveryCounts,
    /// The number of the last call, and when it began.
    call: u64,
    called_at: Ms,
    /// The last call failed: the next answer is told at the default level.
    failing: bool,
}

/// Writes a line at the default level if the limit admits it, and at debug level if not.
macro_rules! limited {
    ($self:expr, $now:expr, $($line:tt)*) => {
        match $self.limit.admit($now) {
            Some(suppressed) => tracing::info!(suppressed, $($line)*),
            None => tracing::debug!($($line)*),
        }
    };
}

impl Default for DiscoveryLog {
    fn default() -> DiscoveryLog {
        DiscoveryLog {
            limit: LogLimit::new(BURST, PER_SECOND),
            counts: DiscoveryCounts::default(),
            call: 0,
            called_at: 0.0,
            failing: true,
        }
    }
}

impl DiscoveryLog {
    /// A call begins. Routine calls, those that follow an answer, are told at debug level alone.
    pub fn called(&mut self, now: Ms, address: SocketAddr, target: &str) {
        self.counts.calls += 1;
        (self.call, self.called_at) = (self.call + 1, now);
        let call = self.call;
        if self.failing {
            limited!(self, now, call, %address, target, "discovery call");
        } else {
            tracing::debug!(call, %address, target, "discovery call");
        }
    }

    /// The connection that a call goes over stands.
    pub fn connected(&self, now: Ms, address: SocketAddr) {
        tracing::debug!(call = self.call, %address, took_ms = now - self.called_at, "discovery connected");
    }

    /// An answer was taken in; `news` says whether it brought any line.
    pub fn answered(&mut self, now: Ms, generation: u64, lines: usize) {
        self.counts.answers += 1;
        let (call, took_ms) = (self.call, now - self.called_at);
        if std::mem::take(&mut self.failing) || lines > 0 {
            limited!(self, now, call, generation, lines, took_ms, "discovery answered");
        } else {
            tracing::debug!(call, generation, lines, took_ms, "discovery answered");
        }
    }

    /// A call to the address before the last reload was answered.
    pub fn former_answered(&mut self, now: Ms, generation: u64, lines: usize) {
        self.counts.answers_of_former += 1;
        limited!(self, now, generation, lines, "the former discovery answered");
    }

    /// A call to the address before the last reload ended without a list.
    pub fn former_ended(&mut self, now: Ms, why: &str) {
        limited!(self, now, why, "the call to the former discovery ended");
    }

    /// A call failed; the next one is due after `next_in`.
    pub fn failed(&mut self, now: Ms, why: &CallFailure, next_in: Option<Ms>) {
        *self.counts.failures.entry(why.kind()).or_default() += 1;
        self.failing = true;
        let (call, took_ms) = (self.call, now - self.called_at);
        limited!(self, now, call, %why, took_ms, next_in_ms = next_in, "discovery call failed");
    }

    /// The configuration file was read anew.
    pub fn reloaded(&mut self, outcome: Reload) {
        let counts = &mut self.counts;
        let count = match outcome {
            Reload::Taken => &mut counts.reloads_taken,
            Reload::Unchanged => &mut counts.reloads_unchanged,
            Reload::Refused => &mut counts.reloads_refused,
        };
        *count += 1;
        self.failing = true;
    }
}
