//! The event loop: waits for readiness and timers, dispatches events in a fixed order, and writes the
//! resulting messages.

mod admission;
mod client_events;
mod list_events;
mod map_events;
mod node_events;
mod split_read_events;

use crate::config::HostConfig;
use crate::connections::{Connections, UnreportedOutcome};
use crate::gossip_socket::GossipSocket;
use crate::graceful_shutdown::GracefulShutdown;
use crate::listener::Listener;
use crate::poll_key::{index_of, source_of, Source};
use crate::timer::Timer;
use crate::upstream_pool::CloseReason;
use magpiewick::{Answer, EndpointUpdate, Ms, Outcome};
use magpiewick_engine::{Engine, StallDetector};
use magpiewick_transport::{Clock, LoopDelay, Poll, PollEvents, ReadShare};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;

/// Maximum sleep of the loop. A longer sleep shows that the process was stalled, so that events that waited
/// during the stall can be distinguished from new ones.
const MAX_SLEEP: Ms = 20.0;

/// Duration above which a turn is logged: answers sent in a longer turn may be late.
const SLOW_TURN_THRESHOLD: Ms = 50.0;

/// Reason why a host exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostExit {
    /// A shutdown was requested, and all pending requests have been answered.
    Stopped,
    /// A second shutdown was requested.
    Abandoned,
}

/// A host with its listener bound.
pub struct Gateway {
    config: HostConfig,
    engine: Engine,
    connections: Connections,
    poll: Poll,
    listener: Listener,
    shutdown: GracefulShutdown,
    /// Set while the host does not read from clients, as the maximum number of requests is pending.
    at_capacity: bool,
    /// Limit of the work that a turn does for clients.
    client_reads: ReadShare,
    stall_detector: StallDetector,
    delay: LoopDelay,
}

/// Details of an attempt's end, in addition to its outcome.
#[derive(Clone, Copy, Default)]
struct OutcomeDetails<'a> {
    /// Service that the volume received, as a fraction of its policy's rate; none where unknown.
    used: Option<f64>,
    /// Units that the node served for the volume through other hosts.
    remote_units: f64,
    payload: &'a [u8],
}

impl Gateway {
    /// Binds the listener. A byte on `shutdown_signal` requests a graceful shutdown, and a second byte an
    /// immediate exit. `incarnation` identifies this start of the process and must differ from all others.
    pub fn bind(
        mut config: HostConfig,
        shutdown_signal: UnixStream,
        incarnation: u64,
    ) -> io::Result<Gateway> {
        let clock = Clock::start();
        let poll = Poll::new()?;
        let listener = Listener::bind(config.listen, &poll)?;
        let now = clock.now();
        let mut gossip = None;
        if !config.gossip_addresses.is_empty() {
            let own_number = config.number as usize;
            gossip =
                Some(GossipSocket::bind(own_number, std::mem::take(&mut config.gossip_addresses), &poll)?);
            config.scheduler.host_number = Some(own_number);
        }
        Ok(Gateway {
            engine: Engine::new(config.scheduler.clone(), now),
            connections: Connections::new(&config, poll.clone(), clock, incarnation, gossip),
            listener,
            shutdown: GracefulShutdown::new(shutdown_signal, &poll)?,
            poll,
            at_capacity: false,
            client_reads: ReadShare::new(client_events::MAX_CLIENT_BYTES, client_events::MAX_CLIENT_READ_MS),
            stall_detector: StallDetector::new(now, config.scheduler.action_interval),
            delay: LoopDelay::start(now),
            config,
        })
    }

