//! What an operator reads of the discovery client: each of its state changes as a log line, and its counters.

use crate::log_limit::LogLimit;
use magpiewick::{Ms, Validity};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Lines at the default level: as many at once, and so many a second for long.
const BURST: u32 = 24;
const PER_SECOND: f64 = 2.0;

/// Why a call to discovery ended without a list that could be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be begun; the system's error.
    Connect(String),
    /// The connection ended or broke before an answer was whole.
    ConnectionLost(String),
    Status(u16),
    /// Bytes that are no HTTP answer.
    MalformedResponse,
    /// A body that is no list.
    MalformedList(String),
    /// Changes that do not follow what is known.
    Gap,
    /// What is known is newer.
    Outdated,
    TooLarge,
}

impl CallError {
    /// The name under which it is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            CallError::Connect(_) => "connect_failed",
            CallError::ConnectionLost(_) => "connection_lost",
            CallError::Status(_) => "status",
            CallError::MalformedResponse => "malformed_response",
            CallError::MalformedList(_) => "malformed_list",
            CallError::Gap => "generation_gap",
            CallError::Outdated => "outdated",
            CallError::TooLarge => "too_large",
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::Connect(error) => write!(f, "no connection: {error}"),
            CallError::ConnectionLost(error) => {
                write!(f, "the connection ended before an answer was whole: {error}")
            }
            CallError::Status(status) => write!(f, "status {status}"),
            CallError::MalformedResponse => write!(f, "the answer is not HTTP"),
            CallError::MalformedList(why) => write!(f, "the body is not a list: {why}"),
            CallError::Gap => write!(f, "changes to a list that is not known"),
            CallError::Outdated => write!(f, "a list older than the known one"),
            CallError::TooLarge => write!(f, "the answer is too large for the memory"),
        }
    }
}

/// What a reload of the configuration file came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    Taken,
    Unchanged,
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
    /// Calls that were ended as their answer was not wanted any more.
    pub dropped: u64,
    /// How often the list could not be relied on any more, and how often it was old while discovery was down.
    pub expired: u64,
    pub service_down: u64,
}

/// Writes the lines and keeps the counters.
pub struct DiscoveryLog {
    limit: LogLimit,
    pub counts: DiscoveryCounts,
    /// The last call failed: the next answer is config at the default level.
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
            failing: true,
        }
    }
}

impl DiscoveryLog {
    /// A call begins, beside some that are late. Routine calls, those that follow an answer, are config at debug level
    /// alone.
    pub fn called(&mut self, now: Ms, call: u64, late: usize, address: SocketAddr, target: &str) {
        self.counts.calls += 1;
        if self.failing || late > 0 {
            limited!(self, now, call, late, %address, target, "endpoint_list_poll_started");
        } else {
            tracing::debug!(call, %address, target, "endpoint_list_poll_started");
        }
    }

    /// The connection that a call goes over stands.
    pub fn connected(&self, call: u64, address: SocketAddr, took_ms: Ms) {
        tracing::debug!(call, %address, took_ms, "discovery_connected");
    }

    /// An answer was taken in; `present`: it came from the address that is labels now.
    pub fn answered(
        &mut self,
        now: Ms,
        call: u64,
        present: bool,
        generation: u64,
        lines: usize,
        took_ms: Ms,
    ) {
        if !present {
            self.counts.answers_of_former += 1;
            limited!(self, now, call, generation, lines, took_ms, "former_discovery_answered");
            return;
        }
        self.counts.answers += 1;
        if std::mem::take(&mut self.failing) || lines > 0 {
            limited!(self, now, call, generation, lines, took_ms, "endpoint_list_received");
        } else {
            tracing::debug!(call, generation, lines, took_ms, "endpoint_list_received");
        }
    }

    /// A call to an address before the last reload ended without a list that was taken in.
    pub fn former_ended(&mut self, now: Ms, call: u64, why: &CallError) {
        limited!(self, now, call, %why, "former_discovery_poll_failed");
    }

    /// A call was ended as its answer is not wanted any more.
    pub fn dropped(&mut self, now: Ms, call: u64) {
        self.counts.dropped += 1;
        limited!(self, now, call, "endpoint_list_poll_cancelled");
    }

    /// A call failed; the next one is due after `next_in_ms`.
    pub fn failed(&mut self, now: Ms, call: u64, why: &CallError, next_in_ms: Ms) {
        *self.counts.failures.entry(why.kind()).or_default() += 1;
        self.failing = true;
        limited!(self, now, call, %why, next_in_ms, "endpoint_list_poll_failed");
    }

    /// The configuration file was read anew.
    pub fn reloaded(&mut self, outcome: Reload) {
        match outcome {
            Reload::Taken => self.counts.reloads_taken += 1,
            Reload::Unchanged => self.counts.reloads_unchanged += 1,
        }
        self.failing = true;
    }

    /// The configuration file could not be used: what was config before stays until it can be.
    pub fn reload_refused(&mut self, now: Ms, why: &str, discovery: SocketAddr, retry_in_ms: Option<Ms>) {
        self.counts.reloads_refused += 1;
        if let Some(suppressed) = self.limit.admit(now) {
            let kept = discovery;
            tracing::error!(suppressed, why, %kept, retry_in_ms, "config_reload_failed");
        }
    }

    /// What the list is worth changed.
    pub fn validity_changed(&mut self, before: Validity, after: Validity, age_ms: Ms) {
        match after {
            Validity::Valid => tracing::info!(?before, age_ms, "endpoint_list_valid"),
            Validity::ServiceDown => {
                self.counts.service_down += 1;
                tracing::warn!(?before, age_ms, "endpoint_list_kept_without_discovery");
            }
            Validity::Expired => {
                self.counts.expired += 1;
                tracing::warn!(?before, age_ms, "endpoint_list_expired");
            }
        }
    }
}
