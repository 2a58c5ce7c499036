//! Times that others tell by the wall clock, on the loop's monotonic clock; free of I/O.

use magpiewick::Ms;

/// The wall clock as the loop's clock sees it. It may step while the host runs, forward or back: a time that was config
/// may have been read before or after such a step.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// The least Unix time in milliseconds at which the loop's clock would have been 0, by any reading so far.
    epoch: f64,
}

impl WallClock {
    /// `unix`: the wall clock read at `now`.
    pub fn new(unix: f64, now: Ms) -> WallClock {
        WallClock { epoch: unix - now }
    }

    /// The wall clock was read again.
    pub fn read(&mut self, unix: f64, now: Ms) {
        self.epoch = self.epoch.min(unix - now);
    }

    /// When something that was config as past happened on the loop's clock: the latest time that it can have been.
    /// Guards against nodes that have just started and seem warm, as the clock was set back before they did, and
    /// against nodes that seem to start later than now; it costs a slow start where nothing has started.
    pub fn latest(&self, unix: f64, now: Ms) -> Ms {
        (unix - self.epoch).min(now)
    }
}

#[cfg(test)]
mod tests;
