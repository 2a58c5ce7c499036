//! Limits of the bytes and of the time that an event loop spends on reading in one turn, shared fairly by connections.

/// Connections of one kind that share limits of the bytes read in a turn and of the time that reading and handling them
/// takes. Connections that a turn passes over come first in the next one.
#[derive(Debug)]
pub struct ReadShare {
    max_bytes: usize,
    bytes_left: usize,
    /// Milliseconds after the first read of a turn from which the turn reads no further connection.
    max_ms: f64,
    ends_at: Option<f64>,
    /// Lowest key that is read first.
    first_key: usize,
    is_exhausted: bool,
}

impl ReadShare {
    /// Creates a share. `max_bytes`, `max_ms`: bytes and milliseconds after which a turn reads from no further connection.
    pub fn new(max_bytes: usize, max_ms: f64) -> ReadShare {
        ReadShare {
            max_bytes,
            bytes_left: max_bytes,
            max_ms,
            ends_at: None,
            first_key: 0,
            is_exhausted: false,
        }
    }

    /// Begins a turn.
    pub fn begin_turn(&mut self) {
        (self.bytes_left, self.ends_at, self.is_exhausted) = (self.max_bytes, None, false);
    }

    /// Sorts connections into the order in which this turn reads them, unless the caller has an order of its own.
    pub fn sort(&self, keys: &mut [usize]) {
        keys.sort_by_key(|key| (*key < self.first_key, *key));
    }

    /// Returns whether a connection may be read in this turn. The first one that may not is read first in the next. At
    /// least one connection may be read in each turn. `now`: current time in milliseconds.
    pub fn may_read(&mut self, now: f64, key: usize) -> bool {
        let ends_at = *self.ends_at.get_or_insert(now + self.max_ms);
        let is_first = self.bytes_left == self.max_bytes;
        if self.bytes_left > 0 && (is_first || now < ends_at) {
            return true;
        }
        if !self.is_exhausted {
            (self.is_exhausted, self.first_key) = (true, key);
        }
        false
    }

    /// Counts bytes that were read from a connection.
    pub fn on_read(&mut self, bytes: usize) {
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
    }

    /// Returns the bytes that this turn has read.
    pub fn used(&self) -> usize {
        self.max_bytes - self.bytes_left
    }
}

#[cfg(test)]
mod tests;
