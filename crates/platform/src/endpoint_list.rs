//! The endpoint list as discovery tells it, and how discovery is to be asked; free of I/O.

use magpiewick::{EndpointState, FreshnessRules, Ms, Pace};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a watch may wait at discovery. What a silent discovery has to tell counts as config 2 s after the wait
/// ends, so the host must notice within that; an answer without changes has no lines and costs next to nothing.
const WATCH_WAIT_MS: Ms = 2000.0;
/// How long over its wait a watch may take before another call is made beside it, and how long the first call after a
/// failure may: a discovery with many callers answers what stands in its line for up to 2 s, and of two calls of one
/// host it was seen to turn away both (of 60 hosts that gave up after 1.4 s, 1.5 a second were answered, of those that
/// did not 13).
const WATCH_LATE_MS: Ms = 900.0;
const FIRST_CALL_LATE_MS: Ms = 2000.0;
/// How long the first call after a failure waits: it tells soon whether it was heard. Not at once: a discovery that has
/// other callers turns away who would not wait for them (28 of 30 hosts that started together, 24 times each).
const FIRST_CALL_WAIT_MS: Ms = 500.0;
/// Calls that may be out at once. With each late one a further one is begun, so that answers that take almost as long
/// as a change takes to count as config are not given up.
const MAX_CALLS: usize = 3;
/// Where endpoint_lists_applied are pushed, the parts of the time left after a drain was config in which a watch waits and is late.
const PUSHED_WAIT_SHARE: f64 = 0.4;
const PUSHED_LATE_SHARE: f64 = 0.25;
/// A host of pushed endpoint_lists_applied is never given less time than this, whatever its settings say.
const MIN_DRAIN_GRACE_MS: Ms = 100.0;
/// A change counts as config so long after discovery had it, and so long after SIGHUP, whatever fails.
const BINDING_DELAY_MS: Ms = 6000.0;
const BINDING_DELAY_AFTER_RELOAD_MS: Ms = 4000.0;
/// How old the list may be that a process remembers: the one before it heard discovery some time before it ended, and
/// it took some time to start anew.
const CACHED_LIST_AGE_MS: Ms = 3000.0;
/// A process may stand still for so long between reading its clock and writing.
const MAX_PROCESS_STALL_MS: Ms = 150.0;

/// How calls to discovery are paced: `max_poll_interval`, how long the host may go without asking, where endpoint_lists_applied are asked
/// for; `pushed`, for how long a node may still be sent to after its drain was config, where they are pushed. There the
/// host's own agent tells the list, and what it has counts as config whether or not it was read: a watch that broke
/// unnoticed must be over, and made anew, before that time is. Guards against agents that fall silent, and that were
/// and are back; it costs a call without lines every so often, to the host's own machine. Where endpoint_lists_applied are asked for, a
/// call is a load on the one service of all hosts, and its news count when they are written.
pub fn pace(max_poll_interval: Option<Ms>, pushed: Option<Ms>) -> Pace {
    let Some(max_poll_interval) = max_poll_interval else {
        let grace = pushed.unwrap_or(0.0).max(MIN_DRAIN_GRACE_MS);
        return Pace {
            wait: (PUSHED_WAIT_SHARE * grace).min(WATCH_WAIT_MS).floor(),
            first_wait: 0.0,
            late: (PUSHED_LATE_SHARE * grace).min(WATCH_LATE_MS),
            first_late: (PUSHED_LATE_SHARE * grace).min(WATCH_LATE_MS),
            most_calls: 1,
            max_poll_interval: grace,
        };
    };
    Pace {
        wait: WATCH_WAIT_MS,
        first_wait: FIRST_CALL_WAIT_MS,
        late: WATCH_LATE_MS,
        first_late: FIRST_CALL_LATE_MS,
        most_calls: MAX_CALLS,
        max_poll_interval,
    }
}

/// As of when a list that a process starts with counts as complete. What an agent has counts as config from the first
/// moment of a process.
pub fn cached_list_as_of(now: Ms, pushed: bool) -> Ms {
    if pushed {
        f64::NEG_INFINITY
    } else {
        now - CACHED_LIST_AGE_MS
    }
}

/// When a change counts as config that the host has not heard of.
pub fn freshness_rules(pushed: Option<Ms>) -> FreshnessRules {
    match pushed {
        // It counts at once, and the time left after it covers a process that stands still.
        Some(grace) => FreshnessRules {
            binds_after: grace.max(MIN_DRAIN_GRACE_MS),
            binds_after_reload: BINDING_DELAY_AFTER_RELOAD_MS,
            stall: 0.0,
            silent_when_down: true,
        },
        None => FreshnessRules {
            binds_after: BINDING_DELAY_MS,
            binds_after_reload: BINDING_DELAY_AFTER_RELOAD_MS,
            stall: MAX_PROCESS_STALL_MS,
            silent_when_down: false,
        },
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    pub id: String,
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub shard: usize,
    pub state: EndpointState,
    /// Unix time in milliseconds; none: long ago.
    pub started: Option<u64>,
}

/// An answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    pub generation: u64,
    pub whole: bool,
    pub lines: Vec<EndpointRecord>,
}

#[derive(Deserialize)]
struct HostConfig {
    generation: u64,
    reset: bool,
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: Option<u16>,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: Option<f64>,
}

/// The most bytes that a node's id may have; a real one has a few.
const MAX_ID_BYTES: usize = 128;

fn line(i: Instance) -> Result<EndpointRecord, String> {
    let state = match i.lifecycle.as_str() {
        "SERVING" => EndpointState::Ready,
        "DRAINING" => EndpointState::Draining,
        "DELETED" => EndpointState::Removed,
        other => return Err(format!("{}: impossible lifecycle {other:?}", i.instance_id)),
    };
    if i.instance_id.is_empty() || i.instance_id.len() > MAX_ID_BYTES {
        return Err("an instanceId that is none".to_string());
    }
    let gone = state == EndpointState::Removed;
    let address = match &i.host_port {
        Some(text) => match text.parse() {
            Ok(address) => Some(address),
            Err(_) if gone => None,
            Err(_) => return Err(format!("{}: {text:?} is no address", i.instance_id)),
        },
        None if gone => None,
        None => return Err(format!("{}: hostPort is missing", i.instance_id)),
    };
    let shard = match i.cell {
        Some(cell) => usize::from(cell),
        None if gone => 0,
        None => return Err(format!("{}: cell is missing", i.instance_id)),
    };
    let started = match i.started_at_ms {
        Some(at) if !(0.0..1e15).contains(&at) => {
            return Err(format!("{}: impossible startedAtMs {at}", i.instance_id))
        }
        at => at.map(|at| at as u64).filter(|at| *at > 0),
    };
    Ok(EndpointRecord { id: i.instance_id, address, zone: i.zone, shard, state, started })
}

/// Reads an answer; one line that cannot be read fails it whole.
pub fn listing(value: &Value) -> Result<EndpointList, String> {
    let config = HostConfig::deserialize(value).map_err(|e| e.to_string())?;
    let mut lines: BTreeMap<String, EndpointRecord> = BTreeMap::new();
    for instance in config.instances {
        let line = line(instance)?;
        if lines.insert(line.id.clone(), line).is_some_and(|_| config.reset) {
            return Err("a node is listed twice".to_string());
        }
    }
    Ok(EndpointList {
        generation: config.generation,
        whole: config.reset,
        lines: lines.into_values().collect(),
    })
}

pub fn parsed(body: &[u8]) -> Result<EndpointList, String> {
    listing(&serde_json::from_slice(body).map_err(|e| e.to_string())?)
}

#[cfg(test)]
mod tests;
