//! Slow start: the capacity of a node that warms up, and what overloads it.

use crate::config::SlowStartConfig;
use crate::Ms;
use std::collections::VecDeque;

/// The slow start of one incarnation of a node.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// When it started; `None` where it has run for long.
    started_at: Option<Ms>,
    /// When it was sent how many units, over the last window.
    recent_units: VecDeque<(Ms, f64)>,
}

impl SlowStart {
    pub(crate) fn new(started_at: Option<Ms>) -> SlowStart {
        SlowStart { started_at, recent_units: VecDeque::new() }
    }

    pub(crate) fn started_at(&self) -> Option<Ms> {
        self.started_at
    }

    /// The part of its capacity that the node has now.
    pub(crate) fn capacity(&self, now: Ms, config: &SlowStartConfig) -> f64 {
        let age = self.started_at.map_or(f64::INFINITY, |started_at| now - started_at);
        if age >= config.duration {
            return 1.0;
        }
        config.initial_capacity + (1.0 - config.initial_capacity) * (age / config.duration).max(0.0)
    }

    /// Counts units that the node was sent; true where they overload it. `full_rate` is its units a millisecond at
    /// full capacity.
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
        while self.recent_units.front().is_some_and(|sent| sent.0 < now - window) {
            self.recent_units.pop_front();
        }
        let sent: f64 = self.recent_units.iter().map(|sent| sent.1).sum();
        let tolerated = config.overload_factor * full_rate * self.capacity(now, config) * window;
        let is_first_window = now - started_at <= window;
        sent > tolerated.max(if is_first_window { config.allowance } else { 0.0 })
    }
}

#[cfg(test)]
mod tests;
