//! Latency of each class at a node without load, estimated from the answers of all nodes.

use super::concurrency_window::DelayBounds;
use crate::structures::RollingWindow;
use crate::types::{Ms, SchedulerConfig};

/// Buckets of latencies; the unloaded latency is the lowest mean of any bucket.
const BUCKET_LENGTH: Ms = 1000.0;
const BUCKETS: usize = 12;
/// Upper bound of the unloaded latency as a fraction of the class's latency objective. Guards against
/// nodes that were never observed idle.
const MAX_FRACTION_OF_OBJECTIVE: f64 = 0.25;
/// Divisor of the shortest latency objective that gives the least headroom.
const MIN_HEADROOM_DIVISOR: f64 = 4.0;

/// Returns the duration of a request of some units relative to that of a mean request: half of the
/// duration does not depend on the units.
pub(super) fn relative_duration(units: f64, mean_units: f64) -> f64 {
    (1.0 + units / mean_units) / 2.0
}

/// Latency of a successful request.
pub(super) struct LatencySample {
    pub class: usize,
    pub latency: Ms,
    /// Relative duration of the whole batch.
    pub relative_duration: f64,
    /// True if the batch contains other requests.
    pub coalesced: bool,
}

/// Unloaded latencies by class, for a request of the mean size; 0 before the first answer.
pub(super) struct UnloadedLatency {
    samples: Vec<RollingWindow>,
    by_class: Vec<Ms>,
    objectives: Vec<Ms>,
    shortest_objective: Ms,
    /// Unloaded latency of the fastest class.
    least: Ms,
    /// Part of the shortest latency objective that the unloaded latency leaves free.
    headroom: Ms,
}

impl UnloadedLatency {
    /// Creates estimates without any answer.
    pub(super) fn new(config: &SchedulerConfig, shortest_objective: Ms) -> UnloadedLatency {
        let samples = || RollingWindow::new(BUCKET_LENGTH, BUCKETS);
        UnloadedLatency {
            samples: config.classes.iter().map(|_| samples()).collect(),
            by_class: vec![0.0; config.classes.len()],
            objectives: config.classes.iter().map(|class| class.latency_objective).collect(),
            shortest_objective,
            least: 0.0,
            headroom: shortest_objective,
        }
    }

    /// Returns the unloaded latency of a class.
    pub(super) fn of_class(&self, class: usize) -> Ms {
        self.by_class[class]
    }

    /// Returns the reference values for queueing delays.
    pub(super) fn delay_bounds(&self, congested_floor: f64) -> DelayBounds {
        DelayBounds { unloaded_latency: self.least, headroom: self.headroom, congested_floor }
    }

    /// Updates the estimate by an answer, and returns the answer's queueing delay: the excess of its
    /// latency over the unloaded latency.
    pub(super) fn record(&mut self, now: Ms, sample: &LatencySample) -> Ms {
        let class = sample.class;
        let (mean_latency, previous) = (sample.latency / sample.relative_duration, self.by_class[class]);
        // A batch takes less time than its size suggests: its latency counts only where it exceeds the
        // previous unloaded latency.
        if !sample.coalesced || previous > 0.0 && mean_latency > previous {
            self.samples[class].add(now, mean_latency);
        }
        let max_unloaded = MAX_FRACTION_OF_OBJECTIVE * self.objectives[class];
        let unloaded = self.samples[class].lowest_mean(now).unwrap_or(max_unloaded).min(max_unloaded);
        self.by_class[class] = unloaded;
        self.least =
            self.by_class.iter().copied().filter(|latency| *latency > 0.0).fold(f64::INFINITY, f64::min);
        self.headroom =
            (self.shortest_objective - self.least).max(self.shortest_objective / MIN_HEADROOM_DIVISOR);
        (sample.latency - unloaded * sample.relative_duration).max(0.0)
    }
}
