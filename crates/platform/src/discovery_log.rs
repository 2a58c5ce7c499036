//! Log lines for state changes of the discovery client, and its counters.

use crate::log_limit::LogLimit;
use magpiewick::{Ms, Validity};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Limits of the log lines at the default level: burst and long-term rate per second.
const BURST: u32 = 24;
const PER_SECOND: f64 = 2.0;

/// Reason why a poll ended without a usable endpoint list.
#[derive(Debug, Error)]
pub(crate) enum PollError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection failed before a response was complete.
    #[error("the connection failed before the response was complete: {0}")]
    ConnectionFailed(#[source] std::io::Error),
    /// The connection was closed before a response was complete.
    #[error("the connection was closed before the response was complete")]
    ConnectionClosed,
    /// The response has an error status.
    #[error("unexpected HTTP status {0}")]
    Status(u16),
    /// The bytes received are not an HTTP response, or were not requested.
    #[error("the response is not valid HTTP, or was not requested")]
    MalformedResponse,
    /// The body is not an endpoint list.
    #[error("the body is not an endpoint list: {0}")]
    MalformedList(#[source] crate::endpoint_list::ListError),
    /// The changes do not follow the generation of the current list.
    #[error("the changes do not follow the current list")]
    GenerationGap,
    /// The current list is newer.
    #[error("the list is older than the current one")]
    Outdated,
    /// The buffers exceed the memory limit.
    #[error("the buffers exceed the memory limit")]
    TooLarge,
}

impl PollError {
    /// Returns the name used in metrics.
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

/// Result of a successful reload of the configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReloadResult {
    /// The address of discovery changed.
    AddressChanged,
    /// No setting changed that can be applied without a restart.
    Unchanged,
}

/// Counters of the discovery client since the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiscoveryCounts {
    /// Number of polls.
    pub polls: u64,
    /// Number of lists from the current address.
    pub lists: u64,
    /// Number of lists from an address before the last reload.
    pub lists_from_former_address: u64,
    /// Number of lists from any address that were applied.
    pub lists_applied: u64,
    /// Number of failed polls at the current address.
    pub polls_failed: u64,
    /// Number of failed polls at the current address by kind.
    pub failures: BTreeMap<&'static str, u64>,
    /// Number of reloads that changed the address.
    pub reloads_applied: u64,
    /// Number of reloads that changed no address.
    pub reloads_unchanged: u64,
    /// Number of failed reloads.
    pub reloads_failed: u64,
    /// Number of cancelled polls.
    pub polls_cancelled: u64,
    /// Number of times that the list expired.
    pub expired: u64,
    /// Number of times that the list stayed in use while discovery was down.
    pub service_down: u64,
}

/// Writer of the log lines, with their counters.
pub(crate) struct DiscoveryLog {
    limit: LogLimit,
    counts: DiscoveryCounts,
    /// True if the last poll failed; the next list is then logged at the default level.
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
    /// Returns the counters.
    pub(crate) fn counts(&self) -> &DiscoveryCounts {
        &self.counts
    }

    /// Records the start of a poll while `late` other polls are overdue. Routine polls are logged only at debug level.
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

    /// Records that the connection of a poll is established.
    pub(crate) fn connected(&self, poll: u64, address: SocketAddr, elapsed_ms: Ms) {
        tracing::debug!(poll, %address, elapsed_ms, "discovery_connected");
    }

    /// Records a list from the current address that was applied.
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

    /// Records a list from an address before the last reload that was applied.
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

    /// Records that a poll at an address before the last reload ended without a list that was applied.
    pub(crate) fn former_poll_failed(&mut self, now: Ms, poll: u64, error: &PollError) {
        limited!(self, now, poll, %error, "former_discovery_poll_failed");
    }

    /// Records that a poll was cancelled because its response is no longer needed.
    pub(crate) fn poll_cancelled(&mut self, now: Ms, poll: u64) {
        self.counts.polls_cancelled += 1;
        limited!(self, now, poll, "endpoint_list_poll_cancelled");
    }

    /// Records a failed poll; the next one is due after `next_in_ms`.
    pub(crate) fn poll_failed(&mut self, now: Ms, poll: u64, error: &PollError, next_in_ms: Ms) {
        self.counts.polls_failed += 1;
        *self.counts.failures.entry(error.kind()).or_default() += 1;
        self.failing = true;
        limited!(self, now, poll, %error, next_in_ms, "endpoint_list_poll_failed");
    }

    /// Records that the configuration file was read again.
    pub(crate) fn reloaded(&mut self, result: ReloadResult) {
        match result {
            ReloadResult::AddressChanged => self.counts.reloads_applied += 1,
            ReloadResult::Unchanged => self.counts.reloads_unchanged += 1,
        }
        self.failing = true;
    }

    /// Records that the configuration file could not be used: the current address is kept until a reload succeeds.
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

    /// Records a change of the validity of the list.
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
