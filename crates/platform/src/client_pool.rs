//! Connections of all clients: their limits, timers and pending output.

use crate::buffer_table::{BufferTable, BufferUse};
use crate::client_connection::{ClientConnection, FlushEvent, InputEvent, QueueEvent, QueuedResponse};
use crate::client_policy::{
    self, EvictionCandidate, TimeoutAction, CLIENT_TIMEOUT_MS, DISCONNECT_CHECK_MS, LINGER_MS,
    MAX_PIPELINED_BYTES,
};
use crate::reactor::{ConnectionKey, ConnectionKind, Reactor, Timer};
use crate::request_stages::AnsweredRequest;
use crate::turn_budget::MAX_BYTES_PER_CLIENT;
use magpiewick::{MemoryBudget, MemoryPurpose, Ms, GUARANTEED_BYTES};
use magpiewick_http1::OutgoingResponse;
use magpiewick_transport::Stream;
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

/// Bytes that are read behind the limit of a read.
const MAX_BYTES_BEHIND_REQUEST: usize = 256;

/// Result of a check for a disconnect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisconnectCheck {
    /// The connection is closed, is read again, or is still open and will be checked again.
    Connected,
    /// The client has disconnected.
    Disconnected,
}

/// Connections of all clients.
pub(crate) struct ClientPool {
    connections: BufferTable<ClientConnection>,
    max_connections: usize,
    max_served: usize,
    /// Buffer through which the input of all clients is read.
    read_buffer: Box<[u8]>,
    /// Clients with a newly queued response.
    to_flush: Vec<ConnectionKey>,
    /// Clients whose next request waits for a later turn, in the order of their turns. A key whose connection does not
    /// wait belongs to a former connection.
    awaiting_turn: VecDeque<ConnectionKey>,
    /// Clients that were found disconnected when an attempt was about to be written for them.
    disconnected: Vec<ConnectionKey>,
}

impl ClientPool {
    /// Creates an empty pool. `max_served`: limit of the connected clients that have sent a request.
    pub(crate) fn new(max_connections: usize, max_served: usize) -> ClientPool {
        ClientPool {
            connections: BufferTable::default(),
            max_connections,
            max_served,
            read_buffer: vec![0; MAX_BYTES_PER_CLIENT].into(),
            to_flush: Vec::new(),
            awaiting_turn: VecDeque::new(),
            disconnected: Vec::new(),
        }
    }

    /// Returns a connection.
    pub(crate) fn get(&self, key: ConnectionKey) -> Option<&ClientConnection> {
        self.connections.get(key)
    }

