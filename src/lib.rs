//! The scheduler of magpiewick, the types of its interface, and the client of the discovery service. It
//! does no I/O: callers pass in the time and carry out what it decides.

mod backoff;
mod endpoint_client;
mod freshness;
mod random_source;
mod scheduler;
mod structures;
mod types;

pub use backoff::Backoff;
pub use endpoint_client::{AnswerHead, EndpointClient, PollStep, PollTarget, PollTiming, Verdict};
pub use freshness::{CallFailure, Freshness, FreshnessRules, Validity};
pub use random_source::RandomSource;
pub use scheduler::Scheduler;
pub use types::*;
