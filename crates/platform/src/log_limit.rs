//! A rate limit for log lines of one kind; free of I/O.

use magpiewick::Ms;

/// Lets log lines of one kind through up to a burst and a lasting rate, and counts those that it holds back.
#[derive(Clone, Debug)]
pub(crate) struct LogLimit {
    burst: f64,
    per_second: f64,
    tokens: f64,
    filled_at: Ms,
    suppressed: u64,
}

impl LogLimit {
    /// `burst`: lines that may be written at once; `per_second`: lines in the long run.
    pub(crate) fn new(burst: u32, per_second: f64) -> LogLimit {
        let burst = f64::from(burst);
        LogLimit { burst, per_second, tokens: burst, filled_at: 0.0, suppressed: 0 }
    }

    /// Whether a line may be written now: the number of lines suppressed since the last one, or none.
    pub(crate) fn admit(&mut self, now: Ms) -> Option<u64> {
        let gained = (now - self.filled_at).max(0.0) / 1000.0 * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled_at = now;
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
