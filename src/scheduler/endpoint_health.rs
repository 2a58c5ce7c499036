//! Health of nodes: unresponsive and overloaded nodes, overdue and lost attempts, and the cancellation of
//! attempts.

use super::concurrency_window::DelayBounds;
use super::in_flight::InFlightAttempt;
use super::node::Node;
use super::unloaded_latency::{relative_duration, LatencySample};
use super::{Scheduler, TIMER_TOLERANCE};
use crate::types::{Action, Answer, Ms, Outcome};

/// Multiple of a node's latency after which a node that answers nothing is unresponsive, if the response
/// timeout of an attempt has passed as well.
const RESPONSE_TIMEOUT_LATENCIES: f64 = 4.0;
/// Numbers of later answers that make an attempt doubtful: normally, and where attempts are lost.
pub(super) const DOUBTFUL_AFTER: u32 = 8;
const DOUBTFUL_AFTER_WITH_LOSSES: u32 = 4;
/// Fraction of lost attempts above which [`DOUBTFUL_AFTER_WITH_LOSSES`] applies, and smoothing factor of
/// that fraction.
const LOSS_RATE: f64 = 0.05;
/// Multiple of its expected latency after which a doubtful attempt is lost.
const LOST_LATENCIES: f64 = 3.0;
/// Backoff at an unresponsive or overloaded node: the first delay, which doubles up to the longest.
pub(super) const FIRST_BACKOFF: Ms = 50.0;
const LONGEST_BACKOFF: Ms = 1600.0;
/// Factors of the window after an overload or a failed connection, and after attempts without an answer.
const WINDOW_FACTOR_AFTER_REJECTION: f64 = 0.5;
const WINDOW_FACTOR_AFTER_NO_ANSWER: f64 = 0.0;
/// Number of consecutive attempts without an answer after which a node is backed off where other hosts
/// report its answers.
const UNANSWERED_WITH_GOSSIP: u32 = 2;

/// Health of one node as observed from attempts.
pub(super) struct EndpointHealth {
    last_answer_at: Ms,
    unanswered: u32,
    backoff: Ms,
    backoff_until: Ms,
}

impl EndpointHealth {
    /// Creates the state of a node without any attempt.
    pub(super) fn new() -> EndpointHealth {
        EndpointHealth { last_answer_at: 0.0, unanswered: 0, backoff: FIRST_BACKOFF, backoff_until: 0.0 }
    }

    /// Ends the backoff after the node's process has restarted.
    pub(super) fn restart(&mut self, now: Ms) {
        self.backoff_until = now;
    }

    /// Returns whether the most recent attempts at the node failed.
    pub(super) fn is_failing(&self) -> bool {
        self.backoff > FIRST_BACKOFF
    }

    /// Returns whether the backoff forbids sending to the node now.
    pub(super) fn is_backing_off(&self, now: Ms) -> bool {
        now < self.backoff_until
    }

    /// Returns the time since the last answer.
    pub(super) fn answer_age(&self, now: Ms) -> Ms {
        now - self.last_answer_at
    }

    /// Records an answer received by this or another host.
    pub(super) fn note_answer(&mut self, now: Ms) {
        self.last_answer_at = now;
    }

    /// Records a response of the node to an attempt of this host.
    fn note_response(&mut self, now: Ms) {
        (self.last_answer_at, self.unanswered) = (now, 0);
    }

    fn reset_backoff(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }

    fn back_off(&mut self, now: Ms) {
        if !self.is_backing_off(now) {
            self.backoff_until = now + self.backoff;
            self.backoff = (self.backoff * 2.0).min(LONGEST_BACKOFF);
        }
    }
}

/// Estimate of the fraction of attempts whose answers were lost.
pub(super) struct LossEstimate {
    rate: f64,
    doubtful_after: u32,
}

impl LossEstimate {
    /// Creates an estimate without losses.
    pub(super) fn new() -> LossEstimate {
        LossEstimate { rate: 0.0, doubtful_after: DOUBTFUL_AFTER }
    }

