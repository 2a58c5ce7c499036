//! The side of the clients: connections, their requests and their responses.

use super::{Proxy, RESERVED_DESCRIPTORS};
use crate::client_connection::{FlushEvent as ClientFlushEvent, InputEvent, QueueEvent};
use crate::client_policy::{self, EvictionCandidate, TimeoutAction};
use crate::client_pool::DisconnectCheck;
use crate::endpoint_discovery::EndpointDiscovery;
use crate::incoming_request;
use crate::reactor::ConnectionKey;
use crate::request_log::ClientCloseReason;
use crate::request_registry::OpenRequest;
use magpiewick::Ms;
use magpiewick_engine::IncomingRequest;
use magpiewick_http1::{self as http1, CompleteRequest, OutgoingResponse, Rejection, RequestHead};
use magpiewick_transport::process_out_of_descriptors;
use std::io;
use std::net::TcpStream;

/// The response to a client that began a request and did not complete it.
const INCOMPLETE: Rejection = Rejection { status: 408, reason: "the request did not come whole" };
/// The response to a request for which a host that shuts down has no time left.
const SHUTTING_DOWN: Rejection = Rejection { status: 503, reason: "this host has ended" };
/// The response to a request whose id is that of an open one.
const DUPLICATE_ID: Rejection = Rejection { status: 409, reason: "the X-Request-Id is open already" };

/// What the event loop has to do about a client.
pub(crate) enum ClientEvent {
    /// Nothing.
    None,
    /// Close the connection: the client has disconnected.
    Disconnected,
    /// Give this request to the engine.
    Request(IncomingRequest),
}

impl Proxy {
    /// Takes in a connection that was just accepted, where there is room for it.
    pub(crate) fn accept_client(&mut self, stream: TcpStream) {
        if self.clients.is_full() && !self.evict_client() {
            return;
        }
        if self.clients.has_too_many_served() {
            self.evict_client_where(|candidate| candidate.requests > 0);
        }
        let serial = self.reactor.next_serial();
        // A connection that cannot be registered is closed again.
        _ = self.clients.insert(&mut self.reactor, stream, serial);
    }

    /// Closes the connection of the client that is best spared; false where there is none.
    pub(crate) fn evict_client(&mut self) -> bool {
        self.evict_client_where(|_| true)
    }

    /// Closes the connection of the client that is best spared where a call failed for want of a descriptor and the
    /// process has about as many as it may. A call that fails by chance costs no client its connection.
    pub(crate) fn evict_client_for_descriptor(&mut self, error: &io::Error) -> bool {
        let descriptors = self.reactor.connection_count() + RESERVED_DESCRIPTORS;
        let has_all = client_policy::has_all_descriptors(descriptors, self.max_descriptors);
        process_out_of_descriptors(error) && has_all && self.evict_client()
    }

    fn evict_client_where(&mut self, of: impl Fn(&EvictionCandidate) -> bool) -> bool {
        let Some(key) = self.clients.select_for_eviction(self.reactor.now(), of) else { return false };
        self.metrics.clients_evicted += 1;
        self.close_client(key, ClientCloseReason::Evicted);
        true
    }

