//! How late an event loop was: what it handled late tells of the loop, not of its peers.

/// The longest delay of an event loop: how long one turn took, with how much longer than asked it slept before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoopDelay {
    woke_at: f64,
    slept_at: f64,
    wake_at: f64,
    longest: f64,
}

impl LoopDelay {
    /// A loop that begins now.
    pub fn start(now: f64) -> LoopDelay {
        LoopDelay { woke_at: now, slept_at: now, wake_at: now, longest: 0.0 }
    }

    /// The loop goes to sleep, until `wake_at` at the latest. Returns how long its turn took.
    pub fn on_sleep(&mut self, now: f64, wake_at: f64) -> f64 {
        let turn = now - self.woke_at;
        let overslept = (self.woke_at - self.wake_at.max(self.slept_at)).max(0.0);
        self.longest = self.longest.max(overslept + turn);
        (self.slept_at, self.wake_at) = (now, wake_at);
        turn
    }

    /// The loop woke.
    pub fn on_wake(&mut self, now: f64) {
        self.woke_at = now;
    }

    /// The longest delay so far, in milliseconds.
    pub fn longest(&self) -> f64 {
        self.longest
    }
}

#[cfg(test)]
mod tests;
