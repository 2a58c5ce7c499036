//! Memory limit of a host: the sum of its buffers, and who waits before more of their input is read. Free of I/O.

use crate::poll_key::{source_of, Source};
use magpiewick::{MemoryBudget, MemoryPurpose, ReadOrder};
use std::collections::HashMap;

/// Memory budget of a host, and the connections that wait for memory.
///
/// A client waits with a partial frame, which is no request yet. A node waits with its answers, and TCP holds it back.
pub(crate) struct MemoryControl {
    budget: MemoryBudget,
    clients: ReadOrder,
    nodes: ReadOrder,
    /// Bytes in the buffers of each connection, by poll key.
    held: HashMap<usize, usize>,
    /// Bytes of the pool that all buffers use.
    buffered: usize,
}

impl MemoryControl {
    /// Creates the state of a host with a limit of `limit_bytes` and at most `max_clients` client connections.
    pub(crate) fn new(limit_bytes: usize, max_clients: usize) -> MemoryControl {
        MemoryControl {
            budget: MemoryBudget::new(limit_bytes, max_clients),
            clients: ReadOrder::default(),
            nodes: ReadOrder::default(),
            held: HashMap::new(),
            buffered: 0,
        }
    }

    /// Records the bytes that the buffers of a connection take.
    pub(crate) fn on_buffers_changed(&mut self, key: usize, bytes: usize) {
        let before = self.held.insert(key, bytes).unwrap_or(0);
        self.buffered = self.buffered - MemoryBudget::from_pool(before) + MemoryBudget::from_pool(bytes);
    }

    /// Removes a connection that is closed.
    pub(crate) fn on_closed(&mut self, key: usize) {
        self.stop_waiting(key);
        self.on_buffers_changed(key, 0);
        self.held.remove(&key);
    }

    /// Returns whether a request with a payload of `bytes` is admitted. `payloads`: bytes of the payloads of all requests.
    pub(crate) fn admits(&self, payloads: usize, bytes: usize) -> bool {
        self.budget.admits_unguaranteed(self.buffered + payloads, bytes)
    }

    /// Returns whether the pool is used up. `payloads`: bytes of the payloads of all requests.
    pub(crate) fn is_exhausted(&self, payloads: usize) -> bool {
        self.budget.free(self.buffered + payloads) == 0
    }

    /// Returns the number of bytes that may be read from a connection, at most `max_read`; 0 where it has to wait.
    /// `payloads`: bytes of the payloads of all requests.
    pub(crate) fn read_limit(&self, key: usize, payloads: usize, max_read: usize) -> usize {
        let (used, held) = (self.buffered + payloads, self.held.get(&key).copied().unwrap_or(0));
        match source_of(key) {
            // An event on a waiting connection, which is not read, reports the end of the connection.
            Source::Client if self.clients.may_read(key) => max_read,
            Source::Client => self.budget.input_read(MemoryPurpose::Request, used, held, max_read),
            Source::Node if self.nodes.may_read(key) => max_read,
            Source::Node => self.budget.response_read(used, held, max_read),
            _ => max_read,
        }
    }

    fn order_mut(&mut self, key: usize) -> &mut ReadOrder {
        match source_of(key) {
            Source::Client => &mut self.clients,
            _ => &mut self.nodes,
        }
    }

    /// Adds a connection that has to wait.
    pub(crate) fn wait(&mut self, key: usize) {
        self.order_mut(key).wait(key);
    }

    /// Records that a connection has made progress, so that it no longer precedes others.
    pub(crate) fn stop_waiting(&mut self, key: usize) {
        self.order_mut(key).remove(key);
    }

    /// Returns whether a connection waits for memory.
    pub(crate) fn is_waiting(&self, key: usize) -> bool {
        self.clients.is_waiting(key) || self.nodes.is_waiting(key)
    }

    /// Returns the connections that are read again, as many as `max_read` bytes for each fit into the pool. `payloads`:
    /// bytes of the payloads of all requests.
    pub(crate) fn resume(&mut self, payloads: usize, max_read: usize) -> Vec<usize> {
        let used = self.buffered + payloads;
        let mut resumed = self.nodes.resume(self.budget.free(used), max_read);
        let for_clients = self.budget.free_for(MemoryPurpose::Request, used);
        resumed.extend(self.clients.resume(for_clients, max_read));
        resumed
    }
}

#[cfg(test)]
mod tests;
