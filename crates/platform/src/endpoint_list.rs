//! The endpoint list in discovery's format, and how discovery is polled; free of I/O.

use magpiewick::{EndpointState, FreshnessRules, Ms, PollTiming};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// How long discovery may hold a poll while nothing changes. What a silent discovery has to say binds this host 2 s
/// after that, so it must notice within that time.
const WATCH_WAIT_MS: Ms = 2000.0;
/// How long over its wait a poll may take before another one is made beside it, and how long the first one after a
/// failure may: a discovery with many callers queues them for up to 2 s, and giving up loses the place in that queue.
const WATCH_LATE_MS: Ms = 900.0;
const FIRST_POLL_LATE_MS: Ms = 2000.0;
/// How long the first poll after a failure waits: it shows soon that discovery answers. A busy discovery rejects
/// callers that would not wait at all.
const FIRST_POLL_WAIT_MS: Ms = 500.0;
/// How many polls may be in flight at once, so that answers that are almost too late are not given up.
const MAX_POLLS: usize = 3;
/// Where lists are pushed: the shares of the drain grace that a poll waits and may be late.
const PUSHED_WAIT_SHARE: f64 = 0.4;
const PUSHED_LATE_SHARE: f64 = 0.25;
/// The least drain grace, whatever the settings say.
const MIN_DRAIN_GRACE_MS: Ms = 100.0;
/// How long after discovery had a change it binds this host, and how long after a reload, whatever fails.
const BINDING_DELAY_MS: Ms = 6000.0;
const BINDING_DELAY_AFTER_RELOAD_MS: Ms = 4000.0;
/// How old the list may be that a process starts with.
const CACHED_LIST_AGE_MS: Ms = 3000.0;
/// How long the process may be stalled between reading its clock and writing.
const MAX_PROCESS_STALL_MS: Ms = 150.0;
/// The longest id of an endpoint.
const MAX_ID_BYTES: usize = 128;

/// How discovery is polled. `max_poll_interval`: how long the host may go without polling, where it has to;
/// `drain_grace`: for how long an endpoint may still be sent requests after its drain was announced, where lists are
/// pushed. There the host's own agent answers the polls, and a change binds whether or not it was read, so a broken
/// poll must be noticed and made again within that grace.
pub(crate) fn pace(max_poll_interval: Option<Ms>, drain_grace: Option<Ms>) -> PollTiming {
    let Some(max_poll_interval) = max_poll_interval else {
        let grace = drain_grace.unwrap_or(0.0).max(MIN_DRAIN_GRACE_MS);
        return PollTiming {
            hold: (PUSHED_WAIT_SHARE * grace).min(WATCH_WAIT_MS).floor(),
            first_hold: 0.0,
            grace: (PUSHED_LATE_SHARE * grace).min(WATCH_LATE_MS),
            first_grace: (PUSHED_LATE_SHARE * grace).min(WATCH_LATE_MS),
            max_calls: 1,
            max_poll_interval: grace,
        };
    };
    PollTiming {
        hold: WATCH_WAIT_MS,
        first_hold: FIRST_POLL_WAIT_MS,
        grace: WATCH_LATE_MS,
        first_grace: FIRST_POLL_LATE_MS,
        max_calls: MAX_POLLS,
        max_poll_interval,
    }
}

/// As of when a list that a process starts with counts as complete. Where lists are pushed, what the agent has binds
/// from the first moment of a process.
pub(crate) fn cached_list_as_of(now: Ms, pushed: bool) -> Ms {
    match pushed {
        true => f64::NEG_INFINITY,
        false => now - CACHED_LIST_AGE_MS,
    }
}

/// When a change binds this host although it has not received it. `drain_grace`: set where lists are pushed.
pub(crate) fn freshness_rules(drain_grace: Option<Ms>) -> FreshnessRules {
    match drain_grace {
        // It binds at once, and the grace covers a stall of the process.
        Some(grace) => FreshnessRules {
            binding_delay: grace.max(MIN_DRAIN_GRACE_MS),
            binding_delay_after_reload: BINDING_DELAY_AFTER_RELOAD_MS,
            max_stall: 0.0,
            unresponsive_when_down: true,
        },
        None => FreshnessRules {
            binding_delay: BINDING_DELAY_MS,
            binding_delay_after_reload: BINDING_DELAY_AFTER_RELOAD_MS,
            max_stall: MAX_PROCESS_STALL_MS,
            unresponsive_when_down: false,
        },
    }
}

