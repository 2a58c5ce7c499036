//! Event loop: waits for events and dispatches each to the owner of the state concerned.

mod clients;
mod discovery;
mod memory;
mod shutdown;

use crate::attempt_end::AttemptEnd;
use crate::client_pool::DisconnectCheck;
use crate::config::HostConfig;
use crate::endpoint_discovery::EndpointDiscovery;
use crate::listener::Listener;
use crate::memory_report::{anonymous_bytes, MemoryReporter};
use crate::proxy::Proxy;
use crate::reactor::{ConnectionKey, ConnectionKind, Reactor, Source, Timer};
use crate::reload::ConfigReload;
use crate::request_log::ClientCloseReason;
use crate::signals::SignalSource;
use crate::turn_budget::MAX_ROUNDS;
use magpiewick::{EndpointUpdate, Ms};
use magpiewick_engine::Engine;
use magpiewick_transport::{Clock, Poll, PollEvents};
use std::io;
use std::path::Path;

const LISTENER_KEY: usize = 0;
const SIGTERM_KEY: usize = 1;
const SIGHUP_KEY: usize = 2;
/// Limit of the connections accepted in one batch.
const ACCEPT_BATCH_SIZE: usize = 64;
/// Limit of the batches accepted when the host closes its listener: the operating system queues at most some hundreds
/// of connections.
const MAX_ACCEPT_BATCHES_AT_CLOSE: usize = 64;
/// Largest number of keys in use at a time: clients have some hundreds of requests open, and a key stays in use for a
/// quiet period of a second at most after its request.
const MAX_KEYS: usize = 20_000;
/// Interval between reports of the counters.
const METRICS_INTERVAL_MS: Ms = 5000.0;
/// Time after the start when a host without an endpoint list is ready even if discovery does not answer.
const READY_WITHOUT_LIST_MS: Ms = 1500.0;

/// Result of accepting a batch of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptBatch {
    /// No connection is waiting.
    QueueEmpty,
    /// Connections may be waiting.
    MayHaveMore,
}

/// Readable connections by kind.
#[derive(Default)]
struct ReadableConnections {
    discovery: Vec<ConnectionKey>,
    clients: Vec<ConnectionKey>,
    upstreams: Vec<ConnectionKey>,
}

/// Running host.
pub(crate) struct EventLoop {
    engine: Engine,
    proxy: Proxy,
    discovery: EndpointDiscovery,
    listener: Listener,
    sigterm: SignalSource,
    sighup: SignalSource,
    reload: ConfigReload,
    next_metrics_at: Ms,
    memory_reporter: MemoryReporter,
}

impl EventLoop {
    /// Opens the sockets of a host, and applies the cached endpoint list.
    pub(crate) fn new(config: HostConfig, path: &Path) -> io::Result<EventLoop> {
        let (poll, clock) = (Poll::new()?, Clock::start());
        let now = clock.now();
        let sigterm = SignalSource::register(&poll, signal_hook::consts::SIGTERM, SIGTERM_KEY)?;
        let sighup = SignalSource::register(&poll, signal_hook::consts::SIGHUP, SIGHUP_KEY)?;
        let listener = Listener::bind(&poll, LISTENER_KEY, config.listen, now)?;
        tracing::info!(
            name = config.name, listen = %config.listen, discovery = %config.discovery, "host_started"
        );
        let reactor = Reactor::new(poll, clock, config.scheduler.action_interval);
        let mut event_loop = EventLoop {
            proxy: Proxy::new(reactor, &config, now + READY_WITHOUT_LIST_MS),
            discovery: EndpointDiscovery::new(&config, now),
            listener,
            sigterm,
            sighup,
            reload: ConfigReload::new(path.to_path_buf(), &config),
            next_metrics_at: now + METRICS_INTERVAL_MS,
            memory_reporter: MemoryReporter::new(config.memory_bytes),
            engine: Engine::with_max_keys(config.scheduler.clone(), now, MAX_KEYS),
        };
        event_loop.restore_endpoint_list(&config);
        Ok(event_loop)
    }

