//! Concurrency window of one node, which adapts to latency, and the spacing between attempts where hosts
//! share a node.

use super::in_flight::InFlightAttempts;
use crate::types::Ms;

/// Initial size of the window, which is also its floor unless the node is congested.
pub(super) const MIN_WINDOW: f64 = 4.0;
const MAX_WINDOW: f64 = 32.0;
/// Fractions of the headroom under the shortest latency objective. A queueing delay above the first
/// narrows the window down to one, a delay above the second until the windows of all hosts together are
/// at the floor.
const HIGH_DELAY: f64 = 0.1;
const CONGESTED_DELAY: f64 = 0.2;
/// Step by which a window under one widens in addition to doubling.
const CONGESTED_STEP: f64 = 0.05;
/// Queueing delays, in unloaded latencies of the fastest class, below which the window widens and above
/// which it narrows.
const WIDENING_DELAY: f64 = 0.5;
const NARROWING_DELAY: f64 = 1.5;
/// Fraction of the window that one answer removes.
const NARROWING_FRACTION: f64 = 0.1;
/// Multiple of the window that attempts exempt from spacing may fill where hosts gossip.
const EXEMPT_WINDOW_FACTOR: f64 = 2.0;
/// Smoothing factors of the queueing delay for one answer: the least, and the greatest, which is
/// approached where the last answer is much older than the time scale.
const SMOOTHING: f64 = 0.15;
const MAX_SMOOTHING: f64 = 0.5;
const SMOOTHING_TIME_SCALE: Ms = 1000.0;
/// Largest time since the previous answer that the smoothing distinguishes.
const MAX_ANSWER_AGE: Ms = 1e6;
/// Largest spacing among competing hosts, in multiples of a host's share of the node's time; each spacing
/// is drawn at random below this bound.
const MAX_SPACING_FACTOR: f64 = 2.0;

/// Reference values for queueing delays.
#[derive(Clone, Copy)]
pub(super) struct DelayBounds {
    /// Unloaded latency of the fastest class.
    pub unloaded_latency: Ms,
    /// Part of the shortest latency objective that the unloaded latency leaves free.
    pub headroom: Ms,
    /// Floor of the window at a congested node.
    pub congested_floor: f64,
}

/// Returns the floor of one host's window at a congested node: the windows of all hosts together are at
/// the common floor.
pub(super) fn congested_floor(hosts: f64) -> f64 {
    (MIN_WINDOW / hosts).min(1.0)
}

/// Concurrency window of one node.
pub(super) struct ConcurrencyWindow {
    size: f64,
    latency_objective: Ms,
    /// Smoothed excess of recent latencies over the unloaded latency.
    queueing_delay: Ms,
    /// Unloaded latency of the fastest class at the time of the last answer.
    unloaded_latency: Ms,
    has_gossip: bool,
    remote_in_flight: f64,
    competing_hosts: f64,
    last_sent_at: Ms,
    /// Spacing after the last attempt, as a multiple of this host's share of the node's time.
    spacing_factor: f64,
}