/// Why a body is no endpoint list.
#[derive(Debug, Error)]
pub enum ListError {
    /// It is no JSON of this shape.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An endpoint's lifecycle is unknown.
    #[error("{id}: impossible lifecycle {lifecycle:?}")]
    UnknownLifecycle {
        /// The endpoint.
        id: String,
        /// What it says.
        lifecycle: String,
    },
    /// An endpoint's id is empty or too long.
    #[error("an instanceId that is none")]
    InvalidId,
    /// An endpoint's address cannot be read.
    #[error("{id}: {text:?} is no address")]
    InvalidAddress {
        /// The endpoint.
        id: String,
        /// What it says.
        text: String,
    },
    /// An endpoint lacks a field.
    #[error("{id}: {field} is missing")]
    MissingField {
        /// The endpoint.
        id: String,
        /// The field.
        field: &'static str,
    },
    /// An endpoint's start lies outside any calendar.
    #[error("{id}: impossible startedAtMs {at}")]
    ImpossibleStart {
        /// The endpoint.
        id: String,
        /// What it says.
        at: f64,
    },
    /// A complete list names an endpoint more than once.
    #[error("a node is listed twice")]
    DuplicateEndpoint,
}

/// A record of the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointRecord {
    /// The endpoint's id.
    pub id: String,
    /// Its address; none where it was removed.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The shard that it serves.
    pub shard: usize,
    /// Its state.
    pub state: EndpointState,
    /// When it started, in Unix milliseconds; none: long ago.
    pub started_unix: Option<u64>,
}

/// An endpoint list, or the changes since an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointList {
    /// The number of its state.
    pub generation: u64,
    /// Whether it is complete; if not, it names what has changed.
    pub complete: bool,
    /// Its records, in the order of their ids.
    pub records: Vec<EndpointRecord>,
}

/// The list in discovery's format.
#[derive(Deserialize)]
struct ListDocument {
    generation: u64,
    reset: bool,
    instances: Vec<InstanceDocument>,
}

/// An endpoint in discovery's format.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct InstanceDocument {
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

impl TryFrom<InstanceDocument> for EndpointRecord {
    type Error = ListError;

    fn try_from(instance: InstanceDocument) -> Result<EndpointRecord, ListError> {
        let id = instance.instance_id;
        let state = match instance.lifecycle.as_str() {
            "SERVING" => EndpointState::Ready,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Removed,
            _ => return Err(ListError::UnknownLifecycle { id, lifecycle: instance.lifecycle }),
        };
        if id.is_empty() || id.len() > MAX_ID_BYTES {
            return Err(ListError::InvalidId);
        }
        let removed = state == EndpointState::Removed;
        let address = match instance.host_port {
            Some(text) => match text.parse() {
                Ok(address) => Some(address),
                Err(_) if removed => None,
                Err(_) => return Err(ListError::InvalidAddress { id, text }),
            },
            None if removed => None,
            None => return Err(ListError::MissingField { id, field: "hostPort" }),
        };
        let shard = match instance.cell {
            Some(cell) => usize::from(cell),
            None if removed => 0,
            None => return Err(ListError::MissingField { id, field: "cell" }),
        };
        let started_unix = match instance.started_at_ms {
            Some(at) if !(0.0..1e15).contains(&at) => return Err(ListError::ImpossibleStart { id, at }),
            at => at.map(|at| at as u64).filter(|at| *at > 0),
        };
        Ok(EndpointRecord { id, address, zone: instance.zone, shard, state, started_unix })
    }
}

impl TryFrom<ListDocument> for EndpointList {
    type Error = ListError;

    fn try_from(document: ListDocument) -> Result<EndpointList, ListError> {
        let (generation, complete) = (document.generation, document.reset);
        let mut records: BTreeMap<String, EndpointRecord> = BTreeMap::new();
        for instance in document.instances {
            let record = EndpointRecord::try_from(instance)?;
            if records.insert(record.id.clone(), record).is_some() && complete {
                return Err(ListError::DuplicateEndpoint);
            }
        }
        Ok(EndpointList { generation, complete, records: records.into_values().collect() })
    }
}

impl EndpointList {
    /// Reads a list; one record that cannot be read fails it as a whole.
    pub(crate) fn from_json(value: &Value) -> Result<EndpointList, ListError> {
        ListDocument::deserialize(value)?.try_into()
    }

    /// The same, from text.
    pub(crate) fn from_slice(body: &[u8]) -> Result<EndpointList, ListError> {
        EndpointList::from_json(&serde_json::from_slice(body)?)
    }
}

#[cfg(test)]
mod tests;