    /// Applies the cached endpoint list. Clients wait for a restarted host, so the host is ready at once, unless lists
    /// are pushed: the agent's list binds from the start of the process, so the host waits for the agent's response.
    fn restore_endpoint_list(&mut self, config: &HostConfig) {
        let Some(list) = &config.cached_list else { return };
        let endpoints = self.proxy.apply_endpoint_list(list);
        self.engine.on_endpoint_update(self.proxy.now(), EndpointUpdate::Restored, &endpoints);
        if !endpoints.is_empty() && !config.is_list_pushed() {
            self.proxy.mark_ready();
        }
    }

    /// Runs the event loop until the host has shut down.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut poll_events = PollEvents::default();
        loop {
            self.run_engine();
            if self.is_finished() {
                self.proxy.log_stopped();
                return Ok(());
            }
            self.proxy.resume_responses();
            let wake_at = self.wake_at();
            let turn_ms = self.proxy.reactor_mut().wait(&mut poll_events, wake_at)?;
            self.proxy.begin_turn(turn_ms);
            // Runs before anything is sent, because the process may have been stalled for long.
            self.check_list_validity();
            self.dispatch_readable(&poll_events.readable);
            for key in poll_events.writable.drain(..) {
                if let Source::Connection(key) = Source::from(key) {
                    self.on_writable(key);
                }
            }
            self.observe_memory();
            self.run_timers();
        }
    }

    /// Returns the time at which the loop must run even if no event occurs.
    fn wake_at(&self) -> Ms {
        let (now, shutdown) = (self.proxy.now(), self.proxy.shutdown());
        if self.proxy.has_pending_work() || self.proxy.has_clients_awaiting_turn() {
            return now;
        }
        let times = [
            self.proxy.reactor().next_timer_at(),
            Some(self.discovery.wake_at(now)),
            self.reload.retry_at(),
            Some(self.next_metrics_at),
            shutdown.close_at().filter(|_| self.listener.is_open()),
            shutdown.answer_by().filter(|_| self.proxy.has_requests()),
            // After the exit time, a client that does not read its response has its own timer.
            shutdown.exit_at().filter(|at| *at > now),
            self.listener.resumes_at(now),
        ];
        times.into_iter().flatten().fold(self.proxy.engine_wake_at(), f64::min)
    }

    /// Returns whether the host has closed its listener and no response is pending. The process waits for clients while
    /// time remains: its exit would reset their connections, and responses that are not read yet would be lost.
    fn is_finished(&self) -> bool {
        let (now, shutdown) = (self.proxy.now(), self.proxy.shutdown());
        if self.listener.is_open() || !shutdown.is_closed(now) || self.proxy.has_requests() {
            return false;
        }
        self.proxy.clients_are_done(shutdown.exit_at().is_some_and(|at| now >= at))
    }

    /// Reads the readable sources: discovery first, then clients, then endpoints. This order avoids decisions on outdated
    /// information and responses to clients that have already disconnected. The turn's limits apply to each kind of
    /// connection by itself, so that no kind keeps the others from being read.
    fn dispatch_readable(&mut self, readable: &[usize]) {
        let mut connections = self.readable_connections(readable);
        self.proxy.sort_clients_to_read(&mut connections.clients);
        self.proxy.sort_upstreams_to_read(&mut connections.upstreams);
        let [discovery, clients, upstreams] =
            [connections.discovery, connections.clients, connections.upstreams];
        for key in discovery.into_iter().chain(clients).chain(upstreams) {
            self.on_readable(key);
            self.enforce_memory_limit();
        }
        for key in readable {
            match Source::from(*key) {
                Source::Fixed(LISTENER_KEY) => _ = self.accept(),
                Source::Fixed(SIGTERM_KEY) => self.on_sigterm(),
                Source::Fixed(_) => self.on_sighup(),
                Source::Connection(_) => {}
            }
        }
    }

    /// Returns the open connections among the readable sources, by kind.
    fn readable_connections(&self, readable: &[usize]) -> ReadableConnections {
        let mut connections = ReadableConnections::default();
        for key in readable {
            let Source::Connection(key) = Source::from(*key) else { continue };
            match self.proxy.reactor().kind(key) {
                Some(ConnectionKind::Discovery) => connections.discovery.push(key),
                Some(ConnectionKind::Client) => connections.clients.push(key),
                Some(ConnectionKind::Upstream) => connections.upstreams.push(key),
                None => {}
            }
        }
        connections
    }

    fn on_readable(&mut self, key: ConnectionKey) {
        match self.proxy.reactor().kind(key) {
            Some(ConnectionKind::Client) => {
                let event = self.proxy.read_client_in_turn(key);
                self.on_client_event(key, event);
            }
            Some(ConnectionKind::Upstream) => self.proxy.read_upstream_in_turn(key),
            Some(ConnectionKind::Discovery) => {
                if let Some(received) = self.discovery.on_readable(self.proxy.reactor_mut(), key) {
                    self.on_endpoint_list(&received);
                }
            }
            None => {}
        }
    }

    fn on_writable(&mut self, key: ConnectionKey) {
        match self.proxy.reactor().kind(key) {
            Some(ConnectionKind::Client) => self.flush_client(key),
            Some(ConnectionKind::Upstream) => self.proxy.flush_upstream(key),
            Some(ConnectionKind::Discovery) => self.discovery.on_writable(self.proxy.reactor_mut(), key),
            None => {}
        }
    }

    /// Runs all actions that are due.
    fn run_timers(&mut self) {
        while let Some(timer) = self.proxy.reactor_mut().due_timer() {
            self.on_timer(timer);
        }
        let now = self.proxy.now();
        if self.reload.is_due(now) {
            self.reload_config();
        }
        self.proxy.close_expired_upstreams();
        self.listener.resume_if_due(now);
        if self.proxy.shutdown().is_closed(now) && self.listener.is_open() {
            self.close();
        }
        let answer_by = self.proxy.shutdown().answer_by();
        if answer_by.is_some_and(|at| now >= at) && self.proxy.has_requests() {
            self.answer_all();
        }
        if now >= self.next_metrics_at {
            self.next_metrics_at = now + METRICS_INTERVAL_MS;
            self.proxy.log_metrics();
            self.discovery.log_metrics(now);
            self.report_memory(anonymous_bytes());
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::UpstreamConnect(key, serial) => self.proxy.on_connect_timeout(key, serial),
            Timer::ResponseStall(key, serial) => self.proxy.on_response_stall(key, serial),
            Timer::AttemptTimeout(request, attempt) => {
                self.proxy.end_attempt_early(request, attempt, AttemptEnd::TimedOut);
            }
            Timer::ClientTimeout(key, serial) => self.on_client_timeout(key, serial),
            Timer::DisconnectCheck(key, serial) => {
                if self.proxy.check_disconnect(key, serial) == DisconnectCheck::Disconnected {
                    self.close_client(key, ClientCloseReason::Disconnected);
                }
            }
        }
    }

    /// Reports events to the engine and carries out its decisions until no immediate work remains or the turn has had
    /// its rounds. What remains is done in the next turn, so that clients whose requests are answered at once do not keep
    /// the loop from its other sources.
    fn run_engine(&mut self) {
        self.run_discovery();
        self.take_deferred_requests();
        for _ in 0..MAX_ROUNDS {
            self.run_round();
            if !self.proxy.has_pending_work() {
                return;
            }
        }
        // The answers of the last round are written now; the requests behind them wait.
        self.proxy.turn_mut().end_rounds();
        self.flush_clients();
    }

    fn run_round(&mut self) {
        self.proxy.turn_mut().on_round();
        for key in self.proxy.take_disconnected_clients() {
            self.close_client(key, ClientCloseReason::Disconnected);
        }
        for (request, outcome) in self.proxy.take_pending_outcomes() {
            self.engine.on_outcome(self.proxy.now(), request, outcome, &mut self.proxy);
            self.proxy.release_if_done(request);
        }
        self.engine.run(self.proxy.now(), &mut self.proxy);
        self.flush_clients();
    }
}
