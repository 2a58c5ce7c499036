//! Counters of requests, connections and attempts since the start of the process.

use std::collections::BTreeMap;

/// Counters since the start of the process; the log reports them by these names.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// Number of accepted requests.
    pub requests_received: u64,
    /// Number of requests answered with an endpoint's response.
    pub requests_succeeded: u64,
    /// Number of requests rejected with permission to retry.
    pub requests_rejected: u64,
    /// Number of failed requests.
    pub requests_failed: u64,
    /// Number of requests whose client disconnected.
    pub requests_abandoned: u64,
    /// Number of requests that were not accepted, by reason.
    pub requests_refused: BTreeMap<&'static str, u64>,
    /// Number of times that a client's next request was left to a later turn of the event loop.
    pub requests_deferred: u64,
    /// Number of times that the input of a connection was left to a later turn of the event loop.
    pub reads_deferred: u64,
    /// Duration of the longest turn of the event loop, in milliseconds.
    pub longest_turn_ms: f64,
    /// Longest time for which the input of a connection was ready before it was read, in milliseconds. Connections that
    /// wait for their own earlier requests do not count.
    pub longest_ready_wait_ms: f64,
    /// Number of answers written after their client's timeout.
    pub answers_late: u64,
    /// Number of client connections closed for new ones.
    pub clients_evicted: u64,
    /// Number of connections closed because buffers exceeded the memory limit.
    pub closed_over_memory: u64,
    /// Number of times that reading a response waited for memory.
    pub responses_paused: u64,
    /// Number of attempts written to an endpoint.
    pub attempts_started: u64,
    /// Number of connections opened to endpoints.
    pub upstreams_opened: u64,
    /// Number of attempts by outcome.
    pub attempt_outcomes: BTreeMap<&'static str, u64>,
}
