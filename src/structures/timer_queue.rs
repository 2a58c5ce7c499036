//! Timers by time.

use super::total_order_key;
use crate::types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Queue of timers with at most one timer per key.
pub(crate) struct TimerQueue<K> {
    time_of: BTreeMap<K, i64>,
    queue: BTreeSet<(i64, K)>,
}

impl<K: Ord + Copy> Default for TimerQueue<K> {
    fn default() -> TimerQueue<K> {
        TimerQueue { time_of: BTreeMap::new(), queue: BTreeSet::new() }
    }
}

impl<K: Ord + Copy> TimerQueue<K> {
    /// Sets, moves or (with `None`) removes the timer of a key.
    pub(crate) fn set(&mut self, key: K, at: Option<Ms>) {
        let previous = match at.map(total_order_key) {
            Some(at) => {
                let previous = self.time_of.insert(key, at);
                if previous == Some(at) {
                    return;
                }
                self.queue.insert((at, key));
                previous
            }
            None => self.time_of.remove(&key),
        };
        if let Some(previous) = previous {
            self.queue.remove(&(previous, key));
        }
    }

    /// Returns whether no timer is set.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the keys whose time is `now` or earlier, the earliest first.
    pub(crate) fn due(&self, now: Ms) -> impl Iterator<Item = K> + '_ {
        let last = total_order_key(now);
        self.queue.iter().take_while(move |(at, _)| *at <= last).map(|(_, key)| *key)
    }
}
