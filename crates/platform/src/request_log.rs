//! Log lines of requests and connections, and their counters by reason.

use crate::attempt_end::AttemptEnd;
use crate::log_limit::LogLimit;
use magpiewick::{Ms, Outcome};
use magpiewick_engine::Reason;
use magpiewick_exchange::ResponseMismatch;
use magpiewick_http1::Rejection;
use std::collections::BTreeMap;

/// Lines of each kind at the default level: as many at once, and so many a second in the long run.
const BURST: u32 = 8;
const PER_SECOND: f64 = 0.5;
/// How many endpoints are counted by name, so that the counters do not grow with every endpoint there ever was.
const MAX_NAMED_ENDPOINTS: usize = 256;

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientCloseReason {
    /// The client ended or broke it.
    Disconnected,
    /// It made room for another client.
    Evicted,
    /// Buffers took too much memory.
    MemoryLimit,
    /// The client did not read its response.
    ResponseNotRead,
    /// The client sent nothing complete in time.
    Idle,
    /// Its last response was written, and the client had time to read it.
    Finished,
}

impl ClientCloseReason {
    /// The name under which it is logged and counted.
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

    /// Whether it is part of ordinary service.
    fn is_ordinary(self) -> bool {
        matches!(self, ClientCloseReason::Disconnected | ClientCloseReason::Finished)
    }
}

/// Why a connection to an endpoint was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamCloseReason {
    /// It was idle for too long.
    Expired,
    /// It made room for another connection.
    Evicted,
    /// Its endpoint drains, was removed, or has another address.
    EndpointRemoved,
    /// Its endpoint once sent more than was requested, or its last response was a refusal or an error.
    NotReusable,
    /// Bytes arrived on it while it was idle.
    UnsolicitedBytes,
    /// Its endpoint closed it while it was idle.
    ClosedWhileIdle,
    /// Its response said so, ended with it, came with bytes behind it or before its request was written completely.
    AfterResponse,
    /// The attempt on it ended without a complete response.
    Attempt(AttemptEnd),
}

impl UpstreamCloseReason {
    /// The name under which it is logged and counted.
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

/// Counters of requests and connections since the start, by reason.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestCounts {
    /// Requests that this host answered itself.
    pub not_served: BTreeMap<&'static str, u64>,
    /// Attempts after the first, by the outcome of the one before.
    pub retried: BTreeMap<&'static str, u64>,
    /// Connections of clients that were closed.
    pub clients_closed: BTreeMap<&'static str, u64>,
    /// Connections to endpoints that were closed.
    pub upstreams_closed: BTreeMap<&'static str, u64>,
    /// How often bytes arrived from an endpoint outside an exchange, by endpoint.
    pub unsolicited_bytes: BTreeMap<String, u64>,
    /// Responses that nobody was given, as they may belong to another request.
    pub mismatched: BTreeMap<&'static str, u64>,
}

/// A request as the log names it.
pub(crate) struct RequestLabels<'a> {
    /// The id that the client has given it.
    pub id: &'a str,
    /// How many attempts were started.
    pub attempts: u32,
    /// How long ago it was received.
    pub age: Ms,
    /// The endpoint of the latest attempt.
    pub endpoint: Option<&'a str>,
}

/// Writes the log lines and keeps the counters.
pub(crate) struct RequestLog {
    refused: LogLimit,
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
    /// The counters.
    pub(crate) fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// What a client sent was not accepted as a request.
    pub(crate) fn request_refused(&mut self, now: Ms, client: u64, rejection: Rejection) {
        if let Some(suppressed) = self.refused.admit(now) {
            let Rejection { status, reason } = rejection;
            tracing::info!(client, status, reason, suppressed, "request_refused");
        }
    }

    /// This host gave the response itself.
    pub(crate) fn request_not_served(
        &mut self,
        now: Ms,
        request: &RequestLabels<'_>,
        status: u16,
        reason: Reason,
    ) {
        let reason = reason.as_str();
        *self.counts.not_served.entry(reason).or_default() += 1;
        if let Some(suppressed) = self.not_served.admit(now) {
            let RequestLabels { id: request_id, attempts, age: elapsed_ms, endpoint } = *request;
            tracing::info!(
                request_id,
                status,
                reason,
                attempts,
                elapsed_ms,
                endpoint,
                suppressed,
                "request_not_served"
            );
        }
    }

    /// Another attempt of a request starts at `next`; `outcome`: that of the one before.
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

    /// The client disconnected while its request was open.
    pub(crate) fn client_disconnected(&mut self, now: Ms, request: &RequestLabels<'_>) {
        if let Some(suppressed) = self.disconnected.admit(now) {
            let RequestLabels { id: request_id, attempts, age: elapsed_ms, endpoint } = *request;
            tracing::info!(request_id, attempts, elapsed_ms, endpoint, suppressed, "client_disconnected");
        }
    }

    /// No connection can be accepted, and none is for a while.
    pub(crate) fn accept_paused(&mut self, now: Ms, error: &std::io::Error) {
        if let Some(suppressed) = self.refused.admit(now) {
            tracing::warn!(%error, suppressed, "accept_paused");
        }
    }

    /// A client's connection was closed; `open_request`: its request that had no response yet.
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

    /// A request was accepted; `number` names it in other lines.
    pub(crate) fn request_received(&self, client: u64, request_id: &str, number: u64, requests_before: u32) {
        tracing::debug!(client, request_id, number, requests_before, "request_received");
    }

    /// A response was queued for a client.
    pub(crate) fn response_queued(&self, client: u64, number: Option<u64>, status: u16, close: bool) {
        tracing::debug!(client, number, status, close, "response_queued");
    }

    /// An attempt was written to a connection.
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

    /// An attempt has ended.
    pub(crate) fn attempt_finished(&self, request: &RequestLabels<'_>, outcome: Outcome, elapsed_ms: Ms) {
        let RequestLabels { id: request_id, attempts: attempt, endpoint, .. } = *request;
        let outcome = Reason::After(outcome).as_str();
        tracing::debug!(request_id, attempt, endpoint, outcome, elapsed_ms, "attempt_finished");
    }

    /// A connection to an endpoint was closed.
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

    /// A response may belong to another request than the open one, and nobody was given it.
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

    /// Bytes arrived from an endpoint outside an exchange, so long after the last one on their connection ended.
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