    /// Returns the listening address for clients.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Serves until a requested shutdown is complete.
    pub fn run(mut self) -> io::Result<HostExit> {
        self.restore_endpoint_list();
        if !self.config.list_service.polled {
            self.connections.watch_endpoints();
        }
        let mut poll_events = PollEvents::default();
        loop {
            let max_sleep = self.max_sleep();
            self.note_sleep(max_sleep);
            self.poll.wait(&mut poll_events, Some(Clock::duration_until(0.0, max_sleep)))?;
            self.connections.update_now();
            self.stall_detector.on_wake(self.connections.now());
            self.delay.on_wake(self.connections.now());
            self.turn(&poll_events);
            if self.shutdown.is_forced() {
                return Ok(HostExit::Abandoned);
            }
            let write_timeout = self.config.limits.connect_timeout;
            if self.shutdown.is_requested()
                && self.pending() == 0
                && self.shutdown.has_closed_clients(&mut self.connections, write_timeout)
            {
                return Ok(HostExit::Stopped);
            }
        }
    }

    /// Records the end of a turn; the loop sleeps for at most `max_sleep`.
    fn note_sleep(&mut self, max_sleep: Ms) {
        let now = self.connections.clock_now();
        self.stall_detector.on_sleep(now, max_sleep);
        let turn_ms = self.delay.on_sleep(now, now + max_sleep);
        if turn_ms > SLOW_TURN_THRESHOLD {
            tracing::warn!(turn_ms, pending = self.pending(), "slow_turn");
        }
    }

    /// Returns the number of requests without a final answer, including blocked writes.
    fn pending(&self) -> usize {
        self.engine.pending() + self.connections.blocked_writes()
    }

    fn max_sleep(&self) -> Ms {
        (self.connections.next_due_at() - self.connections.clock_now()).clamp(0.0, MAX_SLEEP)
    }

    /// Runs one turn. Endpoint updates are processed first, so that no decision is based on an old list; then
    /// outcomes and due timers, which free slots; then new requests; then the engine's due work.
    fn turn(&mut self, poll_events: &PollEvents) {
        let readable = |source: Source| {
            poll_events.readable.iter().copied().filter(move |key| source_of(*key) == source)
        };
        readable(Source::ListService).for_each(|key| self.on_list_readable(key));
        readable(Source::Node).for_each(|key| self.on_node_readable(key));
        readable(Source::Gossip).for_each(|_| self.on_gossip_readable());
        self.run_timers();
        self.read_clients(readable(Source::Client).collect());
        readable(Source::Listener).for_each(|_| self.listener.accept_all(&mut self.connections));
        readable(Source::ShutdownSignal).for_each(|_| self.on_shutdown_signal());
        self.run_engine();
        // A long or interrupted turn may have based decisions on an old endpoint list. Updates that arrived
        // during the turn are applied before anything is sent.
        if self.connections.clock_now() - self.connections.now() > self.config.scheduler.action_interval {
            self.connections.update_now();
            if let Some(key) = self.connections.list_key() {
                self.on_list_readable(key);
            }
            self.run_engine();
        }
        poll_events.writable.iter().for_each(|key| self.connections.note_to_write(*key));
        self.write();
        self.release_memory();
    }

    /// Disconnects clients that hold memory with answers they do not read, while memory is exhausted, and reads again from
    /// connections that have waited for memory.
    fn release_memory(&mut self) {
        for key in self.connections.clients_holding_memory() {
            if !self.connections.is_memory_exhausted() {
                break;
            }
            tracing::warn!(client = key, "client_disconnected_for_memory");
            self.on_client_disconnect(key, &"answers not read while memory is exhausted");
        }
        self.connections.resume_reading();
    }

    /// Runs the engine until none of its work is due and no event is unhandled.
    fn run_engine(&mut self) {
        loop {
            self.handle_events();
            self.engine.run(self.connections.now(), &mut self.connections);
            if !self.connections.has_events() {
                return;
            }
        }
    }

    /// Handles the events that occurred during a call of the engine.
    fn handle_events(&mut self) {
        if self.connections.take_poll_failed() {
            self.engine.on_endpoint_update(self.connections.now(), EndpointUpdate::PollFailed, &[]);
        }
        while let Some(UnreportedOutcome { request_id, attempt, outcome }) = self.connections.next_outcome() {
            self.on_outcome(request_id, attempt, outcome, OutcomeDetails::default());
        }
        while let Some(part) = self.connections.next_finished_part() {
            self.on_part_finished(part);
        }
        while let Some(request_id) = self.connections.next_unblocked_write() {
            if let Some(incoming) = self.connections.unblock(request_id) {
                self.engine.submit(self.connections.now(), incoming, &mut self.connections);
            }
        }
    }

