//! How many attempts may be in flight at one node: a window that adapts to latency, and the spacing between
//! attempts where hosts share a node.

use super::in_flight::InFlightAttempts;
use crate::types::Ms;

/// The window as it starts, which is its floor too unless the node is congested.
pub(super) const MIN_WINDOW: f64 = 4.0;
const MAX_WINDOW: f64 = 32.0;
/// Parts of the headroom under the shortest latency objective. Past the first the window narrows to one,
/// past the second until the windows of all hosts together are at the floor.
const TIGHT_DELAY: f64 = 0.1;
const CONGESTED_DELAY: f64 = 0.2;
/// By how much a window under one widens besides doubling.
const CONGESTED_STEP: f64 = 0.05;
/// Queueing delays, in unloaded latencies of the fastest class, under which the window widens and over
/// which it narrows.
const WIDENING_DELAY: f64 = 0.5;
const NARROWING_DELAY: f64 = 1.5;
/// The part of the window that one answer takes away.
const NARROWING: f64 = 0.1;
/// How far attempts that are spared spacing may exceed the window where hosts gossip.
const SPARED_WINDOWS: f64 = 2.0;
/// How much one answer moves the queueing delay: at least, and at most where the last one is much older
/// than the scale.
const SMOOTHING: f64 = 0.15;
const MAX_SMOOTHING: f64 = 0.5;
const SMOOTHING_TIME_SCALE: Ms = 1000.0;
/// No more than this is known of the age of an answer.
const MAX_ANSWER_AGE: Ms = 1e6;
/// A turn among competing hosts is up to this many times a host's share of the node's time, at random.
const MAX_TURN: f64 = 2.0;

/// What queueing delays are held against.
#[derive(Clone, Copy)]
pub(super) struct DelayBounds {
    /// The unloaded latency of the fastest class.
    pub unloaded_latency: Ms,
    /// What the shortest latency objective leaves beside it.
    pub headroom: Ms,
    /// The floor of the window at a congested node.
    pub congested_floor: f64,
}

/// The floor of one host's window at a congested node: the windows of all hosts together are at the common
/// floor.
pub(super) fn congested_floor(hosts: f64) -> f64 {
    (MIN_WINDOW / hosts).min(1.0)
}

/// The window of one node.
pub(super) struct ConcurrencyWindow {
    size: f64,
    latency_objective: Ms,
    /// By how much answers were lately over the unloaded latency, smoothed.
    queueing_delay: Ms,
    /// The unloaded latency of the fastest class, as of the last answer.
    unloaded_latency: Ms,
    has_gossip: bool,
    remote_in_flight: f64,
    competing_hosts: f64,
    last_sent_at: Ms,
    /// How long this host's turn takes, as a part of a host's share of the node's time.
    turn: f64,
}

impl ConcurrencyWindow {
    /// A window at its start.
    pub(super) fn new(latency_objective: Ms, has_gossip: bool) -> ConcurrencyWindow {
        ConcurrencyWindow {
            size: MIN_WINDOW,
            latency_objective,
            queueing_delay: 0.0,
            unloaded_latency: 0.0,
            has_gossip,
            remote_in_flight: 0.0,
            competing_hosts: 0.0,
            last_sent_at: 0.0,
            turn: 0.0,
        }
    }

    /// The node's process is a new one.
    pub(super) fn restart(&mut self) {
        self.size = MIN_WINDOW;
    }

    /// Whether other hosts report. From then on the window holds the slots of all hosts and keeps their
    /// common floor.
    pub(super) fn set_gossip(&mut self, has_gossip: bool) {
        self.has_gossip = has_gossip;
        self.size = self.size.max(if has_gossip { MIN_WINDOW } else { 0.0 });
    }

    /// Whether other hosts report.
    pub(super) fn has_gossip(&self) -> bool {
        self.has_gossip
    }

    /// What other hosts have at the node.
    pub(super) fn set_remote_load(&mut self, in_flight: u32, competing_hosts: u32) {
        self.remote_in_flight = f64::from(in_flight);
        self.competing_hosts = f64::from(competing_hosts);
    }

    fn total_in_flight(&self, in_flight: &InFlightAttempts) -> f64 {
        in_flight.occupied_slots() + self.remote_in_flight
    }

    /// Whether all slots but one are taken.
    pub(super) fn is_nearly_full(&self, in_flight: &InFlightAttempts) -> bool {
        self.total_in_flight(in_flight) >= self.size - 1.0
    }

    /// Whether a slot is free.
    pub(super) fn has_capacity(&self, in_flight: &InFlightAttempts, spared: bool) -> bool {
        let windows = if spared && self.has_gossip { SPARED_WINDOWS } else { 1.0 };
        self.total_in_flight(in_flight) < self.size.max(1.0) * windows
    }

