//! Delay of an event loop. Events that the loop handled late reflect its own delay and not that of its peers.

/// Longest delay of an event loop. The delay of a turn is its duration plus the time by which the preceding
/// sleep was too long.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoopDelay {
    woke_at: f64,
    slept_at: f64,
    wake_at: f64,
    longest: f64,
}

impl LoopDelay {
    /// Creates the state of a loop that starts now.
    pub fn start(now: f64) -> LoopDelay {
        LoopDelay { woke_at: now, slept_at: now, wake_at: now, longest: 0.0 }
    }

    /// Records that the loop goes to sleep, at the latest until `wake_at`. Returns the duration of the turn.
    pub fn on_sleep(&mut self, now: f64, wake_at: f64) -> f64 {
        let turn = now - self.woke_at;
        let overslept = (self.woke_at - self.wake_at.max(self.slept_at)).max(0.0);
        self.longest = self.longest.max(overslept + turn);
        (self.slept_at, self.wake_at) = (now, wake_at);
        turn
    }

    /// Records that the loop woke.
    pub fn on_wake(&mut self, now: f64) {
        self.woke_at = now;
    }

    /// Returns the longest delay, in milliseconds.
    pub fn longest(&self) -> f64 {
        self.longest
    }
}

#[cfg(test)]
mod tests;
