//! Connections of clients: acceptance, input, output and their end.

use super::{AcceptBatch, EventLoop, ACCEPT_BATCH_SIZE};
use crate::listener::Accepted;
use crate::proxy::ClientEvent;
use crate::reactor::ConnectionKey;
use crate::request_log::ClientCloseReason;
use crate::turn_budget::MAX_BYTES_PER_CLIENT_IN_SHUTDOWN;
use magpiewick_http1::{MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES};

/// Reads that suffice for the largest request.
const MAX_READS_OF_REQUEST: usize =
    (MAX_HEAD_BYTES + MAX_REQUEST_BODY_BYTES).div_ceil(MAX_BYTES_PER_CLIENT_IN_SHUTDOWN) + 1;

impl EventLoop {
    /// Accepts a limited number of the waiting connections.
    pub(super) fn accept(&mut self) -> AcceptBatch {
        let now = self.proxy.now();
        self.listener.note_stall(now, self.proxy.reactor().input_age());
        for _ in 0..ACCEPT_BATCH_SIZE {
            match self.listener.accept() {
                Accepted::Connection(stream) => {
                    let sent_since = self.listener.take_sent_since(now);
                    self.proxy.accept_client(stream, sent_since);
                }
                Accepted::ConnectionFailed => {}
                Accepted::NoneWaiting => return AcceptBatch::QueueEmpty,
                // The new client replaces an evicted one.
                Accepted::OutOfDescriptors(error) if self.proxy.evict_client_for_descriptor(&error) => {}
                Accepted::OutOfDescriptors(error) | Accepted::OutOfResources(error) => {
                    if self.listener.on_accept_failed(self.proxy.now()) {
                        self.proxy.log_accept_paused(&error);
                        return AcceptBatch::MayHaveMore;
                    }
                }
            }
        }
        AcceptBatch::MayHaveMore
    }

    pub(super) fn on_client_event(&mut self, key: ConnectionKey, event: ClientEvent) {
        match event {
            ClientEvent::None => {}
            ClientEvent::Disconnected => self.close_client(key, ClientCloseReason::Disconnected),
            ClientEvent::Request(request) => {
                self.engine.submit(self.proxy.now(), request, &mut self.proxy);
            }
        }
    }

    /// Reads a client's request as far as it has arrived, whatever the turn's limits, before it is decided that no more
    /// is read.
    pub(super) fn read_arrived_request(&mut self, key: ConnectionKey) {
        for _ in 0..MAX_READS_OF_REQUEST {
            let event = self.proxy.read_client(key);
            self.on_client_event(key, event);
            if !self.proxy.has_unread_rest_of_request(key) {
                return;
            }
        }
    }

    pub(super) fn flush_client(&mut self, key: ConnectionKey) {
        let event = self.proxy.flush_client(key);
        self.on_client_event(key, event);
    }

    /// Takes the requests that earlier turns have left to this one, as far as its limit allows.
    pub(super) fn take_deferred_requests(&mut self) {
        while let Some((key, event)) = self.proxy.next_deferred_request() {
            self.on_client_event(key, event);
        }
    }

    /// Writes the queued responses, and takes the next pipelined requests of their clients.
    pub(super) fn flush_clients(&mut self) {
        for key in self.proxy.take_clients_to_flush() {
            self.flush_client(key);
        }
    }

    /// Closes a client's connection, and reports the disconnect to the engine for the open request, whose response then
    /// has no recipient.
    pub(super) fn close_client(&mut self, key: ConnectionKey, reason: ClientCloseReason) {
        let Some(request) = self.proxy.close_client(key, reason) else { return };
        self.engine.on_client_disconnect(self.proxy.now(), request);
        self.proxy.end_abandoned_request(request);
    }

    /// Handles a client's timer. Input that has just arrived is read before the timeout is evaluated.
    pub(super) fn on_client_timeout(&mut self, key: ConnectionKey, serial: u64) {
        if self.proxy.on_client_timer(key, serial) {
            self.read_arrived_request(key);
        }
        if let Some(reason) = self.proxy.expire_client(key, serial) {
            self.close_client(key, reason);
        }
    }
}
