//! Token bucket with reservations.

use crate::types::Ms;

/// Token bucket that refills at a rate up to a capacity. Tokens may be reserved before they are spent;
/// reserved tokens count as present when the bucket refills.
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Ms,
    reserved: f64,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` at `now`.
    pub(crate) fn new(now: Ms, tokens: f64) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now, reserved: 0.0 }
    }

    /// Adds the tokens accrued since the last refill.
    pub(crate) fn refill(&mut self, now: Ms, tokens_per_second: f64, capacity: f64) {
        self.tokens = (self.tokens + (now - self.refilled_at) * tokens_per_second / 1000.0).min(capacity);
        self.refilled_at = now;
    }

    /// Returns the tokens in the bucket, including reserved ones.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the tokens that are not reserved.
    pub(crate) fn available(&self) -> f64 {
        self.tokens - self.reserved
    }

    /// Reserves tokens.
    pub(crate) fn reserve(&mut self, tokens: f64) {
        self.reserved += tokens;
    }

    /// Releases reserved tokens.
    pub(crate) fn release(&mut self, tokens: f64) {
        self.reserved -= tokens;
    }

    /// Removes tokens that were reserved.
    pub(crate) fn spend_reserved(&mut self, tokens: f64) {
        self.tokens -= tokens;
        self.reserved -= tokens;
    }

    /// Removes tokens, even more than the bucket holds.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Returns tokens that [`TokenBucket::take`] has removed.
    pub(crate) fn put_back(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Removes tokens, at most as many as the bucket holds.
    pub(crate) fn drain(&mut self, tokens: f64) {
        self.tokens = (self.tokens - tokens).max(0.0);
    }
}
