//! The decision module of magpiewick and the plain types of its interface.

mod backoff;
mod brain;
mod freshness;
mod list_client;
mod queues;
mod terms;

pub use backoff::Backoff;
pub use brain::Brain;
pub use freshness::{Failure, Freshness, FreshnessRules, Validity};
pub use list_client::{Answered, ListClient, Pace, Step, Target, Verdict};
pub use queues::Chance;
pub use terms::*;
