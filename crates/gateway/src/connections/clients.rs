//! Client connections and the answers sent on them.

use super::Connections;
use crate::client_connections::ClientConnections;
use crate::request_registry::ClientRef;
use crate::timer::Timer;
use magpiewick::Ms;
use magpiewick_node_protocol::{FinalAnswer, FinalCode, Message};
use std::net::TcpStream;

impl Connections {
    pub(crate) fn clients(&self) -> &ClientConnections {
        &self.clients
    }

    pub(crate) fn clients_mut(&mut self) -> &mut ClientConnections {
        &mut self.clients
    }

    /// Registers an accepted connection and sends the greeting.
    pub(crate) fn accept_client(&mut self, stream: TcpStream) {
        if let Some(key) = self.clients.accept(&self.poll, stream) {
            self.send_to_client(key, &Message::Hello(self.hello));
        }
    }

    /// Queues a message to a client.
    pub(crate) fn send_to_client(&mut self, key: usize, message: &Message<'_>) {
        if self.clients.send(key, message) {
            self.note_to_write(key);
        }
    }

    /// Schedules accepting of client connections again.
    pub(crate) fn resume_accept_after(&mut self, pause: Ms) {
        self.timers.set(self.now + pause, Timer::ResumeAccept);
    }

    pub(crate) fn pause_all_clients(&mut self) {
        self.clients.keys().into_iter().for_each(|key| self.memory.stop_waiting(key));
        self.clients.pause_all(self.now);
    }

    /// Records whether a client's bytes end in a partial frame, and sets a timer for its completion.
    pub(crate) fn note_partial_frame(&mut self, key: usize, partial: bool, progress: bool) {
        if let Some(serial) = self.clients.note_partial_frame(key, partial, progress) {
            self.timers.set(self.now + self.frame_timeout, Timer::PartialFrame { client: key, serial });
        }
    }

    /// Removes a client; returns the ids of its requests without a final answer.
    #[must_use]
    pub(crate) fn remove_client(&mut self, key: usize) -> Vec<u64> {
        self.memory.on_closed(key);
        let request_ids = self.clients.remove(key);
        request_ids.iter().for_each(|request_id| self.cancel_request(*request_id, "client-gone"));
        request_ids
    }

    /// Cancels the client's request of this number; returns its id, where it is pending.
    #[must_use]
    pub(crate) fn cancel_client_request(&mut self, key: usize, number: u64) -> Option<u64> {
        let request_id = self.clients.remove_request(key, number)?;
        self.cancel_request(request_id, "given-up");
        Some(request_id)
    }

    /// Cancels a request that its client no longer waits for.
    pub(crate) fn cancel_request(&mut self, request_id: u64, reason: &str) {
        if self.requests.get_mut(request_id).is_some_and(|request| request.cancel(reason)) {
            self.coalescer.remove(request_id);
        }
    }

    pub(super) fn answer_client(
        &mut self,
        client: ClientRef,
        code: FinalCode,
        retry_after: Ms,
        payload: &[u8],
    ) {
        let retry_after_us = (retry_after * 1000.0) as u32;
        self.clients.remove_request(client.key, client.request_id);
        let answer = FinalAnswer { request_id: client.request_id, code, retry_after_us, payload };
        self.send_to_client(client.key, &Message::FinalAnswer(answer));
    }
}
