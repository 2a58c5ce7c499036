//! Log lines for requests and connections, and their counters by reason.

use crate::attempt_end::AttemptEnd;
use crate::log_limit::LogLimit;
use crate::request_stages::{AnsweredRequest, StepAges};
use magpiewick::{Ms, Outcome, UnservedCause};
use magpiewick_engine::Reason;
use magpiewick_exchange::ResponseMismatch;
use magpiewick_http1::Rejection;
use std::collections::BTreeMap;

/// Limits of the log lines of each kind at the default level: burst and long-term rate per second.
const BURST: u32 = 8;
const PER_SECOND: f64 = 0.5;
/// Limit of the endpoints that are counted by name, so that the counters do not grow with every endpoint that was ever
/// listed.
const MAX_NAMED_ENDPOINTS: usize = 256;

/// Reason why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientCloseReason {
    /// The client closed or reset the connection.
    Disconnected,
    /// The connection was evicted for another client.
    Evicted,
    /// Buffers exceeded the memory limit.
    MemoryLimit,
    /// The client did not read its response.
    ResponseNotRead,
    /// The client sent no complete request in time.
    Idle,
    /// The last response was written, and the client had time to read it.
    Finished,
}

impl ClientCloseReason {
    /// Returns the name used in log lines and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ClientCloseReason::Disconnected => "client_disconnected",
            ClientCloseReason::Evicted => "evicted",
            ClientCloseReason::MemoryLimit => "memory_limit",
            ClientCloseReason::ResponseNotRead => "response_not_read",
            ClientCloseReason::Idle => "idle",
            ClientCloseReason::Finished => "finished",
        }
    }

    /// Returns whether the reason is part of normal operation.
    fn is_ordinary(self) -> bool {
        matches!(self, ClientCloseReason::Disconnected | ClientCloseReason::Finished)
    }
}

/// Reason why a connection to an endpoint was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamCloseReason {
    /// The connection was idle for too long.
    Expired,
    /// The connection was evicted for another connection.
    Evicted,
    /// The endpoint is draining, was removed, or has another address.
    EndpointRemoved,
    /// The endpoint has sent unrequested bytes before, or the last response was a rejection or an error.
    NotReusable,
    /// Bytes arrived while the connection was idle.
    UnsolicitedBytes,
    /// The endpoint closed the connection while it was idle.
    ClosedWhileIdle,
    /// The response requested the close, ended with the connection, was followed by further bytes, or arrived before
    /// its request was written completely.
    AfterResponse,
    /// The attempt on the connection ended without a complete response.
    Attempt(AttemptEnd),
}

impl UpstreamCloseReason {
    /// Returns the name used in log lines and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            UpstreamCloseReason::Expired => "expired",
            UpstreamCloseReason::Evicted => "evicted",
            UpstreamCloseReason::EndpointRemoved => "endpoint_removed",
            UpstreamCloseReason::NotReusable => "not_reusable",
            UpstreamCloseReason::UnsolicitedBytes => "unsolicited_bytes",
            UpstreamCloseReason::ClosedWhileIdle => "closed_while_idle",
            UpstreamCloseReason::AfterResponse => "after_response",
            UpstreamCloseReason::Attempt(end) => end.as_str(),
        }
    }
}

/// Counters of requests and connections since the start of the process, by reason.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestCounts {
    /// Requests that this host answered without an endpoint's response.
    pub not_served: BTreeMap<&'static str, u64>,
    /// The same by what the request was waiting for.
    pub unserved_causes: BTreeMap<&'static str, u64>,
    /// Attempts after the first, by the outcome of the previous attempt.
    pub retried: BTreeMap<&'static str, u64>,
    /// Closed connections of clients.
    pub clients_closed: BTreeMap<&'static str, u64>,
    /// Closed connections to endpoints.
    pub upstreams_closed: BTreeMap<&'static str, u64>,
    /// Number of times that bytes arrived outside an exchange, by endpoint.
    pub unsolicited_bytes: BTreeMap<String, u64>,
    /// Responses that were discarded because they may belong to another request.
    pub mismatched: BTreeMap<&'static str, u64>,
}

