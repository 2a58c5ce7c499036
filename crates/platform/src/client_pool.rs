//! All clients' connections: their limits, timers and pending output.

use crate::client_connection::{ClientConnection, FlushEvent, InputEvent, QueueEvent, QueuedResponse};
use crate::client_policy::{
    self, EvictionCandidate, TimeoutAction, CLIENT_TIMEOUT_MS, DISCONNECT_CHECK_MS, LINGER_MS,
    MAX_PIPELINED_BYTES,
};
use crate::connection_table::ConnectionTable;
use crate::memory_limit::MemoryLimit;
use crate::reactor::{ConnectionKey, ConnectionKind, Reactor, Timer};
use magpiewick::Ms;
use magpiewick_http1::{OutgoingResponse, MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES};
use magpiewick_transport::Stream;
use std::io;
use std::net::TcpStream;

/// What is kept of pipelined requests whatever else is in memory: one request of any size.
const MIN_PIPELINED_BYTES: usize = MAX_HEAD_BYTES + MAX_REQUEST_BODY_BYTES;

/// What a check for a disconnect has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisconnectCheck {
    /// The connection is gone, is read again, or is still there and will be checked again.
    Connected,
    /// The client has disconnected.
    Disconnected,
}

/// All clients' connections.
pub(crate) struct ClientPool {
    connections: ConnectionTable<ClientConnection>,
    max_connections: usize,
    max_served: usize,
    /// Clients whose response was just queued.
    to_flush: Vec<ConnectionKey>,
    /// Clients that were found disconnected while an attempt was to be written for them.
    disconnected: Vec<ConnectionKey>,
}

impl ClientPool {
    /// `max_served`: how many clients that have sent a request may stay connected.
    pub(crate) fn new(max_connections: usize, max_served: usize) -> ClientPool {
        let (to_flush, disconnected) = (Vec::new(), Vec::new());
        ClientPool {
            connections: ConnectionTable::default(),
            max_connections,
            max_served,
            to_flush,
            disconnected,
        }
    }

    /// A connection.
    pub(crate) fn get(&self, key: ConnectionKey) -> Option<&ClientConnection> {
        self.connections.get(key)
    }

