//! Endpoint list in discovery's format, and the timing of polls; free of I/O.

use magpiewick::{EndpointState, FreshnessRules, Ms, PollTiming};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Time for which discovery may hold a poll while nothing changes. A change in an unresponsive discovery service binds
/// this host 2 s after this time, so the host must detect the failure within those 2 s.
const WATCH_WAIT_MS: Ms = 2000.0;
/// Time by which a poll may exceed its wait before a concurrent poll starts, in general and for the first poll after a
/// failure: a discovery service with many callers queues them for up to 2 s, and cancelling a poll loses its place in
/// that queue.
const WATCH_LATE_MS: Ms = 900.0;
const FIRST_POLL_LATE_MS: Ms = 2000.0;
/// Wait of the first poll after a failure: its response soon shows that discovery answers. A busy discovery service
/// rejects callers that do not wait at all.
const FIRST_POLL_WAIT_MS: Ms = 500.0;
/// Limit of concurrent polls, so that responses that arrive slightly late are still accepted.
const MAX_POLLS: usize = 3;
/// Shares of the drain grace for the wait and the permitted lateness of a poll, where lists are pushed.
const PUSHED_WAIT_SHARE: f64 = 0.4;
const PUSHED_LATE_SHARE: f64 = 0.25;
/// Lower limit of the drain grace, whatever the settings define.
const MIN_DRAIN_GRACE_MS: Ms = 100.0;
/// Times after which a change in discovery binds this host, counted from the change and from a reload after the change,
/// even if every poll fails.
const BINDING_DELAY_MS: Ms = 6000.0;
const BINDING_DELAY_AFTER_RELOAD_MS: Ms = 4000.0;
/// Assumed maximum age of the endpoint list with which a process starts.
const CACHED_LIST_AGE_MS: Ms = 3000.0;
/// Limit of a stall of the process between reading its clock and writing.
const MAX_PROCESS_STALL_MS: Ms = 150.0;
/// Limit of the length of an endpoint's id.
const MAX_ID_BYTES: usize = 128;

/// Returns the timing of polls. `max_poll_interval`: limit of the time between polls, where polling is required;
/// `drain_grace`: time for which an endpoint may still receive requests after its drain was announced, where lists are
/// pushed. Pushed lists are polled from the host's own agent, and a change binds whether or not the host has read it,
/// so a failed poll must be detected and repeated within the drain grace.
pub(crate) fn poll_timing(max_poll_interval: Option<Ms>, drain_grace: Option<Ms>) -> PollTiming {
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

/// Returns the time as of which a cached list counts as complete. Where lists are pushed, the agent's list binds from
/// the start of the process.
pub(crate) fn cached_list_as_of(now: Ms, pushed: bool) -> Ms {
    match pushed {
        true => f64::NEG_INFINITY,
        false => now - CACHED_LIST_AGE_MS,
    }
}

/// Returns the rules by which a change binds this host before the host receives it. `drain_grace`: set where lists are
/// pushed.
pub(crate) fn freshness_rules(drain_grace: Option<Ms>) -> FreshnessRules {
    match drain_grace {
        // A pushed change binds at once, and the grace covers a stall of the process.
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

/// Reason why a body is not an endpoint list.
#[derive(Debug, Error)]
pub enum ListError {
    /// The body is not JSON, or has another structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The lifecycle of an endpoint is unknown.
    #[error("{id}: unknown lifecycle {lifecycle:?}")]
    UnknownLifecycle {
        /// Id of the endpoint.
        id: String,
        /// Lifecycle in the record.
        lifecycle: String,
    },
    /// The id of an endpoint is empty or too long.
    #[error("an instanceId is empty or longer than {MAX_ID_BYTES} bytes")]
    InvalidId,
    /// The address of an endpoint cannot be parsed.
    #[error("{id}: hostPort {text:?} is not an IP address with a port")]
    InvalidAddress {
        /// Id of the endpoint.
        id: String,
        /// Address in the record.
        text: String,
    },
    /// A record lacks a field.
    #[error("{id}: {field} is missing")]
    MissingField {
        /// Id of the endpoint.
        id: String,
        /// Name of the field.
        field: &'static str,
    },
    /// The start time of an endpoint is out of range.
    #[error("{id}: startedAtMs {ms} is out of range")]
    StartOutOfRange {
        /// Id of the endpoint.
        id: String,
        /// Start time in the record, in Unix milliseconds.
        ms: f64,
    },
    /// A complete list has several records with the same id.
    #[error("a complete list has several records with the same instanceId")]
    DuplicateEndpoint,
}

/// Record of an endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointRecord {
    /// Id of the endpoint.
    pub id: String,
    /// Address of the endpoint; none where the endpoint was removed.
    pub address: Option<SocketAddr>,
    /// Name of the endpoint's zone.
    pub zone: String,
    /// Shard that the endpoint serves.
    pub shard: usize,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Start time in Unix milliseconds; none where the endpoint started long ago.
    pub started_unix: Option<u64>,
}

/// Endpoint list, or the changes since an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointList {
    /// Generation of the list.
    pub generation: u64,
    /// True if the list is complete; false if the list contains only the changes.
    pub complete: bool,
    /// Records in the order of their ids.
    pub records: Vec<EndpointRecord>,
}

/// Endpoint list in discovery's format.
#[derive(Deserialize)]
struct ListDocument {
    generation: u64,
    reset: bool,
    instances: Vec<InstanceDocument>,
}

/// Endpoint in discovery's format.
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
            Some(ms) if !(0.0..1e15).contains(&ms) => return Err(ListError::StartOutOfRange { id, ms }),
            started_at_ms => started_at_ms.map(|ms| ms as u64).filter(|ms| *ms > 0),
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
    /// Parses a list; one invalid record invalidates the whole list.
    pub(crate) fn from_json(value: &Value) -> Result<EndpointList, ListError> {
        ListDocument::deserialize(value)?.try_into()
    }

    /// Parses a list from text.
    pub(crate) fn from_slice(body: &[u8]) -> Result<EndpointList, ListError> {
        EndpointList::from_json(&serde_json::from_slice(body)?)
    }
}

#[cfg(test)]
mod tests;
