//! What the platform tells a host: the file that `PROXY_CONFIG` names. It is read as a whole or not at all.

use crate::endpoint_list::{self, listing, EndpointList};
use magpiewick::{EndpointClient, Ms, SchedulerConfig};
use magpiewick_instance_settings::{InstanceSettings, PlatformSettings};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The variable that names the file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Far more than any list and settings take; a file that is longer is not ours.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// Less memory than the program itself needs.
const MIN_MEMORY_MB: f64 = 8.0;
/// How many settings are labels that differ: a log is no place for whole files.
const MAX_NAMED: usize = 12;
/// Fewer descriptors leave no limits for clients, nodes and the list together.
const MIN_SOCKETS: usize = 64;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

/// What a host is config, checked.
#[derive(Debug)]
pub struct HostConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub memory_mb: f64,
    /// What of the file only a start takes in: all but the address of discovery and what each start has anew.
    pub fixed: Value,
    /// The endpoint list as the host last had it; none where it never had one.
    pub known: Option<EndpointList>,
    pub start: SchedulerConfig,
    pub settings: PlatformSettings,
    /// How long the host may go without asking for the list; none where it is pushed.
    pub max_poll_interval: Option<Ms>,
}

impl HostConfig {
    /// Whether the host's own agent has the list, and tells it on a watch.
    pub fn pushed(&self) -> bool {
        self.max_poll_interval.is_none()
    }

    /// The client of discovery, which begins with the list that the host remembers.
    pub fn endpoint_client(&self, now: Ms) -> EndpointClient {
        let pace = endpoint_list::pace(self.max_poll_interval, self.settings.pushed);
        let rules = endpoint_list::freshness_rules(self.settings.pushed);
        let known = self.known.as_ref().filter(|known| !known.lines.is_empty());
        let as_of = endpoint_list::cached_list_as_of(now, self.pushed());
        EndpointClient::new(pace, rules, self.start.seed, now, as_of, known.map(|known| known.generation))
    }
}

/// The file that the environment names.
pub fn path() -> Result<PathBuf, String> {
    match std::env::var_os(CONFIG_VARIABLE) {
        Some(path) if !path.is_empty() => Ok(path.into()),
        _ => Err(format!("the variable {CONFIG_VARIABLE} is not set: it must name the configuration file")),
    }
}

pub fn read(path: &Path) -> Result<HostConfig, String> {
    let labels = |e: String| format!("{}: {e}", path.display());
    let length = std::fs::metadata(path).map_err(|e| labels(e.to_string()))?.len();
    if length > MAX_FILE_BYTES {
        return Err(labels(format!("{length} bytes are more than a configuration has")));
    }
    let text = std::fs::read_to_string(path).map_err(|e| labels(e.to_string()))?;
    config(&text).map_err(labels)
}

pub fn config(text: &str) -> Result<HostConfig, String> {
    let mut fixed: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let file = File::deserialize(&fixed).map_err(|e| e.to_string())?;
    if let Some(fields) = fixed.as_object_mut() {
        ["discovery", "known", "seed"].iter().for_each(|name| _ = fields.remove(*name));
    }
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed: {:?} is not a number of up to 16 hex digits", file.seed))?;
    if file.limits.sockets < MIN_SOCKETS {
        return Err(format!("limits.sockets: {} are too few, {MIN_SOCKETS} are needed", file.limits.sockets));
    }
    if file.limits.memory_mb < MIN_MEMORY_MB {
        return Err(format!(
            "limits.memory_mb: {} are too few, {MIN_MEMORY_MB} are needed",
            file.limits.memory_mb
        ));
    }
    let settings = InstanceSettings::json(&file.settings).map_err(|e| format!("settings: {e}"))?;
    let mut start = settings.scheduler_config(seed).map_err(|e| format!("settings: {e}"))?;
    let settings = settings.platform_settings().map_err(|e| format!("settings: {e}"))?;
    // The list client alone decides when the list is asked for.
    let max_poll_interval = start.max_poll_interval.take();
    if start.classes.is_empty() || start.plans.is_empty() {
        return Err("settings: there must be a band and a plan".to_string());
    }
    let known = file.known.filter(|known| !known.is_null());
    let known = known.map(|known| listing(&known).map_err(|e| format!("known: {e}"))).transpose()?;
    Ok(HostConfig {
        name: file.name,
        listen: file.listen,
        discovery: file.discovery,
        sockets: file.limits.sockets,
        memory_mb: file.limits.memory_mb,
        fixed,
        known,
        start,
        settings,
        max_poll_interval,
    })
}

/// The settings in which two files differ, by their dotted names, and how many more there are.
pub fn changed_settings(one: &Value, other: &Value) -> Vec<String> {
    let mut names = Vec::new();
    walk(String::new(), one, other, &mut names);
    let more = names.len().saturating_sub(MAX_NAMED);
    names.truncate(MAX_NAMED);
    if more > 0 {
        names.push(format!("{more} more"));
    }
    names
}

fn walk(name: String, one: &Value, other: &Value, names: &mut Vec<String>) {
    let (Value::Object(left), Value::Object(right)) = (one, other) else {
        if one != other {
            names.push(name);
        }
        return;
    };
    let all: BTreeSet<&String> = left.keys().chain(right.keys()).collect();
    for key in all {
        let dotted = if name.is_empty() { key.clone() } else { format!("{name}.{key}") };
        match (left.get(key), right.get(key)) {
            (Some(one), Some(other)) => walk(dotted, one, other, names),
            _ => names.push(dotted),
        }
    }
}

#[cfg(test)]
mod tests;
