//! Conversion of wall-clock times to the event loop's monotonic clock.

use magpiewick::Ms;
use std::time::SystemTime;

/// Offset of the wall clock from the event loop's clock. The wall clock may step forward or back while the host runs,
/// and a time may have been read before or after such a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WallClock {
    /// Lowest Unix time in milliseconds that corresponds to 0 on the loop's clock, by all readings so far.
    epoch: f64,
}

impl WallClock {
    /// Creates the offset from a reading `unix` of the wall clock at `now`.
    pub(crate) fn new(unix: f64, now: Ms) -> WallClock {
        WallClock { epoch: unix - now }
    }

    /// Records another reading of the wall clock.
    pub(crate) fn record(&mut self, unix: f64, now: Ms) {
        self.epoch = self.epoch.min(unix - now);
    }

    /// Returns the latest time on the loop's clock that a Unix time in the past can denote. An endpoint that has just
    /// started must not be treated as warm because a clock was set back; an unnecessary slow start costs less.
    pub(crate) fn latest_loop_time(&self, unix: f64, now: Ms) -> Ms {
        (unix - self.epoch).min(now)
    }
}

/// Returns the Unix time of the wall clock in milliseconds.
pub(crate) fn unix_time() -> f64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

#[cfg(test)]
mod tests;