    /// All connections, in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &ClientConnection)> + '_ {
        self.connections.iter()
    }

    /// How many connections there are.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether another connection may only take the place of one that is open.
    pub(crate) fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Whether too many clients that have sent a request stay connected.
    pub(crate) fn has_too_many_served(&self) -> bool {
        self.connections.iter().filter(|(_, client)| client.requests() > 0).count() > self.max_served
    }

    /// The connection that is closed for a new one, among those that `of` accepts. One with unread input is passed
    /// over: its request would be lost, and closing it would be a reset.
    pub(crate) fn select_for_eviction(
        &self,
        now: Ms,
        of: impl Fn(&EvictionCandidate) -> bool,
    ) -> Option<ConnectionKey> {
        let candidates = self.connections.iter().map(|(key, client)| client.eviction_candidate(key));
        let mut candidates: Vec<EvictionCandidate> = candidates.filter(of).collect();
        while let Some(key) = client_policy::select_for_eviction(now, candidates.iter().copied()) {
            if !self.get(key).is_some_and(ClientConnection::has_unread_input) {
                return Some(key);
            }
            candidates.retain(|candidate| candidate.key != key);
        }
        None
    }

    /// Adds a connection that was just accepted.
    pub(crate) fn insert(&mut self, reactor: &mut Reactor, stream: TcpStream, serial: u64) -> io::Result<()> {
        let (key, stream) =
            reactor.register(ConnectionKind::Client, |poll, key| Stream::accepted(poll, stream, key))?;
        self.connections.insert(key, ClientConnection::new(stream, serial, reactor.now()));
        reactor.set_timer(reactor.now() + CLIENT_TIMEOUT_MS, Timer::ClientTimeout(key, serial));
        Ok(())
    }

    /// Takes a connection out, which closes it as soon as it is dropped.
    #[must_use = "the request that is open on the connection has to be ended"]
    pub(crate) fn remove(&mut self, reactor: &mut Reactor, key: ConnectionKey) -> Option<ClientConnection> {
        let client = self.connections.remove(key)?;
        reactor.release(key);
        Some(client)
    }

    /// Connections that are not being closed yet.
    pub(crate) fn not_closing(&self) -> Vec<ConnectionKey> {
        self.connections.iter().filter(|(_, client)| !client.is_closing()).map(|(key, _)| key).collect()
    }

    /// Whether no connection waits for anything but its end.
    pub(crate) fn none_busy(&self) -> bool {
        self.connections.iter().all(|(_, client)| !client.is_busy())
    }

    /// Whether there is no connection.
    pub(crate) fn is_empty(&self) -> bool {
        self.connections.len() == 0
    }

    /// Reads what has arrived.
    pub(crate) fn receive(&mut self, reactor: &mut Reactor, key: ConnectionKey) -> InputEvent {
        let Some(client) = self.connections.get_mut(key) else { return InputEvent::Discarded };
        let event = client.receive(reactor.now(), reactor.input_age());
        if event == InputEvent::DiscardedTooMuch {
            self.stop_reading(reactor, key);
        }
        event
    }

    /// Whether more is pipelined on a connection than is always kept.
    pub(crate) fn has_many_pipelined(&self, key: ConnectionKey) -> bool {
        let many = |client: &ClientConnection| client.pipelined_bytes() > MIN_PIPELINED_BYTES;
        self.get(key).is_some_and(|client| client.is_busy() && many(client))
    }

    /// Bounds what is pipelined on a connection: one request always, a burst of them while there is memory. All input
    /// is read and no request is forgotten: the client's end would otherwise stay unseen behind it.
    pub(crate) fn bound_pipelined(&mut self, key: ConnectionKey, limit: &MemoryLimit, buffered: usize) {
        let most = if limit.is_half_used(buffered) { MIN_PIPELINED_BYTES } else { MAX_PIPELINED_BYTES };
        if let Some(client) = self.connections.get_mut(key) {
            client.bound_pipelined(most);
        }
    }

    /// Takes the next step of a connection's queue.
    pub(crate) fn next_request(&mut self, now: Ms, key: ConnectionKey, host_closed: bool) -> QueueEvent {
        match self.connections.get_mut(key) {
            Some(client) => client.next_request(now, host_closed),
            None => QueueEvent::None,
        }
    }

    /// Counts a request whose head was good.
    pub(crate) fn on_request_parsed(&mut self, now: Ms, key: ConnectionKey, close: bool) {
        if let Some(client) = self.connections.get_mut(key) {
            client.on_request_parsed(now, close);
        }
    }

    /// The request is in the registry from now on.
    pub(crate) fn on_request_opened(&mut self, key: ConnectionKey, number: u64) {
        if let Some(client) = self.connections.get_mut(key) {
            client.on_request_opened(number);
        }
    }

    /// Waits for the rest of a request. Whether the client has disconnected.
    pub(crate) fn await_rest_of_request(
        &mut self,
        reactor: &mut Reactor,
        key: ConnectionKey,
    ) -> DisconnectCheck {
        let Some(client) = self.connections.get_mut(key) else { return DisconnectCheck::Connected };
        if client.send_continue().is_err() {
            return DisconnectCheck::Disconnected;
        }
        if client.has_pipelined_input() {
            let since = client.first_byte_at();
            self.arm_timer(reactor, key, since);
        }
        DisconnectCheck::Connected
    }

    /// Queues a response; none where the connection is closed.
    pub(crate) fn queue_response(
        &mut self,
        now: Ms,
        key: ConnectionKey,
        response: &OutgoingResponse<'_>,
        host_closed: bool,
    ) -> Option<QueuedResponse> {
        let queued = self.connections.get_mut(key)?.queue_response(now, response, host_closed);
        self.to_flush.push(key);
        Some(queued)
    }

    /// Clients whose response was just queued.
    pub(crate) fn take_to_flush(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.to_flush)
    }

    /// Writes what is queued.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor, key: ConnectionKey) -> Option<FlushEvent> {
        let event = self.connections.get_mut(key)?.flush(reactor.now());
        if let FlushEvent::Blocked(since) = event {
            self.arm_timer(reactor, key, since);
        }
        Some(event)
    }

    /// Reads no more requests from a connection; it ends when its output is written.
    pub(crate) fn begin_closing(&mut self, key: ConnectionKey) {
        if let Some(client) = self.connections.get_mut(key) {
            client.begin_closing();
        }
    }

    /// Ends a connection on which nothing is owed, and gives the client time to read.
    pub(crate) fn linger(&mut self, reactor: &mut Reactor, key: ConnectionKey) {
        let now = reactor.now();
        let Some(client) = self.connections.get_mut(key) else { return };
        client.linger(now);
        reactor.set_timer(now + LINGER_MS, Timer::ClientTimeout(key, client.serial()));
    }

    /// Reads no more from a client, and checks from time to time whether it has disconnected.
    pub(crate) fn stop_reading(&mut self, reactor: &mut Reactor, key: ConnectionKey) {
        let Some(client) = self.connections.get_mut(key) else { return };
        if client.stop_reading() {
            reactor.set_timer(reactor.now(), Timer::DisconnectCheck(key, client.serial()));
        }
    }

    /// A client whose input is not read may have disconnected.
    pub(crate) fn check_disconnect(
        &self,
        reactor: &mut Reactor,
        key: ConnectionKey,
        serial: u64,
    ) -> DisconnectCheck {
        let unread = |client: &&ClientConnection| client.serial() == serial && !client.is_reading();
        let Some(client) = self.get(key).filter(unread) else { return DisconnectCheck::Connected };
        if client.has_disconnected() {
            return DisconnectCheck::Disconnected;
        }
        reactor.set_timer(reactor.now() + DISCONNECT_CHECK_MS, Timer::DisconnectCheck(key, serial));
        DisconnectCheck::Connected
    }

    /// Whether a client has ended its connection. If so, it is closed with the next turn of the event loop.
    pub(crate) fn note_disconnect(&mut self, key: ConnectionKey) -> bool {
        let disconnected = self.get(key).is_some_and(ClientConnection::has_disconnected);
        if disconnected {
            self.disconnected.push(key);
        }
        disconnected
    }

    /// Clients that were found disconnected since the last call.
    pub(crate) fn take_disconnected(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.disconnected)
    }

    /// Whether there are clients to flush or to close.
    pub(crate) fn has_pending_work(&self) -> bool {
        !self.to_flush.is_empty() || !self.disconnected.is_empty()
    }

    /// A client's timer is due. Whether its input is to be read before [`ClientPool::timeout_action`] decides.
    pub(crate) fn on_timer(&mut self, key: ConnectionKey, serial: u64) -> bool {
        let same = |client: &&mut ClientConnection| client.serial() == serial;
        self.connections.get_mut(key).filter(same).is_some_and(ClientConnection::on_timer)
    }

    /// What is done about a client whose timer was due; its timer is set again where that is all.
    pub(crate) fn timeout_action(
        &mut self,
        reactor: &mut Reactor,
        key: ConnectionKey,
        serial: u64,
    ) -> TimeoutAction {
        let Some(client) = self.get(key).filter(|client| client.serial() == serial) else {
            return TimeoutAction::None;
        };
        let action = client_policy::timeout_action(reactor.now(), &client.activity());
        if let TimeoutAction::RearmFrom(since) = action {
            self.arm_timer(reactor, key, since);
        }
        action
    }

    /// A request has begun to arrive, or a response to be written: it must make progress in time.
    fn arm_timer(&mut self, reactor: &mut Reactor, key: ConnectionKey, since: Ms) {
        let Some(client) = self.connections.get_mut(key) else { return };
        if client.arm_timer() {
            reactor.set_timer(since + CLIENT_TIMEOUT_MS, Timer::ClientTimeout(key, client.serial()));
        }
    }
}
