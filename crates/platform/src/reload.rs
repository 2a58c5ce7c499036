//! When the configuration file is read again; free of I/O.

use magpiewick::{Backoff, Ms, RandomSource};

/// Waits before a file that could not be used is read again: it may have been met half written.
const FIRST_RETRY_MS: Ms = 50.0;
const MAX_RETRY_MS: Ms = 1000.0;

/// Whether a new configuration is pending that was announced and could not be read.
pub struct Reload {
    retry_at: Option<Ms>,
    /// What was announced last was not met yet.
    new: bool,
    backoff: Backoff,
    rng: RandomSource,
}

impl Reload {
    pub fn new(seed: u64) -> Reload {
        let backoff = Backoff::new(FIRST_RETRY_MS, MAX_RETRY_MS);
        Reload { retry_at: None, new: false, backoff, rng: RandomSource::new(seed) }
    }

    /// The operator announced a new configuration.
    pub fn announced(&mut self) {
        self.new = true;
        self.backoff.reset();
    }

    /// The file could not be used. It is read again until it can be, without another announcement. Whether it is the
    /// first time since the last one.
    pub fn refused(&mut self, now: Ms) -> bool {
        self.retry_at = Some(now + self.backoff.failed(&mut self.rng));
        std::mem::take(&mut self.new)
    }

    /// The file was read.
    pub fn done(&mut self) {
        self.retry_at = None;
    }

    pub fn retry_at(&self) -> Option<Ms> {
        self.retry_at
    }

    pub fn is_due(&self, now: Ms) -> bool {
        self.retry_at.is_some_and(|at| now >= at)
    }
}
