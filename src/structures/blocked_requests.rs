//! Requests that may not enter a node's queue now.

use super::{TimerQueue, TokenWaiter, TokenWaiters};
use crate::types::Ms;
use std::collections::BTreeMap;

/// Blocked requests by arrival: requests of a shard that need another check, requests without a shard,
/// sleeping requests, which wait for a time or for a wake-up, and requests that wait for tokens.
#[derive(Default)]
pub(crate) struct BlockedRequests {
    to_check: BTreeMap<u64, usize>,
    without_shard: BTreeMap<u64, usize>,
    sleeping: TimerQueue<(u64, usize)>,
    token_waiters: TokenWaiters,
}

impl BlockedRequests {
    /// Schedules another check of a request.
    pub(crate) fn wake(&mut self, waiter: TokenWaiter, has_shard: bool) {
        let TokenWaiter { volume, arrival, id, units } = waiter;
        self.sleeping.set((arrival, id), None);
        self.token_waiters.remove(volume, arrival, units);
        let list = if has_shard { &mut self.to_check } else { &mut self.without_shard };
        list.insert(arrival, id);
    }

    /// Suspends a request until a time, or with `None` until a wake-up.
    pub(crate) fn sleep(&mut self, arrival: u64, id: usize, until: Option<Ms>) {
        self.to_check.remove(&arrival);
        self.sleeping.set((arrival, id), until);
    }

    /// Wakes the requests whose time is `now` or earlier.
    pub(crate) fn wake_due(&mut self, now: Ms) {
        let due: Vec<(u64, usize)> = self.sleeping.due(now).collect();
        for (arrival, id) in due {
            self.sleeping.set((arrival, id), None);
            self.to_check.insert(arrival, id);
        }
    }

    /// Removes and returns the earliest request that needs a check.
    pub(crate) fn next_to_check(&mut self) -> Option<usize> {
        self.to_check.pop_first().map(|(_, id)| id)
    }

    /// Returns whether any request needs a check.
    pub(crate) fn has_any_to_check(&self) -> bool {
        !self.to_check.is_empty()
    }

    /// Returns the requests without a shard, in the order of arrival.
    pub(crate) fn without_shard(&self) -> impl Iterator<Item = usize> + '_ {
        self.without_shard.values().copied()
    }

    /// Returns whether any request has no shard.
    pub(crate) fn has_any_without_shard(&self) -> bool {
        !self.without_shard.is_empty()
    }

    /// Suspends a request until its volume's bucket may cover it, at `covered_at` or when tokens are
    /// returned.
    pub(crate) fn await_tokens(&mut self, waiter: TokenWaiter, covered_at: Ms) {
        self.sleep(waiter.arrival, waiter.id, None);
        self.token_waiters.add(waiter, covered_at);
    }

    /// Schedules a check of the requests that wait for tokens of a volume.
    pub(crate) fn check_tokens_at(&mut self, volume: usize, at: Ms) {
        self.token_waiters.check_at(volume, at);
    }

    /// Returns the volumes whose waiting requests are due for a check by `now`.
    pub(crate) fn due_token_checks(&self, now: Ms) -> Vec<usize> {
        self.token_waiters.due_checks(now)
    }

    /// Returns the request that waits for the fewest tokens of a volume.
    pub(crate) fn smallest_token_waiter(&self, volume: usize) -> Option<TokenWaiter> {
        self.token_waiters.smallest(volume)
    }

    /// Schedules another check of the waiting requests of a volume that `available` tokens cover. Returns
    /// whether there are any.
    pub(crate) fn wake_covered(&mut self, volume: usize, available: f64) -> bool {
        let covered = self.token_waiters.take_covered(volume, available);
        self.to_check.extend(covered.iter().map(|waiter| (waiter.arrival, waiter.id)));
        !covered.is_empty()
    }

    /// Removes a request from all lists.
    pub(crate) fn remove(&mut self, waiter: TokenWaiter) {
        let TokenWaiter { volume, arrival, id, units } = waiter;
        self.sleep(arrival, id, None);
        self.without_shard.remove(&arrival);
        self.token_waiters.remove(volume, arrival, units);
    }
}
