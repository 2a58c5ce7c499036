//! Client side of the proxy: connections, requests and responses.

use super::{Proxy, RESERVED_DESCRIPTORS};
use crate::client_connection::{ClientConnection, FlushEvent as ClientFlushEvent, InputEvent, QueueEvent};
use crate::client_policy::{self, EvictionCandidate, TimeoutAction};
use crate::client_pool::DisconnectCheck;
use crate::incoming_request;
use crate::reactor::ConnectionKey;
use crate::request_log::ClientCloseReason;
use crate::request_registry::OpenRequest;
use crate::request_stages::{AnsweredRequest, RequestTimes, StepAges};
use crate::turn_budget::{ReadPosition, MAX_BYTES_PER_CLIENT, MAX_BYTES_PER_CLIENT_IN_SHUTDOWN};
use magpiewick::Ms;
use magpiewick_engine::IncomingRequest;
use magpiewick_http1::{self as http1, CompleteRequest, OutgoingResponse, Rejection, RequestHead};
use magpiewick_transport::process_out_of_descriptors;
use std::io;
use std::net::TcpStream;

/// Response to a client that did not complete a request in time.
const INCOMPLETE: Rejection = Rejection { status: 408, reason: "the request did not come whole" };
/// Response to a request for which a host that is shutting down has no time left.
const SHUTTING_DOWN: Rejection = Rejection { status: 503, reason: "this host has ended" };
/// Response to a request with the id of an open request.
const DUPLICATE_ID: Rejection = Rejection { status: 409, reason: "the X-Request-Id is open already" };

/// Response to a request that the memory budget does not admit.
const OUT_OF_MEMORY: Rejection = Rejection { status: 503, reason: "there is no memory for the request" };

/// Action of the event loop on a client.
pub(crate) enum ClientEvent {
    /// No action.
    None,
    /// The connection is to be closed: the client has disconnected.
    Disconnected,
    /// The request is to be submitted to the engine.
    Request(IncomingRequest),
}

impl Proxy {
    /// Accepts the connection of a client if it is within the limits or replaces another. `sent_since`: earliest time at
    /// which input that has already arrived may have been sent.
    pub(crate) fn accept_client(&mut self, stream: TcpStream, sent_since: Ms) {
        if self.clients.is_full() && !self.evict_client() {
            return;
        }
        if self.clients.has_too_many_served() {
            self.evict_client_where(|candidate| candidate.requests > 0);
        }
        let serial = self.reactor.next_serial();
        // A connection that cannot be registered is closed by dropping its stream.
        _ = self.clients.insert(&mut self.reactor, stream, serial, sent_since);
    }

    /// Closes the client connection that is first in the order of eviction; returns false where no connection can be
    /// evicted.
    pub(crate) fn evict_client(&mut self) -> bool {
        self.evict_client_where(|_| true)
    }

    /// Evicts a client connection if a call failed for lack of a descriptor and the process has used nearly all of its
    /// descriptors. A failure for another reason evicts no client.
    pub(crate) fn evict_client_for_descriptor(&mut self, error: &io::Error) -> bool {
        let descriptors = self.reactor.connection_count() + RESERVED_DESCRIPTORS;
        let is_exhausted = client_policy::has_exhausted_descriptors(descriptors, self.max_descriptors);
        process_out_of_descriptors(error) && is_exhausted && self.evict_client()
    }

    fn evict_client_where(&mut self, filter: impl Fn(&EvictionCandidate) -> bool) -> bool {
        let Some(key) = self.clients.select_for_eviction(self.reactor.now(), filter) else { return false };
        self.metrics.clients_evicted += 1;
        self.close_client(key, ClientCloseReason::Evicted);
        true
    }

    /// Closes a client's connection, and returns its open request, which the caller must report to the engine.
    pub(crate) fn close_client(&mut self, key: ConnectionKey, reason: ClientCloseReason) -> Option<u64> {
        let client = self.clients.remove(&mut self.reactor, key)?;
        let request = client.open_request();
        self.log.client_closed(self.reactor.now(), client.serial(), client.requests(), request, reason);
        let number = request?;
        self.metrics.requests_abandoned += 1;
        if let Some(request) = self.requests.get(number) {
            let now = self.reactor.now();
            self.log.client_disconnected(now, &request.labels(&self.endpoints, now));
        }
        self.requests.clear_client(number);
        Some(number)
    }

