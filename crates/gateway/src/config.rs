//! The settings of a host. `docs/settings.md` lists their names in a file.

mod reader;

pub use reader::read_host_config;

use magpiewick::{Ms, SchedulerConfig};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The endpoint list service.
#[derive(Clone, Debug)]
pub struct ListServiceConfig {
    /// Where it listens.
    pub address: SocketAddr,
    /// It must be polled; else it pushes updates to each connection.
    pub polled: bool,
    /// It serves the extent map too.
    pub serves_map: bool,
    /// The file in which the list is cached over a restart.
    pub cache_path: Option<PathBuf>,
}

/// A volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Its name in logs.
    pub name: String,
    /// The index of its QoS policy.
    pub policy: usize,
    /// The shards that hold its data; a piece of data lies on the one that its key hashes to.
    pub shards: Vec<usize>,
    /// The number of hosts that serve its requests.
    pub host_count: f64,
}

/// Limits on what a host accepts, and its timeouts on sockets.
#[derive(Clone, Debug)]
pub struct HostLimits {
    /// The time for a connect and the peer's greeting.
    pub connect_timeout: Ms,
    /// How long a client may leave a frame incomplete.
    pub partial_frame_timeout: Ms,
    /// Connections of clients.
    pub max_clients: usize,
    /// Requests without their final answer; at this number nothing is read from clients.
    pub max_pending_requests: usize,
    /// Bytes of answers that may wait for a client before nothing more is read from it.
    pub max_client_buffer: usize,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// As text for people.
    Text,
    /// As JSON, one object a line.
    Json,
}

/// What is logged.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// The lowest level that is logged.
    pub level: String,
    /// How lines are written.
    pub format: LogFormat,
    /// Whether each request is logged.
    pub requests: bool,
}

/// All settings of a host.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Its number among the hosts.
    pub number: u32,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// The endpoint list service.
    pub list_service: ListServiceConfig,
    /// The settings of the scheduler.
    pub scheduler: SchedulerConfig,
    /// The names of the request classes, in the scheduler's order.
    pub classes: Vec<String>,
    /// The volumes by id.
    pub volumes: BTreeMap<u64, Volume>,
    /// The gossip addresses of hosts by number, this host's included; empty where hosts do not gossip.
    pub gossip_addresses: BTreeMap<usize, SocketAddr>,
    /// Limits and timeouts.
    pub limits: HostLimits,
    /// What is logged.
    pub log: LogConfig,
    /// Which writes are coalesced; one part where none are.
    pub coalescing: magpiewick_coalescing::BatchLimits,
    /// How reads are split.
    pub split_reads: SplitReadConfig,
}

/// How large reads are split.
#[derive(Clone, Debug)]
pub struct SplitReadConfig {
    /// The most blocks of a part; extents are kept apart in any case.
    pub max_blocks: u64,
    /// The most parts of one read in flight at once.
    pub max_in_flight: usize,
}

impl HostConfig {
    /// Disables slow start of nodes and the retry-after of rejections, for comparison.
    pub fn disable_overload_damping(&mut self) {
        (
            self.scheduler.slow_start_share,
            self.scheduler.slow_start_duration,
            self.scheduler.overload_window,
        ) = (1.0, 0.0, 0.0);
        self.scheduler.max_retry_after = 0.0;
    }

    /// Sends every request by itself.
    pub fn disable_coalescing(&mut self) {
        self.coalescing.max_parts = 1;
        self.scheduler.max_batch_units = self.scheduler.max_units;
    }
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig { level: "info".to_string(), format: LogFormat::Text, requests: false }
    }
}

#[cfg(test)]
mod tests;
