//! Slow start: capacity and overload of a warming node.

use crate::config::SlowStartConfig;
use crate::Ms;
use std::collections::VecDeque;

/// Slow start of one incarnation of a node.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Time of the start; `None` if the node is fully warmed up.
    started_at: Option<Ms>,
    /// Times and units of the requests received within the most recent window.
    recent_units: VecDeque<(Ms, f64)>,
}

impl SlowStart {
    pub(crate) fn new(started_at: Option<Ms>) -> SlowStart {
        SlowStart { started_at, recent_units: VecDeque::new() }
    }

    pub(crate) fn started_at(&self) -> Option<Ms> {
        self.started_at
    }

    /// Returns the fraction of its full capacity that the node has now.
    pub(crate) fn capacity(&self, now: Ms, config: &SlowStartConfig) -> f64 {
        let age = self.started_at.map_or(f64::INFINITY, |started_at| now - started_at);
        if age >= config.duration {
            return 1.0;
        }
        config.initial_capacity + (1.0 - config.initial_capacity) * (age / config.duration).max(0.0)
    }

    /// Counts received units; returns true if the units overload the node. `full_rate` is the number of units per
    /// millisecond at full capacity.
    pub(crate) fn is_overloaded_by(
        &mut self,
        now: Ms,
        units: f64,
        full_rate: f64,
        config: &SlowStartConfig,
    ) -> bool {
        let window = config.overload_window;
        let Some(started_at) = self.started_at.filter(|at| now - at < config.duration + window) else {
            return false;
        };
        self.recent_units.push_back((now, units));
        while self.recent_units.front().is_some_and(|received| received.0 < now - window) {
            self.recent_units.pop_front();
        }
        let received: f64 = self.recent_units.iter().map(|received| received.1).sum();
        let tolerated = config.overload_factor * full_rate * self.capacity(now, config) * window;
        let is_first_window = now - started_at <= window;
        received > tolerated.max(if is_first_window { config.allowance } else { 0.0 })
    }
}

#[cfg(test)]
mod tests;
