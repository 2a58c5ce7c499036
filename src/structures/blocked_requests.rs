//! Requests that may not enter a node's queue for now.

use super::TimerQueue;
use crate::types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Blocked requests by arrival: those of a shard that are to be checked again, those that name no shard,
/// and sleeping ones, which wait for a time or to be woken.
#[derive(Default)]
pub(crate) struct BlockedRequests {
    to_check: BTreeMap<u64, usize>,
    without_shard: BTreeMap<u64, usize>,
    sleeping: TimerQueue<(u64, usize)>,
    short_of_tokens: BTreeMap<usize, BTreeSet<usize>>,
}

impl BlockedRequests {
    /// Has a request checked again.
    pub(crate) fn wake(&mut self, arrival: u64, id: usize, has_shard: bool) {
        self.sleeping.set((arrival, id), None);
        let list = if has_shard { &mut self.to_check } else { &mut self.without_shard };
        list.insert(arrival, id);
    }

    /// Leaves a request alone until a time, or with `None` until it is woken.
    pub(crate) fn sleep(&mut self, arrival: u64, id: usize, until: Option<Ms>) {
        self.to_check.remove(&arrival);
        self.sleeping.set((arrival, id), until);
    }

    /// Wakes the requests whose time has come by `now`.
    pub(crate) fn wake_due(&mut self, now: Ms) {
        let due: Vec<(u64, usize)> = self.sleeping.due(now).collect();
        for (arrival, id) in due {
            self.wake(arrival, id, true);
        }
    }

    /// The earliest request that is to be checked, which is taken off the list.
    pub(crate) fn next_to_check(&mut self) -> Option<usize> {
        self.to_check.pop_first().map(|(_, id)| id)
    }

    /// Requests that name no shard, in the order of arrival.
    pub(crate) fn without_shard(&self) -> impl Iterator<Item = usize> + '_ {
        self.without_shard.values().copied()
    }

    /// Whether any request names no shard.
    pub(crate) fn has_any_without_shard(&self) -> bool {
        !self.without_shard.is_empty()
    }

    /// Records that the token bucket of its volume did not cover a request.
    pub(crate) fn add_short_of_tokens(&mut self, volume: usize, id: usize) {
        self.short_of_tokens.entry(volume).or_default().insert(id);
    }

    /// The requests of a volume that its token bucket did not cover.
    pub(crate) fn short_of_tokens(&self, volume: usize) -> impl Iterator<Item = usize> + '_ {
        self.short_of_tokens.get(&volume).into_iter().flatten().copied()
    }

    /// Removes a request altogether.
    pub(crate) fn remove(&mut self, arrival: u64, id: usize, volume: usize) {
        self.sleep(arrival, id, None);
        self.without_shard.remove(&arrival);
        let Some(short) = self.short_of_tokens.get_mut(&volume) else { return };
        short.remove(&id);
        if short.is_empty() {
            self.short_of_tokens.remove(&volume);
        }
    }
}
