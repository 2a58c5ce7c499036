//! A running host: one event loop over clients, storage nodes and the endpoint list service, around the
//! engine.
//!
//! The loop passes each event to the engine and carries out the scheduler's decisions. Decisions that the
//! host makes itself (the connection for an attempt, whether a process is the expected one, which requests a
//! broken connection may have run) are in state machines free of I/O. A request passes through `listener`,
//! `client_connections`, `request_registry`, the engine, `upstream_pool` and `node_connection`; its answer
//! takes the same path in reverse.

mod client_connections;
pub mod config;
mod connections;
mod endpoint_list;
mod event_loop;
mod extent_map;
mod gossip_socket;
mod graceful_shutdown;
mod list_connection;
mod listener;
mod memory;
mod node_connection;
mod poll_key;
mod protocol_error;
mod reconnect_backoff;
mod request_log;
mod request_registry;
mod split_reads;
mod timer;
mod upstream_pool;

pub use event_loop::{Gateway, HostExit};
