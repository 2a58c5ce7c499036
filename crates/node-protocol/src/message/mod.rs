//! The messages, one module per family, each with its encoding and decoding. Times are sent as durations in
//! microseconds, never as clock times, as no two machines share a clock.

mod attempt;
mod client;
mod endpoint_list;
mod extent_map;
mod hello;

pub use attempt::{Attempt, Outcome, OutcomeCode};
pub use client::{ClientRequest, FinalAnswer, FinalCode};
pub use endpoint_list::{EndpointEntry, EndpointListUpdate, EntryState};
pub use extent_map::{MapEntry, MapEntryKind, MapUpdate, MigrationStage};
pub use hello::{Hello, Role, AGE_LONG_RUNNING, VERSION};

pub(crate) use endpoint_list::ENDPOINT_ENTRY_LENGTH;
pub(crate) use extent_map::MAP_ENTRY_LENGTH;

use crate::fields::{FieldReader, FieldWriter};
use crate::frame::MAX_PAYLOAD_LENGTH;
use crate::DecodeError;

/// Codes of the message kinds in a frame's header.
mod kind {
    pub(super) const HELLO: u8 = 1;
    pub(super) const ATTEMPT: u8 = 2;
    pub(super) const OUTCOME: u8 = 3;
    pub(super) const CANCEL_ATTEMPT: u8 = 4;
    pub(super) const HEALTH_CHECK: u8 = 5;
    pub(super) const HEALTH_REPORT: u8 = 6;
    pub(super) const REQUEST: u8 = 7;
    pub(super) const FINAL_ANSWER: u8 = 8;
    pub(super) const CANCEL_REQUEST: u8 = 9;
    pub(super) const WATCH_ENDPOINTS: u8 = 10;
    pub(super) const ENDPOINT_LIST: u8 = 11;
    pub(super) const WATCH_REJECTED: u8 = 12;
    pub(super) const WATCH_MAP: u8 = 13;
    pub(super) const EXTENT_MAP: u8 = 14;
    pub(super) const MIGRATE: u8 = 15;
    pub(super) const MIGRATION_STATE: u8 = 16;
    pub(super) const BATCH: u8 = 17;
}

