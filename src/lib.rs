//! The decision module of magpiewick and the plain types of its interface. It does no I/O: callers pass in
//! the time and carry out what it decides.

#![warn(missing_docs)]

mod backoff;
mod endpoint_client;
mod freshness;
mod random_source;
mod scheduler;
mod structures;
mod types;

pub use backoff::Backoff;
pub use endpoint_client::{Answered, EndpointClient, Pace, Step, Target, Verdict};
pub use freshness::{Failure, Freshness, FreshnessRules, Validity};
pub use random_source::RandomSource;
pub use scheduler::Scheduler;
pub use types::*;
