//! Slow start: an allowance of units for a node that has just started.
//!
//! The allowance grows at the rate of the deployment's overload bound at its slowest recovery ramp. That
//! rate is based on this host's part of the units that the shard's node served while warm (the parts of
//! all hosts together are no more than a node can serve), or of the configured units, whichever is more.
//! Guards against hosts that together overload a warming node, regardless of their number and the time at
//! which each was notified; may limit throughput where a shard's traffic moves to hosts that sent it
//! little before.

use super::node::{Node, Nodes};
use super::Scheduler;
use crate::structures::RollingWindow;
use crate::types::{Ms, SchedulerConfig};
use std::collections::BTreeMap;

/// Length and number of the buckets that count the units served by a node.
const BUCKET_LENGTH: Ms = 1000.0;
const BUCKETS: usize = 12;

/// Creates the window for a node's throughput.
pub(super) fn new_throughput_window() -> RollingWindow {
    RollingWindow::new(BUCKET_LENGTH, BUCKETS)
}

/// Units that a shard's node served for this host per millisecond when it was last warm, by shard.
#[derive(Default)]
pub(super) struct ShardThroughput {
    by_shard: BTreeMap<usize, f64>,
}

impl ShardThroughput {
    /// Measures the throughput of warm nodes.
    pub(super) fn measure(&mut self, now: Ms, nodes: &mut Nodes, slow_start_duration: Ms) {
        for node in nodes.iter_mut().filter(|node| node.is_ready()) {
            if node.endpoint.started_at.is_none_or(|at| now >= at + slow_start_duration) {
                let served = node.served_units.lower_sum(now);
                self.by_shard.insert(node.endpoint.shard, served / BUCKET_LENGTH / BUCKETS as f64);
            }
        }
    }

    /// Returns the throughput of a shard. A shard without a measurement gets the mean of all shards, for
    /// example on a host that has just started.
    fn of_shard(&self, shard: usize) -> f64 {
        let mean = || self.by_shard.values().sum::<f64>() / self.by_shard.len().max(1) as f64;
        self.by_shard.get(&shard).copied().unwrap_or_else(mean)
    }
}

/// Units that a warming node may be sent.
#[derive(Default)]
pub(super) struct SlowStartAllowance {
    units: f64,
    updated_at: Ms,
}

impl SlowStartAllowance {
    /// Sets the allowance after the node's process has restarted.
    pub(super) fn restart(&mut self, now: Ms, units: f64) {
        (self.units, self.updated_at) = (units, now);
    }

    /// Subtracts units that were sent; the allowance may become negative.
    pub(super) fn spend(&mut self, units: f64) {
        self.units -= units;
    }

    fn grow(&mut self, now: Ms, units_per_ms: f64, max_units: f64) -> f64 {
        let grown = units_per_ms * (now - self.updated_at);
        (self.units, self.updated_at) = ((self.units + grown).min(max_units), now);
        self.units
    }
}

/// Returns the fraction of a warm node's capacity that a node of this age has at the start of the
/// overload window.
fn recovered_fraction(config: &SchedulerConfig, age: Ms) -> f64 {
    let progress = ((age - config.overload_window) / config.slow_start_duration).clamp(0.0, 1.0);
    config.slow_start_share + (1.0 - config.slow_start_share) * progress
}

impl Scheduler {
    /// Returns whether the slow-start allowance permits sending a request to a node.
    pub(super) fn slow_start_allows(&mut self, now: Ms, index: usize) -> bool {
        let config = &self.config;
        let Some(node) = self.nodes.get_mut(index) else { return false };
        let age = node.endpoint.started_at.map_or(f64::INFINITY, |at| now - at);
        if age >= config.slow_start_duration + config.overload_window {
            return true;
        }
        let configured =
            config.slow_start_units / config.hosts / config.slow_start_share / config.overload_window;
        let measured = config.overload_multiple * self.shard_throughput.of_shard(node.endpoint.shard);
        let units_per_ms = recovered_fraction(config, age) * measured.max(configured);
        let max_units = config.max_units + config.mean_units;
        node.slow_start.grow(now, units_per_ms, max_units) >= config.mean_units
    }

    /// Returns the initial allowance of a restarted node: a random fraction of a mean request, which
    /// spreads the first requests of hosts. A host that has itself just started gets none, as it may have
    /// spent its allowance before its restart.
    pub(super) fn initial_allowance(&mut self, now: Ms) -> f64 {
        let spread = self.rng.fraction();
        let has_run = f64::from(now - self.started_at >= self.config.overload_window);
        self.config.mean_units * spread * has_run
    }
}

impl Node {
    /// Resets the node after its process has restarted, with this slow-start allowance.
    pub(super) fn restart(&mut self, now: Ms, allowance: f64) {
        self.window.restart();
        self.health.restart(now);
        self.slow_start.restart(now, allowance);
    }
}
