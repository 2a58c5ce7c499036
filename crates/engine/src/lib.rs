//! Engine of one host: pending requests, the ids of a wire and the calls to the scheduler.
//!
//! The engine does no I/O and makes no decisions. A driver calls the engine on each event, with the time in
//! milliseconds on a monotonic clock; the engine calls the scheduler and the driver's [`Environment`] to carry out
//! the decisions. The simulator's adapter, the gateway and the platform are drivers, so the simulator runs the same
//! code as production.
//!
//! The driver assigns the ids of requests, nodes, volumes and keys; the id of a request must not be reused.

mod accept_backoff;
mod engine;
mod environment;
mod id_table;
mod node_table;
mod pending_request;
mod stall_detector;

pub use accept_backoff::AcceptBackoff;
pub use engine::{Engine, IncomingRequest};
pub use environment::{AttemptRef, Environment, Reason};
pub use stall_detector::StallDetector;
