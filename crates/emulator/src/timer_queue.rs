//! Timers that carry a value.

use crate::Ms;
use magpiewick_transport::Timers;
use std::collections::HashMap;

pub(crate) struct TimerQueue<T> {
    timers: Timers<u64>,
    values: HashMap<u64, T>,
    last_id: u64,
}

impl<T> TimerQueue<T> {
    pub(crate) fn new() -> TimerQueue<T> {
        TimerQueue { timers: Timers::default(), values: HashMap::new(), last_id: 0 }
    }

    pub(crate) fn set(&mut self, at: Ms, value: T) {
        self.last_id += 1;
        self.values.insert(self.last_id, value);
        self.timers.set(at, self.last_id);
    }

    /// When the next timer is due.
    pub(crate) fn next_at(&self) -> Option<Ms> {
        self.timers.next_due_at()
    }

    /// The next timer that is due.
    pub(crate) fn pop_due(&mut self, now: Ms) -> Option<T> {
        let id = self.timers.pop_due(now)?;
        self.values.remove(&id)
    }
}