    /// Closes a client's connection; the request that was open on it, of which the engine has to be told.
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
        self.requests.forget_client(number);
        Some(number)
    }

    /// The engine was told that the client of a request has disconnected: nothing of it starts any more.
    pub(crate) fn end_abandoned_request(&mut self, number: u64) {
        self.withdraw_if_unwritten(number);
        self.requests.release_if_done(number);
    }

    /// Reads what a client has sent. `discovery` counts towards the memory in use.
    pub(crate) fn read_client(&mut self, key: ConnectionKey, discovery: &EndpointDiscovery) -> ClientEvent {
        match self.clients.receive(&mut self.reactor, key) {
            InputEvent::Disconnected => ClientEvent::Disconnected,
            InputEvent::Discarded | InputEvent::DiscardedTooMuch => ClientEvent::None,
            InputEvent::Queued => {
                if self.clients.has_many_pipelined(key) {
                    let buffered = self.buffered_bytes() + discovery.memory_bytes();
                    self.clients.bound_pipelined(key, &self.memory_limit, buffered);
                }
                self.next_request(key)
            }
        }
    }

    /// Writes what is queued for a client, and goes on with its queue.
    pub(crate) fn flush_client(&mut self, key: ConnectionKey) -> ClientEvent {
        match self.clients.flush(&mut self.reactor, key) {
            None | Some(ClientFlushEvent::Blocked(_) | ClientFlushEvent::RequestOpen) => ClientEvent::None,
            Some(ClientFlushEvent::Disconnected) => ClientEvent::Disconnected,
            Some(ClientFlushEvent::Closing) => {
                self.clients.linger(&mut self.reactor, key);
                ClientEvent::None
            }
            Some(ClientFlushEvent::Idle) => self.next_request(key),
        }
    }

    /// Takes the next request of a client, if it is complete and none is open.
    fn next_request(&mut self, key: ConnectionKey) -> ClientEvent {
        let now = self.reactor.now();
        let (request, waited) = match self.clients.next_request(now, key, self.shutdown.is_closed(now)) {
            QueueEvent::None => return ClientEvent::None,
            QueueEvent::Request { request, waited } => (request, waited),
            QueueEvent::Incomplete => return self.await_rest_of_request(key),
            QueueEvent::Rejected { rejection, close } => {
                self.reject(key, rejection, close);
                return ClientEvent::None;
            }
        };
        let head = match http1::parse_request_head(&request.head) {
            Ok(head) => head,
            Err(rejection) => {
                self.reject(key, rejection, true);
                return ClientEvent::None;
            }
        };
        self.clients.on_request_parsed(now, key, head.close);
        match self.open_request(key, &head, &request, waited) {
            Ok(event) => event,
            Err(rejection) => {
                self.reject(key, rejection, false);
                ClientEvent::None
            }
        }
    }

    /// Waits for the rest of a request, unless the host has closed.
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

    /// Adds a request to the registry, or answers it where it asks about this host. `waited`: how long ago its last
    /// bytes may have arrived.
    fn open_request(
        &mut self,
        key: ConnectionKey,
        head: &RequestHead<'_>,
        request: &CompleteRequest,
        waited: Ms,
    ) -> Result<ClientEvent, Rejection> {
        if head.target == "/ready" && head.method == "GET" {
            self.report_readiness(key);
            return Ok(ClientEvent::None);
        }
        let now = self.reactor.now();
        let id = incoming_request::id(head)?;
        let number = self.requests.next_number();
        let mut incoming = incoming_request::parse(head, request.body.len(), &self.settings, waited, number)?;
        if let Some(deadline) = self.shutdown.answer_by() {
            if deadline <= now {
                return Err(SHUTTING_DOWN);
            }
            incoming.request.client_timeout = incoming.request.client_timeout.min(deadline - now);
        }
        if self.requests.contains_id(id) {
            return Err(DUPLICATE_ID);
        }
        let upstream_head = incoming_request::upstream_head(head, request.body.len())?;
        let open = OpenRequest::new(key, id, upstream_head, request.body.clone(), now);
        self.requests.insert(number, open);
        self.metrics.requests_received += 1;
        self.clients.on_request_opened(key, number);
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

    /// Queues a response for a client, which gets no other one to this request.
    pub(super) fn send_response(&mut self, key: ConnectionKey, response: &OutgoingResponse<'_>) {
        let now = self.reactor.now();
        let host_closed = self.shutdown.is_closed(now);
        let Some(queued) = self.clients.queue_response(now, key, response, host_closed) else { return };
        let serial = self.clients.get(key).map_or(0, |client| client.serial());
        self.log.response_queued(serial, queued.request, response.status, queued.close);
    }

    /// Answers what a client has sent with an error; nothing of it goes further.
    fn reject(&mut self, key: ConnectionKey, rejection: Rejection, close: bool) {
        *self.metrics.requests_refused.entry(rejection.reason).or_default() += 1;
        let serial = self.clients.get(key).map_or(0, |client| client.serial());
        self.log.request_refused(self.reactor.now(), serial, rejection);
        let body = format!("{}\n", rejection.reason);
        let headers: &[(&str, &[u8])] = &[("Content-Type", b"text/plain")];
        let (status, body) = (rejection.status, body.as_bytes());
        self.send_response(key, &OutgoingResponse { status, headers, body, close });
    }

    /// A client's timer is due. Whether its input is to be read before [`Proxy::expire_client`].
    pub(crate) fn on_client_timer(&mut self, key: ConnectionKey, serial: u64) -> bool {
        self.clients.on_timer(key, serial)
    }

    /// Decides about a client whose timer was due; why its connection is to be closed, if it is.
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

    /// Whether a client whose input is not read has disconnected.
    pub(crate) fn check_disconnect(&mut self, key: ConnectionKey, serial: u64) -> DisconnectCheck {
        self.clients.check_disconnect(&mut self.reactor, key, serial)
    }

    /// Clients whose response was just queued.
    pub(crate) fn take_clients_to_flush(&mut self) -> Vec<ConnectionKey> {
        self.clients.take_to_flush()
    }

    /// Clients that were found disconnected while an attempt was to be written for them.
    pub(crate) fn take_disconnected_clients(&mut self) -> Vec<ConnectionKey> {
        let mut found = self.clients.take_disconnected();
        found.retain(|key| self.clients.get(*key).is_some_and(|client| client.has_disconnected()));
        found
    }

    /// Connections of clients that are not being closed yet.
    pub(crate) fn open_clients(&self) -> Vec<ConnectionKey> {
        self.clients.not_closing()
    }

    /// Begins to close a client's connection: at once where nothing is owed, else with its last response.
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
