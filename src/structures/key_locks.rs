//! Locks of ordering keys, whose requests run one after the other.

use crate::types::Ms;
use std::collections::{BTreeMap, VecDeque};

struct KeyQueue {
    requests: VecDeque<usize>,
    quiet_until: Ms,
}

/// Requests of each key in the order of arrival; the first one holds the lock of its key.
#[derive(Default)]
pub(crate) struct KeyLocks {
    queues: BTreeMap<usize, KeyQueue>,
    /// Keys without requests, each with the end of its quiet period.
    idle: VecDeque<(Ms, usize)>,
}

impl KeyLocks {
    /// Appends a request to those of its key.
    pub(crate) fn enqueue(&mut self, now: Ms, key: usize, id: usize) {
        let empty = || KeyQueue { requests: VecDeque::new(), quiet_until: now };
        self.queues.entry(key).or_insert_with(empty).requests.push_back(id);
    }

    /// Returns the request that holds the lock of a key, and the end of the key's quiet period.
    pub(crate) fn holder(&self, key: usize) -> Option<(usize, Ms)> {
        let queue = self.queues.get(&key)?;
        Some((*queue.requests.front()?, queue.quiet_until))
    }

    /// Sets the time until which no other request of a key may start.
    pub(crate) fn set_quiet_until(&mut self, key: usize, until: Ms) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.quiet_until = until;
        }
    }

    /// Removes a request and returns the holder of the lock after the removal. Idle keys are dropped when
    /// their quiet period is over.
    pub(crate) fn remove(&mut self, now: Ms, key: usize, id: usize) -> Option<usize> {
        let queue = self.queues.get_mut(&key)?;
        queue.requests.retain(|&other| other != id);
        let next = queue.requests.front().copied();
        if next.is_none() {
            self.idle.push_back((queue.quiet_until, key));
        }
        while let Some(&(_, key)) = self.idle.front().filter(|(quiet_until, _)| now >= *quiet_until) {
            self.idle.pop_front();
            let is_unused = |queue: &KeyQueue| queue.requests.is_empty() && now >= queue.quiet_until;
            if self.queues.get(&key).is_some_and(is_unused) {
                self.queues.remove(&key);
            }
        }
        next
    }
}
