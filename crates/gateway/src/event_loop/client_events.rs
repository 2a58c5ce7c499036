//! Handling of clients' messages and disconnects.

use super::Gateway;
use crate::protocol_error::{for_each_frame, ProtocolError};
use crate::request_registry::is_split_read;
use magpiewick_node_protocol::{DecodeError, Message, Role, VERSION};
use magpiewick_transport::MAX_BYTES_PER_FILL;

/// Reason why no further messages of a client are processed.
#[derive(Debug, thiserror::Error)]
enum InputStopReason {
    /// The next request must wait, as the maximum number of requests is pending.
    #[error("full")]
    AtCapacity,
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
}

impl From<DecodeError> for InputStopReason {
    fn from(error: DecodeError) -> InputStopReason {
        InputStopReason::Protocol(error.into())
    }
}

/// Bytes that a turn reads from one client: its share of the bytes of all clients, within these bounds.
const MIN_BYTES_PER_CLIENT: usize = 16 << 10;
const MAX_BYTES_PER_CLIENT: usize = 64 << 10;
/// Bytes after which a turn reads from no further client, and the bytes as which the work on one message counts.
pub(super) const MAX_CLIENT_BYTES: usize = 1 << 20;
const MESSAGE_COST_BYTES: usize = 256;
/// Milliseconds after which a turn reads from no further client.
pub(super) const MAX_CLIENT_READ_MS: f64 = 4.0;

impl Gateway {
    /// Reads the readable clients in rotation, until the turn has read as much as it may: the messages of all clients
    /// are handled before the next event of any other kind.
    pub(super) fn read_clients(&mut self, mut keys: Vec<usize>) {
        self.client_reads.begin_turn();
        self.client_reads.sort(&mut keys);
        let share = MAX_CLIENT_BYTES / keys.len().max(1);
        let max_bytes = share.clamp(MIN_BYTES_PER_CLIENT, MAX_BYTES_PER_CLIENT);
        for key in keys {
            if self.client_reads.may_read(self.connections.clock_now(), key) {
                self.read_client(key, max_bytes);
            }
        }
    }

    fn read_client(&mut self, key: usize, max_bytes: usize) {
        let Some((input, stream_end)) = self.connections.read_up_to(key, max_bytes) else { return };
        self.client_reads.on_read(input.len().min(max_bytes));
        if !self.shutdown.is_lingering() {
            self.handle_client_input(key, input);
        }
        if let Some(stream_end) = stream_end {
            self.on_client_disconnect(key, &stream_end);
        }
    }

    /// Handles the input that a client sent before it was paused, and resumes reading from it.
    pub(super) fn resume_client(&mut self, key: usize) {
        if let Some(input) = self.connections.take_unconsumed(key) {
            self.handle_client_input(key, input);
        }
        if !self.at_capacity {
            self.connections.clients_mut().resume(key);
        }
    }

    /// Handles a client's frames until the host has its maximum number of requests.
    fn handle_client_input(&mut self, key: usize, input: Vec<u8>) {
        let (consumed, stop) = for_each_frame(&input, |message| self.on_client_message(key, message));
        if matches!(stop, Some(InputStopReason::AtCapacity)) {
            self.at_capacity = true;
            self.connections.pause_all_clients();
            return self.connections.return_input(key, input, consumed);
        }
        let partial = consumed < input.len();
        self.connections.return_input(key, input, consumed);
        self.connections.note_partial_frame(key, partial, consumed > 0);
        if let Some(stop) = stop {
            self.on_client_disconnect(key, &stop);
        }
    }

    fn on_client_message(&mut self, key: usize, message: Message<'_>) -> Result<(), InputStopReason> {
        self.client_reads.on_read(MESSAGE_COST_BYTES);
        match message {
            Message::Request(_) if self.pending() >= self.config.limits.max_pending_requests => {
                return Err(InputStopReason::AtCapacity);
            }
            Message::Request(request) => self.on_client_request(key, &request),
            Message::CancelRequest { request_id } => {
                if let Some(request_id) = self.connections.cancel_client_request(key, request_id) {
                    self.on_request_cancelled(request_id);
                }
            }
            Message::Hello(hello)
                if hello.min_version <= VERSION
                    && hello.max_version >= VERSION
                    && hello.role == Role::Client => {}
            Message::Hello(_) => return Err(ProtocolError::UnusableClientGreeting.into()),
            _ => return Err(ProtocolError::UnexpectedFromClient.into()),
        }
        Ok(())
    }

    /// Disconnects a client that left a frame incomplete for the maximum time.
    pub(super) fn on_partial_frame_timeout(&mut self, key: usize, serial: u64) {
        if self.connections.extend_partial_frame(key, serial) {
            return;
        }
        // The remainder of the frame may have just arrived.
        if self.connections.clients().is_partial_frame_late(key, serial) {
            self.read_client(key, MAX_BYTES_PER_FILL);
        }
        if self.connections.clients().is_partial_frame_late(key, serial) {
            self.on_client_disconnect(key, &"frame not completed in time");
        }
    }

    /// Handles the end of a client's connection.
    pub(super) fn on_client_disconnect(&mut self, key: usize, reason: &dyn std::fmt::Display) {
        tracing::debug!(client = key, %reason, "client_disconnected");
        for request_id in self.connections.remove_client(key) {
            self.on_request_cancelled(request_id);
        }
    }

    /// Cancels a request or split read that its client no longer waits for.
    fn on_request_cancelled(&mut self, request_id: u64) {
        if is_split_read(request_id) {
            self.cancel_parts(request_id);
            self.connections.split_reads_mut().remove(request_id);
            return;
        }
        self.engine.on_client_disconnect(self.connections.now(), request_id);
        self.connections.release(request_id);
    }
}
