//! The way of a request: from its client through the registry to an endpoint, and of the response back.
//!
//! The proxy carries out what the engine decides, and owns the state that this needs. It decides nothing itself. What
//! the engine has to be told is returned to the event loop.

use crate::attempt_end::AttemptEnd;
use crate::client_connection::{FlushEvent as ClientFlushEvent, InputEvent, QueueEvent};
use crate::client_policy::{ConnectionLimits, EvictionCandidate, TimeoutAction};
use crate::client_pool::{ClientPool, DisconnectCheck};
use crate::config::HostConfig;
use crate::endpoint_discovery::EndpointDiscovery;
use crate::endpoint_list::EndpointList;
use crate::endpoint_table::{EndpointChange, EndpointTable};
use crate::graceful_shutdown::GracefulShutdown;
use crate::incoming_request;
use crate::memory_limit::{BufferOwner, BufferUse, MemoryLimit};
use crate::metrics::Metrics;
use crate::reactor::{ConnectionKey, Reactor, Timer};
use crate::request_log::{ClientCloseReason, RequestLog, UpstreamCloseReason};
use crate::request_registry::{InFlightAttempt, OpenRequest, RequestRegistry};
use crate::response_stream::CompleteResponse;
use crate::upstream_connection::{
    AssignedAttempt, FlushEvent, ReceiveEvent, UpstreamConnection, RESPONSE_STALL_MS,
};
use crate::upstream_pool::{ResponseProgress, UpstreamPool};
use crate::wall_clock::{unix_time, WallClock};
use magpiewick::{Answer, Endpoint, FinalStatus, Ms, Outcome};
use magpiewick_engine::{AttemptRef, Environment, IncomingRequest, Reason};
use magpiewick_exchange::{ReceivedResponse, ResponseMismatch};
use magpiewick_http1::{self as http1, CompleteRequest, OutgoingResponse, Rejection, RequestHead};
use magpiewick_instance_settings::PlatformSettings;
use magpiewick_transport::{out_of_descriptors, reach, Reach};
use std::net::{SocketAddr, TcpStream};

/// Descriptors that are neither for clients nor for endpoints: the standard ones, the poller's, signals, the listener,
/// discovery, and a file that is read again.
const RESERVED_DESCRIPTORS: usize = 20;

/// The response to a client that began a request and did not complete it.
const INCOMPLETE: Rejection = Rejection { status: 408, reason: "the request did not come whole" };
/// The response to a request for which a host that shuts down has no time left.
const SHUTTING_DOWN: Rejection = Rejection { status: 503, reason: "this host has ended" };
/// The response to a request whose id is that of an open one.
const DUPLICATE_ID: Rejection = Rejection { status: 409, reason: "the X-Request-Id is open already" };

/// What the event loop has to do about a client.
pub enum ClientEvent {
    /// Nothing.
    None,
    /// Close the connection: the client has disconnected.
    Disconnected,
    /// Give this request to the engine.
    Request(IncomingRequest),
}

/// Carries requests between clients and endpoints.
pub struct Proxy {
    reactor: Reactor,
    settings: PlatformSettings,
    clients: ClientPool,
    requests: RequestRegistry,
    endpoints: EndpointTable,
    upstreams: UpstreamPool,
    shutdown: GracefulShutdown,
    memory_limit: MemoryLimit,
    metrics: Metrics,
    log: RequestLog,
    /// Outcomes that the engine has to be told.
    pending_outcomes: Vec<(u64, Answer)>,
    engine_wake_at: Ms,
    ready_at: Ms,
}

