//! Forwarding of a request from its client through the registry to an endpoint, and of the response back.
//!
//! The proxy carries out the engine's decisions, owns the state that this requires, and makes no decisions of its own.
//! Events for the engine are returned to the event loop.

mod attempts;
mod clients;
mod upstreams;

pub(crate) use clients::ClientEvent;

use crate::attempt_end::AttemptEnd;
use crate::buffer_table::Buffers;
use crate::client_policy::ConnectionLimits;
use crate::client_pool::ClientPool;
use crate::config::HostConfig;
use crate::endpoint_table::EndpointTable;
use crate::graceful_shutdown::GracefulShutdown;
use crate::memory_limit::{BufferOwner, ConnectionBuffers, MemoryLimit};
use crate::memory_report::MemoryByOwner;
use crate::metrics::Metrics;
use crate::reactor::{ConnectionKey, Reactor};
use crate::request_log::RequestLog;
use crate::request_registry::{OpenRequest, RequestRegistry};
use crate::request_stages::RequestStages;
use crate::turn_budget::TurnBudget;
use crate::upstream_pool::UpstreamPool;
use crate::wall_clock::{unix_time, WallClock};
use magpiewick::{Answer, MemoryBudget, Ms, Outcome, ReadOrder};
use magpiewick_engine::Reason;
use magpiewick_http1::OutgoingResponse;
use magpiewick_instance_settings::PlatformSettings;
use magpiewick_transport::descriptor_limit;
use std::io;

/// Descriptors for other uses than clients and endpoints: the standard streams, the poller, signals, the listener,
/// discovery, and the configuration file during a reload.
const RESERVED_DESCRIPTORS: usize = 20;

/// Proxy of requests between clients and endpoints.
pub(crate) struct Proxy {
    reactor: Reactor,
    settings: PlatformSettings,
    clients: ClientPool,
    requests: RequestRegistry,
    endpoints: EndpointTable,
    upstreams: UpstreamPool,
    shutdown: GracefulShutdown,
    memory_limit: MemoryLimit,
    memory_budget: MemoryBudget,
    read_order: ReadOrder,
    /// Limit of the descriptors of the process.
    max_descriptors: usize,
    turn: TurnBudget,
    metrics: Metrics,
    stages: RequestStages,
    log: RequestLog,
    /// Outcomes that are not reported to the engine yet.
    pending_outcomes: Vec<(u64, Answer)>,
    engine_wake_at: Ms,
    ready_at: Ms,
}

impl Proxy {
    /// Creates the proxy of a host. `ready_at`: latest time at which the host becomes ready for clients.
    pub(crate) fn new(reactor: Reactor, config: &HostConfig, ready_at: Ms) -> Proxy {
        let settings = config.settings.clone();
        let limits = ConnectionLimits::new(config.sockets, config.sockets - RESERVED_DESCRIPTORS);
        let longest_timeout =
            config.scheduler.classes.iter().map(|class| class.client_timeout).fold(0.0, f64::max);
        let wall_clock = WallClock::new(unix_time(), reactor.now());
        Proxy {
            clients: ClientPool::new(limits.clients, limits.served_clients),
            requests: RequestRegistry::default(),
            endpoints: EndpointTable::new(wall_clock, settings.zones.clone()),
            upstreams: UpstreamPool::new(limits.upstreams, settings.connect_timeout, settings.idle_timeout),
            shutdown: GracefulShutdown::new(longest_timeout),
            memory_limit: MemoryLimit::new(config.memory_bytes),
            memory_budget: MemoryBudget::new(config.memory_bytes, config.sockets),
            read_order: ReadOrder::default(),
            max_descriptors: config.sockets.min(descriptor_limit()),
            turn: TurnBudget::default(),
            metrics: Metrics::default(),
            stages: RequestStages::new(),
            log: RequestLog::default(),
            pending_outcomes: Vec::new(),
            engine_wake_at: 0.0,
            ready_at,
            reactor,
            settings,
        }
    }

    /// Returns the time at which the current iteration of the event loop began.
    pub(crate) fn now(&self) -> Ms {
        self.reactor.now()
    }

