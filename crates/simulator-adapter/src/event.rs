//! The records of a batch, decoded from the wire's codes and units.

use crate::error::AdapterError;
use crate::fields::Fields;
use crate::host::ms;
use magpiewick::{Answer, Endpoint, EndpointState, EndpointUpdate, Outcome, Request};
use magpiewick_engine::IncomingRequest;

/// The codes of a batch's records.
pub(crate) mod record_code {
    /// A stream begins; nothing follows from it.
    pub(crate) const STREAM_STARTED: u8 = 1;
    /// A client's request.
    pub(crate) const REQUEST: u8 = 2;
    /// A table of endpoints, which later records name by its number.
    pub(crate) const TABLE: u8 = 3;
    /// The outcome of an attempt.
    pub(crate) const OUTCOME: u8 = 4;
    /// A message from another host.
    pub(crate) const GOSSIP: u8 = 5;
    /// An instance starts.
    pub(crate) const START: u8 = 6;
    /// An update of the endpoint list.
    pub(crate) const ENDPOINT_UPDATE: u8 = 7;
    /// A client disconnected.
    pub(crate) const CLIENT_DISCONNECT: u8 = 8;
    /// The answer to a health check; nothing follows from it.
    pub(crate) const HEALTH_REPORT: u8 = 9;
    /// An instance was killed.
    pub(crate) const KILL: u8 = 10;
    /// A timer is due.
    pub(crate) const TIMER: u8 = 11;
}

/// Bytes of an endpoint in a table.
const TABLE_ENTRY_LENGTH: usize = 22;
/// Bytes of a record that says that a stream begins.
const STREAM_START_LENGTH: usize = 8 + 4 + 8 + 2;

/// How many classes and policies an instance was started with; an event names them by smaller numbers.
#[derive(Clone, Copy)]
pub(crate) struct Limits {
    /// Request classes.
    pub classes: usize,
    /// QoS policies.
    pub policies: usize,
}

/// What happened to a running instance.
pub(crate) enum Event<'a> {
    /// A client's request.
    Request(IncomingRequest),
    /// The outcome of an attempt.
    Outcome {
        /// The request.
        request_id: u64,
        /// What came of the attempt.
        answer: Answer,
    },
    /// A message from another host.
    Gossip {
        /// The host's number.
        from: u16,
        /// The message's bytes.
        message: &'a [u8],
    },
    /// An update of the endpoint list.
    EndpointUpdate {
        /// The number of the table that holds the endpoints.
        table: usize,
        /// The kind of update.
        update: EndpointUpdate,
    },
    /// A client disconnected.
    ClientDisconnect {
        /// Its request.
        request_id: u64,
    },
    /// A timer is due.
    Timer {
        /// The label that it was set with.
        label: u32,
    },
    /// The instance was killed.
    Killed,
    /// A record from which nothing follows.
    Ignored,
}