    /// The queueing delay to expect of an attempt that is sent now: where hosts report all that is in
    /// flight, no more than that takes. Guards against past congestion that counts until the next answer.
    pub(super) fn expected_queueing_delay(&self, in_flight: &InFlightAttempts) -> Ms {
        if self.has_gossip {
            return self.queueing_delay.min(self.total_in_flight(in_flight) * self.unloaded_latency);
        }
        self.queueing_delay
    }

    /// By how much answers were lately over the unloaded latency.
    pub(super) fn queueing_delay(&self) -> Ms {
        self.queueing_delay
    }

    /// Queueing delay and unloaded latency together.
    pub(super) fn loaded_latency(&self) -> Ms {
        self.queueing_delay + self.unloaded_latency
    }

    /// How soon the node would be done with what is in flight there, to compare nodes.
    pub(super) fn expected_completion(&self, in_flight: &InFlightAttempts) -> Ms {
        self.queueing_delay + self.total_in_flight(in_flight) * self.unloaded_latency
    }

    /// When an attempt must have been sent that an answer with this queueing delay, reported by another
    /// host within `report_delay`, has overtaken.
    pub(super) fn overtaken_since(&self, now: Ms, queueing_delay: Ms, report_delay: Ms) -> Ms {
        now - queueing_delay - self.unloaded_latency - report_delay
    }

    /// Whether the next attempt may follow the last one by now. Spacing stands for a window under one, and
    /// for turns where other hosts' requests wait as well.
    pub(super) fn spacing_has_passed(&self, now: Ms, in_flight: &InFlightAttempts, spared: bool) -> bool {
        if spared && self.spares_spacing(in_flight) || self.needs_no_spacing() {
            return true;
        }
        let turns = if self.has_gossip { self.turn * (self.competing_hosts + 1.0) } else { 1.0 };
        now >= self.last_sent_at + turns * self.loaded_latency() / self.size
    }

    fn spares_spacing(&self, in_flight: &InFlightAttempts) -> bool {
        let expected_latency = || self.expected_queueing_delay(in_flight) + self.unloaded_latency;
        self.has_gossip || expected_latency() <= self.latency_objective
    }

    fn needs_no_spacing(&self) -> bool {
        if self.has_gossip {
            return self.competing_hosts == 0.0;
        }
        self.size >= 1.0
    }

    /// An attempt leaves: the next one waits for its turn, drawn at random (`fraction`, from 0 to 1).
    pub(super) fn on_send(&mut self, now: Ms, fraction: f64) {
        self.last_sent_at = now;
        self.turn = MAX_TURN * fraction;
    }

    /// Whether a request that enters the empty queue has to wait for a turn.
    pub(super) fn has_competitors(&self) -> bool {
        self.competing_hosts > 0.0
    }

    /// A request enters the empty queue while other hosts compete: it waits for its turn from now on.
    pub(super) fn await_turn(&mut self, now: Ms, fraction: f64) {
        self.last_sent_at = self.last_sent_at.max(now);
        self.turn = MAX_TURN * fraction;
    }

    /// Narrows the window to a part of it.
    pub(super) fn narrow(&mut self, part: f64, floor: f64) {
        self.size = (self.size * part).max(floor);
    }

    /// An answer came, `answer_age` after the one before it, so much over the unloaded latency.
    pub(super) fn on_answer(
        &mut self,
        answer_age: Ms,
        queueing_delay: Ms,
        nearly_full: bool,
        bounds: &DelayBounds,
    ) {
        let staleness = 1.0 - (-answer_age.min(MAX_ANSWER_AGE) / SMOOTHING_TIME_SCALE).exp();
        let smoothing = SMOOTHING.max(MAX_SMOOTHING * staleness);
        self.queueing_delay += smoothing * (queueing_delay - self.queueing_delay);
        self.unloaded_latency = bounds.unloaded_latency;
        self.adapt(nearly_full, bounds);
    }

    fn adapt(&mut self, nearly_full: bool, bounds: &DelayBounds) {
        let best = bounds.unloaded_latency;
        if self.queueing_delay > TIGHT_DELAY * bounds.headroom {
            self.narrow(1.0 - NARROWING, self.congestion_floor(bounds));
        } else if self.queueing_delay > NARROWING_DELAY * best && self.size > MIN_WINDOW {
            self.narrow(1.0 - NARROWING, MIN_WINDOW);
        } else if self.size < 1.0 {
            self.size = (2.0 * self.size + CONGESTED_STEP).min(1.0);
        } else if nearly_full && (self.queueing_delay < WIDENING_DELAY * best || self.size < MIN_WINDOW) {
            self.size = (self.size + 1.0 / self.size).min(MAX_WINDOW);
        }
    }

    fn congestion_floor(&self, bounds: &DelayBounds) -> f64 {
        if self.has_gossip {
            return MIN_WINDOW;
        }
        match self.queueing_delay > CONGESTED_DELAY * bounds.headroom {
            true => bounds.congested_floor,
            false => self.size.min(1.0),
        }
    }
}