    /// Returns all connections in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &ClientConnection)> + '_ {
        self.connections.iter()
    }

    /// Returns the number of connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the memory that the buffer for reading takes.
    pub(crate) fn read_buffer_bytes(&self) -> usize {
        self.read_buffer.len()
    }

    /// Returns the memory that the buffers and open requests of all clients take.
    pub(crate) fn buffer_use(&self) -> BufferUse {
        self.connections.buffer_use()
    }

    /// Returns whether a further connection requires the eviction of an open one.
    pub(crate) fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Returns whether the number of connected clients that have sent a request exceeds the limit.
    pub(crate) fn has_too_many_served(&self) -> bool {
        self.connections.iter().filter(|(_, client)| client.requests() > 0).count() > self.max_served
    }

    /// Selects the connection to close for a new one among those that `is_candidate` accepts. A connection with unread
    /// input is skipped unless that is discarded: its request would be lost, and closing it would reset the connection.
    pub(crate) fn select_for_eviction(
        &self,
        now: Ms,
        is_candidate: impl Fn(&EvictionCandidate) -> bool,
    ) -> Option<ConnectionKey> {
        let candidates = self.connections.iter().map(|(key, client)| client.eviction_candidate(key));
        let mut order = client_policy::eviction_order(now, candidates.filter(is_candidate));
        let may_close = |candidate: &EvictionCandidate| {
            candidate.lingering || !self.get(candidate.key).is_some_and(ClientConnection::has_unread_input)
        };
        order.find(may_close).map(|candidate| candidate.key)
    }

    /// Adds a newly accepted connection. `sent_since`: earliest time at which input that has already arrived may have been
    /// sent.
    pub(crate) fn insert(
        &mut self,
        reactor: &mut Reactor,
        stream: TcpStream,
        serial: u64,
        sent_since: Ms,
    ) -> io::Result<()> {
        let (key, stream) =
            reactor.register(ConnectionKind::Client, |poll, key| Stream::accepted(poll, stream, key))?;
        let mut client = ClientConnection::new(stream, serial, reactor.now());
        if sent_since < reactor.now() && client.has_unread_input() {
            client.leave_unread(sent_since);
        }
        self.connections.insert(key, client);
        reactor.set_timer(reactor.now() + CLIENT_TIMEOUT_MS, Timer::ClientTimeout(key, serial));
        Ok(())
    }

    /// Removes a connection, which closes when it is dropped.
    #[must_use = "the request that is open on the connection has to be ended"]
    pub(crate) fn remove(&mut self, reactor: &mut Reactor, key: ConnectionKey) -> Option<ClientConnection> {
        let client = self.connections.remove(key)?;
        reactor.release(key);
        Some(client)
    }

    /// Returns the connections that are not closing.
    pub(crate) fn not_closing(&self) -> Vec<ConnectionKey> {
        self.connections.iter().filter(|(_, client)| !client.is_closing()).map(|(key, _)| key).collect()
    }

    /// Returns whether no connection has an open request or pending output.
    pub(crate) fn none_busy(&self) -> bool {
        self.connections.iter().all(|(_, client)| !client.is_busy())
    }

    /// Returns whether the pool is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.connections.len() == 0
    }

    /// Reads at most `max_bytes` of the input that has arrived. Where there is more, some bytes are read beyond: bytes
    /// behind a request show whether its stated length is right, so that a read must not end with a request.
    pub(crate) fn receive(
        &mut self,
        reactor: &mut Reactor,
        key: ConnectionKey,
        max_bytes: usize,
    ) -> InputEvent {
        let total_read = |pool: &ClientPool| pool.get(key).map_or(0, ClientConnection::total_read);
        let before = total_read(self);
        let mut event = self.receive_once(reactor, key, max_bytes);
        if event == InputEvent::Queued && total_read(self) - before >= max_bytes as u64 {
            event = self.receive_once(reactor, key, MAX_BYTES_BEHIND_REQUEST);
        }
        if event == InputEvent::DiscardedTooMuch {
            self.stop_reading(reactor, key);
        }
        event
    }

    fn receive_once(&mut self, reactor: &Reactor, key: ConnectionKey, max_bytes: usize) -> InputEvent {
        let (now, input_age, read_at) = (reactor.now(), reactor.input_age(), reactor.read_clock());
        let buffer = &mut self.read_buffer[..max_bytes.min(MAX_BYTES_PER_CLIENT)];
        let received = self.connections.update(key, |client| client.receive(now, input_age, read_at, buffer));
        received.unwrap_or(InputEvent::Discarded)
    }

    /// Leaves the input of a connection unread until a later turn.
    pub(crate) fn leave_unread(&mut self, now: Ms, key: ConnectionKey) {
        self.connections.update(key, |client| client.leave_unread(now));
    }

    /// Leaves the next request of a connection to a later turn.
    pub(crate) fn await_turn(&mut self, key: ConnectionKey) {
        if self.connections.update(key, ClientConnection::await_turn) == Some(true) {
            self.awaiting_turn.push_back(key);
        }
    }

    /// Returns whether the next request of any connection waits for a later turn.
    pub(crate) fn has_awaiting_turn(&self) -> bool {
        !self.awaiting_turn.is_empty()
    }

    /// Returns the connection whose turn is next, and ends its wait.
    pub(crate) fn next_turn(&mut self) -> Option<ConnectionKey> {
        while let Some(key) = self.awaiting_turn.pop_front() {
            if self.connections.update(key, ClientConnection::end_await_turn) == Some(true) {
                return Some(key);
            }
        }
        None
    }

    /// Stores the input of a connection again, where requests were dropped, as soon as memory is available. `used`: bytes
    /// of the memory pool that are used.
    pub(crate) fn resume_storing(&mut self, key: ConnectionKey, budget: MemoryBudget, used: usize) {
        if self.keeps_input(key, budget, used) {
            self.connections.update(key, ClientConnection::resume_storing);
        }
    }

    fn keeps_input(&self, key: ConnectionKey, budget: MemoryBudget, used: usize) -> bool {
        let is_busy = self.get(key).is_some_and(ClientConnection::is_busy);
        let purpose = if is_busy { MemoryPurpose::SentAhead } else { MemoryPurpose::Request };
        budget.keeps_input(purpose, used)
    }

    /// Limits the input of a connection that has no response yet: to one burst of requests while memory is available,
    /// and to the guaranteed size otherwise. All input is read and each request is counted: otherwise unread input
    /// would hide the client's disconnect. `used`: bytes of the memory pool that are used.
    pub(crate) fn limit_input(&mut self, key: ConnectionKey, budget: MemoryBudget, used: usize) {
        let keeps_input = self.keeps_input(key, budget, used);
        self.connections.update(key, |client| match keeps_input {
            true => {
                client.limit_input(MAX_PIPELINED_BYTES);
                client.resume_storing();
            }
            false => {
                client.limit_input(GUARANTEED_BYTES);
                client.limit_undroppable_input(GUARANTEED_BYTES);
            }
        });
    }

    /// Returns the purpose for which a client's next request needs memory.
    pub(crate) fn request_purpose(&self, key: ConnectionKey) -> MemoryPurpose {
        match self.get(key).is_some_and(ClientConnection::has_pipelined_input) {
            true => MemoryPurpose::SentAhead,
            false => MemoryPurpose::Request,
        }
    }

    /// Takes the next step of a connection's queue.
    pub(crate) fn next_request(&mut self, now: Ms, key: ConnectionKey, host_closed: bool) -> QueueEvent {
        let next = self.connections.update(key, |client| client.next_request(now, host_closed));
        next.unwrap_or(QueueEvent::None)
    }

    /// Counts a request with a valid head.
    pub(crate) fn on_request_parsed(&mut self, now: Ms, key: ConnectionKey, close: bool) {
        self.connections.update(key, |client| client.on_request_parsed(now, close));
    }

    /// Records the open request, which is now in the registry and takes `bytes` of memory.
    pub(crate) fn on_request_opened(&mut self, key: ConnectionKey, number: u64, bytes: usize) {
        self.connections.update(key, |client| client.on_request_opened(number, bytes));
    }

    /// Waits for the remainder of a request. Returns whether the client has disconnected.
    pub(crate) fn await_rest_of_request(
        &mut self,
        reactor: &mut Reactor,
        key: ConnectionKey,
    ) -> DisconnectCheck {
        if self.connections.update(key, ClientConnection::send_continue).is_some_and(|sent| sent.is_err()) {
            return DisconnectCheck::Disconnected;
        }
        if let Some(client) = self.get(key).filter(|client| client.has_pipelined_input()) {
            let since = client.first_byte_at();
            self.arm_timer(reactor, key, since);
        }
        DisconnectCheck::Connected
    }

    /// Queues a response; returns none where the connection is closed.
    pub(crate) fn queue_response(
        &mut self,
        now: Ms,
        key: ConnectionKey,
        response: &OutgoingResponse<'_>,
        host_closed: bool,
    ) -> Option<QueuedResponse> {
        let queued =
            self.connections.update(key, |client| client.queue_response(now, response, host_closed))?;
        self.to_flush.push(key);
        Some(queued)
    }

    /// Records the request to which the response that is queued next for a connection belongs.
    pub(crate) fn on_answered(&mut self, key: ConnectionKey, request: AnsweredRequest) {
        self.connections.update(key, |client| client.on_answered(request));
    }

    /// Returns and clears the clients with a newly queued response.
    pub(crate) fn take_to_flush(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.to_flush)
    }

    /// Writes the queued output. Returns the answered request as well, if its response is now written completely.
    pub(crate) fn flush(
        &mut self,
        reactor: &mut Reactor,
        key: ConnectionKey,
    ) -> Option<(FlushEvent, Option<AnsweredRequest>)> {
        let flush =
            |client: &mut ClientConnection| (client.flush(reactor.now()), client.take_written_answer());
        let (event, answered) = self.connections.update(key, flush)?;
        if let FlushEvent::Blocked(since) = event {
            self.arm_timer(reactor, key, since);
        }
        Some((event, answered))
    }

    /// Stops reading requests from a connection, which closes when its output is written.
    pub(crate) fn begin_closing(&mut self, key: ConnectionKey) {
        self.connections.update(key, ClientConnection::begin_closing);
    }

    /// Shuts down the writing side of a connection without pending responses, and gives the client time to read.
    pub(crate) fn linger(&mut self, reactor: &mut Reactor, key: ConnectionKey) {
        let now = reactor.now();
        self.connections.update(key, |client| client.linger(now));
        if let Some(client) = self.get(key) {
            reactor.set_timer(now + LINGER_MS, Timer::ClientTimeout(key, client.serial()));
        }
    }

    /// Stops reading from a client, and checks at intervals whether it has disconnected.
    pub(crate) fn stop_reading(&mut self, reactor: &mut Reactor, key: ConnectionKey) {
        let stopped = self.connections.update(key, |client| client.stop_reading().then_some(client.serial()));
        if let Some(serial) = stopped.flatten() {
            reactor.set_timer(reactor.now(), Timer::DisconnectCheck(key, serial));
        }
    }

    /// Checks whether a client whose input is not read has disconnected.
    pub(crate) fn check_disconnect(
        &self,
        reactor: &mut Reactor,
        key: ConnectionKey,
        serial: u64,
    ) -> DisconnectCheck {
        let is_unread = |client: &&ClientConnection| client.serial() == serial && !client.is_reading();
        let Some(client) = self.get(key).filter(is_unread) else { return DisconnectCheck::Connected };
        if client.has_disconnected() {
            return DisconnectCheck::Disconnected;
        }
        reactor.set_timer(reactor.now() + DISCONNECT_CHECK_MS, Timer::DisconnectCheck(key, serial));
        DisconnectCheck::Connected
    }

    /// Returns whether a client has closed its connection. If so, the connection is closed in the next iteration of the
    /// event loop.
    pub(crate) fn note_disconnect(&mut self, key: ConnectionKey) -> bool {
        let disconnected = self.get(key).is_some_and(ClientConnection::has_disconnected);
        if disconnected {
            self.disconnected.push(key);
        }
        disconnected
    }

    /// Returns and clears the clients that were found disconnected.
    pub(crate) fn take_disconnected(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.disconnected)
    }

    /// Returns whether there are clients to flush or to close.
    pub(crate) fn has_pending_work(&self) -> bool {
        !self.to_flush.is_empty() || !self.disconnected.is_empty()
    }

    /// Handles the expiry of a client's timer. Returns whether input must be read before [`ClientPool::timeout_action`]
    /// is called.
    pub(crate) fn on_timer(&mut self, key: ConnectionKey, serial: u64) -> bool {
        let has_serial = self.get(key).is_some_and(|client| client.serial() == serial);
        has_serial && self.connections.update(key, ClientConnection::on_timer).unwrap_or(false)
    }

    /// Returns the action for a client whose timer is due; [`TimeoutAction::RearmFrom`] is carried out here.
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

    /// Sets the timer within which an incoming request or an outgoing response must make progress.
    fn arm_timer(&mut self, reactor: &mut Reactor, key: ConnectionKey, since: Ms) {
        let armed = self.connections.update(key, |client| client.arm_timer().then_some(client.serial()));
        if let Some(serial) = armed.flatten() {
            reactor.set_timer(since + CLIENT_TIMEOUT_MS, Timer::ClientTimeout(key, serial));
        }
    }
}
