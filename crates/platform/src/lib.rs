//! A host on the operators' platform: HTTP/1.1 with clients, endpoints and the discovery service, configured by the
//! environment and a JSON file. One event loop on one thread drives the engine, which makes every decision on requests.
//!
//! A request passes through the `listener`, a `client_connection`, the `request_registry`, the engine, the
//! `upstream_pool` and an `upstream_connection`; its response takes the same path in reverse. `proxy` forwards both,
//! and `event_loop` notifies each owner of its events. Decisions that need no I/O are made in modules that are marked
//! as free of I/O.

mod attempt_end;
mod buffer_table;
mod client_connection;
mod client_policy;
mod client_pool;
mod config;
mod connection_table;
mod discovery_log;
mod endpoint_discovery;
mod endpoint_list;
mod endpoint_table;
mod event_loop;
mod graceful_shutdown;
mod idle_pool;
mod incoming_request;
mod listener;
mod log_limit;
mod memory_limit;
mod memory_report;
mod metrics;
mod proxy;
mod reactor;
mod reload;
mod request_log;
mod request_registry;
mod request_stages;
mod response_stream;
mod signals;
mod turn_budget;
mod upstream_connection;
mod upstream_pool;
mod wall_clock;

pub use config::{ConfigError, FileError};
pub use endpoint_list::ListError;

use config::HostConfig;
use event_loop::EventLoop;
use std::io;
use thiserror::Error;

/// Reason why a host does not run.
#[derive(Debug, Error)]
pub enum Error {
    /// The configuration is missing or unusable.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A system call failed without which the host cannot run.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// Runs a host until it has shut down.
pub fn run() -> Result<(), Error> {
    let path = config::path()?;
    let config = HostConfig::read(&path)?;
    Ok(EventLoop::new(config, &path)?.run()?)
}
