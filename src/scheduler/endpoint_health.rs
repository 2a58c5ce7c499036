//! Which nodes are unresponsive or refuse work, which attempts are overdue or lost, and what is cancelled.

use super::concurrency_window::DelayBounds;
use super::in_flight::InFlightAttempt;
use super::node::Node;
use super::unloaded_latency::{relative_duration, LatencySample};
use super::{Scheduler, TIMER_TOLERANCE};
use crate::types::{Action, Answer, Ms, Outcome};

/// A node that answers nothing for the response timeout of an attempt, and for this multiple of its
/// latency, is unresponsive.
const RESPONSE_TIMEOUT_LATENCIES: f64 = 4.0;
/// How many later answers make an attempt doubtful: as a rule, and where attempts prove to be lost.
pub(super) const DOUBTFUL_AFTER: u32 = 8;
const DOUBTFUL_AFTER_WITH_LOSSES: u32 = 4;
/// The part of attempts lost from which the latter holds; it is the smoothing of that part too.
const LOSS_RATE: f64 = 0.05;
/// A doubtful attempt that takes this multiple of its expected latency is lost.
const LOST_LATENCIES: f64 = 3.0;
/// Backoff at an unresponsive or refusing node: the first, doubled up to the longest.
pub(super) const FIRST_BACKOFF: Ms = 50.0;
const LONGEST_BACKOFF: Ms = 1600.0;
/// The part of the window that is left after a refusal, and after attempts without an answer.
const WINDOW_AFTER_REFUSAL: f64 = 0.5;
const WINDOW_AFTER_SILENCE: f64 = 0.0;
/// Attempts without an answer in a row that close a node where other hosts report its answers.
const UNANSWERED_WITH_GOSSIP: u32 = 2;

/// What attempts at one node have shown.
pub(super) struct EndpointHealth {
    last_answer_at: Ms,
    unanswered: u32,
    backoff: Ms,
    backoff_until: Ms,
}

impl EndpointHealth {
    /// A node of which nothing is known.
    pub(super) fn new() -> EndpointHealth {
        EndpointHealth { last_answer_at: 0.0, unanswered: 0, backoff: FIRST_BACKOFF, backoff_until: 0.0 }
    }

    /// The node's process is a new one.
    pub(super) fn restart(&mut self, now: Ms) {
        self.backoff_until = now;
    }

    /// Whether its last attempts failed.
    pub(super) fn is_failing(&self) -> bool {
        self.backoff > FIRST_BACKOFF
    }

    /// Whether nothing is to be sent for now.
    pub(super) fn is_backing_off(&self, now: Ms) -> bool {
        now < self.backoff_until
    }

    /// How long ago the last answer came.
    pub(super) fn answer_age(&self, now: Ms) -> Ms {
        now - self.last_answer_at
    }

    /// An answer came, here or at another host.
    pub(super) fn note_answer(&mut self, now: Ms) {
        self.last_answer_at = now;
    }

    /// The node itself responded to an attempt of this host.
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

/// The part of attempts whose answers were lost.
pub(super) struct LossEstimate {
    rate: f64,
    doubtful_after: u32,
}

impl LossEstimate {
    /// No attempt was lost yet.
    pub(super) fn new() -> LossEstimate {
        LossEstimate { rate: 0.0, doubtful_after: DOUBTFUL_AFTER }
    }

    /// How many later answers make an attempt doubtful.
    pub(super) fn doubtful_after(&self) -> u32 {
        self.doubtful_after
    }

    fn record(&mut self, is_lost: bool) {
        self.rate += LOSS_RATE * (f64::from(is_lost) - self.rate);
        self.doubtful_after = if self.rate > LOSS_RATE { DOUBTFUL_AFTER_WITH_LOSSES } else { DOUBTFUL_AFTER };
    }
}

/// Whether the node has responded, whatever it said.
fn shows_life(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::DeadlineExceeded)
}

/// An attempt that was answered.
struct EndedAttempt {
    attempt: InFlightAttempt,
    /// Where it stood among those in flight, counted from the oldest.
    position: usize,
    /// Whether the window was nearly full until then.
    nearly_full: bool,
    latency: Ms,
}

impl Node {
    /// Learns from an answer, to this host or another: by how much it was over the unloaded latency.
    pub(super) fn on_answer(&mut self, now: Ms, queueing_delay: Ms, nearly_full: bool, bounds: &DelayBounds) {
        let answer_age = self.health.answer_age(now);
        self.window.on_answer(answer_age, queueing_delay, nearly_full, bounds);
    }

    /// Whether it answered nothing for longer than its oldest attempt may take.
    pub(super) fn is_unresponsive(&self, now: Ms) -> bool {
        let oldest = self.in_flight.oldest();
        oldest.is_some_and(|attempt| {
            self.is_overdue(now, attempt, attempt.sent_at.max(self.health.last_answer_at))
        })
    }

