//! Messages between host and node: attempts, batches of attempts, and outcomes.

use super::checked_payload;
use crate::fields::{FieldReader, FieldWriter};
use crate::DecodeError;

/// An attempt of a request, sent from a host to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// Request id assigned by the host.
    pub request_id: u64,
    /// Number of the attempt, counted from 0.
    pub attempt: u16,
    /// Request class.
    pub class: u16,
    /// True for a write, false for a read.
    pub write: bool,
    /// Id of the volume.
    pub volume: u64,
    /// First block, or key of a whole piece of data; 0 for no key.
    pub key: u64,
    /// The client's key by which repetitions of a request are detected; 0 for none.
    pub idempotency_key: u64,
    /// Cost of the request.
    pub units: f32,
    /// Shard that the attempt is intended for; all bits set for any shard.
    pub shard: u32,
    /// Remaining time for which the client waits. A node does not start the request after this time.
    pub remaining_us: u32,
    /// Version of the extent according to the host; 0 where the host uses no extent map.
    pub version: u32,
    /// Number of blocks from the key on; 0 where the key identifies a whole piece of data of any size.
    pub blocks: u32,
    /// Data to be written.
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

/// Decodes a batch. No memory is allocated according to the stated count.
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

/// Wire form of an attempt's outcome, as defined by the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeCode {
    /// The request was served.
    Succeeded,
    /// The node failed to serve the request; the request may have run.
    Error,
    /// The node had no capacity; the request did not run.
    Overloaded,
    /// The attempt timed out without an answer; the request may have run.
    TimedOut,
    /// There was no connection; the request did not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The host cancelled the attempt; the request may have run.
    Cancelled,
    /// The client's deadline had passed when the attempt reached the node; the request did not run.
    DeadlineExceeded,
    /// The node does not hold the data, permanently or temporarily; the request did not run.
    ShardMoved,
}

impl OutcomeCode {
    /// All values in the order of their wire codes.
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

/// Wire value for an unknown owner.
const UNKNOWN_OWNER: u32 = u32::MAX;
/// Wire value for an unknown usage.
const UNKNOWN_USAGE: f32 = f32::MAX;

/// A node's answer to one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome<'a> {
    /// Request id assigned by the host.
    pub request_id: u64,
    /// Number of the attempt.
    pub attempt: u16,
    /// Outcome of the attempt.
    pub code: OutcomeCode,
    /// Service that the volume received from all nodes in a completed period, as a fraction of its policy's
    /// rate; none where unknown.
    pub used: Option<f32>,
    /// Units that the node has served for the volume through other hosts since its last answer to this host.
    pub remote_units: f32,
    /// Number of requests waiting at the node.
    pub queue: u32,
    /// Fraction of the node's cores that is busy.
    pub busy: f32,
    /// With `ShardMoved`: the shard that owns the extent, if the node has this information.
    pub owner: Option<u32>,
    /// With `ShardMoved`: the version of the extent.
    pub version: u32,
    /// Data that was read.
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
            used: Some(fields.amount("use")?).filter(|used| *used < UNKNOWN_USAGE),
            remote_units: fields.amount("remote units")?,
            queue: fields.u32("queue")?,
            busy: fields.amount("busy share")?,
            owner: Some(fields.u32("owner")?).filter(|owner| *owner != UNKNOWN_OWNER),
            version: fields.u32("version")?,
            payload: checked_payload(payload)?,
        })
    }

    pub(super) fn encode_fields(&self, out: &mut FieldWriter<'_>) {
        out.u64(self.request_id)
            .u16(self.attempt)
            .one_of(&OutcomeCode::ALL, &self.code)
            .f32(self.used.unwrap_or(UNKNOWN_USAGE))
            .f32(self.remote_units)
            .u32(self.queue)
            .f32(self.busy)
            .u32(self.owner.unwrap_or(UNKNOWN_OWNER))
            .u32(self.version);
    }
}