    /// Withdraws the attempt of a request whose client has disconnected, after the engine was notified, so that no work
    /// for the request starts later.
    pub(crate) fn end_abandoned_request(&mut self, number: u64) {
        self.withdraw_if_unwritten(number);
        self.requests.release_if_done(number);
    }

    /// Sorts clients with input into the order in which this turn reads them: by kind, and those first that were read
    /// least recently. So a client that sends seldom does not wait for those that send all the time, and none waits
    /// for longer than it takes to read each of the others once.
    pub(crate) fn sort_clients_to_read(&mut self, keys: &mut [ConnectionKey]) {
        let clients = &self.clients;
        keys.sort_by_cached_key(|key| {
            clients.get(*key).map(|client| ReadPosition::new(client.kind(), client.read_at(), *key))
        });
    }

    /// Reads input from a client, unless its next request waits for a turn or this turn has read as much as it may.
    /// Reading further requests of a waiting client would cost each turn more than the requests that it answers.
    pub(crate) fn read_client_in_turn(&mut self, key: ConnectionKey) -> ClientEvent {
        let Some(client) = self.clients.get(key) else { return ClientEvent::None };
        let (kind, before) = (client.kind(), client.total_read());
        let clock = self.reactor.read_clock();
        // What is read while the host shuts down must be answered before the process is killed.
        let has_enough = client.awaits_turn() || self.shutdown.has_begun() && client.has_request_behind();
        if has_enough || !self.turn.client_share(kind).may_read(clock, key) {
            self.metrics.reads_deferred += 1;
            self.clients.leave_unread(self.reactor.now(), key);
            return ClientEvent::None;
        }
        let event = self.read_client(key);
        let after = self.clients.get(key).map_or(before, ClientConnection::total_read);
        self.turn.client_share(kind).on_read((after - before) as usize);
        event
    }

    /// Reads input from a client.
    pub(crate) fn read_client(&mut self, key: ConnectionKey) -> ClientEvent {
        self.note_ready_wait(key);
        self.clients.resume_storing(key, self.memory_budget, self.pool_use());
        let max_bytes = match self.shutdown.has_begun() {
            true => MAX_BYTES_PER_CLIENT_IN_SHUTDOWN,
            false => MAX_BYTES_PER_CLIENT,
        };
        match self.clients.receive(&mut self.reactor, key, max_bytes) {
            InputEvent::Disconnected => ClientEvent::Disconnected,
            InputEvent::Discarded | InputEvent::DiscardedTooMuch => ClientEvent::None,
            InputEvent::Queued => {
                let event = self.next_request(key);
                self.clients.limit_input(key, self.memory_budget, self.pool_use());
                event
            }
        }
    }

    /// Records for how long the input of a connection has been ready, unless the connection waits for its own earlier
    /// requests.
    fn note_ready_wait(&mut self, key: ConnectionKey) {
        let Some(client) = self.clients.get(key).filter(|client| !client.has_pipelined_input()) else {
            return;
        };
        let ready_since = client.unread_since().unwrap_or(self.reactor.now());
        let waited = self.reactor.read_clock() - ready_since;
        self.metrics.longest_ready_wait_ms = self.metrics.longest_ready_wait_ms.max(waited);
    }

    /// Returns whether a part of a client's request was read, and more input has arrived.
    pub(crate) fn has_unread_rest_of_request(&self, key: ConnectionKey) -> bool {
        let has_rest = |client: &ClientConnection| {
            !client.is_busy()
                && client.has_pipelined_input()
                && client.is_reading()
                && client.has_unread_input()
        };
        self.clients.get(key).is_some_and(has_rest)
    }

    /// Writes the queued output of a client, and continues with its queue.
    pub(crate) fn flush_client(&mut self, key: ConnectionKey) -> ClientEvent {
        let Some((event, answered)) = self.clients.flush(&mut self.reactor, key) else {
            return ClientEvent::None;
        };
        if let Some(answered) = answered {
            self.note_written_answer(key, &answered);
        }
        match event {
            ClientFlushEvent::Blocked(_) | ClientFlushEvent::RequestOpen => ClientEvent::None,
            ClientFlushEvent::Disconnected => ClientEvent::Disconnected,
            ClientFlushEvent::Closing => {
                self.clients.linger(&mut self.reactor, key);
                ClientEvent::None
            }
            ClientFlushEvent::Idle => self.next_request_in_turn(key),
        }
    }

