//! Between host and node: attempts, batches of them, and their outcomes.

use super::checked_payload;
use crate::fields::{FieldReader, FieldWriter};
use crate::DecodeError;

/// A request on its way from a host to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// The host's id of the request.
    pub request_id: u64,
    /// The number of the attempt, counted from 0.
    pub attempt: u16,
    /// The request class.
    pub class: u16,
    /// Whether it writes.
    pub write: bool,
    /// The volume.
    pub volume: u64,
    /// The first block, or the piece of data; 0 for none.
    pub key: u64,
    /// The client's key by which a repetition is recognized; 0 for none.
    pub idempotency_key: u64,
    /// Its cost.
    pub units: f32,
    /// The shard it is meant for; all bits set for any.
    pub shard: u32,
    /// How long the client still waits: a node does not begin the request after it.
    pub remaining_us: u32,
    /// The version of the extent as the host knows it; 0 where it follows no map.
    pub version: u32,
    /// The number of blocks from the key on; 0 where the key is a piece by itself, of whatever size.
    pub blocks: u32,
    /// What is written.
    pub payload: &'a [u8],
}

impl<'a> Attempt<'a> {
    pub(super) fn decode(
        fields: &mut FieldReader<'_>,
        payload: &'a [u8],
    ) -> Result<Attempt<'a>, DecodeError> {
        let payload = checked_payload(payload)?;
        Ok(Attempt { payload, ..Attempt::decode_fields(fields)? })
    }

    fn decode_fields(fields: &mut FieldReader<'_>) -> Result<Attempt<'static>, DecodeError> {
        Ok(Attempt {
            request_id: fields.u64("request id")?,
            attempt: fields.u16("attempt")?,
            class: fields.u16("class")?,
            write: fields.flag("write flag")?,
            volume: fields.u64("volume")?,
            key: fields.u64("key")?,
            idempotency_key: fields.u64("idempotency key")?,
            units: fields.amount("units")?,
            shard: fields.u32("shard")?,
            remaining_us: fields.u32("remaining time")?,
            version: fields.u32("version")?,
            blocks: fields.u32("blocks")?,
            payload: &[],
        })
    }

    pub(super) fn encode_fields(&self, out: &mut FieldWriter<'_>) {
        out.u64(self.request_id)
            .u16(self.attempt)
            .u16(self.class)
            .flag(self.write)
            .u64(self.volume)
            .u64(self.key)
            .u64(self.idempotency_key)
            .f32(self.units)
            .u32(self.shard)
            .u32(self.remaining_us)
            .u32(self.version)
            .u32(self.blocks);
    }
}

/// Decodes a batch. Nothing is allocated by the promised count.
pub(super) fn decode_batch<'a>(
    fields: &mut FieldReader<'_>,
    payload: &'a [u8],
) -> Result<Vec<Attempt<'a>>, DecodeError> {
    let count = fields.u16("number of parts")?;
    let mut parts = FieldReader::new(payload);
    let mut attempts = Vec::new();
    for _ in 0..count {
        let attempt = Attempt::decode_fields(&mut parts)?;
        let length = parts.u32("length of a part")? as usize;
        attempts.push(Attempt { payload: parts.bytes(length, "part")?, ..attempt });
    }
    let is_batch = parts.is_empty() && !attempts.is_empty();
    is_batch.then_some(attempts).ok_or(DecodeError::InvalidField("number of parts"))
}

/// Appends the parts of a batch, each with the length of its payload.
pub(super) fn encode_batch(attempts: &[Attempt<'_>], out: &mut FieldWriter<'_>) {
    for attempt in attempts {
        attempt.encode_fields(out);
        out.u32(attempt.payload.len() as u32).bytes(attempt.payload);
    }
}

/// How an attempt ended, as it stands on the wire: the scheduler's outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeCode {
    /// The request was served.
    Succeeded,
    /// The node failed at it; it may have run.
    Error,
    /// The node had no capacity: nothing ran.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// There was no connection: nothing ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The host cancelled it; it may have run.
    Cancelled,
    /// The client's deadline had passed at the node: nothing ran.
    DeadlineExceeded,
    /// The node does not hold the piece of data (any more, or for the moment): nothing ran.
    ShardMoved,
}

impl OutcomeCode {
    /// In the order of their numbers on the wire.
    const ALL: [OutcomeCode; 9] = [
        OutcomeCode::Succeeded,
        OutcomeCode::Error,
        OutcomeCode::Overloaded,
        OutcomeCode::TimedOut,
        OutcomeCode::ConnectFailed,
        OutcomeCode::Reset,
        OutcomeCode::Cancelled,
        OutcomeCode::DeadlineExceeded,
        OutcomeCode::ShardMoved,
    ];
}

/// Stands for an unknown owner.
const UNKNOWN_OWNER: u32 = u32::MAX;
/// Stands for an unknown use.
const UNKNOWN_USE: f32 = f32::MAX;

/// A node's answer to one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome<'a> {
    /// The host's id of the request.
    pub request_id: u64,
    /// The number of the attempt.
    pub attempt: u16,
    /// How it ended.
    pub code: OutcomeCode,
    /// The volume's service everywhere in a finished period, as a part of its policy's rate; none where unknown.
    pub used: Option<f32>,
    /// Units that the node served the volume through other hosts since its last answer to this one.
    pub remote_units: f32,
    /// Requests that wait at the node.
    pub queue: u32,
    /// The part of the node's cores that is busy.
    pub busy: f32,
    /// With `ShardMoved`: the shard that owns the extent, where the node knows it.
    pub owner: Option<u32>,
    /// With `ShardMoved`: the extent's version.
    pub version: u32,
    /// What was read.
    pub payload: &'a [u8],
}

impl<'a> Outcome<'a> {
    pub(super) fn decode(
        fields: &mut FieldReader<'_>,
        payload: &'a [u8],
    ) -> Result<Outcome<'a>, DecodeError> {
        Ok(Outcome {
            request_id: fields.u64("request id")?,
            attempt: fields.u16("attempt")?,
            code: fields.one_of(&OutcomeCode::ALL, "outcome")?,
            used: Some(fields.amount("use")?).filter(|used| *used < UNKNOWN_USE),
            remote_units: fields.amount("units of others")?,
            queue: fields.u32("queue")?,
            busy: fields.amount("busy part")?,
            owner: Some(fields.u32("owner")?).filter(|owner| *owner != UNKNOWN_OWNER),
            version: fields.u32("version")?,
            payload: checked_payload(payload)?,
        })
    }

    pub(super) fn encode_fields(&self, out: &mut FieldWriter<'_>) {
        out.u64(self.request_id)
            .u16(self.attempt)
            .one_of(&OutcomeCode::ALL, &self.code)
            .f32(self.used.unwrap_or(UNKNOWN_USE))
            .f32(self.remote_units)
            .u32(self.queue)
            .f32(self.busy)
            .u32(self.owner.unwrap_or(UNKNOWN_OWNER))
            .u32(self.version);
    }
}
