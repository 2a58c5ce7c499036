//! Data structures of the scheduler. They contain state and no decisions.

mod blocked_requests;
mod expiry_queue;
mod gossip_state;
mod key_locks;
mod rolling_window;
mod timer_queue;
mod token_bucket;
mod token_waiters;
mod total_order;

pub(crate) use blocked_requests::BlockedRequests;
pub(crate) use expiry_queue::{ExpiryQueue, QueuePosition};
pub(crate) use gossip_state::GossipState;
pub(crate) use key_locks::KeyLocks;
pub(crate) use rolling_window::RollingWindow;
pub(crate) use timer_queue::TimerQueue;
pub(crate) use token_bucket::TokenBucket;
pub(crate) use token_waiters::{TokenWaiter, TokenWaiters};
pub(crate) use total_order::total_order_key;

#[cfg(test)]
mod tests;
