//! The way of a request: from its client through the registry to an endpoint, and of the response back.
//!
//! The proxy carries out what the engine decides, and owns the state that this needs. It decides nothing itself. What
//! the engine has to be told is returned to the event loop.

mod attempts;
mod clients;
mod upstreams;

pub(crate) use clients::ClientEvent;

use crate::attempt_end::AttemptEnd;
use crate::client_policy::ConnectionLimits;
use crate::client_pool::ClientPool;
use crate::config::HostConfig;
use crate::endpoint_table::EndpointTable;
use crate::graceful_shutdown::GracefulShutdown;
use crate::memory_limit::{BufferOwner, BufferUse, MemoryLimit};
use crate::metrics::Metrics;
use crate::reactor::{ConnectionKey, Reactor};
use crate::request_log::RequestLog;
use crate::request_registry::{OpenRequest, RequestRegistry};
use crate::upstream_pool::UpstreamPool;
use crate::wall_clock::{unix_time, WallClock};
use magpiewick::{Answer, Ms, Outcome};
use magpiewick_engine::Reason;
use magpiewick_http1::OutgoingResponse;
use magpiewick_instance_settings::PlatformSettings;
use magpiewick_transport::descriptor_limit;
use std::io;

/// Descriptors that are neither for clients nor for endpoints: the standard ones, the poller's, signals, the listener,
/// discovery, and a file that is read again.
const RESERVED_DESCRIPTORS: usize = 20;

/// Carries requests between clients and endpoints.
pub(crate) struct Proxy {
    reactor: Reactor,
    settings: PlatformSettings,
    clients: ClientPool,
    requests: RequestRegistry,
    endpoints: EndpointTable,
    upstreams: UpstreamPool,
    shutdown: GracefulShutdown,
    memory_limit: MemoryLimit,
    /// Descriptors that the process may have.
    max_descriptors: usize,
    metrics: Metrics,
    log: RequestLog,
    /// Outcomes that the engine has to be told.
    pending_outcomes: Vec<(u64, Answer)>,
    engine_wake_at: Ms,
    ready_at: Ms,
}

impl Proxy {
    /// `ready_at`: when the host is ready for clients at the latest.
    pub(crate) fn new(reactor: Reactor, config: &HostConfig, ready_at: Ms) -> Proxy {
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
            max_descriptors: config.sockets.min(descriptor_limit()),
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
    pub(crate) fn now(&self) -> Ms {
        self.reactor.now()
    }

    /// The reactor, for the event loop and for connections to discovery.
    pub(crate) fn reactor(&self) -> &Reactor {
        &self.reactor
    }

    /// The reactor, for the event loop and for connections to discovery.
    pub(crate) fn reactor_mut(&mut self) -> &mut Reactor {
        &mut self.reactor
    }

    /// Logs that no connection can be accepted for a while.
    pub(crate) fn log_accept_paused(&mut self, error: &io::Error) {
        self.log.accept_paused(self.reactor.now(), error);
    }

    /// How far a shutdown has come.
    pub(crate) fn shutdown(&self) -> &GracefulShutdown {
        &self.shutdown
    }

    /// Begins a graceful shutdown.
    pub(crate) fn begin_shutdown(&mut self) {
        self.shutdown.begin(self.reactor.now());
    }

    /// When the engine is to be run at the latest.
    pub(crate) fn engine_wake_at(&self) -> Ms {
        self.engine_wake_at
    }

    /// The host is ready for clients from now on, if it was not before.
    pub(crate) fn mark_ready(&mut self) {
        self.ready_at = self.ready_at.min(self.reactor.now());
    }

    /// Whether a request is open or an attempt is in flight.
    pub(crate) fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Whether clients need this process no more: they have disconnected or, once the process is to exit, are owed
    /// nothing.
    pub(crate) fn clients_are_done(&self, exit_due: bool) -> bool {
        self.clients.is_empty() || exit_due && self.clients.none_busy()
    }

    /// Whether there is anything for the engine or for clients before the event loop may wait.
    pub(crate) fn has_pending_work(&self) -> bool {
        !self.pending_outcomes.is_empty() || self.clients.has_pending_work()
    }

    /// Reports the counters.
    pub(crate) fn log_metrics(&self) {
        tracing::info!(
            requests_pending = self.requests.len(), client_connections = self.clients.len(),
            connections = self.reactor.connection_count(), endpoints = self.endpoints.len(),
            metrics = ?self.metrics, "metrics_reported"
        );
        tracing::info!(counts = ?self.log.counts(), "request_metrics_reported");
    }

    /// Reports the counters as the host stops.
    pub(crate) fn log_stopped(&self) {
        tracing::info!(metrics = ?self.metrics, "host_stopped");
    }

    fn log_attempt_count(&mut self, outcome: Outcome) {
        *self.metrics.attempt_outcomes.entry(Reason::After(outcome).as_str()).or_default() += 1;
    }
}

/// Memory.
impl Proxy {
    /// The memory that a connection's buffers take, without its open request.
    pub(crate) fn memory_of(&self, key: ConnectionKey) -> usize {
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
    pub(crate) fn connections_over_memory_limit(
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
    pub(crate) fn count_closed_over_memory(&mut self) {
        self.metrics.closed_over_memory += 1;
    }
}

/// Requests.
impl Proxy {
    /// Outcomes that the engine has to be told.
    pub(crate) fn take_pending_outcomes(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.pending_outcomes)
    }

    /// Forgets a request that has its response and no attempt in flight.
    pub(crate) fn release_if_done(&mut self, number: u64) {
        self.requests.release_if_done(number);
    }

    /// Ends all attempts in flight, as the host has no time left.
    pub(crate) fn time_out_all_attempts(&mut self) {
        for (number, attempt) in self.requests.attempts_in_flight() {
            self.end_attempt_early(number, attempt, AttemptEnd::TimedOut);
        }
    }

    /// All requests, in order.
    pub(crate) fn request_numbers(&self) -> Vec<u64> {
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