    /// Returns the number of later answers that make an attempt doubtful.
    pub(super) fn doubtful_after(&self) -> u32 {
        self.doubtful_after
    }

    fn record(&mut self, is_lost: bool) {
        self.rate += LOSS_RATE * (f64::from(is_lost) - self.rate);
        self.doubtful_after = if self.rate > LOSS_RATE { DOUBTFUL_AFTER_WITH_LOSSES } else { DOUBTFUL_AFTER };
    }
}

/// Returns whether an outcome proves that the node has responded.
fn proves_responsive(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::DeadlineExceeded)
}

/// Successful attempt after its removal from the attempts in flight.
struct SuccessfulAttempt {
    attempt: InFlightAttempt,
    /// Position among the attempts in flight, counted from the oldest.
    position: usize,
    /// True if the window was nearly full before the answer.
    nearly_full: bool,
    latency: Ms,
}

impl Node {
    /// Updates the window by an answer to this or another host, given its queueing delay.
    pub(super) fn on_answer(&mut self, now: Ms, queueing_delay: Ms, nearly_full: bool, bounds: &DelayBounds) {
        let answer_age = self.health.answer_age(now);
        self.window.on_answer(answer_age, queueing_delay, nearly_full, bounds);
    }

    /// Returns whether the node has answered nothing for longer than its oldest attempt may take.
    pub(super) fn is_unresponsive(&self, now: Ms) -> bool {
        let oldest = self.in_flight.oldest();
        oldest.is_some_and(|attempt| {
            self.is_overdue(now, attempt, attempt.sent_at.max(self.health.last_answer_at))
        })
    }

    fn is_overdue(&self, now: Ms, attempt: &InFlightAttempt, since: Ms) -> bool {
        let usual_timeout = RESPONSE_TIMEOUT_LATENCIES * self.window.loaded_latency();
        now - since > attempt.response_timeout.max(usual_timeout)
    }

    /// Returns the latency within which most attempts like this one are answered.
    fn longest_usual_latency(&self, attempt: &InFlightAttempt) -> Ms {
        LOST_LATENCIES * (self.window.queueing_delay() + attempt.unloaded_latency)
    }

    /// Returns whether the attempt's answer is no longer expected.
    fn is_lost(&self, now: Ms, attempt: &InFlightAttempt, unresponsive: bool) -> bool {
        let overdue = unresponsive && self.is_overdue(now, attempt, attempt.sent_at);
        let too_late = || now - attempt.sent_at > self.longest_usual_latency(attempt);
        overdue || self.in_flight.is_doubtful(attempt) && too_late()
    }

    /// Returns the earliest time at which an attempt may be lost.
    pub(super) fn next_overdue_at(&self) -> Option<Ms> {
        let uncancelled = self.in_flight.iter().filter(|attempt| !attempt.cancelled);
        let times = uncancelled.map(|attempt| attempt.sent_at + self.longest_usual_latency(attempt));
        times.min_by(f64::total_cmp)
    }

    /// Returns the position of the oldest attempt that is lost and not yet cancelled.
    fn first_lost(&self, now: Ms) -> Option<usize> {
        let unresponsive = self.is_unresponsive(now);
        self.in_flight
            .iter()
            .position(|attempt| !attempt.cancelled && self.is_lost(now, attempt, unresponsive))
    }

    fn back_off(&mut self, now: Ms, window_factor: f64, floor: f64) {
        self.window.narrow(window_factor, floor);
        self.health.back_off(now);
    }

    /// Records an attempt that ended without an answer at a node that answered nothing else, and backs
    /// off the node, which is then retried with one request at a time. Where other hosts report answers
    /// of the node, a single unanswered attempt is not sufficient for a backoff: this host may send only
    /// one attempt in several seconds.
    fn on_unanswered(&mut self, now: Ms, floor: f64) {
        self.health.unanswered += 1;
        if self.health.unanswered >= UNANSWERED_WITH_GOSSIP || !self.window.has_gossip() {
            self.back_off(now, WINDOW_FACTOR_AFTER_NO_ANSWER, floor);
        }
    }
}

