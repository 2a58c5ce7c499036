//! Attempts from their start to their outcome, and the implementation of the engine's environment.

use super::Proxy;
use crate::attempt_end::AttemptEnd;
use crate::reactor::Timer;
use crate::request_registry::{InFlightAttempt, OpenRequest};
use crate::upstream_connection::AssignedAttempt;
use magpiewick::{Answer, FinalAnswer, FinalStatus, Ms, Outcome};
use magpiewick_engine::{AttemptRef, Environment, Reason};
use magpiewick_http1::{self as http1, OutgoingResponse};

impl Proxy {
    /// Starts an attempt on a usable idle connection or on a new one.
    fn start_attempt(&mut self, endpoint: u32, attempt_ref: &AttemptRef) {
        let now = self.reactor.now();
        let address = self.endpoints.address(endpoint);
        let connection = match (self.take_idle_upstream(endpoint), address) {
            (Some(key), _) => Ok(key),
            (None, Some(address)) => self.connect_upstream(endpoint, address),
            (None, None) => Err(Outcome::ConnectFailed),
        };
        self.log_retry(endpoint, attempt_ref.request_id);
        let attempt = InFlightAttempt {
            attempt: attempt_ref.attempt,
            connection: connection.as_ref().ok().copied(),
            started_at: now,
        };
        if !self.requests.on_attempt_started(attempt_ref.request_id, endpoint, attempt) {
            return;
        }
        let key = match connection {
            Ok(key) => key,
            Err(outcome) => return self.end_attempt(attempt_ref.request_id, outcome, None, None),
        };
        let deadline = now + attempt_ref.timeout;
        let assigned =
            AssignedAttempt { request_id: attempt_ref.request_id, deadline, send_by: attempt_ref.send_by };
        self.upstreams.update(key, |upstream| upstream.assign(assigned));
        self.reactor.set_timer(deadline, Timer::AttemptTimeout(attempt_ref.request_id, attempt_ref.attempt));
        self.flush_upstream(key);
    }

    fn log_retry(&mut self, endpoint: u32, number: u64) {
        let now = self.reactor.now();
        let Some(request) = self.requests.get(number) else { return };
        let Some(outcome) = request.latest().and_then(|latest| latest.outcome) else { return };
        let next = self.endpoints.id(endpoint).unwrap_or_default();
        self.log.request_retried(now, &request.labels(&self.endpoints, now), next, outcome);
    }

    /// Ends the attempt in flight of a request, and queues its outcome for the engine.
    pub(super) fn end_attempt(
        &mut self,
        number: u64,
        outcome: Outcome,
        written_at: Option<Ms>,
        response: Option<&http1::Response>,
    ) {
        let now = self.reactor.now();
        let Some(attempt) = self.requests.on_attempt_finished(number, outcome) else { return };
        // Time that the endpoint took, without the time to establish a connection.
        let latency = (now - written_at.unwrap_or(attempt.started_at)).max(0.0);
        if let Some(request) = self.requests.get(number) {
            self.log.attempt_finished(&request.labels(&self.endpoints, now), outcome, latency);
        }
        self.count_attempt_outcome(outcome);
        let report = |name| response.and_then(|response| load_report(response, name));
        let answer = Answer {
            outcome,
            latency,
            request_finished: outcome == Outcome::Succeeded,
            volume_usage: report("x-iops-used").map(|percent| percent / 100.0),
            remote_units: report("x-rho").unwrap_or(0.0),
        };
        self.pending_outcomes.push((number, answer));
    }

    /// Withdraws an attempt that is not written completely when its request has ended: the endpoint has not started the
    /// request, and must not start it. A withdrawal cancels no work, and requires no permission to cancel.
    pub(super) fn withdraw_if_unwritten(&mut self, number: u64) {
        let in_flight = self.requests.get(number).and_then(OpenRequest::in_flight);
        let Some(key) = in_flight.and_then(|attempt| attempt.connection) else { return };
        if self.upstreams.get(key).is_some_and(|upstream| !upstream.is_written()) {
            self.fail_upstream(key, AttemptEnd::Withdrawn);
        }
    }

    /// Ends an attempt in flight because its time is over or its result is no longer needed.
    pub(crate) fn end_attempt_early(&mut self, number: u64, attempt: u32, end: AttemptEnd) {
        let in_flight = self.requests.get(number).and_then(OpenRequest::in_flight);
        let matching = in_flight.filter(|in_flight| in_flight.attempt == attempt);
        if let Some(key) = matching.and_then(|in_flight| in_flight.connection) {
            self.fail_upstream(key, end);
        }
    }
}

/// Returns a load value that an endpoint reports in a header.
fn load_report(response: &http1::Response, name: &str) -> Option<f64> {
    let number: f64 = response.header(name)?.trim().parse().ok()?;
    Some(number).filter(|number| number.is_finite() && *number >= 0.0)
}

impl Environment for Proxy {
    fn send(&mut self, endpoint: u32, attempts: &[AttemptRef]) {
        for attempt_ref in attempts {
            self.start_attempt(endpoint, attempt_ref);
        }
    }

    fn cancel(&mut self, request: u64, attempt: u32) {
        self.end_attempt_early(request, attempt, AttemptEnd::Cancelled);
    }

    fn answer(&mut self, request: u64, answer: FinalAnswer, reason: Reason) {
        let now = self.reactor.now();
        let Some(open) = self.requests.get(request) else { return };
        let FinalAnswer { status, cause } = answer;
        let http_status = if matches!(status, FinalStatus::Failed) { 502 } else { 503 };
        self.log.request_not_served(now, &open.labels(&self.endpoints, now), http_status, reason, cause);
        let Some(client) = self.end_request(request) else { return };
        let retry_after = match status {
            FinalStatus::Rejected { retry_after } => {
                self.metrics.requests_rejected += 1;
                retry_after
            }
            FinalStatus::Failed => {
                self.metrics.requests_failed += 1;
                0.0
            }
        };
        let retry_after = format!("{:.3}", retry_after / 1000.0);
        let headers: &[(&str, &[u8])] = match retry_after.as_str() {
            "0.000" => &[],
            seconds => &[("Retry-After", seconds.as_bytes())],
        };
        let body = format!("{}\n", reason.as_str());
        let response = OutgoingResponse { status: http_status, headers, body: body.as_bytes(), close: false };
        self.send_response(client, &response);
    }

    /// The scheduler assesses endpoints by their responses only.
    fn check_health(&mut self, _: u32) {}

    /// The endpoint client decides when the list is polled.
    fn poll_endpoints(&mut self) {}

    fn schedule_run(&mut self, at: Ms) {
        self.engine_wake_at = at;
    }
}
