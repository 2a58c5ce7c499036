//! Shared by the end-to-end tests and the benchmark: a host of the platform as a process of its own, with emulated nodes
//! and discovery on loopback. They read and write HTTP by hand, so that no code of the program checks itself.

// Each test program uses a part of this module.
#![allow(dead_code)]

pub mod discovery;
pub mod host_process;
pub mod host_settings;
pub mod http_client;
pub mod http_message;
pub mod kernel_connections;
pub mod loopback;
pub mod node;
pub mod proxy;
pub mod random;
pub mod test_cluster;
pub mod unreachable_node;

use std::time::Duration;

/// The bound of all waits: longer than anything here takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which a condition is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
