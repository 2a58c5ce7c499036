//! Counters of requests, connections and attempts since the start.

use std::collections::BTreeMap;

/// Counters since the start; the log reports them by these names.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// Requests that were accepted.
    pub requests_received: u64,
    /// Requests that were answered with an endpoint's response.
    pub requests_succeeded: u64,
    /// Requests that were rejected with leave to retry.
    pub requests_rejected: u64,
    /// Requests that failed.
    pub requests_failed: u64,
    /// Requests whose client disconnected.
    pub requests_abandoned: u64,
    /// Requests that were not accepted, by reason.
    pub requests_refused: BTreeMap<&'static str, u64>,
    /// Connections of clients that were closed for new ones.
    pub clients_evicted: u64,
    /// Connections that were closed as buffers took too much memory.
    pub closed_over_memory: u64,
    /// Attempts that were written to an endpoint.
    pub attempts_started: u64,
    /// Connections to endpoints.
    pub upstreams_opened: u64,
    /// Attempts by outcome.
    pub attempt_outcomes: BTreeMap<&'static str, u64>,
}
