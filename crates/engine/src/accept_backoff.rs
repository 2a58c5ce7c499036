//! Backoff of accepting connections after the system has failed to accept one; free of I/O.

use magpiewick::Ms;

/// Number of consecutive failures that are retried immediately: a single failed call must not delay waiting
/// clients, whose requests count as received.
const IMMEDIATE_RETRIES: u32 = 3;
/// First pause after the immediate retries, and the longest; each pause is twice the one before. Without a pause
/// the event loop would spin.
const FIRST_PAUSE_MS: Ms = 2.0;
const MAX_PAUSE_MS: Ms = 50.0;

/// Backoff by the number of consecutive failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptBackoff {
    failures: u32,
}

impl AcceptBackoff {
    /// Resets the backoff after a connection was accepted or none was waiting.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the pause before the next try, or none for an immediate retry.
    #[must_use]
    pub fn next_pause(&mut self) -> Option<Ms> {
        self.failures = self.failures.saturating_add(1);
        let previous_pauses = self.failures.checked_sub(IMMEDIATE_RETRIES + 1)?;
        Some((FIRST_PAUSE_MS * 2f64.powi(previous_pauses.min(10) as i32)).min(MAX_PAUSE_MS))
    }
}

#[cfg(test)]
mod tests;
