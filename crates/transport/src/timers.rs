//! A monotonic clock in milliseconds, and timers on it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Monotonic clock in milliseconds since its start. Copies show the same time.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts at 0 now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns the time from `now` until `due_at`; zero where `due_at` has passed.
    pub fn duration_until(now: f64, due_at: f64) -> Duration {
        // Rounded up to the poller's resolution, as a loop would otherwise spin until the exact time.
        Duration::from_micros(((due_at - now).max(0.0) * 1000.0).ceil() as u64)
    }
}

/// Timers, ordered by due time and, where due times are equal, by the order in which they were set. Timers
/// cannot be cancelled: the owner ignores a due timer that is no longer needed.
pub struct Timers<T> {
    /// Timers ordered by due time in microseconds, then by serial number.
    heap: BinaryHeap<Reverse<(u64, u64, T)>>,
    serial: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), serial: 0 }
    }
}

impl<T: Ord> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, due_at: f64, timer: T) {
        self.serial += 1;
        let due_at_us = (due_at.max(0.0) * 1000.0).ceil() as u64;
        self.heap.push(Reverse((due_at_us, self.serial, timer)));
    }

    /// Returns the time at which the next timer is due.
    pub fn next_due_at(&self) -> Option<f64> {
        self.heap.peek().map(|Reverse((due_at_us, ..))| *due_at_us as f64 / 1000.0)
    }

    /// Removes and returns the next timer that is due at `now`.
    pub fn pop_due(&mut self, now: f64) -> Option<T> {
        self.next_due_at().filter(|due_at| *due_at <= now)?;
        self.heap.pop().map(|Reverse((.., timer))| timer)
    }
}