    /// Returns the reactor, for the event loop and for connections to discovery.
    pub(crate) fn reactor(&self) -> &Reactor {
        &self.reactor
    }

    /// Returns the reactor for modification, for the event loop and for connections to discovery.
    pub(crate) fn reactor_mut(&mut self) -> &mut Reactor {
        &mut self.reactor
    }

    /// Logs that accepting connections is paused.
    pub(crate) fn log_accept_paused(&mut self, error: &io::Error) {
        self.log.accept_paused(self.reactor.now(), error);
    }

    /// Returns the progress of a graceful shutdown.
    pub(crate) fn shutdown(&self) -> &GracefulShutdown {
        &self.shutdown
    }

    /// Begins a graceful shutdown.
    pub(crate) fn begin_shutdown(&mut self) {
        self.shutdown.begin(self.reactor.now());
    }

    /// Returns the latest time for the next run of the engine.
    pub(crate) fn engine_wake_at(&self) -> Ms {
        self.engine_wake_at
    }

    /// Marks the host as ready for clients.
    pub(crate) fn mark_ready(&mut self) {
        self.ready_at = self.ready_at.min(self.reactor.now());
    }

    /// Returns whether a request is open or an attempt is in flight.
    pub(crate) fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Returns whether all clients have disconnected or, once the process is due to exit, no client awaits a response
    /// or has unwritten output.
    pub(crate) fn clients_are_done(&self, exit_due: bool) -> bool {
        self.clients.is_empty() || exit_due && self.clients.none_busy()
    }

    /// Returns the limits of the current turn of the event loop.
    pub(crate) fn turn_mut(&mut self) -> &mut TurnBudget {
        &mut self.turn
    }

    /// Begins a turn of the event loop; `previous_ms`: duration of the previous one.
    pub(crate) fn begin_turn(&mut self, previous_ms: Ms) {
        self.turn.begin_turn(previous_ms);
        self.metrics.longest_turn_ms = self.metrics.longest_turn_ms.max(previous_ms);
    }

    /// Returns whether requests of clients wait for the next turn, which must then begin at once.
    pub(crate) fn has_clients_awaiting_turn(&self) -> bool {
        self.clients.has_awaiting_turn()
    }

    /// Returns whether work for the engine or for clients is pending before the event loop may wait.
    pub(crate) fn has_pending_work(&self) -> bool {
        !self.pending_outcomes.is_empty() || self.clients.has_pending_work()
    }

    /// Logs the counters.
    pub(crate) fn log_metrics(&mut self) {
        tracing::info!(
            requests_pending = self.requests.len(), client_connections = self.clients.len(),
            connections = self.reactor.connection_count(), endpoints = self.endpoints.len(),
            metrics = ?self.metrics, "metrics_reported"
        );
        tracing::info!(counts = ?self.log.counts(), "request_metrics_reported");
        let stages = self.stages.take_summary();
        tracing::info!(requests = stages.requests, ages = %stages, "request_stages_reported");
    }

    /// Logs the counters when the host stops.
    pub(crate) fn log_stopped(&self) {
        tracing::info!(metrics = ?self.metrics, "host_stopped");
    }

    fn count_attempt_outcome(&mut self, outcome: Outcome) {
        *self.metrics.attempt_outcomes.entry(Reason::After(outcome).as_str()).or_default() += 1;
    }
}

/// Memory use.
impl Proxy {
    /// Returns the bytes of the memory pool that connections of clients and endpoints use.
    fn pool_use(&self) -> usize {
        self.clients.buffer_use().from_pool + self.upstreams.buffer_use().from_pool
    }

    /// Returns the memory that connections of clients and endpoints take, with open requests.
    fn buffered_bytes(&self) -> usize {
        self.clients.buffer_use().total + self.upstreams.buffer_use().total
    }

    /// Returns whether buffers exceed the memory limit. `discovery`: buffers of the connections to discovery.
    pub(crate) fn exceeds_memory_limit(&self, discovery: usize) -> bool {
        self.memory_limit.is_exceeded(self.buffered_bytes() + discovery)
    }

