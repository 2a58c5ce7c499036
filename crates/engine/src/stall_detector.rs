//! Estimate of the duration of process stalls, so that a request that arrived during a stall is not treated as new
//! although its client has been waiting. Free of I/O.

use magpiewick::Ms;

/// Detector of event loop stalls, based on the times at which the loop slept and woke.
pub struct StallDetector {
    /// Longest delay that is not a stall.
    tolerance: Ms,
    woke_at: Ms,
    slept_at: Ms,
    max_sleep: Ms,
    max_request_age: Ms,
}

impl StallDetector {
    /// Creates a detector for a loop that starts now; `tolerance` is the longest delay that is not a stall.
    pub fn new(now: Ms, tolerance: Ms) -> StallDetector {
        StallDetector { tolerance, woke_at: now, slept_at: now, max_sleep: 0.0, max_request_age: 0.0 }
    }

    /// Records that the loop sleeps, for `max_sleep` at most.
    pub fn on_sleep(&mut self, now: Ms, max_sleep: Ms) {
        (self.slept_at, self.max_sleep) = (now, max_sleep);
    }

    /// Records that the loop has woken. Data in the sockets may be as old as the last time at which the sockets
    /// were known to be empty. On a machine so busy that every loop iteration is late, requests count as older than
    /// they are by the duration of an iteration.
    pub fn on_wake(&mut self, now: Ms) {
        let iteration = self.slept_at - self.woke_at;
        let overslept = (now - self.slept_at - self.max_sleep).max(0.0);
        let delay = iteration + overslept;
        self.max_request_age = if delay > self.tolerance { delay } else { 0.0 };
        self.woke_at = now;
    }

    /// Returns the greatest possible age of a request that is read from a socket now.
    #[must_use]
    pub fn max_request_age(&self) -> Ms {
        self.max_request_age
    }
}

#[cfg(test)]
mod tests;
