//! Attempts from their start to their outcome, and what the engine commands.

use super::Proxy;
use crate::attempt_end::AttemptEnd;
use crate::reactor::Timer;
use crate::request_registry::{InFlightAttempt, OpenRequest};
use crate::upstream_connection::AssignedAttempt;
use magpiewick::{Answer, FinalStatus, Ms, Outcome};
use magpiewick_engine::{AttemptRef, Environment, Reason};
use magpiewick_http1::{self as http1, OutgoingResponse};

impl Proxy {
    /// Starts an attempt on an idle connection that is good, or on a new one.
    fn start_attempt(&mut self, endpoint: u32, part: &AttemptRef) {
        let now = self.reactor.now();
        let address = self.endpoints.address(endpoint);
        let connection = match (self.take_idle_upstream(endpoint), address) {
            (Some(key), _) => Ok(key),
            (None, Some(address)) => self.connect_upstream(endpoint, address),
            (None, None) => Err(Outcome::ConnectFailed),
        };
        self.log_retry(endpoint, part.request_id);
        let attempt = InFlightAttempt {
            attempt: part.attempt,
            connection: connection.as_ref().ok().copied(),
            started_at: now,
        };
        if !self.requests.on_attempt_started(part.request_id, endpoint, attempt) {
            return;
        }
        let key = match connection {
            Ok(key) => key,
            Err(outcome) => return self.end_attempt(part.request_id, outcome, None, None),
        };
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let deadline = now + part.timeout;
        upstream.assign(AssignedAttempt { request_id: part.request_id, deadline, send_by: part.send_by });
        self.reactor.set_timer(deadline, Timer::AttemptTimeout(part.request_id, part.attempt));
        self.flush_upstream(key);
    }

    fn log_retry(&mut self, endpoint: u32, number: u64) {
        let now = self.reactor.now();
        let Some(request) = self.requests.get(number) else { return };
        let Some(outcome) = request.latest().and_then(|latest| latest.outcome) else { return };
        let next = self.endpoints.id(endpoint).unwrap_or_default();
        self.log.request_retried(now, &request.labels(&self.endpoints, now), next, outcome);
    }

    /// Ends the attempt of a request that is in flight: the engine has to be told its outcome.
    pub(super) fn end_attempt(
        &mut self,
        number: u64,
        outcome: Outcome,
        written_at: Option<Ms>,
        response: Option<&http1::Response>,
    ) {
        let now = self.reactor.now();
        let Some(attempt) = self.requests.on_attempt_finished(number, outcome) else { return };
        // What the endpoint took: the time that a connection needed to be established is not its own.
        let latency = (now - written_at.unwrap_or(attempt.started_at)).max(0.0);
        if let Some(request) = self.requests.get(number) {
            self.log.attempt_finished(&request.labels(&self.endpoints, now), outcome, latency);
        }
        self.log_attempt_count(outcome);
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

    /// Withdraws an attempt that is not written completely, as its request has ended: its endpoint has not begun it,
    /// and must not. That cancels no work, and needs no permission to cancel.
    pub(super) fn withdraw_if_unwritten(&mut self, number: u64) {
        let in_flight = self.requests.get(number).and_then(OpenRequest::in_flight);
        let Some(key) = in_flight.and_then(|attempt| attempt.connection) else { return };
        if self.upstreams.get(key).is_some_and(|upstream| !upstream.is_written()) {
            self.fail_upstream(key, AttemptEnd::Withdrawn);
        }
    }

    /// Ends an attempt that is in flight, as its time is over or nobody waits for it.
    pub(crate) fn end_attempt_early(&mut self, number: u64, attempt: u32, end: AttemptEnd) {
        let in_flight = self.requests.get(number).and_then(OpenRequest::in_flight);
        let same = in_flight.filter(|in_flight| in_flight.attempt == attempt);
        if let Some(key) = same.and_then(|in_flight| in_flight.connection) {
            self.fail_upstream(key, end);
        }
    }
}

/// A number that an endpoint reports of its load.
fn load_report(response: &http1::Response, name: &str) -> Option<f64> {
    let number: f64 = response.header(name)?.trim().parse().ok()?;
    Some(number).filter(|number| number.is_finite() && *number >= 0.0)
}

impl Environment for Proxy {
    fn send(&mut self, endpoint: u32, parts: &[AttemptRef]) {
        for part in parts {
            self.start_attempt(endpoint, part);
        }
    }

    fn cancel(&mut self, request: u64, attempt: u32) {
        self.end_attempt_early(request, attempt, AttemptEnd::Cancelled);
    }

    fn answer(&mut self, request: u64, status: FinalStatus, reason: Reason) {
        let now = self.reactor.now();
        let Some(open) = self.requests.get(request) else { return };
        let http_status = if matches!(status, FinalStatus::Failed) { 502 } else { 503 };
        self.log.request_not_served(now, &open.labels(&self.endpoints, now), http_status, reason);
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

    /// The scheduler judges endpoints by their responses alone.
    fn check_health(&mut self, _: u32) {}

    /// The endpoint client decides when the list is polled.
    fn poll_endpoints(&mut self) {}

    fn schedule_run(&mut self, at: Ms) {
        self.engine_wake_at = at;
    }
}
