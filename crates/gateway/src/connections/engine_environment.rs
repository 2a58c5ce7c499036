//! Implementation of the engine's environment.

use super::{Connections, UnreportedOutcome};
use crate::node_connection::SendAction;
use crate::poll_key::{poll_key, Source};
use crate::timer::Timer;
use crate::upstream_pool::CloseReason;
use magpiewick::{FinalAnswer, FinalStatus, GossipReport, Ms, Outcome};
use magpiewick_engine::{AttemptRef, Environment, Reason};
use magpiewick_node_protocol::FinalCode;

impl Environment for Connections {
    fn send(&mut self, node: u32, attempts: &[AttemptRef]) {
        let upstream = self.upstream_of_node(node);
        let now = self.now;
        self.coalescer.on_dispatched(attempts.iter().map(|attempt| attempt.request_id));
        for &AttemptRef { request_id, attempt, timeout, .. } in attempts {
            let Some(request) = self.requests.get_mut(request_id) else { continue };
            request.begin_attempt(attempt, node, upstream, now);
            self.timers.set(now + timeout, Timer::AttemptTimeout { request_id, attempt });
        }
        let attempts = attempts.iter().map(|attempt| (attempt.request_id, attempt.attempt));
        match self.upstreams.send_action(upstream) {
            SendAction::Send => self.send_attempts(upstream, attempts),
            SendAction::Wait => self.upstreams.wait_for_greeting(upstream, attempts),
            SendAction::Connect => {
                self.upstreams.wait_for_greeting(upstream, attempts);
                self.connect(upstream);
            }
            SendAction::Reconnect => {
                let waiting = self.upstreams.take_waiting(upstream).into_iter().chain(attempts);
                self.close_upstream(upstream, &CloseReason::Unresponsive);
                self.upstreams.wait_for_greeting(upstream, waiting);
                self.connect(upstream);
            }
        }
    }

    fn next_coalesced(&mut self, attempts: &[AttemptRef]) -> Option<u64> {
        self.coalescer.next_candidate(attempts.iter().map(|attempt| attempt.request_id))
    }

    fn cancel(&mut self, request_id: u64, attempt: u32) {
        if !self.is_in_flight(request_id, attempt) {
            return;
        }
        let was_not_sent = self.upstreams.is_waiting((request_id, attempt));
        self.send_cancel(request_id, attempt);
        let outcome = if was_not_sent { Outcome::ConnectFailed } else { Outcome::Cancelled };
        self.events.outcomes.push_back(UnreportedOutcome { request_id, attempt, outcome });
    }

    fn answer(&mut self, request_id: u64, answer: FinalAnswer, reason: Reason) {
        let (code, retry_after) = match answer.status {
            FinalStatus::Rejected { retry_after } => (FinalCode::Rejected, retry_after),
            FinalStatus::Failed => (FinalCode::Failed, 0.0),
        };
        tracing::debug!(target: "request", request_id, cause = answer.cause.as_str(), "request_unserved");
        let reason = reason.as_str();
        self.finish(request_id, code, retry_after, reason.as_bytes(), reason);
        self.release(request_id);
    }

    fn send_gossip(&mut self, hosts: &[usize], reports: &[(u16, GossipReport)]) {
        if let Some(gossip) = &self.gossip {
            gossip.send(hosts, reports);
        }
    }

    fn check_health(&mut self, node: u32) {
        let upstream = self.upstream_of_node(node);
        if self.upstreams.send_health_check(upstream) {
            self.note_to_write(poll_key(Source::Node, upstream));
        }
    }

    fn poll_endpoints(&mut self) {
        self.watch_endpoints();
    }

    fn schedule_run(&mut self, at: Ms) {
        self.engine_wakes_at = at;
    }
}