/// One message of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    /// The first message in each direction.
    Hello(Hello),
    /// Host to node: one attempt of a request.
    Attempt(Attempt<'a>),
    /// Host to node: attempts that are sent as one request of the node; each gets a separate outcome.
    Batch(Vec<Attempt<'a>>),
    /// Node to host: the outcome of an attempt.
    Outcome(Outcome<'a>),
    /// Host to node: the result of this attempt is no longer needed.
    CancelAttempt {
        /// Request id assigned by the host.
        request_id: u64,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Host to node: requests a health report.
    HealthCheck {
        /// Number that the health report repeats.
        number: u32,
    },
    /// Node to host: the node's load.
    HealthReport {
        /// Number of the health check.
        number: u32,
        /// Number of requests waiting at the node.
        queue: u32,
        /// Fraction of the node's cores that is busy.
        busy: f32,
    },
    /// Client to host: a request.
    Request(ClientRequest<'a>),
    /// Host to client: the single final answer to a request.
    FinalAnswer(FinalAnswer<'a>),
    /// Client to host: the result of this request is no longer needed.
    CancelRequest {
        /// Request id assigned by the client.
        request_id: u64,
    },
    /// Host to list service: requests the endpoint list from this epoch on (0: the whole list) and all later
    /// changes. The answer is a list or `WatchRejected`.
    WatchEndpoints {
        /// Latest epoch that the host has received.
        epoch: u64,
    },
    /// List service to host: the endpoint list, or its changes.
    EndpointList(EndpointListUpdate),
    /// List service to host: the list is temporarily unavailable.
    WatchRejected,
    /// Host to list service: requests the extent map and all later changes.
    WatchMap,
    /// List service to host: the extent map, or its changes.
    ExtentMap(MapUpdate),
    /// Operator to list service: migrate the extent at `start` to a shard, or abort its migration.
    Migrate {
        /// Id of the volume.
        volume: u64,
        /// Start of the extent.
        start: u64,
        /// New owner of the extent. With a shard that no node holds, the message only queries the migration.
        shard: u32,
        /// True to abort the migration in progress.
        abort: bool,
    },
    /// List service to operator: the answer to `Migrate`.
    MigrationState {
        /// Id of the volume.
        volume: u64,
        /// Start of the extent.
        start: u64,
        /// Shard that owns the extent.
        from: u32,
        /// Shard that is to own the extent.
        to: u32,
        /// Stage of the migration.
        stage: MigrationStage,
    },
}

impl<'a> Message<'a> {
    /// Returns the code of the message's kind in the frame's header.
    pub(crate) fn kind(&self) -> u8 {
        match self {
            Message::Hello(_) => kind::HELLO,
            Message::Attempt(_) => kind::ATTEMPT,
            Message::Batch(_) => kind::BATCH,
            Message::Outcome(_) => kind::OUTCOME,
            Message::CancelAttempt { .. } => kind::CANCEL_ATTEMPT,
            Message::HealthCheck { .. } => kind::HEALTH_CHECK,
            Message::HealthReport { .. } => kind::HEALTH_REPORT,
            Message::Request(_) => kind::REQUEST,
            Message::FinalAnswer(_) => kind::FINAL_ANSWER,
            Message::CancelRequest { .. } => kind::CANCEL_REQUEST,
            Message::WatchEndpoints { .. } => kind::WATCH_ENDPOINTS,
            Message::EndpointList(_) => kind::ENDPOINT_LIST,
            Message::WatchRejected => kind::WATCH_REJECTED,
            Message::WatchMap => kind::WATCH_MAP,
            Message::ExtentMap(_) => kind::EXTENT_MAP,
            Message::Migrate { .. } => kind::MIGRATE,
            Message::MigrationState { .. } => kind::MIGRATION_STATE,
        }
    }

    /// Decodes the body of a frame; none for an unknown kind.
    pub(crate) fn decode(
        kind: u8,
        fields: &mut FieldReader<'_>,
        payload: &'a [u8],
    ) -> Result<Option<Message<'a>>, DecodeError> {
        Ok(Some(match kind {
            kind::HELLO => Message::Hello(Hello::decode(fields)?),
            kind::ATTEMPT => Message::Attempt(Attempt::decode(fields, payload)?),
            kind::BATCH => Message::Batch(attempt::decode_batch(fields, payload)?),
            kind::OUTCOME => Message::Outcome(Outcome::decode(fields, payload)?),
            kind::CANCEL_ATTEMPT => Message::CancelAttempt {
                request_id: fields.u64("request id")?,
                attempt: fields.u16("attempt")?,
            },
            kind::HEALTH_CHECK => Message::HealthCheck { number: fields.u32("number")? },
            kind::HEALTH_REPORT => Message::HealthReport {
                number: fields.u32("number")?,
                queue: fields.u32("queue")?,
                busy: fields.amount("busy share")?,
            },
            kind::REQUEST => Message::Request(ClientRequest::decode(fields, payload)?),
            kind::FINAL_ANSWER => Message::FinalAnswer(FinalAnswer::decode(fields, payload)?),
            kind::CANCEL_REQUEST => Message::CancelRequest { request_id: fields.u64("request id")? },
            kind::WATCH_ENDPOINTS => Message::WatchEndpoints { epoch: fields.u64("epoch")? },
            kind::ENDPOINT_LIST => Message::EndpointList(EndpointListUpdate::decode(fields, payload)?),
            kind::WATCH_REJECTED => Message::WatchRejected,
            kind::WATCH_MAP => Message::WatchMap,
            kind::EXTENT_MAP => Message::ExtentMap(MapUpdate::decode(fields, payload)?),
            kind::MIGRATE => Message::Migrate {
                volume: fields.u64("volume")?,
                start: fields.u64("start")?,
                shard: fields.u32("shard")?,
                abort: fields.flag("abort flag")?,
            },
            kind::MIGRATION_STATE => Message::MigrationState {
                volume: fields.u64("volume")?,
                start: fields.u64("start")?,
                from: fields.u32("owner")?,
                to: fields.u32("target")?,
                stage: fields.one_of(&MigrationStage::ALL, "stage")?,
            },
            _ => return Ok(None),
        }))
    }

    /// Appends the message's fields.
    pub(crate) fn encode_fields(&self, out: &mut FieldWriter<'_>) {
        match self {
            Message::Hello(hello) => hello.encode(out),
            Message::Attempt(attempt) => attempt.encode_fields(out),
            Message::Batch(attempts) => _ = out.u16(attempts.len() as u16),
            Message::Outcome(outcome) => outcome.encode_fields(out),
            Message::CancelAttempt { request_id, attempt } => _ = out.u64(*request_id).u16(*attempt),
            Message::HealthCheck { number } => _ = out.u32(*number),
            Message::HealthReport { number, queue, busy } => _ = out.u32(*number).u32(*queue).f32(*busy),
            Message::Request(request) => request.encode_fields(out),
            Message::FinalAnswer(answer) => answer.encode_fields(out),
            Message::CancelRequest { request_id } => _ = out.u64(*request_id),
            Message::WatchEndpoints { epoch } => _ = out.u64(*epoch),
            Message::EndpointList(update) => update.encode_fields(out),
            Message::WatchRejected | Message::WatchMap => {}
            Message::ExtentMap(update) => update.encode_fields(out),
            Message::Migrate { volume, start, shard, abort } => {
                out.u64(*volume).u64(*start).u32(*shard).flag(*abort);
            }
            Message::MigrationState { volume, start, from, to, stage } => {
                out.u64(*volume).u64(*start).u32(*from).u32(*to).one_of(&MigrationStage::ALL, stage);
            }
        }
    }

    /// Appends the part after the fields: a payload, or the entries of a list.
    pub(crate) fn encode_payload(&self, out: &mut FieldWriter<'_>) {
        match self {
            Message::Attempt(attempt) => _ = out.bytes(attempt.payload),
            Message::Batch(attempts) => attempt::encode_batch(attempts, out),
            Message::Outcome(outcome) => _ = out.bytes(outcome.payload),
            Message::Request(request) => _ = out.bytes(request.payload),
            Message::FinalAnswer(answer) => _ = out.bytes(answer.payload),
            Message::EndpointList(update) => update.encode_entries(out),
            Message::ExtentMap(update) => update.encode_entries(out),
            _ => {}
        }
    }
}

/// Checks the length of the data to be read or written.
fn checked_payload(payload: &[u8]) -> Result<&[u8], DecodeError> {
    let fits = payload.len() <= MAX_PAYLOAD_LENGTH;
    fits.then_some(payload).ok_or(DecodeError::InvalidField("payload"))
}
