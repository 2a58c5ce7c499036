//! The engine of one host: the requests in hand, the ids of a wire and the calls on the scheduler.
//!
//! The engine is free of I/O and decides nothing. A driver calls it when something happened, with the time in
//! milliseconds on a monotonic clock; the engine asks the scheduler and calls the driver's [`Environment`] for what
//! is to be done. The simulator's adapter, the gateway and the platform are such drivers, so that the simulator
//! measures the code that serves.
//!
//! Ids of requests, nodes, volumes and keys are the driver's own; a request's id must never be used again.

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
