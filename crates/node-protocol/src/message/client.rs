//! Messages between client and host: requests and final answers.

use super::checked_payload;
use crate::fields::{FieldReader, FieldWriter};
use crate::DecodeError;

/// A request as a client sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientRequest<'a> {
    /// Request id assigned by the client; not reused on this connection while the request is pending.
    pub request_id: u64,
    /// Request class.
    pub class: u16,
    /// True for a write, false for a read.
    pub write: bool,
    /// Id of the volume.
    pub volume: u64,
    /// First block, or key of a whole piece of data; 0 for no key.
    pub key: u64,
    /// Key by which repetitions of the request are detected; 0 for none.
    pub idempotency_key: u64,
    /// Cost of the request.
    pub units: f32,
    /// Time for which the client waits.
    pub client_timeout_us: u32,
    /// Number of blocks from the key on; 0 where the key identifies a whole piece of data.
    pub blocks: u32,
    /// Data to be written.
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

/// Result of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalCode {
    /// The request was served.
    Succeeded,
    /// The request did not run, so a retry is safe.
    Rejected,
    /// The request may have run.
    Failed,
}

impl FinalCode {
    /// All values in the order of their wire codes.
    const ALL: [FinalCode; 3] = [FinalCode::Succeeded, FinalCode::Rejected, FinalCode::Failed];
}

/// The single final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinalAnswer<'a> {
    /// Request id assigned by the client.
    pub request_id: u64,
    /// Result of the request.
    pub code: FinalCode,
    /// Time after which a rejected client should retry; 0 for no recommendation.
    pub retry_after_us: u32,
    /// Data that was read, or the name of the reason where the request did not succeed.
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
