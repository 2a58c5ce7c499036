//! Connections of clients, with the pending requests of each.

use crate::config::HostLimits;
use crate::poll_key::{index_of, poll_key, source_of, Source};
use magpiewick::Ms;
use magpiewick_node_protocol::Message;
use magpiewick_transport::{Connection, Poll, StreamEnd, UNTRACKED};
use slab::Slab;
use std::collections::HashMap;
use std::net::TcpStream;

/// Time since which a client has read no answer, and the number of bytes written until then.
#[derive(Clone, Copy)]
struct UnreadAnswers {
    since: Ms,
    written: u64,
}

struct Client {
    connection: Connection,
    /// Request ids by the client's own request numbers.
    requests: HashMap<u64, u64>,
    /// Time since which the host does not read from the client.
    paused_since: Option<Ms>,
    unread_answers: Option<UnreadAnswers>,
    has_partial_frame: bool,
    /// Serial number of the partial frame, which identifies timers of an earlier one.
    partial_frame_serial: u64,
}

/// All clients by poll key.
pub(crate) struct ClientConnections {
    clients: Slab<Client>,
    max_clients: usize,
    /// Maximum bytes of unsent answers per client; above this the host stops reading from the client.
    max_pending_bytes: usize,
}

impl ClientConnections {
    pub(crate) fn new(limits: &HostLimits) -> ClientConnections {
        ClientConnections {
            clients: Slab::new(),
            max_clients: limits.max_clients,
            max_pending_bytes: limits.max_client_buffer,
        }
    }

    fn get(&self, key: usize) -> Option<&Client> {
        self.clients.get(index_of(key))
    }

    fn get_mut(&mut self, key: usize) -> Option<&mut Client> {
        self.clients.get_mut(index_of(key))
    }

    /// Registers an accepted connection; returns its key, or none where the connection is rejected.
    pub(crate) fn accept(&mut self, poll: &Poll, stream: TcpStream) -> Option<usize> {
        if self.clients.len() >= self.max_clients {
            tracing::warn!(reason = "too_many_clients", max_clients = self.max_clients, "client_rejected");
            return None;
        }
        let entry = self.clients.vacant_entry();
        let key = poll_key(Source::Client, entry.key());
        let connection = match Connection::accepted(poll, stream, key) {
            Ok(connection) => connection,
            Err(error) => {
                tracing::warn!(%error, "client_accept_failed");
                return None;
            }
        };
        entry.insert(Client {
            connection,
            requests: HashMap::new(),
            paused_since: None,
            unread_answers: None,
            has_partial_frame: false,
            partial_frame_serial: 0,
        });
        Some(key)
    }

    pub(crate) fn connection_mut(&mut self, key: usize) -> Option<&mut Connection> {
        self.get_mut(key).map(|client| &mut client.connection)
    }

    /// Queues a message; returns false where the client has disconnected.
    pub(crate) fn send(&mut self, key: usize, message: &Message<'_>) -> bool {
        let Some(client) = self.get_mut(key) else { return false };
        client.connection.queue(message, UNTRACKED);
        true
    }

