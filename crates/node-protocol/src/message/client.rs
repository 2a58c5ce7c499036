//! Between client and host: requests and their final answers.

use super::checked_payload;
use crate::fields::{FieldReader, FieldWriter};
use crate::DecodeError;

/// A request as a client sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientRequest<'a> {
    /// The client's own number for it, not reused on this connection while the request is pending.
    pub request_id: u64,
    /// The request class.
    pub class: u16,
    /// Whether it writes.
    pub write: bool,
    /// The volume.
    pub volume: u64,
    /// The first block, or the piece of data; 0 for none.
    pub key: u64,
    /// The key by which a repetition is recognized; 0 for none.
    pub idempotency_key: u64,
    /// Its cost.
    pub units: f32,
    /// How long the client waits.
    pub client_timeout_us: u32,
    /// The number of blocks from the key on; 0 where the key is a piece by itself.
    pub blocks: u32,
    /// What is written.
    pub payload: &'a [u8],
}

impl<'a> ClientRequest<'a> {
    pub(super) fn decode(
        fields: &mut FieldReader<'_>,
        payload: &'a [u8],
    ) -> Result<ClientRequest<'a>, DecodeError> {
        Ok(ClientRequest {
            request_id: fields.u64("request id")?,
            class: fields.u16("class")?,
            write: fields.flag("write flag")?,
            volume: fields.u64("volume")?,
            key: fields.u64("key")?,
            idempotency_key: fields.u64("idempotency key")?,
            units: fields.amount("units")?,
            client_timeout_us: fields.u32("client timeout")?,
            blocks: fields.u32("blocks")?,
            payload: checked_payload(payload)?,
        })
    }

    pub(super) fn encode_fields(&self, out: &mut FieldWriter<'_>) {
        out.u64(self.request_id)
            .u16(self.class)
            .flag(self.write)
            .u64(self.volume)
            .u64(self.key)
            .u64(self.idempotency_key)
            .f32(self.units)
            .u32(self.client_timeout_us)
            .u32(self.blocks);
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalCode {
    /// It was served.
    Succeeded,
    /// Nothing ran: trying again is harmless.
    Rejected,
    /// Nothing is promised: it may have run.
    Failed,
}

impl FinalCode {
    /// In the order of their numbers on the wire.
    const ALL: [FinalCode; 3] = [FinalCode::Succeeded, FinalCode::Rejected, FinalCode::Failed];
}

/// The one final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinalAnswer<'a> {
    /// The client's number for the request.
    pub request_id: u64,
    /// How it ended.
    pub code: FinalCode,
    /// When a rejected client should retry; 0 for no advice.
    pub retry_after_us: u32,
    /// What was read; else the word for the reason.
    pub payload: &'a [u8],
}

impl<'a> FinalAnswer<'a> {
    pub(super) fn decode(
        fields: &mut FieldReader<'_>,
        payload: &'a [u8],
    ) -> Result<FinalAnswer<'a>, DecodeError> {
        Ok(FinalAnswer {
            request_id: fields.u64("request id")?,
            code: fields.one_of(&FinalCode::ALL, "final answer")?,
            retry_after_us: fields.u32("retry after")?,
            payload: checked_payload(payload)?,
        })
    }

    pub(super) fn encode_fields(&self, out: &mut FieldWriter<'_>) {
        out.u64(self.request_id).one_of(&FinalCode::ALL, &self.code).u32(self.retry_after_us);
    }
}