    /// Records the ages of a request whose answer is written completely, and logs it where that was late.
    fn note_written_answer(&mut self, key: ConnectionKey, answered: &AnsweredRequest) {
        let ages = StepAges::new(answered, self.reactor.read_clock());
        self.stages.add(&ages);
        if ages.flushed() > answered.times.client_timeout {
            let serial = self.clients.get(key).map_or(0, ClientConnection::serial);
            self.metrics.answers_late += 1;
            self.log.answer_late(self.reactor.now(), serial, answered, &ages);
        }
    }

    /// Takes the next request of a client that sends ahead, unless this turn has taken as many as it may.
    fn next_request_in_turn(&mut self, key: ConnectionKey) -> ClientEvent {
        let sends_ahead = self.clients.get(key).is_some_and(ClientConnection::has_pipelined_input);
        if sends_ahead && !self.turn.take_request(self.reactor.read_clock()) {
            self.metrics.requests_deferred += 1;
            self.clients.await_turn(key);
            return ClientEvent::None;
        }
        self.next_request(key)
    }

    /// Takes the next request of the client whose turn is next; none where no client waits or this turn may take no
    /// further request.
    pub(crate) fn next_deferred_request(&mut self) -> Option<(ConnectionKey, ClientEvent)> {
        if !self.turn.has_request_left() {
            return None;
        }
        let key = self.clients.next_turn()?;
        Some((key, self.next_request_in_turn(key)))
    }

    /// Takes the next request of a client if it is complete and no request is open.
    fn next_request(&mut self, key: ConnectionKey) -> ClientEvent {
        let now = self.reactor.now();
        let (request, waited, read_at) =
            match self.clients.next_request(now, key, self.shutdown.is_closed(now)) {
                QueueEvent::None => return ClientEvent::None,
                QueueEvent::Request { request, waited, read_at } => (request, waited, read_at),
                QueueEvent::Incomplete => return self.await_rest_of_request(key),
                QueueEvent::Rejected { rejection, close } => {
                    self.reject(key, rejection, close);
                    return ClientEvent::None;
                }
            };
        let CompleteRequest { head, body } = request;
        let head = match http1::parse_request_head(&head) {
            Ok(head) => head,
            Err(rejection) => {
                self.reject(key, rejection, true);
                return ClientEvent::None;
            }
        };
        self.clients.on_request_parsed(now, key, head.close);
        let parsed_at = self.reactor.read_clock();
        let times = RequestTimes { arrived_at: now - waited, read_at, parsed_at, ..RequestTimes::default() };
        match self.open_request(key, &head, body, times) {
            Ok(event) => event,
            Err(rejection) => {
                self.reject(key, rejection, false);
                ClientEvent::None
            }
        }
    }

    /// Waits for the remainder of a request, unless the host has closed.
    fn await_rest_of_request(&mut self, key: ConnectionKey) -> ClientEvent {
        if self.shutdown.is_closed(self.reactor.now()) {
            self.clients.begin_closing(key);
            return self.flush_client(key);
        }
        match self.clients.await_rest_of_request(&mut self.reactor, key) {
            DisconnectCheck::Connected => ClientEvent::None,
            DisconnectCheck::Disconnected => ClientEvent::Disconnected,
        }
    }

    /// Adds a request to the registry, or answers it directly if it queries the readiness of this host.
    fn open_request(
        &mut self,
        key: ConnectionKey,
        head: &RequestHead<'_>,
        body: Vec<u8>,
        times: RequestTimes,
    ) -> Result<ClientEvent, Rejection> {
        if head.target == "/ready" && head.method == "GET" {
            self.report_readiness(key);
            return Ok(ClientEvent::None);
        }
        let now = self.reactor.now();
        let waited = now - times.arrived_at;
        let id = incoming_request::id(head)?;
        let number = self.requests.next_number();
        let mut incoming = incoming_request::parse(head, body.len(), &self.settings, waited, number)?;
        if let Some(deadline) = self.shutdown.answer_by() {
            if deadline <= now {
                return Err(SHUTTING_DOWN);
            }
            incoming.request.client_timeout = incoming.request.client_timeout.min(deadline - now);
        }
        if self.requests.contains_id(id) {
            return Err(DUPLICATE_ID);
        }
        let upstream_head = incoming_request::upstream_head(head, body.len())?;
        let client_timeout = incoming.request.client_timeout + waited;
        let times = RequestTimes { queued_at: self.reactor.read_clock(), client_timeout, ..times };
        let open = OpenRequest::new(key, id, upstream_head, body, times);
        let bytes = open.memory_bytes();
        if !self.memory_budget.admits(self.clients.request_purpose(key), self.pool_use(), bytes) {
            return Err(OUT_OF_MEMORY);
        }
        self.requests.insert(number, open);
        self.metrics.requests_received += 1;
        self.clients.on_request_opened(key, number, bytes);
        if let Some(client) = self.clients.get(key) {
            self.log.request_received(client.serial(), id, number, client.requests().saturating_sub(1));
        }
        Ok(ClientEvent::Request(incoming))
    }

