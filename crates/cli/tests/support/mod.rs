//! Shared by the end-to-end tests and the benchmark: a host of the platform as a process of its own, with emulated nodes
//! and discovery on loopback. They read and write HTTP by hand, so that no code of the program checks itself.

// Each test program uses a part of this module.
#![allow(dead_code)]

pub(crate) mod discovery;
pub(crate) mod host_process;
pub(crate) mod host_settings;
pub(crate) mod http_client;
pub(crate) mod http_message;
pub(crate) mod kernel_connections;
pub(crate) mod loopback;
pub(crate) mod node;
pub(crate) mod proxy;
pub(crate) mod random;
pub(crate) mod test_cluster;
pub(crate) mod unreachable_node;

use std::time::Duration;

/// The bound of all waits: longer than anything here takes.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which a condition is polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);