    fn is_overdue(&self, now: Ms, attempt: &InFlightAttempt, since: Ms) -> bool {
        let usual = RESPONSE_TIMEOUT_LATENCIES * self.window.loaded_latency();
        now - since > attempt.response_timeout.max(usual)
    }

    /// A time after which most attempts like this are answered.
    fn longest_usual_latency(&self, attempt: &InFlightAttempt) -> Ms {
        LOST_LATENCIES * (self.window.queueing_delay() + attempt.unloaded_latency)
    }

    /// Whether the attempt's answer is not to be expected any more.
    fn is_lost(&self, now: Ms, attempt: &InFlightAttempt, unresponsive: bool) -> bool {
        let overdue = unresponsive && self.is_overdue(now, attempt, attempt.sent_at);
        let too_late = || now - attempt.sent_at > self.longest_usual_latency(attempt);
        overdue || self.in_flight.is_doubtful(attempt) && too_late()
    }

    /// When an attempt may be lost first.
    pub(super) fn next_overdue_at(&self) -> Option<Ms> {
        let open = self.in_flight.iter().filter(|attempt| !attempt.cancelled);
        let times = open.map(|attempt| attempt.sent_at + self.longest_usual_latency(attempt));
        times.min_by(f64::total_cmp)
    }

    /// The position of the oldest attempt that is lost and not cancelled yet.
    fn first_lost(&self, now: Ms) -> Option<usize> {
        let unresponsive = self.is_unresponsive(now);
        self.in_flight
            .iter()
            .position(|attempt| !attempt.cancelled && self.is_lost(now, attempt, unresponsive))
    }

    fn back_off(&mut self, now: Ms, window_part: f64, floor: f64) {
        self.window.narrow(window_part, floor);
        self.health.back_off(now);
    }

    /// An attempt ended without an answer at a node that answered nothing else either: it is tried again
    /// with one request at a time. Where other hosts report its answers, one such attempt is no sign: it
    /// may be this host's only one in seconds.
    fn on_unanswered(&mut self, now: Ms, floor: f64) {
        self.health.unanswered += 1;
        if self.health.unanswered >= UNANSWERED_WITH_GOSSIP || !self.window.has_gossip() {
            self.back_off(now, WINDOW_AFTER_SILENCE, floor);
        }
    }
}

impl Scheduler {
    /// The next attempt to cancel: nobody waits for it, or its answer is lost. The latter guards the slots
    /// of a window against answers that are lost and nodes that accept work and answer nothing; it may hurt
    /// where single requests take many times the usual work.
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

    /// Takes an attempt that ended off its node, and learns from how it ended.
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
                let ended = EndedAttempt { attempt, position, nearly_full, latency: answer.latency };
                self.record_success(now, index, &ended);
            }
            // A connection that broke is no sign of its node: one whose process died refuses the next.
            Outcome::Overloaded | Outcome::ConnectFailed => {
                node.back_off(now, WINDOW_AFTER_REFUSAL, self.congested_floor);
            }
            Outcome::TimedOut | Outcome::Cancelled if unresponsive => {
                node.on_unanswered(now, self.congested_floor);
            }
            _ => {}
        }
        self.in_flight -= 1;
        self.after_attempt(now, index, answer.outcome, was_failing);
    }

    /// Learns from an attempt that succeeded.
    fn record_success(&mut self, now: Ms, index: usize, ended: &EndedAttempt) {
        let (id, batch_units) = (ended.attempt.request, ended.attempt.batch_units);
        let Some(request) = self.requests.get(id).map(|pending| &pending.request) else { return };
        let Some(node) = self.nodes.get_mut(index) else { return };
        node.served_units.add(now, request.units);
        let sample = LatencySample {
            class: request.class,
            latency: ended.latency,
            relative_duration: relative_duration(batch_units, self.config.mean_units),
            coalesced: batch_units > request.units,
        };
        let queueing_delay = self.latencies.record(now, &sample);
        if self.config.host_number.is_some() {
            self.gossip.record_answer(index, queueing_delay);
        }
        let bounds = self.latencies.delay_bounds(self.congested_floor);
        node.on_answer(now, queueing_delay, ended.nearly_full, &bounds);
        node.in_flight.set_doubtful_after(self.losses.doubtful_after());
        node.health.reset_backoff();
        node.in_flight.overtake_older_than(ended.position);
    }

    /// Brings what depends on a node's attempts up to date after one of them ended.
    fn after_attempt(&mut self, now: Ms, index: usize, outcome: Outcome, was_failing: bool) {
        let Some(node) = self.nodes.get_mut(index) else { return };
        if shows_life(outcome) {
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