impl Scheduler {
    /// Returns the next attempt to cancel: its client has disconnected, or its answer is lost. Cancelling
    /// lost attempts guards the slots of a window against lost answers and against nodes that accept work
    /// without answering; may cancel valid attempts where single requests take many times the usual work.
    pub(super) fn next_cancellation(&mut self, now: Ms) -> Option<Action> {
        if !self.config.can_cancel {
            return None;
        }
        for index in self.nodes.due_overdue_checks(now + TIMER_TOLERANCE) {
            let Some(node) = self.nodes.get_mut(index) else { continue };
            let Some(position) = node.first_lost(now) else { continue };
            let lost = node.in_flight.mark_cancelled(position);
            let (request, attempt) = (lost.request, lost.attempt);
            self.nodes.refresh(index);
            return Some(Action::CancelAttempt { request, attempt });
        }
        None
    }

    /// Removes an ended attempt from its node, and updates the node's health by the outcome.
    pub(super) fn record_outcome(&mut self, now: Ms, id: usize, index: usize, answer: &Answer) {
        let Some(node) = self.nodes.get_mut(index) else { return };
        let (nearly_full, unresponsive) = (node.is_nearly_full(), node.is_unresponsive(now));
        let was_failing = node.health.is_failing();
        let Some(position) = node.in_flight.position(id) else { return };
        let attempt = node.in_flight.remove(position);
        let was_awaited = attempt.sent_at > 0.0;
        let unanswered = answer.outcome != Outcome::Succeeded && was_awaited;
        self.losses.record(node.in_flight.is_doubtful(&attempt) && unanswered);
        match answer.outcome {
            Outcome::Succeeded => {
                let success = SuccessfulAttempt { attempt, position, nearly_full, latency: answer.latency };
                self.record_success(now, index, &success);
            }
            // A broken connection does not count against the node: a node whose process exited rejects
            // the next connection.
            Outcome::Overloaded | Outcome::ConnectFailed => {
                node.back_off(now, WINDOW_FACTOR_AFTER_REJECTION, self.congested_floor);
            }
            Outcome::TimedOut | Outcome::Cancelled if unresponsive => {
                node.on_unanswered(now, self.congested_floor);
            }
            _ => {}
        }
        self.in_flight -= 1;
        self.after_attempt(now, index, answer.outcome, was_failing);
    }

    /// Updates latencies, window and health by a successful attempt.
    fn record_success(&mut self, now: Ms, index: usize, success: &SuccessfulAttempt) {
        let (id, batch_units) = (success.attempt.request, success.attempt.batch_units);
        let Some(request) = self.requests.get(id).map(|pending| &pending.request) else { return };
        let Some(node) = self.nodes.get_mut(index) else { return };
        node.served_units.add(now, request.units);
        let sample = LatencySample {
            class: request.class,
            latency: success.latency,
            relative_duration: relative_duration(batch_units, self.config.mean_units),
            coalesced: batch_units > request.units,
        };
        let queueing_delay = self.latencies.record(now, &sample);
        if self.config.host_number.is_some() {
            self.gossip.record_answer(index, queueing_delay);
        }
        let bounds = self.latencies.delay_bounds(self.congested_floor);
        node.on_answer(now, queueing_delay, success.nearly_full, &bounds);
        node.in_flight.set_doubtful_after(self.losses.doubtful_after());
        node.health.reset_backoff();
        node.in_flight.overtake_older_than(success.position);
    }

    /// Updates all state that depends on a node's attempts after one of them ended.
    fn after_attempt(&mut self, now: Ms, index: usize, outcome: Outcome, was_failing: bool) {
        let Some(node) = self.nodes.get_mut(index) else { return };
        if proves_responsive(outcome) {
            node.health.note_response(now);
        }
        node.reset_queue_if_idle();
        let shard = node.endpoint.shard;
        let health_changed = was_failing != node.health.is_failing();
        self.nodes.refresh(index);
        self.schedule_expiry_check(Some(shard));
        if health_changed {
            self.wake_shard(shard);
        }
    }
}
