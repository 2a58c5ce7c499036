//! Reloads of the configuration file, and the settings that a reload applies.

use crate::config::{changed_settings, ConfigError, HostConfig};
use magpiewick::{Backoff, Ms, RandomSource};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// First and longest wait before an unusable file is read again: the file may have been only half written.
const FIRST_RETRY_MS: Ms = 50.0;
const MAX_RETRY_MS: Ms = 1000.0;

/// Result of reading the configuration file again.
#[derive(Debug)]
pub(crate) enum ReloadEvent {
    /// The file could not be used, and is read again after a wait.
    Failed {
        /// Cause of the failure.
        error: ConfigError,
        /// True if this is the first failure since the reload was requested.
        first: bool,
    },
    /// The file was read.
    Loaded {
        /// Address of discovery.
        discovery: SocketAddr,
        /// Changed settings that are applied only at the next start.
        needs_restart: Vec<String>,
    },
}

/// Configuration file with the state of its reload.
pub(crate) struct ConfigReload {
    path: PathBuf,
    startup_settings: Value,
    retry_at: Option<Ms>,
    /// True if the latest request has not been attempted yet.
    requested: bool,
    backoff: Backoff,
    rng: RandomSource,
}

impl ConfigReload {
    /// Creates the state of a host that started with `config`.
    pub(crate) fn new(path: PathBuf, config: &HostConfig) -> ConfigReload {
        ConfigReload {
            path,
            startup_settings: config.startup_settings.clone(),
            retry_at: None,
            requested: false,
            backoff: Backoff::new(FIRST_RETRY_MS, MAX_RETRY_MS),
            rng: RandomSource::new(config.scheduler.seed),
        }
    }

    /// Records that the operator has requested a reload.
    pub(crate) fn request(&mut self) {
        self.requested = true;
        self.backoff.reset();
    }

    /// Reads the file. An unusable file changes nothing, and is read again without another request.
    pub(crate) fn read(&mut self, now: Ms) -> ReloadEvent {
        match HostConfig::read(&self.path) {
            Ok(config) => {
                self.retry_at = None;
                let needs_restart = changed_settings(&self.startup_settings, &config.startup_settings);
                ReloadEvent::Loaded { discovery: config.discovery, needs_restart }
            }
            Err(error) => {
                self.retry_at = Some(now + self.backoff.failed(&mut self.rng));
                ReloadEvent::Failed { error, first: std::mem::take(&mut self.requested) }
            }
        }
    }

    /// Returns the time at which the file is read again.
    pub(crate) fn retry_at(&self) -> Option<Ms> {
        self.retry_at
    }

    /// Returns whether a retry is due.
    pub(crate) fn is_due(&self, now: Ms) -> bool {
        self.retry_at.is_some_and(|at| now >= at)
    }
}
