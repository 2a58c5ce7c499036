//! When the configuration file is read again, and what of it is taken in.

use crate::config::{changed_settings, ConfigError, HostConfig};
use magpiewick::{Backoff, Ms, RandomSource};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Waits before a file that could not be used is read again: it may have been half written.
const FIRST_RETRY_MS: Ms = 50.0;
const MAX_RETRY_MS: Ms = 1000.0;

/// What came of reading the file again.
#[derive(Debug)]
pub(crate) enum ReloadEvent {
    /// It could not be used, and is read again after a while.
    Failed {
        /// Why.
        error: ConfigError,
        /// Whether it is the first failure since the reload was requested.
        first: bool,
    },
    /// It was read.
    Loaded {
        /// The address of discovery.
        discovery: SocketAddr,
        /// Settings that have changed and are taken in at the next start only.
        needs_restart: Vec<String>,
    },
}

/// The configuration file, and whether it has to be read again.
pub(crate) struct ConfigReload {
    path: PathBuf,
    startup_settings: Value,
    retry_at: Option<Ms>,
    /// The latest request was not tried yet.
    requested: bool,
    backoff: Backoff,
    rng: RandomSource,
}

impl ConfigReload {
    /// `config`: what the host has started with.
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

    /// The operator has replaced the file and requested a reload.
    pub(crate) fn request(&mut self) {
        self.requested = true;
        self.backoff.reset();
    }

    /// Reads the file. One that cannot be used changes nothing, and is read again without another request.
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

    /// When the file is read again.
    pub(crate) fn retry_at(&self) -> Option<Ms> {
        self.retry_at
    }

    /// Whether that time has come.
    pub(crate) fn is_due(&self, now: Ms) -> bool {
        self.retry_at.is_some_and(|at| now >= at)
    }
}
