//! A monotonic clock in milliseconds and things due on it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Milliseconds since a start; never runs back. Copies tell the same time.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0
    }

    /// The time from `now` until `at`, none where that is over.
    pub fn until(now: f64, at: f64) -> Duration {
        // Rounded up to the poller's grain, or a loop would turn idly until a time within it.
        Duration::from_micros(((at - now).max(0.0) * 1000.0).ceil() as u64)
    }
}

/// Things due at times; of one time, in the order they were set. They are not taken back: what is no longer
/// wanted is passed over when it is due.
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(u64, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T: Ord> Timers<T> {
    pub fn set(&mut self, at: f64, what: T) {
        self.set += 1;
        self.heap.push(Reverse(((at.max(0.0) * 1000.0).ceil() as u64, self.set, what)));
    }

    pub fn next_at(&self) -> Option<f64> {
        self.heap.peek().map(|Reverse((at, ..))| *at as f64 / 1000.0)
    }

    /// The next thing that is due by now.
    pub fn due(&mut self, now: f64) -> Option<T> {
        self.next_at().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., what))| what)
    }
}
