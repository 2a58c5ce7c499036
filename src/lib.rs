//! The decision module of magpiewick and the plain types of its interface.

mod backoff;
mod endpoint_client;
mod freshness;
mod queues;
mod scheduler;
mod types;

pub use backoff::Backoff;
pub use endpoint_client::{Answered, EndpointClient, Pace, Step, Target, Verdict};
pub use freshness::{Failure, Freshness, FreshnessRules, Validity};
pub use queues::RandomSource;
pub use scheduler::Scheduler;
pub use types::*;
