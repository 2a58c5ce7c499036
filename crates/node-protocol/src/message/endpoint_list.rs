//! Messages with the endpoint list.

use crate::fields::{FieldReader, FieldWriter};
use crate::frame::MAX_LIST_ENTRIES;
use crate::DecodeError;

/// Length of an encoded entry in bytes.
pub(crate) const ENDPOINT_ENTRY_LENGTH: usize = 38;

/// State of a listed node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The node accepts requests.
    Ready,
    /// The node finishes its pending requests and accepts no new ones.
    Draining,
    /// The node no longer exists.
    Removed,
}

impl EntryState {
    /// All values in the order of their wire codes.
    const ALL: [EntryState; 3] = [EntryState::Ready, EntryState::Draining, EntryState::Removed];
}

/// A node on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Number of the node.
    pub node: u32,
    /// Shard that the node holds.
    pub shard: u32,
    /// Zone of the node.
    pub zone: u16,
    /// State of the node.
    pub state: EntryState,
    /// Identifier of this start of the node's process, different from that of every other start.
    pub incarnation: u64,
    /// Time since the start of the node's process; [`AGE_LONG_RUNNING`](crate::AGE_LONG_RUNNING) where the
    /// age is no longer relevant.
    pub age_us: u64,
    /// IPv4 address at which the node listens.
    pub address: [u8; 4],
    /// Port at which the node listens.
    pub port: u16,
}

impl EndpointEntry {
    fn decode(bytes: &[u8]) -> Result<EndpointEntry, DecodeError> {
        let mut fields = FieldReader::new(bytes);
        let node = fields.u32("node")?;
        let shard = fields.u32("shard")?;
        let zone = fields.u16("zone")?;
        let state = fields.one_of(&EntryState::ALL, "state")?;
        fields.u8("zero")?;
        let incarnation = fields.u64("incarnation")?;
        let age_us = fields.u64("age")?;
        let address = fields.u32("address")?.to_le_bytes();
        let port = fields.u16("port")?;
        Ok(EndpointEntry { node, shard, zone, state, incarnation, age_us, address, port })
    }

    fn encode(&self, out: &mut FieldWriter<'_>) {
        out.u32(self.node)
            .u32(self.shard)
            .u16(self.zone)
            .one_of(&EntryState::ALL, &self.state)
            .u8(0)
            .u64(self.incarnation)
            .u64(self.age_us)
            .bytes(&self.address)
            .u16(self.port)
            .bytes(&[0; 4]);
    }
}

/// The whole endpoint list, or its changes since the previous epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointListUpdate {
    /// True for the whole list, false for changes.
    pub snapshot: bool,
    /// Epoch after the update.
    pub epoch: u64,
    /// All nodes of the list, or the changed nodes.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointListUpdate {
    pub(super) fn decode(
        fields: &mut FieldReader<'_>,
        payload: &[u8],
    ) -> Result<EndpointListUpdate, DecodeError> {
        Ok(EndpointListUpdate {
            snapshot: fields.flag("snapshot flag")?,
            epoch: fields.u64("epoch")?,
            entries: decode_entries(payload)?,
        })
    }

    pub(super) fn encode_fields(&self, out: &mut FieldWriter<'_>) {
        out.flag(self.snapshot).u64(self.epoch);
    }

    pub(super) fn encode_entries(&self, out: &mut FieldWriter<'_>) {
        self.entries.iter().for_each(|entry| entry.encode(out));
    }
}

fn decode_entries(bytes: &[u8]) -> Result<Vec<EndpointEntry>, DecodeError> {
    let count = bytes.len() / ENDPOINT_ENTRY_LENGTH;
    if !bytes.len().is_multiple_of(ENDPOINT_ENTRY_LENGTH) || count > MAX_LIST_ENTRIES {
        return Err(DecodeError::InvalidField("length of the list"));
    }
    bytes.chunks_exact(ENDPOINT_ENTRY_LENGTH).map(EndpointEntry::decode).collect()
}
