//! The running host: one event loop over clients, storage nodes and the endpoint list service, around the engine.
//!
//! The loop hands each event to the engine and does what the scheduler answers. What the host decides by itself (which
//! connection an attempt is sent on, whether a process is the one that was meant, what a broken connection proves)
//! stands in state machines free of I/O. A request's way: `listener`, `client_connections`, `request_registry`, the
//! engine, `upstream_pool`, `node_connection`, and back the same way.

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