    fn report_readiness(&mut self, key: ConnectionKey) {
        let ready = self.reactor.now() >= self.ready_at && !self.shutdown.has_begun();
        let (status, body): (u16, &[u8]) = if ready { (200, b"ready\n") } else { (503, b"not ready\n") };
        self.send_response(key, &OutgoingResponse { status, headers: &[], body, close: false });
    }

    /// Queues the single response to a client's request.
    pub(super) fn send_response(&mut self, key: ConnectionKey, response: &OutgoingResponse<'_>) {
        let now = self.reactor.now();
        let host_closed = self.shutdown.is_closed(now);
        let Some(queued) = self.clients.queue_response(now, key, response, host_closed) else { return };
        self.turn.on_answer();
        let serial = self.clients.get(key).map_or(0, |client| client.serial());
        self.log.response_queued(serial, queued.request, response.status, queued.close);
    }

    /// Rejects a client's input with an error response; the input is not processed further.
    fn reject(&mut self, key: ConnectionKey, rejection: Rejection, close: bool) {
        *self.metrics.requests_refused.entry(rejection.reason).or_default() += 1;
        let serial = self.clients.get(key).map_or(0, |client| client.serial());
        self.log.request_refused(self.reactor.now(), serial, rejection);
        let body = format!("{}\n", rejection.reason);
        let headers: &[(&str, &[u8])] = &[("Content-Type", b"text/plain")];
        let (status, body) = (rejection.status, body.as_bytes());
        self.send_response(key, &OutgoingResponse { status, headers, body, close });
    }

    /// Handles a client's timer. Returns whether input must be read before [`Proxy::expire_client`] is called.
    pub(crate) fn on_client_timer(&mut self, key: ConnectionKey, serial: u64) -> bool {
        self.clients.on_timer(key, serial)
    }

    /// Evaluates the timeout of a client whose timer was due, and returns the reason to close its connection, if any.
    pub(crate) fn expire_client(&mut self, key: ConnectionKey, serial: u64) -> Option<ClientCloseReason> {
        match self.clients.timeout_action(&mut self.reactor, key, serial) {
            TimeoutAction::None | TimeoutAction::RearmFrom(_) => None,
            TimeoutAction::CloseResponseNotRead => Some(ClientCloseReason::ResponseNotRead),
            TimeoutAction::CloseLingering => Some(ClientCloseReason::Finished),
            TimeoutAction::CloseIdle => Some(ClientCloseReason::Idle),
            TimeoutAction::RejectIncomplete => {
                self.reject(key, INCOMPLETE, true);
                None
            }
        }
    }

    /// Checks whether a client whose input is not read has disconnected.
    pub(crate) fn check_disconnect(&mut self, key: ConnectionKey, serial: u64) -> DisconnectCheck {
        self.clients.check_disconnect(&mut self.reactor, key, serial)
    }

    /// Returns and clears the clients with a newly queued response.
    pub(crate) fn take_clients_to_flush(&mut self) -> Vec<ConnectionKey> {
        self.clients.take_to_flush()
    }

    /// Returns the clients that were found disconnected when an attempt was about to be written for them.
    pub(crate) fn take_disconnected_clients(&mut self) -> Vec<ConnectionKey> {
        let mut disconnected = self.clients.take_disconnected();
        disconnected.retain(|key| self.clients.get(*key).is_some_and(|client| client.has_disconnected()));
        disconnected
    }

    /// Returns the client connections that are not closing.
    pub(crate) fn open_clients(&self) -> Vec<ConnectionKey> {
        self.clients.not_closing()
    }

    /// Begins to close a client's connection: at once where no response is pending, otherwise after its last response.
    pub(crate) fn begin_closing_client(&mut self, key: ConnectionKey) -> ClientEvent {
        let Some(client) = self.clients.get(key).filter(|client| !client.is_closing()) else {
            return ClientEvent::None;
        };
        if client.is_busy() {
            self.clients.stop_reading(&mut self.reactor, key);
            return ClientEvent::None;
        }
        self.clients.begin_closing(key);
        self.flush_client(key)
    }
}
