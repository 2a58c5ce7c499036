//! Table of connections of one kind by key.

use crate::reactor::ConnectionKey;

/// Connections of one kind. All kinds share one key space, so the table has gaps.
pub(crate) struct ConnectionTable<T> {
    slots: Vec<Option<Box<T>>>,
    count: usize,
}

impl<T> Default for ConnectionTable<T> {
    fn default() -> ConnectionTable<T> {
        ConnectionTable { slots: Vec::new(), count: 0 }
    }
}

impl<T> ConnectionTable<T> {
    /// Returns the number of connections.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Adds a connection under a key that the reactor has just allocated.
    pub(crate) fn insert(&mut self, key: ConnectionKey, connection: T) {
        if self.slots.len() <= key {
            self.slots.resize_with(key + 1, || None);
        }
        let previous = self.slots[key].replace(Box::new(connection));
        assert!(previous.is_none(), "connection key {key} is in use");
        self.count += 1;
    }

    /// Returns the connection of a key.
    pub(crate) fn get(&self, key: ConnectionKey) -> Option<&T> {
        self.slots.get(key)?.as_deref()
    }

    /// Returns the connection of a key for modification.
    pub(crate) fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut T> {
        self.slots.get_mut(key)?.as_deref_mut()
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, key: ConnectionKey) -> Option<T> {
        let connection = self.slots.get_mut(key)?.take()?;
        self.count -= 1;
        Some(*connection)
    }

    /// Returns all connections in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &T)> + '_ {
        self.slots.iter().enumerate().filter_map(|(key, slot)| Some((key, slot.as_deref()?)))
    }
}

#[cfg(test)]
mod tests;