    /// Returns whether free memory that the allocator retains should be released. `resident`: memory of the process;
    /// `others`: memory of owners other than the proxy.
    pub(crate) fn retains_too_much(&self, resident: usize, others: usize) -> bool {
        self.memory_budget.retains_too_much(resident, self.buffered_bytes() + others)
    }

    /// Returns the memory of the process by owner. `discovery`: buffers of the connections to discovery; `tables`: memory
    /// of the engine's tables.
    pub(crate) fn memory_by_owner(&self, discovery: usize, tables: usize) -> MemoryByOwner {
        let upstream = self.upstreams.buffer_use().total;
        let read_buffers = self.clients.read_buffer_bytes();
        let mut owners =
            MemoryByOwner { read_buffers, upstream, discovery, tables, ..MemoryByOwner::default() };
        self.clients.iter().for_each(|(_, client)| client.add_memory_to(&mut owners));
        owners
    }

    /// Returns the connections to close because buffers exceed the memory limit. `others`: buffers of connections that
    /// the proxy does not own.
    pub(crate) fn connections_over_memory_limit(
        &self,
        others: impl Iterator<Item = ConnectionBuffers>,
    ) -> Vec<ConnectionKey> {
        let clients = self.clients.iter().map(|(key, client)| {
            // A client awaits a response to all input that it has sent.
            let awaits_response = client.open_request().is_some() || client.has_pipelined_input();
            let owner =
                if awaits_response { BufferOwner::AwaitingResponse } else { BufferOwner::SendingResponse };
            ConnectionBuffers { owner, bytes: client.memory_bytes(), key }
        });
        let upstreams = self.upstreams.iter().map(|(key, upstream)| ConnectionBuffers {
            owner: BufferOwner::Upstream,
            bytes: upstream.memory_bytes(),
            key,
        });
        self.memory_limit.select_to_close(clients.chain(upstreams).chain(others))
    }

    /// Counts a connection that is closed because buffers exceed the memory limit.
    pub(crate) fn count_closed_over_memory(&mut self) {
        self.metrics.closed_over_memory += 1;
    }
}

/// Open requests.
impl Proxy {
    /// Returns and clears the outcomes that are not reported to the engine yet.
    pub(crate) fn take_pending_outcomes(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.pending_outcomes)
    }

    /// Removes a request that has been answered and has no attempt in flight.
    pub(crate) fn release_if_done(&mut self, number: u64) {
        self.requests.release_if_done(number);
    }

    /// Ends all attempts in flight, because the host has no time left.
    pub(crate) fn time_out_all_attempts(&mut self) {
        for (number, attempt) in self.requests.attempts_in_flight() {
            self.end_attempt_early(number, attempt, AttemptEnd::TimedOut);
        }
    }

    /// Returns the numbers of all requests in order.
    pub(crate) fn request_numbers(&self) -> Vec<u64> {
        self.requests.numbers()
    }

    /// Forwards an endpoint's response to the client, if the client still awaits one.
    fn deliver_response(&mut self, number: u64, body: &[u8]) {
        if let Some(client) = self.end_request(number) {
            self.metrics.requests_succeeded += 1;
            self.send_response(client, &OutgoingResponse { status: 200, headers: &[], body, close: false });
        }
    }

    /// Ends a request, and returns the client for its single response, if the client still awaits one. An attempt that
    /// is not written completely is withdrawn, so that no work for the request starts later.
    #[must_use = "the client awaits its response"]
    fn end_request(&mut self, number: u64) -> Option<ConnectionKey> {
        let client = self.requests.take_client(number);
        if let (Some(key), Some(request)) = (client, self.requests.get(number)) {
            self.clients.on_answered(key, request.answered(self.reactor.read_clock()));
        }
        self.withdraw_if_unwritten(number);
        self.requests.release_if_done(number);
        client
    }

    /// Returns whether a request has been answered or its client has disconnected. The connection of a disconnected
    /// client is closed in the next iteration of the event loop.
    fn is_request_over(&mut self, number: u64) -> bool {
        match self.requests.get(number).and_then(OpenRequest::client) {
            Some(key) => self.clients.note_disconnect(key),
            None => true,
        }
    }
}
