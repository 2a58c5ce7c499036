//! What clients send.

use super::Gateway;
use crate::protocol_error::{for_each_frame, ProtocolError};
use crate::request_registry::is_split_read;
use magpiewick_node_protocol::{DecodeError, Message, Role, VERSION};

/// Why no more of a client's messages can be used.
#[derive(Debug, thiserror::Error)]
enum ClientStop {
    /// Its next request must wait, as enough is pending.
    #[error("full")]
    AtCapacity,
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
}

impl From<DecodeError> for ClientStop {
    fn from(error: DecodeError) -> ClientStop {
        ClientStop::Protocol(error.into())
    }
}

impl Gateway {
    pub(super) fn on_client_readable(&mut self, key: usize) {
        let Some((input, ended)) = self.connections.read(key) else { return };
        if !self.shutdown.is_lingering() {
            self.handle_client_input(key, input);
        }
        if let Some(ended) = ended {
            self.on_client_disconnect(key, &ended);
        }
    }

    /// Handles what a client sent before it was paused, and reads on.
    pub(super) fn resume_client(&mut self, key: usize) {
        if let Some(input) = self.connections.take_unconsumed(key) {
            self.handle_client_input(key, input);
        }
        if !self.at_capacity {
            self.connections.clients_mut().resume(key);
        }
    }

    /// Handles the frames that a client sent, until the host has as many requests as it may.
    fn handle_client_input(&mut self, key: usize, input: Vec<u8>) {
        let (consumed, stop) = for_each_frame(&input, |message| self.on_client_message(key, message));
        if matches!(stop, Some(ClientStop::AtCapacity)) {
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

    fn on_client_message(&mut self, key: usize, message: Message<'_>) -> Result<(), ClientStop> {
        match message {
            Message::Request(_) if self.pending() >= self.config.limits.max_pending_requests => {
                return Err(ClientStop::AtCapacity);
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

    /// A client left a frame incomplete for as long as it may.
    pub(super) fn on_partial_frame_timeout(&mut self, key: usize, serial: u64) {
        // The rest of it may have come in this very moment.
        if self.connections.clients().is_partial_frame_late(key, serial) {
            self.on_client_readable(key);
        }
        if self.connections.clients().is_partial_frame_late(key, serial) {
            self.on_client_disconnect(key, &"left a frame half sent");
        }
    }

    /// A client's connection is over.
    pub(super) fn on_client_disconnect(&mut self, key: usize, reason: &dyn std::fmt::Display) {
        tracing::debug!(client = key, %reason, "client_disconnected");
        for request_id in self.connections.remove_client(key) {
            self.on_request_cancelled(request_id);
        }
    }

    /// Nobody waits for a request any more, or for a split read.
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
