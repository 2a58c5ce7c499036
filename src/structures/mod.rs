//! Data structures of the scheduler. None of them decides anything; each owns its state.

mod blocked_requests;
mod expiry_queue;
mod gossip_state;
mod key_locks;
mod rolling_window;
mod timer_queue;
mod token_bucket;
mod total_order;

pub use blocked_requests::BlockedRequests;
pub use expiry_queue::{ExpiryQueue, QueuePosition};
pub use gossip_state::GossipState;
pub use key_locks::KeyLocks;
pub use rolling_window::RollingWindow;
pub use timer_queue::TimerQueue;
pub use token_bucket::TokenBucket;
pub use total_order::total_order_key;

#[cfg(test)]
mod tests;
