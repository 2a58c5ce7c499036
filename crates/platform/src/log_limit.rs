//! Rate limit for log lines of one kind; free of I/O.

use magpiewick::Ms;

/// Token bucket that admits log lines of one kind up to a burst and a sustained rate, and counts the suppressed lines.
#[derive(Clone, Debug)]
pub(crate) struct LogLimit {
    burst: f64,
    per_second: f64,
    tokens: f64,
    refilled_at: Ms,
    suppressed: u64,
}

impl LogLimit {
    /// Creates a full bucket. `burst`: lines that may be written at once; `per_second`: sustained rate of lines.
    pub(crate) fn new(burst: u32, per_second: f64) -> LogLimit {
        let burst = f64::from(burst);
        LogLimit { burst, per_second, tokens: burst, refilled_at: 0.0, suppressed: 0 }
    }

    /// Admits a line: returns the number of lines suppressed since the last admitted one, or none where this line is
    /// suppressed.
    pub(crate) fn admit(&mut self, now: Ms) -> Option<u64> {
        let refill = (now - self.refilled_at).max(0.0) / 1000.0 * self.per_second;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests;
