//! Emulates storage nodes and the endpoint list service, as specified in `docs/wire.md`: services on loopback that
//! store written data, work at a configured speed, fail according to a script, and record all events on their
//! sockets. The services enforce no rule themselves; a scenario audits the recorded behaviour of the hosts.

mod config;
mod connections;
mod data_store;
mod deduplication;
mod emulator;
mod endpoint_list;
mod error;
mod execution;
mod extent_migration;
mod fault_script;
mod faults;
mod handle;
mod map_publication;
mod map_service;
mod node;
mod node_event;
mod received_attempt;
mod script;
mod slow_start;
mod timer_queue;
mod usage_meter;

pub use config::{read_config, DeduplicationScope, EmulatorConfig, NodeConfig, SlowStartConfig};
pub use data_store::StoredKey;
pub use emulator::Emulator;
pub use error::EmulatorError;
pub use fault_script::{read_faults, Fault};
pub use faults::{EmulatorDefects, NodeFaults};
pub use handle::EmulatorHandle;
pub use node_event::NodeEvent;
pub use received_attempt::{AttemptInterceptor, ConnectionId, ReceivedAttempt};
pub use script::{play_script, Step};

/// A time on the clock shared by all records of a run, or a duration, in milliseconds.
pub type Ms = f64;
