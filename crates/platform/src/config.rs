//! What the platform tells a host: the file that `PROXY_CONFIG` names. It is read as a whole or not at all.

use crate::discovery::{listing, Listing};
use magpiewick::Start;
use magpiewick_facts::{Door, Facts};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The variable that names the file.
const VARIABLE: &str = "PROXY_CONFIG";
/// Far more than any list and settings take; a file that is longer is not ours.
const MOST_FILE: u64 = 8 << 20;
/// Fewer descriptors leave no room for clients, nodes and the list together.
const LEAST_SOCKETS: usize = 64;

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
}

/// What a host is told, checked.
#[derive(Debug)]
pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    /// The list of nodes as the host last had it; none where it never had one.
    pub known: Option<Listing>,
    pub start: Start,
    pub door: Door,
}

/// The file that the environment names.
pub fn path() -> Result<PathBuf, String> {
    match std::env::var_os(VARIABLE) {
        Some(path) if !path.is_empty() => Ok(path.into()),
        _ => Err(format!("the variable {VARIABLE} is not set: it must name the configuration file")),
    }
}

pub fn read(path: &Path) -> Result<Told, String> {
    let named = |e: String| format!("{}: {e}", path.display());
    let length = std::fs::metadata(path).map_err(|e| named(e.to_string()))?.len();
    if length > MOST_FILE {
        return Err(named(format!("{length} bytes are more than a configuration has")));
    }
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    told(&text).map_err(named)
}

pub fn told(text: &str) -> Result<Told, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed: {:?} is not a number of up to 16 hex digits", file.seed))?;
    if file.limits.sockets < LEAST_SOCKETS {
        return Err(format!(
            "limits.sockets: {} are too few, {LEAST_SOCKETS} are needed",
            file.limits.sockets
        ));
    }
    let facts = Facts::json(&file.settings).map_err(|e| format!("settings: {e}"))?;
    let start = facts.start(seed).map_err(|e| format!("settings: {e}"))?;
    let door = facts.door().map_err(|e| format!("settings: {e}"))?;
    if start.bands.is_empty() || start.plans.is_empty() {
        return Err("settings: there must be a band and a plan".to_string());
    }
    let known = file.known.filter(|known| !known.is_null());
    let known = known.map(|known| listing(&known).map_err(|e| format!("known: {e}"))).transpose()?;
    Ok(Told {
        name: file.name,
        listen: file.listen,
        discovery: file.discovery,
        sockets: file.limits.sockets,
        known,
        start,
        door,
    })
}
