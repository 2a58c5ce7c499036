//! Requests that are not in flight, by their time of expiry.

use super::{total_order_key, TimerQueue};
use crate::types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Position of an expiring request; requests that expire together end in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QueuePosition {
    /// In no queue; contains the arrival number.
    Blocked(u64),
    /// In the queue of a node; contains the node and the number of the queue entry.
    Queued(usize, u64),
}

/// Waiting requests by shard and time of expiry, one timer per shard for the first request, and the
/// requests that were marked as expiring.
#[derive(Default)]
pub(crate) struct ExpiryQueue {
    waiting: BTreeMap<Option<usize>, BTreeSet<(i64, usize)>>,
    checks: TimerQueue<Option<usize>>,
    expiring: BTreeSet<(QueuePosition, usize)>,
    position_of: BTreeMap<usize, QueuePosition>,
}

impl ExpiryQueue {
    /// Adds a waiting request, or removes it. In both cases the request is no longer expiring.
    pub(crate) fn set_waiting(&mut self, shard: Option<usize>, expires_at: Ms, id: usize, waiting: bool) {
        if let Some(position) = self.position_of.remove(&id) {
            self.expiring.remove(&(position, id));
        }
        let of_shard = self.waiting.entry(shard).or_default();
        let entry = (total_order_key(expires_at), id);
        _ = if waiting { of_shard.insert(entry) } else { of_shard.remove(&entry) };
        if of_shard.is_empty() {
            self.waiting.remove(&shard);
        }
    }

    /// Returns the waiting request of a shard that expires first.
    pub(crate) fn first_waiting(&self, shard: Option<usize>) -> Option<usize> {
        Some(self.waiting.get(&shard)?.first()?.1)
    }

    /// Returns all waiting requests of a shard, the first to expire first.
    pub(crate) fn waiting_for(&self, shard: usize) -> Vec<usize> {
        self.waiting.get(&Some(shard)).into_iter().flatten().map(|(_, id)| *id).collect()
    }

    /// Returns the shards that requests wait for.
    pub(crate) fn shards(&self) -> Vec<Option<usize>> {
        self.waiting.keys().copied().collect()
    }

    /// Sets the time at which the first request of a shard is checked.
    pub(crate) fn set_check(&mut self, shard: Option<usize>, at: Option<Ms>) {
        self.checks.set(shard, at);
    }

    /// Returns the shards whose first request is due for a check by `now`.
    pub(crate) fn due_checks(&self, now: Ms) -> Vec<Option<usize>> {
        self.checks.due(now).collect()
    }

    /// Returns whether any shard has a scheduled check.
    pub(crate) fn has_checks(&self) -> bool {
        !self.checks.is_empty()
    }

    /// Marks a request that is no longer waiting as expiring, or updates its position.
    pub(crate) fn mark_expiring(&mut self, id: usize, position: QueuePosition) {
        if let Some(former) = self.position_of.insert(id, position) {
            self.expiring.remove(&(former, id));
        }
        self.expiring.insert((position, id));
    }

    /// Returns whether a request is marked as expiring.
    pub(crate) fn is_expiring(&self, id: usize) -> bool {
        self.position_of.contains_key(&id)
    }

    /// Returns the expiring request with the first position.
    pub(crate) fn first_expiring(&self) -> Option<usize> {
        self.expiring.first().map(|(_, id)| *id)
    }
}