impl<'a> Event<'a> {
    /// Reads the fields of an event whose code and instance were read.
    pub(crate) fn read(code: u8, fields: &mut Fields<'a>, limits: Limits) -> Result<Event<'a>, AdapterError> {
        Ok(match code {
            record_code::STREAM_STARTED => {
                fields.bytes(STREAM_START_LENGTH, "the start of a stream")?;
                Event::Ignored
            }
            record_code::REQUEST => Event::Request(read_request(fields, limits)?),
            record_code::OUTCOME => read_attempt_outcome(fields)?,
            record_code::GOSSIP => {
                let from = fields.u16("a sender")?;
                let length = usize::from(fields.u16("a message's length")?);
                Event::Gossip { from, message: fields.bytes(length, "a message")? }
            }
            record_code::ENDPOINT_UPDATE => read_endpoint_update(fields)?,
            record_code::CLIENT_DISCONNECT => {
                Event::ClientDisconnect { request_id: fields.u64("a command")? }
            }
            record_code::HEALTH_REPORT => {
                fields.u32("a node")?;
                read_outcome_code(fields)?;
                fields.u64("a latency")?;
                skip_load_report(fields)?;
                Event::Ignored
            }
            record_code::KILL => Event::Killed,
            _ => Event::Timer { label: fields.u32("a timer's label")? },
        })
    }
}

fn read_request(fields: &mut Fields<'_>, limits: Limits) -> Result<IncomingRequest, AdapterError> {
    let id = fields.u64("a command")?;
    let class = usize::from(fields.u16("a band")?);
    let policy = usize::from(fields.u16("a plan")?);
    if class >= limits.classes || policy >= limits.policies.max(1) {
        return Err(fields
            .invalid(format_args!("a command of band {class} and plan {policy}, which were never stated")));
    }
    let key = fields.u64("a key")?;
    let client_timeout = ms(fields.u64("a time limit")?);
    let volume = fields.u64("a volume")?;
    let units = fields.f32("a size")?;
    let shard = fields.f32("a shard")?;
    let hosts = fields.f32("a number of hosts")?;
    fields.u8("a command's marks")?;
    let is_shard = (-1.0..=f64::from(u16::MAX)).contains(&shard) && shard.fract() == 0.0;
    if units < 0.0 || hosts < 0.0 || !is_shard {
        return Err(
            fields.invalid(format_args!("a command of {units} units for shard {shard} over {hosts} hosts"))
        );
    }
    let request = Request {
        class,
        policy,
        volume: 0,
        key: None,
        units,
        shard: (shard >= 0.0).then_some(shard as usize),
        hosts: hosts.max(1.0),
        client_timeout,
        budget_weight: 1.0,
        coalesce_with: None,
    };
    Ok(IncomingRequest { id, key, volume, request })
}

fn read_attempt_outcome<'a>(fields: &mut Fields<'_>) -> Result<Event<'a>, AdapterError> {
    let request_id = fields.u64("a command")?;
    fields.u16("a hand-off")?;
    fields.u32("a node")?;
    let outcome = read_outcome_code(fields)?;
    let latency = ms(fields.u64("a latency")?);
    let request_finished = fields.u8("an end mark")? != 0;
    // In hundredths, and one more, as 0 stands for unknown.
    let used = fields.u16("a use")?;
    let volume_usage = (used > 0).then(|| (f64::from(used) - 1.0) / 100.0);
    let remote_units = f64::from(fields.u16("a count of others")?);
    skip_load_report(fields)?;
    Ok(Event::Outcome {
        request_id,
        answer: Answer { outcome, latency, request_finished, volume_usage, remote_units },
    })
}

fn read_endpoint_update<'a>(fields: &mut Fields<'_>) -> Result<Event<'a>, AdapterError> {
    let table = usize::from(fields.u16("a table's number")?);
    fields.u64("a version")?;
    let update = match fields.u8("a list's mode")? {
        0 => EndpointUpdate::Delta,
        1 => EndpointUpdate::Snapshot,
        2 => EndpointUpdate::Restored,
        3 => EndpointUpdate::PollFailed,
        other => return Err(fields.invalid(format_args!("impossible list mode {other}"))),
    };
    Ok(Event::EndpointUpdate { table, update })
}

fn read_outcome_code(fields: &mut Fields<'_>) -> Result<Outcome, AdapterError> {
    Ok(match fields.u16("an outcome")? {
        10 => Outcome::Succeeded,
        20 => Outcome::Error,
        30 => Outcome::Overloaded,
        40 => Outcome::TimedOut,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::DeadlineExceeded,
        other => return Err(fields.invalid(format_args!("unknown outcome {other}"))),
    })
}

/// Reads past the node's load figures, which no decision uses.
fn skip_load_report(fields: &mut Fields<'_>) -> Result<(), AdapterError> {
    for _ in 0..fields.u8("a load report's length")? {
        fields.f32("a load report")?;
    }
    Ok(())
}

/// Reads the endpoints of a table whose number was read.
pub(crate) fn read_endpoints(fields: &mut Fields<'_>) -> Result<Vec<(u32, Endpoint)>, AdapterError> {
    let count = fields.u32("a table's length")? as usize;
    fields.check_remaining(count.saturating_mul(TABLE_ENTRY_LENGTH), "a table")?;
    let mut endpoints = Vec::with_capacity(count);
    for _ in 0..count {
        endpoints.push(read_endpoint(fields)?);
    }
    Ok(endpoints)
}

fn read_endpoint(fields: &mut Fields<'_>) -> Result<(u32, Endpoint), AdapterError> {
    let id = fields.u32("a node")?;
    let zone = usize::from(fields.u16("a zone")?);
    fields.u8("a machine type")?;
    let shard = usize::from(fields.u16("a shard")?);
    let state = match fields.u8("a condition")? {
        0 => EndpointState::Ready,
        2 => EndpointState::Draining,
        3 => EndpointState::Removed,
        other => {
            return Err(fields.invalid(format_args!("impossible node condition {other} in a table")));
        }
    };
    fields.f32("a nominal size")?;
    let started_at = fields.u64("a start time")?;
    let started_at = (started_at != 0).then(|| ms(started_at));
    Ok((id, Endpoint { node: 0, zone, shard, state, started_at }))
}