impl Proxy {
    /// `ready_at`: when the host is ready for clients at the latest.
    pub fn new(reactor: Reactor, config: &HostConfig, ready_at: Ms) -> Proxy {
        let settings = config.settings.clone();
        let limits = ConnectionLimits::new(config.sockets, config.sockets - RESERVED_DESCRIPTORS);
        let longest = config.scheduler.classes.iter().map(|class| class.client_timeout).fold(0.0, f64::max);
        let wall_clock = WallClock::new(unix_time(), reactor.now());
        Proxy {
            clients: ClientPool::new(limits.clients, limits.served_clients),
            requests: RequestRegistry::default(),
            endpoints: EndpointTable::new(wall_clock, settings.zones.clone()),
            upstreams: UpstreamPool::new(limits.upstreams, settings.connect_timeout, settings.idle_timeout),
            shutdown: GracefulShutdown::new(longest),
            memory_limit: MemoryLimit::new(config.memory_mb),
            metrics: Metrics::default(),
            log: RequestLog::default(),
            pending_outcomes: Vec::new(),
            engine_wake_at: 0.0,
            ready_at,
            reactor,
            settings,
        }
    }

    /// The time at which the current turn of the event loop began.
    pub fn now(&self) -> Ms {
        self.reactor.now()
    }

    /// The reactor, for the event loop and for connections to discovery.
    pub fn reactor(&self) -> &Reactor {
        &self.reactor
    }

    /// The reactor, for the event loop and for connections to discovery.
    pub fn reactor_mut(&mut self) -> &mut Reactor {
        &mut self.reactor
    }

    /// The log of requests and connections.
    pub fn log_mut(&mut self) -> &mut RequestLog {
        &mut self.log
    }

    /// How far a shutdown has come.
    pub fn shutdown(&self) -> &GracefulShutdown {
        &self.shutdown
    }

    /// Begins a graceful shutdown.
    pub fn begin_shutdown(&mut self) {
        self.shutdown.begin(self.reactor.now());
    }

    /// When the engine is to be run at the latest.
    pub fn engine_wake_at(&self) -> Ms {
        self.engine_wake_at
    }

    /// The host is ready for clients from now on, if it was not before.
    pub fn mark_ready(&mut self) {
        self.ready_at = self.ready_at.min(self.reactor.now());
    }

    /// Whether a request is open or an attempt is in flight.
    pub fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Whether clients need this process no more: they have disconnected or, once the process is to exit, are owed
    /// nothing.
    pub fn clients_are_done(&self, exit_due: bool) -> bool {
        self.clients.is_empty() || exit_due && self.clients.none_busy()
    }

    /// Whether there is anything for the engine or for clients before the event loop may wait.
    pub fn has_pending_work(&self) -> bool {
        !self.pending_outcomes.is_empty() || self.clients.has_pending_work()
    }

    /// Reports the counters.
    pub fn log_metrics(&self) {
        tracing::info!(
            requests_pending = self.requests.len(), client_connections = self.clients.len(),
            connections = self.reactor.connection_count(), endpoints = self.endpoints.len(),
            metrics = ?self.metrics, "metrics_reported"
        );
        tracing::info!(counts = ?self.log.counts(), "request_metrics_reported");
    }

    /// Reports the counters as the host stops.
    pub fn log_stopped(&self) {
        tracing::info!(metrics = ?self.metrics, "host_stopped");
    }

    fn log_attempt_count(&mut self, outcome: Outcome) {
        *self.metrics.attempt_outcomes.entry(Reason::After(outcome).word()).or_default() += 1;
    }
}

