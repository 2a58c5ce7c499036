//! What requests of each class take at a node without load, learnt from the answers of all nodes.

use super::concurrency_window::DelayBounds;
use crate::structures::RollingWindow;
use crate::types::{Ms, SchedulerConfig};

/// Buckets of latencies; the unloaded latency is the lowest mean of any of them.
const BUCKET_LENGTH: Ms = 1000.0;
const BUCKETS: usize = 12;
/// The unloaded latency is at most this part of the class's latency objective: guards against nodes that
/// were never seen idle.
const MAX_PART_OF_OBJECTIVE: f64 = 0.25;
/// The headroom is at least this divisor's part of the shortest latency objective.
const MIN_HEADROOM_DIVISOR: f64 = 4.0;

/// How long work of some units takes in relation to that of a mean request: half of it does not depend on
/// the units.
pub(super) fn relative_duration(units: f64, mean_units: f64) -> f64 {
    (1.0 + units / mean_units) / 2.0
}

/// An answer to a request that succeeded.
pub(super) struct LatencySample {
    pub class: usize,
    pub latency: Ms,
    /// The relative duration of all that left together.
    pub relative_duration: f64,
    /// Other requests left with it.
    pub coalesced: bool,
}

/// Unloaded latencies by class, for a request of the mean size; 0 while nothing is known.
pub(super) struct UnloadedLatency {
    samples: Vec<RollingWindow>,
    by_class: Vec<Ms>,
    objectives: Vec<Ms>,
    shortest_objective: Ms,
    /// That of the fastest class.
    least: Ms,
    /// What the shortest latency objective leaves beside it.
    headroom: Ms,
}

impl UnloadedLatency {
    /// Nothing is known yet.
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

    /// The unloaded latency of a class.
    pub(super) fn of_class(&self, class: usize) -> Ms {
        self.by_class[class]
    }

    /// What queueing delays are held against.
    pub(super) fn delay_bounds(&self, congested_floor: f64) -> DelayBounds {
        DelayBounds { unloaded_latency: self.least, headroom: self.headroom, congested_floor }
    }

    /// Learns from an answer; by how much its latency is over the unloaded one.
    pub(super) fn record(&mut self, now: Ms, sample: &LatencySample) -> Ms {
        let class = sample.class;
        let (mean_latency, known) = (sample.latency / sample.relative_duration, self.by_class[class]);
        // A batch takes less than its size: it counts only where it is slower than what is known.
        if !sample.coalesced || known > 0.0 && mean_latency > known {
            self.samples[class].add(now, mean_latency);
        }
        let most = MAX_PART_OF_OBJECTIVE * self.objectives[class];
        let unloaded = self.samples[class].lowest_mean(now).unwrap_or(most).min(most);
        self.by_class[class] = unloaded;
        self.least = self.by_class.iter().copied().filter(|known| *known > 0.0).fold(f64::INFINITY, f64::min);
        self.headroom =
            (self.shortest_objective - self.least).max(self.shortest_objective / MIN_HEADROOM_DIVISOR);
        (sample.latency - unloaded * sample.relative_duration).max(0.0)
    }
}
