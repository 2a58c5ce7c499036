//! Token bucket with reservations.

use crate::types::Ms;

/// Tokens that refill at a rate up to a capacity. Tokens may be reserved before they are spent; the bucket
/// refills no further than as if they were still in it.
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Ms,
    reserved: f64,
}

impl TokenBucket {
    /// A bucket that holds `tokens` at `now`.
    pub(crate) fn new(now: Ms, tokens: f64) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now, reserved: 0.0 }
    }

    /// Adds what has accrued since the last refill.
    pub(crate) fn refill(&mut self, now: Ms, tokens_per_second: f64, capacity: f64) {
        self.tokens = (self.tokens + (now - self.refilled_at) * tokens_per_second / 1000.0).min(capacity);
        self.refilled_at = now;
    }

    /// Tokens in the bucket, reserved ones included.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Tokens that are not reserved.
    pub(crate) fn available(&self) -> f64 {
        self.tokens - self.reserved
    }

    /// Sets tokens aside.
    pub(crate) fn reserve(&mut self, tokens: f64) {
        self.reserved += tokens;
    }

    /// Gives up a reservation.
    pub(crate) fn release(&mut self, tokens: f64) {
        self.reserved -= tokens;
    }

    /// Takes out tokens that were reserved.
    pub(crate) fn spend_reserved(&mut self, tokens: f64) {
        self.tokens -= tokens;
        self.reserved -= tokens;
    }

    /// Takes tokens out.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Puts tokens back that were taken.
    pub(crate) fn put_back(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Takes tokens out, as far as there are any.
    pub(crate) fn drain(&mut self, tokens: f64) {
        self.tokens = (self.tokens - tokens).max(0.0);
    }
}
