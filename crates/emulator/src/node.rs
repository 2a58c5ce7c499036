//! A node: its process, its queue and its speed.

use crate::config::{EmulatorConfig, NodeConfig};
use crate::faults::NodeFaults;
use crate::received_attempt::ReceivedAttempt;
use crate::slow_start::SlowStart;
use crate::usage_meter::UsageMeter;
use crate::Ms;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Parts of one node request, which the node executes together.
pub(crate) type Batch = Vec<ReceivedAttempt>;

pub(crate) struct Node {
    pub config: NodeConfig,
    /// Address on which the node listens after its first start; the address stays the same across restarts.
    pub address: SocketAddr,
    /// Set while the process of the node runs.
    pub is_up: bool,
    /// Set while the endpoint list contains the node.
    pub is_listed: bool,
    pub is_draining: bool,
    pub incarnation: u64,
    pub faults: NodeFaults,
    pub queue: VecDeque<Batch>,
    /// Number of batches in execution.
    pub running: usize,
    /// Time until which deferred work prevents the node from beginning a batch.
    pub paused_until: Ms,
    /// Execution time of the work that writes have deferred.
    pub deferred_work: Ms,
    pub slow_start: SlowStart,
    pub usage: UsageMeter,
}

impl Node {
    pub(crate) fn new(config: NodeConfig) -> Node {
        Node {
            address: config.listen,
            config,
            is_up: false,
            is_listed: false,
            is_draining: false,
            incarnation: 0,
            faults: NodeFaults::NONE,
            queue: VecDeque::new(),
            running: 0,
            paused_until: 0.0,
            deferred_work: 0.0,
            slow_start: SlowStart::default(),
            usage: UsageMeter::default(),
        }
    }

    /// Starts a new process, which warms up from `started_at` on, or is fully warmed up. Queued batches and
    /// batches in execution are lost; stored data belong to the shard and remain.
    pub(crate) fn start(&mut self, incarnation: u64, started_at: Option<Ms>) {
        self.is_up = true;
        self.is_draining = false;
        self.incarnation = incarnation;
        self.faults = NodeFaults::NONE;
        self.queue.clear();
        self.running = 0;
        self.paused_until = 0.0;
        self.deferred_work = 0.0;
        self.slow_start = SlowStart::new(started_at);
    }

    /// Returns whether the node can begin a batch: its queue is not empty, a core is free, and the node is not
    /// hung.
    pub(crate) fn can_begin(&self) -> bool {
        let has_free_core = self.running < self.config.cores;
        self.is_up && !self.faults.hung && has_free_core && !self.queue.is_empty()
    }

    /// Returns the fraction of cores that are busy.
    pub(crate) fn busy(&self) -> f32 {
        self.running as f32 / self.config.cores as f32
    }

    /// Begins a batch and returns its execution time; a fraction of the work of a write is deferred.
    pub(crate) fn begin(&mut self, now: Ms, batch: &Batch, config: &EmulatorConfig) -> Ms {
        let units: f64 = batch.iter().map(|part| part.units).sum();
        let capacity = self.slow_start.capacity(now, &config.slow_start);
        let mut time = units * config.unit_work * self.faults.slowdown / (self.config.speed * capacity);
        if batch[0].write {
            self.deferred_work += time * config.deferred_part / self.config.cores as f64;
            time *= 1.0 - config.deferred_part;
        }
        self.running += 1;
        time + config.request_work * self.faults.slowdown / self.config.speed
    }

    /// Counts received units; returns true if the units overload the node.
    pub(crate) fn is_overloaded_by(&mut self, now: Ms, units: f64, config: &EmulatorConfig) -> bool {
        let full_rate = self.config.cores as f64 * self.config.speed / config.unit_work;
        self.slow_start.is_overloaded_by(now, units, full_rate, &config.slow_start)
    }

    /// Counts units served for a volume; returns the units served through other hosts since the last report to the
    /// host.
    pub(crate) fn record_usage(&mut self, volume: u64, host: u64, units: f64) -> f64 {
        self.usage.record(volume, host, units);
        if self.faults.usage_withheld {
            return 0.0;
        }
        self.usage.report(volume, host)
    }
}
