//! Settings of a host. `docs/settings.md` lists their names in a file.

mod reader;

pub use reader::read_host_config;

use magpiewick::{Ms, SchedulerConfig};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of the endpoint list service.
#[derive(Clone, Debug)]
pub struct ListServiceConfig {
    /// Listening address.
    pub address: SocketAddr,
    /// True if the list must be polled; otherwise the service pushes updates to each connection.
    pub polled: bool,
    /// True if the service also serves the extent map.
    pub serves_map: bool,
    /// File that caches the list across restarts.
    pub cache_path: Option<PathBuf>,
}

/// Settings of a volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Name in logs.
    pub name: String,
    /// Index of the QoS policy.
    pub policy: usize,
    /// Shards that store the data; each piece of data is on the shard that its key hashes to.
    pub shards: Vec<usize>,
    /// Number of hosts that serve requests of the volume.
    pub host_count: f64,
}

/// Limits on what a host accepts, and its timeouts on sockets.
#[derive(Clone, Debug)]
pub struct HostLimits {
    /// Maximum time to connect and to receive the peer's greeting.
    pub connect_timeout: Ms,
    /// Maximum time for which a client may leave a frame incomplete.
    pub partial_frame_timeout: Ms,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Maximum number of requests without a final answer; at this number the host stops reading from clients.
    pub max_pending_requests: usize,
    /// Maximum bytes of unsent answers per client; above this the host stops reading from the client.
    pub max_client_buffer: usize,
    /// Memory limit of the process in bytes.
    pub memory_limit: usize,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// JSON, one object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// Lowest level that is logged.
    pub level: String,
    /// Format of log lines.
    pub format: LogFormat,
    /// True if each request is logged.
    pub requests: bool,
}

/// All settings of a host.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Number among the hosts.
    pub number: u32,
    /// Listening address for clients.
    pub listen: SocketAddr,
    /// Endpoint list service.
    pub list_service: ListServiceConfig,
    /// Settings of the scheduler.
    pub scheduler: SchedulerConfig,
    /// Names of the request classes, in the scheduler's order.
    pub classes: Vec<String>,
    /// Volumes by id.
    pub volumes: BTreeMap<u64, Volume>,
    /// Gossip addresses of all hosts by number, including this host; empty where hosts do not gossip.
    pub gossip_addresses: BTreeMap<usize, SocketAddr>,
    /// Limits and timeouts.
    pub limits: HostLimits,
    /// Settings of the log.
    pub log: LogConfig,
    /// Limits of coalesced writes; a limit of one part disables coalescing.
    pub coalescing: magpiewick_coalescing::BatchLimits,
    /// Settings of split reads.
    pub split_reads: SplitReadConfig,
}

/// Limits for splitting large reads.
#[derive(Clone, Debug)]
pub struct SplitReadConfig {
    /// Maximum number of blocks per part; a part never crosses an extent boundary.
    pub max_blocks: u64,
    /// Maximum number of parts of one read in flight at the same time.
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

    /// Disables coalescing, so that every request is sent separately.
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
