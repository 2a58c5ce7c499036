//! Writer of the reply to a batch: little-endian, packed.

use crate::error::AdapterError;

/// Codes of a reply's actions.
pub(crate) mod action_code {
    /// Action: check the health of a node.
    pub(crate) const CHECK_HEALTH: u8 = 1;
    /// Action: send an attempt.
    pub(crate) const SEND: u8 = 3;
    /// Action: reject a request with a retry-after.
    pub(crate) const REJECT: u8 = 4;
    /// Action: poll the endpoint list.
    pub(crate) const POLL_ENDPOINTS: u8 = 6;
    /// Action: cancel an attempt.
    pub(crate) const CANCEL: u8 = 7;
    /// Action: send a message to another host.
    pub(crate) const SEND_GOSSIP: u8 = 9;
    /// Action: fail a request.
    pub(crate) const FAIL: u8 = 10;
    /// Action: set a timer.
    pub(crate) const SET_TIMER: u8 = 12;
}

/// Reply under construction; its buffer is reused for each batch.
#[derive(Default)]
pub(crate) struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// Starts the reply to a batch.
    pub(crate) fn open(&mut self, batch: u32) {
        self.bytes.clear();
        self.u32(0).u32(batch);
    }

    /// Writes the length field and returns the complete reply.
    pub(crate) fn close(&mut self) -> Result<&[u8], AdapterError> {
        let length = u32::try_from(self.bytes.len()).map_err(|_| AdapterError::ReplyTooLong)?;
        self.bytes[..4].copy_from_slice(&length.to_le_bytes());
        Ok(&self.bytes)
    }

    /// Returns the bytes written so far.
    #[cfg(test)]
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes unchanged.
    pub(crate) fn put(&mut self, bytes: &[u8]) -> &mut Reply {
        self.bytes.extend_from_slice(bytes);
        self
    }

    /// Appends one byte.
    pub(crate) fn u8(&mut self, value: u8) -> &mut Reply {
        self.bytes.push(value);
        self
    }

    /// Appends two bytes.
    pub(crate) fn u16(&mut self, value: u16) -> &mut Reply {
        self.put(&value.to_le_bytes())
    }

    /// Appends four bytes.
    pub(crate) fn u32(&mut self, value: u32) -> &mut Reply {
        self.put(&value.to_le_bytes())
    }

    /// Appends eight bytes.
    pub(crate) fn u64(&mut self, value: u64) -> &mut Reply {
        self.put(&value.to_le_bytes())
    }
}
