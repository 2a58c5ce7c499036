//! The configuration file of a host, which `PROXY_CONFIG` names. It is read as a whole or not at all.

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

/// The variable that names the file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Far more than any list and settings take.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// What the program itself needs.
const MIN_MEMORY_MB: f64 = 8.0;
/// Fewer descriptors leave no room for clients, endpoints and discovery together.
const MIN_SOCKETS: usize = 64;
/// How many settings that differ are named in the log.
const MAX_NAMED_SETTINGS: usize = 12;

/// Why a host has no configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("the variable {CONFIG_VARIABLE} is not set: it must name the configuration file")]
    VariableNotSet,
    /// The file cannot be used.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: FileError,
    },
}

/// Why a configuration file cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It is too long.
    #[error("{0} bytes are more than a configuration has")]
    TooLong(u64),
    /// It is no JSON of this shape.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is no number.
    #[error("seed: {0:?} is not a number of up to 16 hex digits")]
    InvalidSeed(String),
    /// There are too few descriptors.
    #[error("limits.sockets: {0} are too few, {MIN_SOCKETS} are needed")]
    TooFewSockets(usize),
    /// There is too little memory.
    #[error("limits.memory_mb: {0} are too few, {MIN_MEMORY_MB} are needed")]
    TooLittleMemory(f64),
    /// A setting is wrong.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// There is no request class or no QoS policy.
    #[error("settings: there must be a band and a plan")]
    NoClassOrPolicy,
    /// The endpoint list that the host starts with is wrong.
    #[error("known: {0}")]
    KnownList(#[from] ListError),
}

/// The file as it is written.
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

/// A checked configuration.
#[derive(Debug)]
pub(crate) struct HostConfig {
    /// The host's name.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// How many descriptors the process may have.
    pub sockets: usize,
    /// How much memory the process may take.
    pub memory_mb: f64,
    /// What is taken in at a start only: all but discovery's address and what each start has anew.
    pub startup_settings: Value,
    /// The endpoint list as the host last had it.
    pub known_list: Option<EndpointList>,
    /// The scheduler's settings.
    pub scheduler: SchedulerConfig,
    /// The settings of connections and requests.
    pub settings: PlatformSettings,
    /// How long the host may go without polling the endpoint list; none where it is pushed.
    pub max_poll_interval: Option<Ms>,
}

impl HostConfig {
    /// Reads and checks a file.
    pub(crate) fn read(path: &Path) -> Result<HostConfig, ConfigError> {
        let config = read_text(path).and_then(|text| HostConfig::parse(&text));
        config.map_err(|source| ConfigError::File { path: path.to_path_buf(), source })
    }

    /// Checks the text of a file.
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
        let instance = InstanceSettings::from_json(&file.settings)?;
        let mut scheduler = instance.scheduler_config(seed)?;
        let settings = instance.platform_settings()?;
        // The endpoint client alone decides when the list is polled.
        let max_poll_interval = scheduler.max_poll_interval.take();
        if scheduler.classes.is_empty() || scheduler.policies.is_empty() {
            return Err(FileError::NoClassOrPolicy);
        }
        let known = file.known.filter(|known| !known.is_null());
        let known_list = known.map(|known| EndpointList::from_json(&known)).transpose()?;
        Ok(HostConfig {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            startup_settings,
            known_list,
            scheduler,
            settings,
            max_poll_interval,
        })
    }

    /// Whether the host's own agent has the list, and answers polls with it.
    pub(crate) fn is_list_pushed(&self) -> bool {
        self.max_poll_interval.is_none()
    }

    /// The client of discovery, which begins with the list that the host starts with.
    pub(crate) fn endpoint_client(&self, now: Ms) -> EndpointClient {
        let pace = endpoint_list::pace(self.max_poll_interval, self.settings.drain_grace);
        let rules = endpoint_list::freshness_rules(self.settings.drain_grace);
        let known = self.known_list.as_ref().filter(|list| !list.records.is_empty());
        let as_of = endpoint_list::cached_list_as_of(now, self.is_list_pushed());
        let generation = known.map(|list| list.generation);
        EndpointClient::new(pace, rules, self.scheduler.seed, now, as_of, generation)
    }
}

/// The file that the environment names.
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

/// The settings in which two files differ, by their dotted names, and how many more there are.
pub(crate) fn changed_settings(before: &Value, after: &Value) -> Vec<String> {
    let mut names = Vec::new();
    collect_changes(String::new(), before, after, &mut names);
    let more = names.len().saturating_sub(MAX_NAMED_SETTINGS);
    names.truncate(MAX_NAMED_SETTINGS);
    if more > 0 {
        names.push(format!("{more} more"));
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