impl ConcurrencyWindow {
    /// Creates a window of the initial size.
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
            spacing_factor: 0.0,
        }
    }

    /// Resets the size after the node's process has restarted.
    pub(super) fn restart(&mut self) {
        self.size = MIN_WINDOW;
    }

    /// Sets whether other hosts report. While other hosts report, the window counts the slots of all
    /// hosts and keeps their common floor.
    pub(super) fn set_gossip(&mut self, has_gossip: bool) {
        self.has_gossip = has_gossip;
        self.size = self.size.max(if has_gossip { MIN_WINDOW } else { 0.0 });
    }

    /// Returns whether other hosts report.
    pub(super) fn has_gossip(&self) -> bool {
        self.has_gossip
    }

    /// Sets the load of other hosts at the node.
    pub(super) fn set_remote_load(&mut self, in_flight: u32, competing_hosts: u32) {
        self.remote_in_flight = f64::from(in_flight);
        self.competing_hosts = f64::from(competing_hosts);
    }

    fn total_in_flight(&self, in_flight: &InFlightAttempts) -> f64 {
        in_flight.occupied_slots() + self.remote_in_flight
    }

    /// Returns whether at most one slot is free.
    pub(super) fn is_nearly_full(&self, in_flight: &InFlightAttempts) -> bool {
        self.total_in_flight(in_flight) >= self.size - 1.0
    }

    /// Returns whether a slot is free for an attempt, which may be exempt from spacing.
    pub(super) fn has_capacity(&self, in_flight: &InFlightAttempts, exempt: bool) -> bool {
        let windows = if exempt && self.has_gossip { EXEMPT_WINDOW_FACTOR } else { 1.0 };
        self.total_in_flight(in_flight) < self.size.max(1.0) * windows
    }

    /// Returns the expected queueing delay of an attempt that is sent now. Where hosts report all
    /// attempts in flight, the time to complete these attempts is an upper bound, which guards against
    /// the effect of past congestion until the next answer.
    pub(super) fn expected_queueing_delay(&self, in_flight: &InFlightAttempts) -> Ms {
        if self.has_gossip {
            return self.queueing_delay.min(self.total_in_flight(in_flight) * self.unloaded_latency);
        }
        self.queueing_delay
    }

    /// Returns the smoothed excess of recent latencies over the unloaded latency.
    pub(super) fn queueing_delay(&self) -> Ms {
        self.queueing_delay
    }

    /// Returns the sum of queueing delay and unloaded latency.
    pub(super) fn loaded_latency(&self) -> Ms {
        self.queueing_delay + self.unloaded_latency
    }

    /// Returns the expected time until the node has completed its attempts in flight, for comparing
    /// nodes.
    pub(super) fn expected_completion(&self, in_flight: &InFlightAttempts) -> Ms {
        self.queueing_delay + self.total_in_flight(in_flight) * self.unloaded_latency
    }

    /// Returns the send time before which attempts are overtaken by an answer with this queueing delay
    /// that another host reported within `report_delay`.
    pub(super) fn overtaken_since(&self, now: Ms, queueing_delay: Ms, report_delay: Ms) -> Ms {
        now - queueing_delay - self.unloaded_latency - report_delay
    }

    /// Returns whether enough time has passed since the last attempt to send the next one. Spacing
    /// emulates a window under one, and shares the node's time where requests of other hosts wait as
    /// well.
    pub(super) fn spacing_has_passed(&self, now: Ms, in_flight: &InFlightAttempts, exempt: bool) -> bool {
        if exempt && self.exempts_from_spacing(in_flight) || self.needs_no_spacing() {
            return true;
        }
        let spacing = if self.has_gossip { self.spacing_factor * (self.competing_hosts + 1.0) } else { 1.0 };
        now >= self.last_sent_at + spacing * self.loaded_latency() / self.size
    }

    fn exempts_from_spacing(&self, in_flight: &InFlightAttempts) -> bool {
        let expected_latency = || self.expected_queueing_delay(in_flight) + self.unloaded_latency;
        self.has_gossip || expected_latency() <= self.latency_objective
    }

    fn needs_no_spacing(&self) -> bool {
        if self.has_gossip {
            return self.competing_hosts == 0.0;
        }
        self.size >= 1.0
    }

    /// Records that an attempt is sent, and draws the spacing before the next one (`fraction`: random,
    /// from 0 to 1).
    pub(super) fn on_send(&mut self, now: Ms, fraction: f64) {
        self.last_sent_at = now;
        self.spacing_factor = MAX_SPACING_FACTOR * fraction;
    }

    /// Returns whether a request that enters the empty queue must wait for the spacing.
    pub(super) fn has_competitors(&self) -> bool {
        self.competing_hosts > 0.0
    }

    /// Restarts the spacing when a request enters the empty queue while other hosts compete.
    pub(super) fn restart_spacing(&mut self, now: Ms, fraction: f64) {
        self.last_sent_at = self.last_sent_at.max(now);
        self.spacing_factor = MAX_SPACING_FACTOR * fraction;
    }

    /// Multiplies the window by `factor`, but not below `floor`.
    pub(super) fn narrow(&mut self, factor: f64, floor: f64) {
        self.size = (self.size * factor).max(floor);
    }

    /// Updates the window by an answer that arrived `answer_age` after the previous one, with this
    /// queueing delay.
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
        let unloaded_latency = bounds.unloaded_latency;
        if self.queueing_delay > HIGH_DELAY * bounds.headroom {
            self.narrow(1.0 - NARROWING_FRACTION, self.congestion_floor(bounds));
        } else if self.queueing_delay > NARROWING_DELAY * unloaded_latency && self.size > MIN_WINDOW {
            self.narrow(1.0 - NARROWING_FRACTION, MIN_WINDOW);
        } else if self.size < 1.0 {
            self.size = (2.0 * self.size + CONGESTED_STEP).min(1.0);
        } else if nearly_full
            && (self.queueing_delay < WIDENING_DELAY * unloaded_latency || self.size < MIN_WINDOW)
        {
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