/// Labels of a request in the log.
pub(crate) struct RequestLabels<'a> {
    /// Id assigned by the client.
    pub id: &'a str,
    /// Number of attempts started.
    pub attempts: u32,
    /// Time since the request was received.
    pub age: Ms,
    /// Endpoint of the latest attempt.
    pub endpoint: Option<&'a str>,
}

/// Writer of the log lines, with their counters.
pub(crate) struct RequestLog {
    refused: LogLimit,
    late: LogLimit,
    not_served: LogLimit,
    retried: LogLimit,
    disconnected: LogLimit,
    client_closed: LogLimit,
    upstream_closed: LogLimit,
    unsolicited: LogLimit,
    counts: RequestCounts,
}

impl Default for RequestLog {
    fn default() -> RequestLog {
        let limit = || LogLimit::new(BURST, PER_SECOND);
        RequestLog {
            refused: limit(),
            late: limit(),
            not_served: limit(),
            retried: limit(),
            disconnected: limit(),
            client_closed: limit(),
            upstream_closed: limit(),
            unsolicited: limit(),
            counts: RequestCounts::default(),
        }
    }
}

impl RequestLog {
    /// Returns the counters.
    pub(crate) fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// Logs that a client's input was not accepted as a request.
    pub(crate) fn request_refused(&mut self, now: Ms, client: u64, rejection: Rejection) {
        if let Some(suppressed) = self.refused.admit(now) {
            let Rejection { status, reason } = rejection;
            tracing::info!(client, status, reason, suppressed, "request_refused");
        }
    }

    /// Logs that this host answered a request without an endpoint's response.
    pub(crate) fn request_not_served(
        &mut self,
        now: Ms,
        request: &RequestLabels<'_>,
        status: u16,
        reason: Reason,
        cause: UnservedCause,
    ) {
        let (reason, cause) = (reason.as_str(), cause.as_str());
        *self.counts.not_served.entry(reason).or_default() += 1;
        *self.counts.unserved_causes.entry(cause).or_default() += 1;
        if let Some(suppressed) = self.not_served.admit(now) {
            let RequestLabels { id: request_id, attempts, age: elapsed_ms, endpoint } = *request;
            tracing::info!(
                request_id,
                status,
                reason,
                cause,
                attempts,
                elapsed_ms,
                endpoint,
                suppressed,
                "request_not_served"
            );
        }
    }

    /// Logs an answer that was written after its client's timeout.
    pub(crate) fn answer_late(&mut self, now: Ms, client: u64, request: &AnsweredRequest, ages: &StepAges) {
        if let Some(suppressed) = self.late.admit(now) {
            let (request_id, client_timeout_ms) = (request.id.as_str(), request.times.client_timeout);
            tracing::info!(request_id, client, client_timeout_ms, %ages, suppressed, "answer_late");
        }
    }

    /// Logs that a further attempt starts at the endpoint `next`; `outcome`: outcome of the previous attempt.
    pub(crate) fn request_retried(
        &mut self,
        now: Ms,
        request: &RequestLabels<'_>,
        next: &str,
        outcome: Outcome,
    ) {
        let outcome = Reason::After(outcome).as_str();
        *self.counts.retried.entry(outcome).or_default() += 1;
        if let Some(suppressed) = self.retried.admit(now) {
            let RequestLabels { id: request_id, attempts: attempt, age: elapsed_ms, endpoint } = *request;
            tracing::info!(
                request_id,
                attempt,
                elapsed_ms,
                endpoint,
                next,
                outcome,
                suppressed,
                "request_retried"
            );
        }
    }

    /// Logs that a client disconnected while its request was open.
    pub(crate) fn client_disconnected(&mut self, now: Ms, request: &RequestLabels<'_>) {
        if let Some(suppressed) = self.disconnected.admit(now) {
            let RequestLabels { id: request_id, attempts, age: elapsed_ms, endpoint } = *request;
            tracing::info!(request_id, attempts, elapsed_ms, endpoint, suppressed, "client_disconnected");
        }
    }

    /// Logs that accepting connections is paused.
    pub(crate) fn accept_paused(&mut self, now: Ms, error: &std::io::Error) {
        if let Some(suppressed) = self.refused.admit(now) {
            tracing::warn!(%error, suppressed, "accept_paused");
        }
    }

