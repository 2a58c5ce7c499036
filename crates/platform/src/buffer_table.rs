//! Table of connections with buffers, which keeps the sum of their memory.

use crate::connection_table::ConnectionTable;
use crate::reactor::ConnectionKey;
use magpiewick::MemoryBudget;

/// Owner of buffers.
pub(crate) trait Buffers {
    /// Returns the memory that the buffers take.
    fn memory_bytes(&self) -> usize;
}

/// Memory that buffers take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BufferUse {
    /// All bytes.
    pub total: usize,
    /// Bytes beyond those that each connection may always hold.
    pub from_pool: usize,
}

impl BufferUse {
    /// Returns the use of one connection with buffers of `bytes`.
    pub(crate) fn of(bytes: usize) -> BufferUse {
        BufferUse { total: bytes, from_pool: MemoryBudget::from_pool(bytes) }
    }

    fn replace(&mut self, before: BufferUse, after: BufferUse) {
        self.total = self.total - before.total + after.total;
        self.from_pool = self.from_pool - before.from_pool + after.from_pool;
    }
}

/// Connections of one kind by key. A connection is modified through [`BufferTable::update`] alone.
pub(crate) struct BufferTable<T> {
    connections: ConnectionTable<T>,
    buffer_use: BufferUse,
}

impl<T> Default for BufferTable<T> {
    fn default() -> BufferTable<T> {
        BufferTable { connections: ConnectionTable::default(), buffer_use: BufferUse::default() }
    }
}

impl<T: Buffers> BufferTable<T> {
    /// Returns the number of connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the memory that the buffers of all connections take.
    pub(crate) fn buffer_use(&self) -> BufferUse {
        self.buffer_use
    }

    /// Returns the connection of a key.
    pub(crate) fn get(&self, key: ConnectionKey) -> Option<&T> {
        self.connections.get(key)
    }

    /// Returns all connections in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &T)> + '_ {
        self.connections.iter()
    }

    /// Adds a connection under a key that the reactor has just allocated.
    pub(crate) fn insert(&mut self, key: ConnectionKey, connection: T) {
        let added = BufferUse::of(connection.memory_bytes());
        self.connections.insert(key, connection);
        self.buffer_use.replace(BufferUse::default(), added);
    }

    /// Modifies the connection of a key, and returns the result; none where the key has no connection.
    pub(crate) fn update<R>(&mut self, key: ConnectionKey, change: impl FnOnce(&mut T) -> R) -> Option<R> {
        let connection = self.connections.get_mut(key)?;
        let before = BufferUse::of(connection.memory_bytes());
        let result = change(connection);
        let after = BufferUse::of(connection.memory_bytes());
        self.buffer_use.replace(before, after);
        Some(result)
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, key: ConnectionKey) -> Option<T> {
        let connection = self.connections.remove(key)?;
        let removed = BufferUse::of(connection.memory_bytes());
        self.buffer_use.replace(removed, BufferUse::default());
        Some(connection)
    }
}

#[cfg(test)]
mod tests;
