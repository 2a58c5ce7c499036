//! Scheduler of magpiewick, the types of its interface, the client of the discovery service, and the memory budget of a
//! host. The crate does no I/O: callers pass in the time and carry out its decisions.

mod backoff;
mod endpoint_client;
mod freshness;
mod memory_budget;
mod random_source;
mod scheduler;
mod structures;
mod types;

pub use backoff::Backoff;
pub use endpoint_client::{AnswerHead, EndpointClient, PollStep, PollTarget, PollTiming, Verdict};
pub use freshness::{CallFailure, Freshness, FreshnessRules, Validity};
pub use memory_budget::{MemoryBudget, MemoryPurpose, ReadOrder, GUARANTEED_BYTES};
pub use random_source::RandomSource;
pub use scheduler::Scheduler;
pub use types::*;
