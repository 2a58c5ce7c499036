//! Times of the wall clock on the loop's monotonic clock.

use magpiewick::Ms;
use std::time::SystemTime;

/// The wall clock as the loop's clock sees it. It may step forward or back while the host runs, and a time may have
/// been read before or after such a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WallClock {
    /// The least Unix time in milliseconds at which the loop's clock was 0, by any reading so far.
    epoch: f64,
}

impl WallClock {
    /// `unix`: the wall clock read at `now`.
    pub(crate) fn new(unix: f64, now: Ms) -> WallClock {
        WallClock { epoch: unix - now }
    }

    /// The wall clock was read again.
    pub(crate) fn read(&mut self, unix: f64, now: Ms) {
        self.epoch = self.epoch.min(unix - now);
    }

    /// The latest time on the loop's clock that a Unix time in the past can mean. An endpoint that has just started
    /// must not seem warm because a clock was set back; a needless slow start costs less.
    pub(crate) fn latest(&self, unix: f64, now: Ms) -> Ms {
        (unix - self.epoch).min(now)
    }
}

/// The wall clock's Unix time in milliseconds.
pub(crate) fn unix_time() -> f64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

#[cfg(test)]
mod tests;