    /// Writes all pending output. Connections that fail while writing produce outcomes, and these may start
    /// new attempts.
    fn write(&mut self) {
        loop {
            for key in self.connections.take_to_write() {
                self.write_connection(key);
            }
            if self.at_capacity && self.pending() < self.config.limits.max_pending_requests {
                self.at_capacity = false;
                for key in self.connections.clients().keys() {
                    if self.connections.clients().may_resume(key) {
                        self.resume_client(key);
                    }
                }
            }
            if !self.connections.has_events() && !self.connections.has_to_write() {
                return;
            }
            self.run_engine();
        }
    }

    fn write_connection(&mut self, key: usize) {
        match self.connections.flush(key) {
            Ok(()) => {
                if self.connections.clients().may_resume(key) && !self.at_capacity {
                    self.resume_client(key);
                }
            }
            Err(ended) => match source_of(key) {
                Source::Node => self.connections.close_upstream(index_of(key), &CloseReason::from(ended)),
                Source::ListService => self.connections.on_list_connection_lost(&ended),
                _ => self.on_client_disconnect(key, &ended),
            },
        }
    }

    /// Ends an attempt; the outcome of an attempt that has already ended is ignored.
    fn on_outcome(&mut self, request_id: u64, attempt: u32, outcome: Outcome, details: OutcomeDetails<'_>) {
        let Some(sent_at) = self.connections.end_attempt(request_id, attempt, outcome) else { return };
        let OutcomeDetails { used, remote_units, payload } = details;
        let request_finished = outcome == Outcome::Succeeded;
        if request_finished {
            self.connections.succeed(request_id, payload);
        }
        let now = self.connections.now();
        let answer =
            Answer { outcome, latency: now - sent_at, request_finished, volume_usage: used, remote_units };
        self.engine.on_outcome(now, request_id, answer, &mut self.connections);
        if outcome == Outcome::ShardMoved {
            self.reroute_request(request_id);
        }
        self.connections.offer_for_coalescing(request_id);
        self.connections.release(request_id);
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.connections.next_due_timer() {
            match timer {
                Timer::AttemptTimeout { request_id, attempt } => self.on_attempt_timeout(request_id, attempt),
                Timer::Connect { upstream, connect_attempt } => {
                    self.connections.on_connect_timeout(upstream, connect_attempt);
                }
                Timer::PartialFrame { client, serial } => self.on_partial_frame_timeout(client, serial),
                Timer::ResumeAccept => self.listener.resume(&mut self.connections),
                Timer::ReconnectList => self.connections.watch_endpoints(),
                Timer::Reroute => self.reroute(),
                Timer::OverlapTimeout { request_id } => self.on_overlap_timeout(request_id),
                Timer::OverlapRelease { request_id } => self.connections.release_overlap_lock(request_id),
            }
        }
    }

    fn on_attempt_timeout(&mut self, request_id: u64, attempt: u32) {
        if self.connections.is_in_flight(request_id, attempt) {
            self.connections.send_cancel(request_id, attempt);
            self.on_outcome(request_id, attempt, Outcome::TimedOut, OutcomeDetails::default());
        }
    }

    fn on_gossip_readable(&mut self) {
        let mut datagrams = 0;
        while let Some((from, reports)) = self.connections.receive_gossip(&mut datagrams) {
            self.engine.on_gossip(self.connections.now(), from, &reports);
        }
    }

    fn on_shutdown_signal(&mut self) {
        self.shutdown.on_signal();
        if self.shutdown.is_requested() && self.listener.close(&mut self.connections) {
            tracing::info!(pending = self.engine.pending(), "graceful_shutdown_started");
        }
    }
}