    /// Logs a closed client connection; `open_request`: its request without a response.
    pub(crate) fn client_closed(
        &mut self,
        now: Ms,
        client: u64,
        requests: u32,
        open_request: Option<u64>,
        reason: ClientCloseReason,
    ) {
        let is_ordinary = reason.is_ordinary();
        let reason = reason.as_str();
        *self.counts.clients_closed.entry(reason).or_default() += 1;
        tracing::debug!(client, requests, open_request, reason, "client_connection_closed");
        if is_ordinary {
            return;
        }
        if let Some(suppressed) = self.client_closed.admit(now) {
            tracing::info!(client, requests, open_request, reason, suppressed, "client_connection_closed");
        }
    }

    /// Logs an accepted request; `number` identifies the request in other lines.
    pub(crate) fn request_received(&self, client: u64, request_id: &str, number: u64, requests_before: u32) {
        tracing::debug!(client, request_id, number, requests_before, "request_received");
    }

    /// Logs a response that was queued for a client.
    pub(crate) fn response_queued(&self, client: u64, number: Option<u64>, status: u16, close: bool) {
        tracing::debug!(client, number, status, close, "response_queued");
    }

    /// Logs an attempt that was written to a connection.
    pub(crate) fn attempt_started(
        &self,
        request: &RequestLabels<'_>,
        connection: u64,
        exchanges: u32,
        deadline_ms: Ms,
    ) {
        let RequestLabels { id: request_id, attempts: attempt, endpoint, .. } = *request;
        tracing::debug!(request_id, attempt, endpoint, connection, exchanges, deadline_ms, "attempt_started");
    }

    /// Logs the end of an attempt.
    pub(crate) fn attempt_finished(&self, request: &RequestLabels<'_>, outcome: Outcome, elapsed_ms: Ms) {
        let RequestLabels { id: request_id, attempts: attempt, endpoint, .. } = *request;
        let outcome = Reason::After(outcome).as_str();
        tracing::debug!(request_id, attempt, endpoint, outcome, elapsed_ms, "attempt_finished");
    }

    /// Logs a closed connection to an endpoint.
    pub(crate) fn upstream_closed(
        &mut self,
        now: Ms,
        endpoint: Option<&str>,
        connection: u64,
        exchanges: u32,
        reason: UpstreamCloseReason,
    ) {
        let reason = reason.as_str();
        *self.counts.upstreams_closed.entry(reason).or_default() += 1;
        tracing::debug!(endpoint, connection, exchanges, reason, "upstream_closed");
        if let Some(suppressed) = self.upstream_closed.admit(now) {
            tracing::info!(endpoint, connection, exchanges, reason, suppressed, "upstream_closed");
        }
    }

    /// Logs a response that was discarded because it may belong to a request other than the open one.
    pub(crate) fn response_mismatched(
        &mut self,
        now: Ms,
        endpoint: Option<&str>,
        connection: u64,
        mismatch: ResponseMismatch,
    ) {
        let reason = mismatch.as_str();
        *self.counts.mismatched.entry(reason).or_default() += 1;
        if let Some(suppressed) = self.unsolicited.admit(now) {
            tracing::warn!(endpoint, connection, reason, suppressed, "response_mismatched");
        }
    }

    /// Logs bytes that arrived from an endpoint outside an exchange; `idle_ms`: time since the last exchange on their
    /// connection ended.
    pub(crate) fn unsolicited_bytes_received(
        &mut self,
        now: Ms,
        endpoint: Option<&str>,
        connection: u64,
        bytes: usize,
        idle_ms: Ms,
    ) {
        let name = endpoint.unwrap_or("unlisted");
        let counts = &mut self.counts.unsolicited_bytes;
        if counts.len() < MAX_NAMED_ENDPOINTS || counts.contains_key(name) {
            *counts.entry(name.to_string()).or_default() += 1;
        }
        if let Some(suppressed) = self.unsolicited.admit(now) {
            tracing::warn!(endpoint, connection, bytes, idle_ms, suppressed, "unsolicited_bytes_received");
        }
    }
}
