//! Timers by time.

use super::total_order_key;
use crate::types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// At most one timer for each key.
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
        let former = match at.map(total_order_key) {
            Some(at) => {
                let former = self.time_of.insert(key, at);
                if former == Some(at) {
                    return;
                }
                self.queue.insert((at, key));
                former
            }
            None => self.time_of.remove(&key),
        };
        if let Some(former) = former {
            self.queue.remove(&(former, key));
        }
    }

    /// Whether no timer is set.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The keys whose time has come by `now`, the earliest first.
    pub(crate) fn due(&self, now: Ms) -> impl Iterator<Item = K> + '_ {
        let last = total_order_key(now);
        self.queue.iter().take_while(move |(at, _)| *at <= last).map(|(_, key)| *key)
    }
}
