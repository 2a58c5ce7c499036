//! Estimates for how long the process may have stalled, so that a request that arrived meanwhile is not taken for
//! a fresh one: its client has been waiting. Free of I/O.

use magpiewick::Ms;

/// Detects stalls of an event loop from the times at which it slept and woke.
pub struct StallDetector {
    /// Delays up to this long are normal.
    tolerance: Ms,
    woke_at: Ms,
    slept_at: Ms,
    max_sleep: Ms,
    max_request_age: Ms,
}

impl StallDetector {
    /// A detector for a loop that starts now; `tolerance` is the longest delay that is not a stall.
    pub fn new(now: Ms, tolerance: Ms) -> StallDetector {
        StallDetector { tolerance, woke_at: now, slept_at: now, max_sleep: 0.0, max_request_age: 0.0 }
    }

    /// The loop goes to sleep, for `max_sleep` at most.
    pub fn on_sleep(&mut self, now: Ms, max_sleep: Ms) {
        (self.slept_at, self.max_sleep) = (now, max_sleep);
    }

    /// The loop woke. What is found in the sockets may be as old as the last time they were known to be empty. On
    /// a machine so busy that every turn is late, requests count as older than they are by the turn's length.
    pub fn on_wake(&mut self, now: Ms) {
        let turn = self.slept_at - self.woke_at;
        let overslept = (now - self.slept_at - self.max_sleep).max(0.0);
        let delay = turn + overslept;
        self.max_request_age = if delay > self.tolerance { delay } else { 0.0 };
        self.woke_at = now;
    }

    /// How old a request may be that is found in a socket now.
    #[must_use]
    pub fn max_request_age(&self) -> Ms {
        self.max_request_age
    }
}

#[cfg(test)]
mod tests;