    pub(crate) fn keys(&self) -> Vec<usize> {
        self.clients.iter().map(|(index, _)| poll_key(Source::Client, index)).collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Records whether a client has read a part of its answers since the last call.
    pub(crate) fn note_written(&mut self, now: Ms, key: usize) {
        let Some(client) = self.get_mut(key).filter(|_| source_of(key) == Source::Client) else { return };
        let written = client.connection.total_written();
        client.unread_answers = match client.unread_answers {
            _ if client.connection.pending() == 0 => None,
            Some(unread) if unread.written == written => Some(unread),
            _ => Some(UnreadAnswers { since: now, written }),
        };
    }

    /// Returns the clients that have read no answer since `limit` or earlier, those with the most unsent bytes first.
    pub(crate) fn not_reading_since(&self, limit: Ms) -> Vec<usize> {
        let is_late = |client: &Client| client.unread_answers.is_some_and(|unread| unread.since <= limit);
        let late = self.clients.iter().filter(|(_, client)| is_late(client));
        let mut late: Vec<(usize, usize)> =
            late.map(|(index, client)| (client.connection.pending(), index)).collect();
        late.sort_unstable_by_key(|(pending, index)| (std::cmp::Reverse(*pending), *index));
        late.into_iter().map(|(_, index)| poll_key(Source::Client, index)).collect()
    }

    /// Returns whether the host does not read from a client because of its answers or the number of requests.
    pub(crate) fn is_paused(&self, key: usize) -> bool {
        source_of(key) == Source::Client && self.get(key).is_some_and(|client| client.paused_since.is_some())
    }

    /// Stops reading from a client that does not read its answers, until it reads them. The unsent answers of
    /// the client are thereby limited to those of its pending requests.
    pub(crate) fn pause_if_slow(&mut self, now: Ms, key: usize) -> Result<(), StreamEnd> {
        let max_pending_bytes = self.max_pending_bytes;
        let Some(client) = self.get_mut(key).filter(|_| source_of(key) == Source::Client) else {
            return Ok(());
        };
        if client.paused_since.is_none() && client.connection.pending() > max_pending_bytes {
            client.paused_since = Some(now);
            client.connection.set_reading(false)?;
        }
        Ok(())
    }

    /// Pauses all clients, as the host has reached its maximum number of requests.
    pub(crate) fn pause_all(&mut self, now: Ms) {
        for (_, client) in self.clients.iter_mut().filter(|(_, client)| client.paused_since.is_none()) {
            client.paused_since = Some(now);
            // A connection that cannot be paused is broken and ends at its next read.
            _ = client.connection.set_reading(false);
        }
    }

    /// Returns whether a client is paused and has read enough of its answers to be resumed.
    pub(crate) fn may_resume(&self, key: usize) -> bool {
        let paused = self.get(key).filter(|client| client.paused_since.is_some());
        paused.is_some_and(|client| client.connection.pending() <= self.max_pending_bytes / 2)
    }

    /// Resumes reading from a client.
    pub(crate) fn resume(&mut self, key: usize) {
        if let Some(client) = self.get_mut(key) {
            client.paused_since = None;
            // A connection that cannot be resumed is broken and ends at its next read.
            _ = client.connection.set_reading(true);
        }
    }

    /// Returns how long a client has been paused; its next bytes may have been waiting for as long.
    pub(crate) fn paused_for(&self, now: Ms, key: usize) -> Ms {
        self.get(key).and_then(|client| client.paused_since).map_or(0.0, |since| now - since)
    }

    /// Records whether a client's bytes end in a partial frame, and whether frames were consumed since the
    /// last call. Returns the serial number of a new partial frame, for its timer.
    pub(crate) fn note_partial_frame(&mut self, key: usize, partial: bool, progress: bool) -> Option<u64> {
        let client = self.get_mut(key)?;
        if !partial || progress {
            client.has_partial_frame = false;
            client.partial_frame_serial += 1;
        }
        if !partial || client.has_partial_frame {
            return None;
        }
        client.has_partial_frame = true;
        Some(client.partial_frame_serial)
    }

    /// Returns whether a partial frame is still incomplete, and the client is not paused.
    pub(crate) fn is_partial_frame_late(&self, key: usize, serial: u64) -> bool {
        self.get(key).is_some_and(|client| {
            let same_frame = client.has_partial_frame && client.partial_frame_serial == serial;
            same_frame && client.paused_since.is_none()
        })
    }

    /// Removes a client; returns the ids of its requests without a final answer.
    pub(crate) fn remove(&mut self, key: usize) -> Vec<u64> {
        let Some(client) = self.clients.try_remove(index_of(key)) else { return Vec::new() };
        let mut request_ids: Vec<u64> = client.requests.into_values().collect();
        request_ids.sort_unstable();
        request_ids
    }

    /// Records a request under the client's own number; none where the client has disconnected.
    pub(crate) fn add_request(&mut self, key: usize, number: u64, request_id: u64) -> Option<()> {
        self.get_mut(key)?.requests.insert(number, request_id);
        Some(())
    }

    /// Removes the request of this number; returns its id.
    pub(crate) fn remove_request(&mut self, key: usize, number: u64) -> Option<u64> {
        self.get_mut(key)?.requests.remove(&number)
    }

    /// Returns whether a request of this number is pending.
    pub(crate) fn has_request(&self, key: usize, number: u64) -> bool {
        self.get(key).is_some_and(|client| client.requests.contains_key(&number))
    }

    /// Closes the writing half of all client connections, and continues to read from them.
    pub(crate) fn end_writing(&mut self) {
        for (_, client) in &mut self.clients {
            client.connection.end_writing();
            // A connection that cannot be read any more ends at its next read.
            _ = client.connection.set_reading(true);
        }
    }

    /// Returns whether all answers have been written.
    pub(crate) fn all_written(&self) -> bool {
        self.clients.iter().all(|(_, client)| client.connection.pending() == 0)
    }
}
