//! The engine's environment, which owns a host's connections, requests and timers. It carries out the
//! engine's calls and converts socket events into outcomes.

use crate::client_connections::ClientConnections;
use crate::config::HostConfig;
use crate::endpoint_list::EndpointList;
use crate::gossip_socket::{GossipSocket, Reports};
use crate::list_connection::ListConnection;
use crate::memory::MemoryControl;
use crate::poll_key::{index_of, source_of, Source};
use crate::request_registry::RequestRegistry;
use crate::split_reads::{FinishedPart, SplitReads};
use crate::timer::Timer;
use crate::upstream_pool::UpstreamPool;
use magpiewick::{Ms, Outcome};
use magpiewick_coalescing::{Coalescer, OverlapLock};
use magpiewick_node_protocol::{Hello, Role, AGE_LONG_RUNNING};
use magpiewick_transport::{Clock, Connection, Poll, StreamEnd, Timers, MAX_BYTES_PER_FILL};
use std::collections::VecDeque;

mod clients;
mod engine_environment;
mod list_service;
mod memory_limits;
mod nodes;
mod requests;

/// Outcome of an attempt that has not been reported to the engine.
pub(crate) struct UnreportedOutcome {
    pub request_id: u64,
    pub attempt: u32,
    pub outcome: Outcome,
}

/// Events that occurred during a call of the engine and are handled after it.
#[derive(Default)]
struct PendingEvents {
    poll_failed: bool,
    outcomes: VecDeque<UnreportedOutcome>,
    finished_parts: VecDeque<FinishedPart>,
    /// Writes that are no longer blocked by an earlier one.
    unblocked: VecDeque<u64>,
}

impl PendingEvents {
    fn is_empty(&self) -> bool {
        let no_queue =
            self.outcomes.is_empty() && self.finished_parts.is_empty() && self.unblocked.is_empty();
        no_queue && !self.poll_failed
    }
}

/// The environment of a gateway's engine.
pub(crate) struct Connections {
    clock: Clock,
    poll: Poll,
    timers: Timers<Timer>,
    /// Time at which the engine is to run next.
    engine_wakes_at: Ms,
    /// Time of the current turn of the loop.
    now: Ms,
    events: PendingEvents,
    clients: ClientConnections,
    requests: RequestRegistry,
    split_reads: SplitReads,
    upstreams: UpstreamPool,
    list_connection: ListConnection,
    gossip: Option<GossipSocket>,
    endpoint_list: EndpointList,
    extent_map: magpiewick_extents::ExtentMapView,
    overlap_lock: OverlapLock,
    coalescer: Coalescer,
    /// Time during which an unanswered request may still take effect.
    late_effect_duration: Ms,
    connect_timeout: Ms,
    frame_timeout: Ms,
    hello: Hello,
    memory: MemoryControl,
    /// Keys of connections with data to write; may contain duplicates.
    to_write: Vec<usize>,
}

impl Connections {
    pub(crate) fn new(
        config: &HostConfig,
        poll: Poll,
        clock: Clock,
        incarnation: u64,
        gossip: Option<GossipSocket>,
    ) -> Connections {
        Connections {
            now: clock.now(),
            clock,
            poll,
            timers: Timers::default(),
            engine_wakes_at: 0.0,
            events: PendingEvents::default(),
            clients: ClientConnections::new(&config.limits),
            requests: RequestRegistry::default(),
            split_reads: SplitReads::default(),
            upstreams: UpstreamPool::default(),
            list_connection: ListConnection::new(&config.list_service, config.scheduler.seed),
            gossip,
            endpoint_list: EndpointList::default(),
            extent_map: magpiewick_extents::ExtentMapView::default(),
            overlap_lock: OverlapLock::default(),
            coalescer: Coalescer::new(config.coalescing.clone()),
            late_effect_duration: config.scheduler.ordering_quiet_period + config.scheduler.action_interval,
            connect_timeout: config.limits.connect_timeout,
            frame_timeout: config.limits.partial_frame_timeout,
            hello: Hello::new(Role::Host, config.number, incarnation, AGE_LONG_RUNNING),
            memory: MemoryControl::new(config.limits.memory_limit, config.limits.max_clients),
            to_write: Vec::new(),
        }
    }

    /// Returns the time of the current turn of the loop.
    pub(crate) fn now(&self) -> Ms {
        self.now
    }

    /// Returns the current time of the clock, which may be later than the time of the turn.
    pub(crate) fn clock_now(&self) -> Ms {
        self.clock.now()
    }

