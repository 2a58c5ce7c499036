//! What a node that has just started may be sent: an allowance of units.
//!
//! It grows as the deployment's overload bound does at its slowest recovery ramp: by this host's part of
//! what the shard's node served while it was warm (the parts of all hosts are no more than a node can do),
//! or of the stated units, if that is more. Guards against hosts that together overload a warming node,
//! however many they are and whenever each was notified. It may hurt where a shard's traffic moves to hosts
//! that sent it little before.

use super::node::{Node, Nodes};
use super::Scheduler;
use crate::structures::RollingWindow;
use crate::types::{Ms, SchedulerConfig};
use std::collections::BTreeMap;

/// Buckets of the units that a node served.
const BUCKET_LENGTH: Ms = 1000.0;
const BUCKETS: usize = 12;

/// The window over which a node's throughput is measured.
pub(super) fn new_throughput_window() -> RollingWindow {
    RollingWindow::new(BUCKET_LENGTH, BUCKETS)
}

/// By shard, the units that its node served for this host in a millisecond, as of when it was last seen warm.
#[derive(Default)]
pub(super) struct ShardThroughput {
    by_shard: BTreeMap<usize, f64>,
}

impl ShardThroughput {
    /// Measures the nodes that are warm.
    pub(super) fn measure(&mut self, now: Ms, nodes: &mut Nodes, slow_start_duration: Ms) {
        for node in nodes.iter_mut().filter(|node| node.is_ready()) {
            if node.endpoint.started_at.is_none_or(|at| now >= at + slow_start_duration) {
                let served = node.served_units.lower_sum(now);
                self.by_shard.insert(node.endpoint.shard, served / BUCKET_LENGTH / BUCKETS as f64);
            }
        }
    }

    /// That of a shard. The mean stands in for one that was never seen warm, as for a host that has just
    /// started.
    fn of_shard(&self, shard: usize) -> f64 {
        let mean = || self.by_shard.values().sum::<f64>() / self.by_shard.len().max(1) as f64;
        self.by_shard.get(&shard).copied().unwrap_or_else(mean)
    }
}

/// The units that a warming node may be sent.
#[derive(Default)]
pub(super) struct SlowStartAllowance {
    units: f64,
    updated_at: Ms,
}

impl SlowStartAllowance {
    /// The node's process is a new one.
    pub(super) fn restart(&mut self, now: Ms, units: f64) {
        (self.units, self.updated_at) = (units, now);
    }

    /// Units were sent; the allowance may fall below zero.
    pub(super) fn spend(&mut self, units: f64) {
        self.units -= units;
    }

    fn grow(&mut self, now: Ms, units_per_ms: f64, most: f64) -> f64 {
        let grown = units_per_ms * (now - self.updated_at);
        (self.units, self.updated_at) = ((self.units + grown).min(most), now);
        self.units
    }
}

/// How much of a warm node's work one of this age can do, as of the start of the window in which overload
/// counts.
fn recovery(config: &SchedulerConfig, age: Ms) -> f64 {
    let progress = ((age - config.overload_window) / config.slow_start_duration).clamp(0.0, 1.0);
    config.slow_start_share + (1.0 - config.slow_start_share) * progress
}

impl Scheduler {
    /// Whether a node may be sent a request, as far as its slow start goes.
    pub(super) fn slow_start_allows(&mut self, now: Ms, index: usize) -> bool {
        let config = &self.config;
        let Some(node) = self.nodes.get_mut(index) else { return false };
        let age = node.endpoint.started_at.map_or(f64::INFINITY, |at| now - at);
        if age >= config.slow_start_duration + config.overload_window {
            return true;
        }
        let stated =
            config.slow_start_units / config.hosts / config.slow_start_share / config.overload_window;
        let usual = config.overload_multiple * self.shard_throughput.of_shard(node.endpoint.shard);
        let units_per_ms = recovery(config, age) * usual.max(stated);
        let most = config.max_units + config.mean_units;
        node.slow_start.grow(now, units_per_ms, most) >= config.mean_units
    }

    /// The node's process is a new one: a random part of a mean request spreads the first requests of
    /// hosts. A host that has just started itself may have spent its part before.
    pub(super) fn initial_allowance(&mut self, now: Ms) -> f64 {
        let spread = self.rng.fraction();
        let has_run = f64::from(now - self.started_at >= self.config.overload_window);
        self.config.mean_units * spread * has_run
    }
}

impl Node {
    /// The node's process is a new one, with this slow-start allowance.
    pub(super) fn restart(&mut self, now: Ms, allowance: f64) {
        self.window.restart();
        self.health.restart(now);
        self.slow_start.restart(now, allowance);
    }
}
