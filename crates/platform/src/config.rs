//! Configuration file of a host, named by `PROXY_CONFIG`. The file is accepted as a whole or rejected.

use crate::endpoint_list::{self, EndpointList, ListError};
use magpiewick::{EndpointClient, Ms, SchedulerConfig};
use magpiewick_instance_settings::{InstanceSettings, PlatformSettings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Limit of the file size, far above the size of any endpoint list with settings.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// Memory that the program itself requires.
const MIN_MEMORY_MB: f64 = 8.0;
/// Lower limit of descriptors: fewer do not suffice for clients, endpoints and discovery together.
const MIN_SOCKETS: usize = 64;
/// Limit of the changed settings that are named in the log.
const MAX_NAMED_SETTINGS: usize = 12;

/// Reason why a host has no configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable is unset or empty.
    #[error("the variable {CONFIG_VARIABLE} is not set: it must name the configuration file")]
    VariableNotSet,
    /// The file cannot be used.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: FileError,
    },
}

/// Reason why a configuration file cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file is too long.
    #[error("the file has {0} bytes; the limit is {MAX_FILE_BYTES}")]
    TooLong(u64),
    /// The file is not JSON, or has another structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number.
    #[error("seed: {0:?} is not a number of up to 16 hex digits")]
    InvalidSeed(String),
    /// The descriptor limit is too low.
    #[error("limits.sockets is {0}; at least {MIN_SOCKETS} are required")]
    TooFewSockets(usize),
    /// The memory limit is too low.
    #[error("limits.memory_mb is {0}; at least {MIN_MEMORY_MB} is required")]
    TooLittleMemory(f64),
    /// A setting is invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The settings define no request class or no QoS policy.
    #[error("settings: profiles and service_levels must each have at least one entry")]
    NoClassOrPolicy,
    /// The cached endpoint list is invalid.
    #[error("known: {0}")]
    CachedList(#[from] ListError),
}

/// Structure of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: ProcessLimits,
    #[serde(default)]
    known: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
struct ProcessLimits {
    sockets: usize,
    memory_mb: f64,
}

/// Validated configuration.
#[derive(Debug)]
pub(crate) struct HostConfig {
    /// Name of the host.
    pub name: String,
    /// Address on which the host listens for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Limit of the descriptors of the process.
    pub sockets: usize,
    /// Limit of the memory of the process in bytes.
    pub memory_bytes: usize,
    /// Settings that are applied only at a start: all except discovery's address, the cached endpoint list and the
    /// seed.
    pub startup_settings: Value,
    /// Endpoint list that the host most recently received.
    pub cached_list: Option<EndpointList>,
    /// Settings of the scheduler.
    pub scheduler: SchedulerConfig,
    /// Settings of connections and requests.
    pub settings: PlatformSettings,
    /// Limit of the time between polls of the endpoint list; none where the list is pushed.
    pub max_poll_interval: Option<Ms>,
}

/// Unit of `limits.memory_mb`.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

impl HostConfig {
    /// Reads and validates a configuration file.
    pub(crate) fn read(path: &Path) -> Result<HostConfig, ConfigError> {
        let config = read_text(path).and_then(|text| HostConfig::parse(&text));
        config.map_err(|source| ConfigError::File { path: path.to_path_buf(), source })
    }

    /// Validates the text of a configuration file.
    fn parse(text: &str) -> Result<HostConfig, FileError> {
        let mut startup_settings: Value = serde_json::from_str(text)?;
        let file = ConfigFile::deserialize(&startup_settings)?;
        if let Some(fields) = startup_settings.as_object_mut() {
            for name in ["discovery", "known", "seed"] {
                fields.remove(name);
            }
        }
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|_| FileError::InvalidSeed(file.seed.clone()))?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(FileError::TooFewSockets(file.limits.sockets));
        }
        if file.limits.memory_mb < MIN_MEMORY_MB {
            return Err(FileError::TooLittleMemory(file.limits.memory_mb));
        }
        let instance_settings = InstanceSettings::from_json(&file.settings)?;
        let mut scheduler = instance_settings.scheduler_config(seed)?;
        let settings = instance_settings.platform_settings()?;
        // Only the endpoint client decides when the list is polled.
        let max_poll_interval = scheduler.max_poll_interval.take();
        if scheduler.classes.is_empty() || scheduler.policies.is_empty() {
            return Err(FileError::NoClassOrPolicy);
        }
        let cached = file.known.filter(|list| !list.is_null());
        let cached_list = cached.map(|list| EndpointList::from_json(&list)).transpose()?;
        Ok(HostConfig {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            sockets: file.limits.sockets,
            memory_bytes: (file.limits.memory_mb * BYTES_PER_MB) as usize,
            startup_settings,
            cached_list,
            scheduler,
            settings,
            max_poll_interval,
        })
    }

    /// Returns whether the endpoint list is pushed to the host's own agent, which answers polls with its copy.
    pub(crate) fn is_list_pushed(&self) -> bool {
        self.max_poll_interval.is_none()
    }

    /// Creates the discovery client, which starts from the cached endpoint list.
    pub(crate) fn endpoint_client(&self, now: Ms) -> EndpointClient {
        let timing = endpoint_list::poll_timing(self.max_poll_interval, self.settings.drain_grace);
        let rules = endpoint_list::freshness_rules(self.settings.drain_grace);
        let cached = self.cached_list.as_ref().filter(|list| !list.records.is_empty());
        let as_of = endpoint_list::cached_list_as_of(now, self.is_list_pushed());
        let generation = cached.map(|list| list.generation);
        EndpointClient::new(timing, rules, self.scheduler.seed, now, as_of, generation)
    }
}

/// Returns the path of the configuration file from the environment.
pub(crate) fn path() -> Result<PathBuf, ConfigError> {
    match std::env::var_os(CONFIG_VARIABLE) {
        Some(path) if !path.is_empty() => Ok(path.into()),
        _ => Err(ConfigError::VariableNotSet),
    }
}

fn read_text(path: &Path) -> Result<String, FileError> {
    let length = std::fs::metadata(path)?.len();
    if length > MAX_FILE_BYTES {
        return Err(FileError::TooLong(length));
    }
    Ok(std::fs::read_to_string(path)?)
}

/// Returns the dotted names of the settings that differ between two files, and the number of those beyond the limit.
pub(crate) fn changed_settings(before: &Value, after: &Value) -> Vec<String> {
    let mut names = Vec::new();
    collect_changes(String::new(), before, after, &mut names);
    let omitted = names.len().saturating_sub(MAX_NAMED_SETTINGS);
    names.truncate(MAX_NAMED_SETTINGS);
    if omitted > 0 {
        names.push(format!("{omitted} more"));
    }
    names
}

fn collect_changes(name: String, before: &Value, after: &Value, names: &mut Vec<String>) {
    let (Value::Object(left), Value::Object(right)) = (before, after) else {
        if before != after {
            names.push(name);
        }
        return;
    };
    let keys: BTreeSet<&String> = left.keys().chain(right.keys()).collect();
    for key in keys {
        let dotted = if name.is_empty() { key.clone() } else { format!("{name}.{key}") };
        match (left.get(key), right.get(key)) {
            (Some(left), Some(right)) => collect_changes(dotted, left, right, names),
            _ => names.push(dotted),
        }
    }
}

#[cfg(test)]
mod tests;