    /// Updates the time of the turn to the current time.
    pub(crate) fn update_now(&mut self) {
        self.now = self.clock.now();
    }

    /// Returns the time at which the next timer or run of the engine is due.
    pub(crate) fn next_due_at(&self) -> Ms {
        self.timers.next_due_at().unwrap_or(f64::INFINITY).min(self.engine_wakes_at)
    }

    /// Removes and returns the next timer that is due.
    pub(crate) fn next_due_timer(&mut self) -> Option<Timer> {
        self.timers.pop_due(self.now)
    }

    /// Returns whether events are unhandled.
    pub(crate) fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns whether the endpoint list could not be polled, and clears this event.
    pub(crate) fn take_poll_failed(&mut self) -> bool {
        std::mem::take(&mut self.events.poll_failed)
    }

    pub(crate) fn next_outcome(&mut self) -> Option<UnreportedOutcome> {
        self.events.outcomes.pop_front()
    }

    pub(crate) fn next_finished_part(&mut self) -> Option<FinishedPart> {
        self.events.finished_parts.pop_front()
    }

    pub(crate) fn next_unblocked_write(&mut self) -> Option<u64> {
        self.events.unblocked.pop_front()
    }

    /// Records that a connection has data to write.
    pub(crate) fn note_to_write(&mut self, key: usize) {
        self.note_memory(key);
        self.to_write.push(key);
    }

    pub(crate) fn has_to_write(&self) -> bool {
        !self.to_write.is_empty()
    }

    /// Removes and returns the keys of the connections with data to write, each once.
    pub(crate) fn take_to_write(&mut self) -> Vec<usize> {
        let mut keys = std::mem::take(&mut self.to_write);
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    fn connection_mut(&mut self, key: usize) -> Option<&mut Connection> {
        match source_of(key) {
            Source::Client => self.clients.connection_mut(key),
            Source::Node => self.upstreams.connection_mut(index_of(key)),
            Source::ListService => self.list_connection.connection_mut(),
            Source::Listener | Source::ShutdownSignal | Source::Gossip => None,
        }
    }

    /// Reads the available bytes of a connection; returns all unconsumed bytes, and the reason where the
    /// connection has ended. Returns none where the connection waits for memory or is closed.
    pub(crate) fn read(&mut self, key: usize) -> Option<(Vec<u8>, Option<StreamEnd>)> {
        self.read_up_to(key, MAX_BYTES_PER_FILL)
    }

    /// Reads at most `max_bytes` of a connection, like [`Connections::read`].
    pub(crate) fn read_up_to(
        &mut self,
        key: usize,
        max_bytes: usize,
    ) -> Option<(Vec<u8>, Option<StreamEnd>)> {
        let max = self.memory.read_limit(key, self.requests.payload_bytes(), max_bytes);
        if max == 0 {
            self.wait_for_memory(key);
            return None;
        }
        let connection = self.connection_mut(key)?;
        let stream_end = connection.fill_up_to(max).err();
        Some((connection.take_input(), stream_end))
    }

    /// Removes and returns the bytes that were read before and not consumed.
    pub(crate) fn take_unconsumed(&mut self, key: usize) -> Option<Vec<u8>> {
        self.connection_mut(key).map(Connection::take_input)
    }

    /// Returns unconsumed bytes to the connection; drops the first `consumed` bytes.
    pub(crate) fn return_input(&mut self, key: usize, input: Vec<u8>, consumed: usize) {
        if let Some(connection) = self.connection_mut(key) {
            connection.return_input(input, consumed);
        }
        if consumed > 0 {
            self.memory.stop_waiting(key);
        }
        self.note_memory(key);
    }

    /// Writes as many bytes as the kernel accepts, and pauses a client that does not read its answers.
    pub(crate) fn flush(&mut self, key: usize) -> Result<(), StreamEnd> {
        let Some(connection) = self.connection_mut(key) else { return Ok(()) };
        connection.flush()?;
        self.note_memory(key);
        self.clients.note_written(self.now, key);
        self.clients.pause_if_slow(self.now, key)?;
        if self.clients.is_paused(key) {
            self.memory.stop_waiting(key);
        }
        Ok(())
    }

    /// Returns the next message from another host; `datagrams` counts those read in this turn.
    pub(crate) fn receive_gossip(&mut self, datagrams: &mut usize) -> Option<(usize, Reports)> {
        self.gossip.as_mut()?.receive(datagrams)
    }
}