/// Clients.
impl Proxy {
    /// Takes in a connection that was just accepted, where there is room for it.
    pub fn accept_client(&mut self, stream: TcpStream) {
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
    pub fn evict_client(&mut self) -> bool {
        self.evict_client_where(|_| true)
    }

    fn evict_client_where(&mut self, of: impl Fn(&EvictionCandidate) -> bool) -> bool {
        let Some(key) = self.clients.select_for_eviction(self.reactor.now(), of) else { return false };
        self.metrics.clients_evicted += 1;
        self.close_client(key, ClientCloseReason::Evicted);
        true
    }

    /// Closes a client's connection; the request that was open on it, of which the engine has to be told.
    pub fn close_client(&mut self, key: ConnectionKey, reason: ClientCloseReason) -> Option<u64> {
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
    pub fn end_abandoned_request(&mut self, number: u64) {
        self.withdraw_if_unwritten(number);
        self.requests.release_if_done(number);
    }

    /// Reads what a client has sent. `discovery` counts towards the memory in use.
    pub fn read_client(&mut self, key: ConnectionKey, discovery: &EndpointDiscovery) -> ClientEvent {
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
    pub fn flush_client(&mut self, key: ConnectionKey) -> ClientEvent {
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
        head: &RequestHead,
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
    fn send_response(&mut self, key: ConnectionKey, response: &OutgoingResponse) {
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
    pub fn on_client_timer(&mut self, key: ConnectionKey, serial: u64) -> bool {
        self.clients.on_timer(key, serial)
    }

    /// Decides about a client whose timer was due; why its connection is to be closed, if it is.
    pub fn expire_client(&mut self, key: ConnectionKey, serial: u64) -> Option<ClientCloseReason> {
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
    pub fn check_disconnect(&mut self, key: ConnectionKey, serial: u64) -> DisconnectCheck {
        self.clients.check_disconnect(&mut self.reactor, key, serial)
    }

    /// Clients whose response was just queued.
    pub fn take_clients_to_flush(&mut self) -> Vec<ConnectionKey> {
        self.clients.take_to_flush()
    }

    /// Clients that were found disconnected while an attempt was to be written for them.
    pub fn take_disconnected_clients(&mut self) -> Vec<ConnectionKey> {
        let mut found = self.clients.take_disconnected();
        found.retain(|key| self.clients.get(*key).is_some_and(|client| client.has_disconnected()));
        found
    }

    /// Connections of clients that are not being closed yet.
    pub fn open_clients(&self) -> Vec<ConnectionKey> {
        self.clients.not_closing()
    }

    /// Begins to close a client's connection: at once where nothing is owed, else with its last response.
    pub fn begin_closing_client(&mut self, key: ConnectionKey) -> ClientEvent {
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

/// Memory.
impl Proxy {
    /// The memory that a connection's buffers take, without its open request.
    pub fn memory_of(&self, key: ConnectionKey) -> usize {
        let of_client = self.clients.get(key).map(|client| client.memory_bytes());
        of_client.or_else(|| self.upstreams.get(key).map(|u| u.memory_bytes())).unwrap_or(0)
    }

    /// The memory of all buffers, without open requests.
    fn buffered_bytes(&self) -> usize {
        let of_clients: usize = self.clients.iter().map(|(_, client)| client.memory_bytes()).sum();
        let of_upstreams: usize = self.upstreams.iter().map(|(_, upstream)| upstream.memory_bytes()).sum();
        of_clients + of_upstreams
    }

    /// Connections that are to be closed as buffers take too much memory. `others`: those of connections that the
    /// proxy does not own.
    pub fn connections_over_memory_limit(
        &self,
        others: impl Iterator<Item = BufferUse>,
    ) -> Vec<ConnectionKey> {
        let clients = self.clients.iter().map(|(key, client)| {
            // A client is owed a response to whatever it has sent.
            let owed = client.open_request().is_some() || client.has_pipelined_input();
            let owner = if owed { BufferOwner::AwaitingResponse } else { BufferOwner::SendingResponse };
            let request = client.open_request().map_or(0, |number| self.requests.memory_bytes(number));
            BufferUse { owner, bytes: client.memory_bytes() + request, key }
        });
        let upstreams = self.upstreams.iter().map(|(key, upstream)| BufferUse {
            owner: BufferOwner::Upstream,
            bytes: upstream.memory_bytes(),
            key,
        });
        self.memory_limit.select_to_close(clients.chain(upstreams).chain(others))
    }

    /// Counts a connection that is closed as buffers take too much memory.
    pub fn count_closed_over_memory(&mut self) {
        self.metrics.closed_over_memory += 1;
    }
}

/// Requests.
impl Proxy {
    /// Outcomes that the engine has to be told.
    pub fn take_pending_outcomes(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.pending_outcomes)
    }

    /// Forgets a request that has its response and no attempt in flight.
    pub fn release_if_done(&mut self, number: u64) {
        self.requests.release_if_done(number);
    }

    /// Ends all attempts in flight, as the host has no time left.
    pub fn time_out_all_attempts(&mut self) {
        for (number, attempt) in self.requests.attempts_in_flight() {
            self.end_attempt_early(number, attempt, AttemptEnd::TimedOut);
        }
    }

    /// All requests, in order.
    pub fn request_numbers(&self) -> Vec<u64> {
        self.requests.numbers()
    }

    /// Passes an endpoint's response on to the client, if it still waits.
    fn deliver_response(&mut self, number: u64, body: &[u8]) {
        if let Some(client) = self.end_request(number) {
            self.metrics.requests_succeeded += 1;
            self.send_response(client, &OutgoingResponse { status: 200, headers: &[], body, close: false });
        }
    }

    /// Ends a request: the client that is now given its one response, if it still waits. Nothing of the request
    /// starts any more: an attempt that is not written completely is withdrawn.
    #[must_use = "the client is owed its response"]
    fn end_request(&mut self, number: u64) -> Option<ConnectionKey> {
        let client = self.requests.take_client(number);
        self.withdraw_if_unwritten(number);
        self.requests.release_if_done(number);
        client
    }

    /// Whether a request has its response, or its client has disconnected by now. Such a client's connection is closed
    /// with the next turn of the event loop.
    fn is_request_over(&mut self, number: u64) -> bool {
        match self.requests.get(number).and_then(OpenRequest::client) {
            Some(key) => self.clients.note_disconnect(key),
            None => true,
        }
    }
}

/// Endpoints.
impl Proxy {
    /// Takes in an endpoint list; what the engine has to be told of it.
    pub fn apply_endpoint_list(&mut self, list: &EndpointList) -> Vec<(u32, Endpoint)> {
        self.endpoints.on_wall_clock(unix_time(), self.reactor.read_clock());
        for number in self.endpoints.missing_from(list) {
            self.remove_endpoint(number);
        }
        let mut updated = Vec::with_capacity(list.records.len());
        for record in &list.records {
            let Some(update) = self.endpoints.update(self.reactor.now(), record) else { continue };
            self.apply_change(update.number, update.change);
            updated.push((update.number, update.endpoint));
        }
        updated
    }

    fn apply_change(&mut self, number: u32, change: EndpointChange) {
        match change {
            EndpointChange::None => {}
            EndpointChange::Moved => self.close_idle(number, UpstreamCloseReason::EndpointRemoved),
            EndpointChange::NotReady => {
                self.close_idle(number, UpstreamCloseReason::EndpointRemoved);
                self.withdraw_unwritten(|endpoint| endpoint == number);
            }
            EndpointChange::Removed => self.remove_endpoint(number),
        }
    }

    fn remove_endpoint(&mut self, number: u32) {
        self.close_idle(number, UpstreamCloseReason::EndpointRemoved);
        self.withdraw_unwritten(|endpoint| endpoint == number);
        self.upstreams.forget_endpoint(number);
        self.endpoints.remove(self.reactor.now(), number);
    }

    /// Withdraws all attempts of which no byte was written, as the endpoint list has expired.
    pub fn withdraw_all_unwritten(&mut self) {
        self.withdraw_unwritten(|_| true);
    }

    fn withdraw_unwritten(&mut self, of_endpoint: impl Fn(u32) -> bool) {
        for key in self.upstreams.unwritten(of_endpoint) {
            self.fail_upstream(key, AttemptEnd::Withdrawn);
        }
    }

    /// An endpoint sent more than was requested: none of its connections is used again.
    fn distrust(&mut self, endpoint: u32, serial: u64, bytes: usize, idle_ms: Ms) {
        let id = self.endpoints.id(endpoint);
        self.log.unsolicited_bytes_received(self.reactor.now(), id, serial, bytes, idle_ms);
        self.upstreams.distrust(endpoint, idle_ms);
        self.close_idle(endpoint, UpstreamCloseReason::NotReusable);
    }
}

/// Connections to endpoints.
impl Proxy {
    /// Closes a connection. The attempt that it carries is the caller's to end.
    fn close_upstream(
        &mut self,
        key: ConnectionKey,
        reason: UpstreamCloseReason,
    ) -> Option<UpstreamConnection> {
        let upstream = self.upstreams.remove(&mut self.reactor, key)?;
        let id = self.endpoints.id(upstream.endpoint());
        self.log.upstream_closed(self.reactor.now(), id, upstream.serial(), upstream.exchanges(), reason);
        Some(upstream)
    }

    /// Closes all idle connections to an endpoint.
    fn close_idle(&mut self, endpoint: u32, reason: UpstreamCloseReason) {
        for key in self.upstreams.take_idle_of(endpoint) {
            self.close_upstream(key, reason);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired_upstreams(&mut self) {
        for key in self.upstreams.take_expired_idle(self.reactor.now()) {
            self.close_upstream(key, UpstreamCloseReason::Expired);
        }
    }

    /// Closes a connection on which bytes or an end arrived while it was idle.
    fn close_unsolicited(&mut self, key: ConnectionKey) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let (endpoint, serial, bytes) = (upstream.endpoint(), upstream.serial(), upstream.unread_bytes());
        let idle_ms = upstream.idle_for(self.reactor.now());
        if bytes == 0 {
            self.close_upstream(key, UpstreamCloseReason::ClosedWhileIdle);
            return;
        }
        self.close_upstream(key, UpstreamCloseReason::UnsolicitedBytes);
        self.distrust(endpoint, serial, bytes, idle_ms);
    }

    /// Closes a connection, and ends the attempt that it carries.
    pub fn fail_upstream(&mut self, key: ConnectionKey, end: AttemptEnd) {
        let Some(upstream) = self.close_upstream(key, UpstreamCloseReason::Attempt(end)) else { return };
        let Some(attempt) = upstream.attempt() else { return };
        self.end_attempt(attempt.request_id, end.outcome(attempt.written), attempt.written_at, None);
    }

    /// Opens a connection to an endpoint, or what that makes of the attempt.
    fn connect_upstream(&mut self, endpoint: u32, address: SocketAddr) -> Result<ConnectionKey, Outcome> {
        if self.upstreams.is_full() {
            let key = self.upstreams.evict_oldest_idle().ok_or(Outcome::ConnectFailed)?;
            self.close_upstream(key, UpstreamCloseReason::Evicted);
        }
        let serial = self.reactor.next_serial();
        let opened = match self.upstreams.connect(&mut self.reactor, endpoint, address, serial) {
            Err(error) if out_of_descriptors(&error) && self.evict_client() => {
                self.upstreams.connect(&mut self.reactor, endpoint, address, serial)
            }
            opened => opened,
        };
        // Where this host is out of descriptors, ports or memory, that says nothing of the endpoint.
        let key = opened.map_err(|error| match reach(&error) {
            Reach::Remote => Outcome::ConnectFailed,
            Reach::Local => Outcome::DeadlineExceeded,
        })?;
        self.metrics.upstreams_opened += 1;
        self.upstreams.arm_connect_timer(&mut self.reactor, key, serial);
        Ok(key)
    }

    /// An idle connection on which nothing of an earlier exchange can arrive any more, as far as that can be known.
    fn take_idle_upstream(&mut self, endpoint: u32) -> Option<ConnectionKey> {
        loop {
            let key = self.upstreams.take_idle(self.reactor.now(), endpoint)?;
            let Some(upstream) = self.upstreams.get_mut(key) else { continue };
            if upstream.is_quiet() {
                return Some(key);
            }
            self.close_unsolicited(key);
        }
    }

    /// Writes to a connection, and the attempt that waits for it to be established.
    pub fn flush_upstream(&mut self, key: ConnectionKey) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        match upstream.flush(|| self.reactor.read_clock()) {
            FlushEvent::None => {}
            FlushEvent::ConnectionLost => self.fail_upstream(key, AttemptEnd::ConnectionLost),
            FlushEvent::ReadyToWrite(attempt) => match self.write_attempt(key, attempt) {
                Ok(()) => self.flush_upstream(key),
                Err(end) => self.fail_upstream(key, end),
            },
        }
    }

    /// Queues an attempt on an established connection. The endpoint is told what time is left to the client at this
    /// very moment. An error ends the attempt: it is too late for it, or its client has disconnected.
    fn write_attempt(&mut self, key: ConnectionKey, attempt: AssignedAttempt) -> Result<(), AttemptEnd> {
        let now = self.reactor.read_clock();
        if now > attempt.send_by {
            return Err(AttemptEnd::Cancelled);
        }
        if self.is_request_over(attempt.request_id) {
            return Err(AttemptEnd::Withdrawn);
        }
        let Some(request) = self.requests.get(attempt.request_id) else { return Err(AttemptEnd::Cancelled) };
        let Some(upstream) = self.upstreams.get_mut(key) else { return Ok(()) };
        let time_left = (attempt.deadline - now).max(1.0).floor();
        upstream.queue_attempt(attempt.request_id, request.head(), time_left, request.body());
        let labels = request.labels(&self.endpoints, now);
        self.log.attempt_started(&labels, upstream.serial(), upstream.exchanges(), time_left);
        self.metrics.attempts_started += 1;
        Ok(())
    }

    /// Reads what an endpoint has sent.
    pub fn read_upstream(&mut self, key: ConnectionKey) {
        let now = self.reactor.now();
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let serial = upstream.serial();
        match upstream.receive(now) {
            ReceiveEvent::MayBeEstablished => self.flush_upstream(key),
            ReceiveEvent::Unsolicited => self.close_unsolicited(key),
            ReceiveEvent::Partial { first: true } => {
                self.reactor.set_timer(now + RESPONSE_STALL_MS, Timer::ResponseStall(key, serial));
            }
            ReceiveEvent::Partial { first: false } => {}
            ReceiveEvent::Response(complete) => self.on_response(key, &complete),
            ReceiveEvent::Failed(error) => self.fail_upstream(key, error.into()),
        }
    }

    /// A complete response arrived on a connection with an attempt in flight.
    fn on_response(&mut self, key: ConnectionKey, complete: &CompleteResponse) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let Some(attempt) = upstream.attempt() else { return };
        let (endpoint, serial) = (upstream.endpoint(), upstream.serial());
        let CompleteResponse { response, trailing, last } = complete;
        let received = ReceivedResponse {
            status: response.status,
            body: &response.body,
            trailing,
            names: response.header("x-request-id"),
        };
        let id = self.requests.get(attempt.request_id).map_or("", OpenRequest::id);
        if let Err(mismatch) = upstream.verify(&received, id) {
            return self.on_mismatch(key, mismatch);
        }
        self.finish_exchange(key, &received, *last || !attempt.written);
        if !trailing.is_empty() {
            self.distrust(endpoint, serial, trailing.len(), 0.0);
        }
        let end = AttemptEnd::from(response);
        let outcome = end.outcome(attempt.written);
        self.end_attempt(attempt.request_id, outcome, attempt.written_at, Some(response));
        if outcome == Outcome::Succeeded {
            self.deliver_response(attempt.request_id, &response.body);
        }
    }

    /// A response may belong to another request: nobody is given it.
    fn on_mismatch(&mut self, key: ConnectionKey, mismatch: ResponseMismatch) {
        let now = self.reactor.now();
        let Some(upstream) = self.upstreams.get(key) else { return };
        let (endpoint, serial, idle_ms) = (upstream.endpoint(), upstream.serial(), upstream.idle_for(now));
        self.log.response_mismatched(now, self.endpoints.id(endpoint), serial, mismatch);
        self.fail_upstream(key, AttemptEnd::MalformedResponse);
        self.distrust(endpoint, serial, 0, idle_ms);
    }

    /// Keeps a connection after its exchange, or closes it where it may not carry another one.
    fn finish_exchange(&mut self, key: ConnectionKey, received: &ReceivedResponse, last: bool) {
        let now = self.reactor.now();
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.record_exchange(now, received);
        let endpoint = upstream.endpoint();
        let reason = if last {
            UpstreamCloseReason::AfterResponse
        } else if !self.endpoints.is_ready(endpoint) {
            UpstreamCloseReason::EndpointRemoved
        } else if !self.upstreams.may_reuse(endpoint, received.status) {
            UpstreamCloseReason::NotReusable
        } else {
            return self.upstreams.put_idle(now, key);
        };
        self.close_upstream(key, reason);
    }

    /// A connection must be established by now.
    pub fn on_connect_timeout(&mut self, key: ConnectionKey, serial: u64) {
        if self.upstreams.is_connect_overdue(key, serial) {
            self.fail_upstream(key, AttemptEnd::TimedOut);
        }
    }

    /// A response that has begun must have made progress by now.
    pub fn on_response_stall(&mut self, key: ConnectionKey, serial: u64) {
        let progress = self.upstreams.check_response_progress(&mut self.reactor, key, serial);
        if progress == ResponseProgress::Stalled {
            self.fail_upstream(key, AttemptEnd::MalformedResponse);
        }
    }
}

/// Attempts.
impl Proxy {
    /// Starts an attempt on an idle connection that is good, or on a new one.
    fn start_attempt(&mut self, endpoint: u32, part: &AttemptRef) {
        let now = self.reactor.now();
        let address = self.endpoints.address(endpoint);
        let connection = match (self.take_idle_upstream(endpoint), address) {
            (Some(key), _) => Ok(key),
            (None, Some(address)) => self.connect_upstream(endpoint, address),
            (None, None) => Err(Outcome::ConnectFailed),
        };
        self.log_retry(endpoint, part.request_id);
        let attempt = InFlightAttempt {
            attempt: part.attempt,
            connection: connection.as_ref().ok().copied(),
            started_at: now,
        };
        if !self.requests.on_attempt_started(part.request_id, endpoint, attempt) {
            return;
        }
        let key = match connection {
            Ok(key) => key,
            Err(outcome) => return self.end_attempt(part.request_id, outcome, None, None),
        };
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let deadline = now + part.timeout;
        upstream.assign(AssignedAttempt { request_id: part.request_id, deadline, send_by: part.send_by });
        self.reactor.set_timer(deadline, Timer::AttemptTimeout(part.request_id, part.attempt));
        self.flush_upstream(key);
    }

    fn log_retry(&mut self, endpoint: u32, number: u64) {
        let now = self.reactor.now();
        let Some(request) = self.requests.get(number) else { return };
        let Some(outcome) = request.latest().and_then(|latest| latest.outcome) else { return };
        let next = self.endpoints.id(endpoint).unwrap_or_default();
        self.log.request_retried(now, &request.labels(&self.endpoints, now), next, outcome);
    }

    /// Ends the attempt of a request that is in flight: the engine has to be told its outcome.
    fn end_attempt(
        &mut self,
        number: u64,
        outcome: Outcome,
        written_at: Option<Ms>,
        response: Option<&http1::Response>,
    ) {
        let now = self.reactor.now();
        let Some(attempt) = self.requests.on_attempt_finished(number, outcome) else { return };
        // What the endpoint took: the time that a connection needed to be established is not its own.
        let latency = (now - written_at.unwrap_or(attempt.started_at)).max(0.0);
        if let Some(request) = self.requests.get(number) {
            self.log.attempt_finished(&request.labels(&self.endpoints, now), outcome, latency);
        }
        self.log_attempt_count(outcome);
        let report = |name| response.and_then(|response| load_report(response, name));
        let answer = Answer {
            outcome,
            latency,
            over: outcome == Outcome::Succeeded,
            used: report("x-iops-used").map(|percent| percent / 100.0),
            others: report("x-rho").unwrap_or(0.0),
        };
        self.pending_outcomes.push((number, answer));
    }

    /// Withdraws an attempt that is not written completely, as its request has ended: its endpoint has not begun it,
    /// and must not. That cancels no work, and needs no permission to cancel.
    fn withdraw_if_unwritten(&mut self, number: u64) {
        let in_flight = self.requests.get(number).and_then(OpenRequest::in_flight);
        let Some(key) = in_flight.and_then(|attempt| attempt.connection) else { return };
        if self.upstreams.get(key).is_some_and(|upstream| !upstream.is_written()) {
            self.fail_upstream(key, AttemptEnd::Withdrawn);
        }
    }

    /// Ends an attempt that is in flight, as its time is over or nobody waits for it.
    pub fn end_attempt_early(&mut self, number: u64, attempt: u32, end: AttemptEnd) {
        let in_flight = self.requests.get(number).and_then(OpenRequest::in_flight);
        let same = in_flight.filter(|in_flight| in_flight.attempt == attempt);
        if let Some(key) = same.and_then(|in_flight| in_flight.connection) {
            self.fail_upstream(key, end);
        }
    }
}

/// A number that an endpoint reports of its load.
fn load_report(response: &http1::Response, name: &str) -> Option<f64> {
    let number: f64 = response.header(name)?.trim().parse().ok()?;
    Some(number).filter(|number| number.is_finite() && *number >= 0.0)
}

impl Environment for Proxy {
    fn send(&mut self, endpoint: u32, parts: &[AttemptRef]) {
        for part in parts {
            self.start_attempt(endpoint, part);
        }
    }

    fn cancel(&mut self, request: u64, attempt: u32) {
        self.end_attempt_early(request, attempt, AttemptEnd::Cancelled);
    }

    fn answer(&mut self, request: u64, status: FinalStatus, reason: Reason) {
        let now = self.reactor.now();
        let Some(open) = self.requests.get(request) else { return };
        let http_status = if matches!(status, FinalStatus::Failed) { 502 } else { 503 };
        self.log.request_not_served(now, &open.labels(&self.endpoints, now), http_status, reason);
        let Some(client) = self.end_request(request) else { return };
        let retry_after = match status {
            FinalStatus::Rejected { retry_after } => {
                self.metrics.requests_rejected += 1;
                retry_after
            }
            FinalStatus::Failed => {
                self.metrics.requests_failed += 1;
                0.0
            }
        };
        let retry_after = format!("{:.3}", retry_after / 1000.0);
        let headers: &[(&str, &[u8])] = match retry_after.as_str() {
            "0.000" => &[],
            seconds => &[("Retry-After", seconds.as_bytes())],
        };
        let body = format!("{}\n", reason.word());
        let response = OutgoingResponse { status: http_status, headers, body: body.as_bytes(), close: false };
        self.send_response(client, &response);
    }

    /// The scheduler judges endpoints by their responses alone.
    fn check_health(&mut self, _: u32) {}

    /// The endpoint client decides when the list is polled.
    fn poll_endpoints(&mut self) {}

    fn wake(&mut self, at: Ms) {
        self.engine_wake_at = at;
    }
}
