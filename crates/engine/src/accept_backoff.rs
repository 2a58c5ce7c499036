//! When connections are accepted again after the system has refused to; free of I/O.

use magpiewick::Ms;

/// Refusals in a row after which it is tried again at once: a call that failed by chance must not hold up the clients
/// that are waiting, whose requests count as received.
const IMMEDIATE_RETRIES: u32 = 3;
/// The first pause after that, and the longest; each is twice the one before. Without a pause the event loop would
/// spin.
const FIRST_PAUSE_MS: Ms = 2.0;
const MAX_PAUSE_MS: Ms = 50.0;

/// How often the system has refused in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptBackoff {
    refusals: u32,
}

impl AcceptBackoff {
    /// A connection was accepted, or none was waiting.
    pub fn reset(&mut self) {
        self.refusals = 0;
    }

    /// The system refused once more: how long to wait, none to try again at once.
    #[must_use]
    pub fn next_pause(&mut self) -> Option<Ms> {
        self.refusals = self.refusals.saturating_add(1);
        let pauses_before = self.refusals.checked_sub(IMMEDIATE_RETRIES + 1)?;
        Some((FIRST_PAUSE_MS * 2f64.powi(pauses_before.min(10) as i32)).min(MAX_PAUSE_MS))
    }
}

#[cfg(test)]
mod tests;
