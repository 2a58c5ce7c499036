//! Memory limit: which connections are read, and which requests are admitted.

use super::Connections;
use crate::timer::Timer;
use magpiewick::Ms;
use magpiewick_transport::MAX_BYTES_PER_FILL;

/// Time after which a client that reads no answer may be disconnected while memory is exhausted.
const UNREAD_ANSWER_TIMEOUT: Ms = 2_000.0;

impl Connections {
    /// Returns whether memory is available for a request with a payload of `bytes`.
    pub(crate) fn has_memory_for_request(&self, bytes: usize) -> bool {
        self.memory.admits(self.requests.payload_bytes(), bytes)
    }

    /// Records the bytes that the buffers of a connection take.
    pub(super) fn note_memory(&mut self, key: usize) {
        if let Some(connection) = self.connection_mut(key) {
            let bytes = connection.memory_bytes();
            self.memory.on_buffers_changed(key, bytes);
        }
    }

    /// Stops reading from a connection until memory is available.
    pub(super) fn wait_for_memory(&mut self, key: usize) {
        self.memory.wait(key);
        self.set_reading(key, false);
    }

    /// Reads again from connections for which memory is available.
    pub(crate) fn resume_reading(&mut self) {
        for key in self.memory.resume(self.requests.payload_bytes(), MAX_BYTES_PER_FILL) {
            if self.clients.is_paused(key) {
                // The client is read again once it is resumed.
                self.memory.stop_waiting(key);
            } else {
                self.set_reading(key, true);
            }
        }
    }

    fn set_reading(&mut self, key: usize, reading: bool) {
        if let Some(connection) = self.connection_mut(key) {
            // A connection whose events cannot be changed is broken and ends at its next read.
            _ = connection.set_reading(reading);
        }
    }

    /// Returns the clients to disconnect because memory is exhausted and they do not read their answers.
    pub(crate) fn clients_holding_memory(&self) -> Vec<usize> {
        match self.is_memory_exhausted() {
            true => self.clients.not_reading_since(self.now - UNREAD_ANSWER_TIMEOUT),
            false => Vec::new(),
        }
    }

    /// Returns whether buffers and requests use up their share of the memory limit.
    pub(crate) fn is_memory_exhausted(&self) -> bool {
        self.memory.is_exhausted(self.requests.payload_bytes())
    }

    /// Sets the timer of a partial frame again where its client waits for memory; returns false elsewhere.
    #[must_use]
    pub(crate) fn extend_partial_frame(&mut self, key: usize, serial: u64) -> bool {
        let is_waiting = self.memory.is_waiting(key);
        if is_waiting {
            self.timers.set(self.now + self.frame_timeout, Timer::PartialFrame { client: key, serial });
        }
        is_waiting
    }
}
