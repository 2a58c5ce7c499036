//! Log lines of the discovery client's state changes, and its counters.

use crate::log_limit::LogLimit;
use magpiewick::{Ms, Validity};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Lines at the default level: as many at once, and so many a second in the long run.
const BURST: u32 = 24;
const PER_SECOND: f64 = 2.0;

/// Why a poll ended without an endpoint list that could be used.
#[derive(Debug, Error)]
pub(crate) enum PollError {
    /// No connection could be begun.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection failed before a response was complete.
    #[error("the connection ended before an answer was whole: {0}")]
    ConnectionFailed(#[source] std::io::Error),
    /// The connection ended before a response was complete.
    #[error("the connection ended before an answer was whole: closed")]
    ConnectionClosed,
    /// A status that is no success.
    #[error("status {0}")]
    Status(u16),
    /// Bytes that are no HTTP response, or that nobody requested.
    #[error("the answer is not HTTP")]
    MalformedResponse,
    /// A body that is no endpoint list.
    #[error("the body is not a list: {0}")]
    MalformedList(#[source] crate::endpoint_list::ListError),
    /// Changes that do not follow the known list.
    #[error("changes to a list that is not known")]
    GenerationGap,
    /// The known list is newer.
    #[error("a list older than the known one")]
    Outdated,
    /// Buffers take too much memory.
    #[error("the answer is too large for the memory")]
    TooLarge,
}

impl PollError {
    /// The name under which it is counted.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            PollError::Connect(_) => "connect_failed",
            PollError::ConnectionFailed(_) | PollError::ConnectionClosed => "connection_lost",
            PollError::Status(_) => "status",
            PollError::MalformedResponse => "malformed_response",
            PollError::MalformedList(_) => "malformed_list",
            PollError::GenerationGap => "generation_gap",
            PollError::Outdated => "outdated",
            PollError::TooLarge => "too_large",
        }
    }
}

/// What a reload of the configuration file changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReloadResult {
    /// Discovery has another address.
    AddressChanged,
    /// Nothing that is taken in without a restart.
    Unchanged,
}

/// Counters of the discovery client since the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiscoveryCounts {
    /// Polls.
    pub polls: u64,
    /// Lists from the current address.
    pub lists: u64,
    /// Lists from an address before the last reload.
    pub lists_from_former_address: u64,
    /// Lists from any address that were taken in.
    pub lists_applied: u64,
    /// Polls at the current address that failed.
    pub polls_failed: u64,
    /// The same, by kind.
    pub failures: BTreeMap<&'static str, u64>,
    /// Reloads that changed the address.
    pub reloads_applied: u64,
    /// Reloads that changed nothing.
    pub reloads_unchanged: u64,
    /// Reloads that failed.
    pub reloads_failed: u64,
    /// Polls whose answer was not wanted any more.
    pub polls_cancelled: u64,
    /// How often the list expired.
    pub expired: u64,
    /// How often the list was kept in use while discovery was down.
    pub service_down: u64,
}

/// Writes the log lines and keeps the counters.
pub(crate) struct DiscoveryLog {
    limit: LogLimit,
    counts: DiscoveryCounts,
    /// The last poll failed: the next list is logged at the default level.
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
        let limit = LogLimit::new(BURST, PER_SECOND);
        DiscoveryLog { limit, counts: DiscoveryCounts::default(), failing: true }
    }
}

impl DiscoveryLog {
    /// The counters.
    pub(crate) fn counts(&self) -> &DiscoveryCounts {
        &self.counts
    }

    /// A poll begins, beside `late` others that are late. Routine polls are logged at debug level alone.
    pub(crate) fn poll_started(
        &mut self,
        now: Ms,
        poll: u64,
        late: usize,
        address: SocketAddr,
        target: &str,
    ) {
        self.counts.polls += 1;
        if self.failing || late > 0 {
            limited!(self, now, poll, late, %address, target, "endpoint_list_poll_started");
        } else {
            tracing::debug!(poll, %address, target, "endpoint_list_poll_started");
        }
    }

    /// The connection of a poll is established.
    pub(crate) fn connected(&self, poll: u64, address: SocketAddr, elapsed_ms: Ms) {
        tracing::debug!(poll, %address, elapsed_ms, "discovery_connected");
    }

    /// A list from the current address was taken in.
    pub(crate) fn list_received(
        &mut self,
        now: Ms,
        poll: u64,
        generation: u64,
        records: usize,
        elapsed_ms: Ms,
    ) {
        self.counts.lists += 1;
        self.counts.lists_applied += 1;
        if std::mem::take(&mut self.failing) || records > 0 {
            limited!(self, now, poll, generation, records, elapsed_ms, "endpoint_list_received");
        } else {
            tracing::debug!(poll, generation, records, elapsed_ms, "endpoint_list_received");
        }
    }

    /// A list from an address before the last reload was taken in.
    pub(crate) fn former_list_received(
        &mut self,
        now: Ms,
        poll: u64,
        generation: u64,
        records: usize,
        elapsed_ms: Ms,
    ) {
        self.counts.lists_from_former_address += 1;
        self.counts.lists_applied += 1;
        limited!(self, now, poll, generation, records, elapsed_ms, "former_discovery_answered");
    }

    /// A poll at an address before the last reload ended without a list that was taken in.
    pub(crate) fn former_poll_failed(&mut self, now: Ms, poll: u64, error: &PollError) {
        limited!(self, now, poll, %error, "former_discovery_poll_failed");
    }

    /// A poll was ended as its answer is not wanted any more.
    pub(crate) fn poll_cancelled(&mut self, now: Ms, poll: u64) {
        self.counts.polls_cancelled += 1;
        limited!(self, now, poll, "endpoint_list_poll_cancelled");
    }

    /// A poll failed; the next one is due after `next_in_ms`.
    pub(crate) fn poll_failed(&mut self, now: Ms, poll: u64, error: &PollError, next_in_ms: Ms) {
        self.counts.polls_failed += 1;
        *self.counts.failures.entry(error.kind()).or_default() += 1;
        self.failing = true;
        limited!(self, now, poll, %error, next_in_ms, "endpoint_list_poll_failed");
    }

    /// The configuration file was read again.
    pub(crate) fn reloaded(&mut self, result: ReloadResult) {
        match result {
            ReloadResult::AddressChanged => self.counts.reloads_applied += 1,
            ReloadResult::Unchanged => self.counts.reloads_unchanged += 1,
        }
        self.failing = true;
    }

    /// The configuration file could not be used: the current address stays until it can be.
    pub(crate) fn reload_failed(
        &mut self,
        now: Ms,
        error: &crate::config::ConfigError,
        discovery: SocketAddr,
        retry_in_ms: Option<Ms>,
    ) {
        self.counts.reloads_failed += 1;
        if let Some(suppressed) = self.limit.admit(now) {
            tracing::error!(suppressed, %error, %discovery, retry_in_ms, "config_reload_failed");
        }
    }

    /// The validity of the list has changed.
    pub(crate) fn validity_changed(&mut self, before: Validity, after: Validity, age_ms: Ms) {
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
