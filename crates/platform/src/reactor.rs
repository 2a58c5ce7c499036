//! Poller, clock, timers and keys of all connections.

use magpiewick::Ms;
use magpiewick_engine::StallDetector;
use magpiewick_transport::{Clock, LoopDelay, Poll, PollEvents, Stream, Timers};
use slab::Slab;
use std::io;

/// Keys below this one are reserved for the listener and the signals.
const FIRST_CONNECTION_KEY: usize = 8;
/// Limit of a wait for events. A longer gap shows that the process was stalled, and thereby distinguishes input that
/// arrived during the stall from fresh input.
const MAX_POLL_WAIT_MS: Ms = 25.0;

/// Key that identifies a connection while the connection is open; keys are reused.
pub(crate) type ConnectionKey = usize;

/// Kind of the connection that a key identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionKind {
    /// Connection to the discovery service.
    Discovery,
    /// Connection opened by a client.
    Client,
    /// Connection to an endpoint.
    Upstream,
}

/// Timer. Timers of connections carry the connection's serial number, because keys are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Deadline to establish a connection to an endpoint.
    UpstreamConnect(ConnectionKey, u64),
    /// Deadline for progress of a partial response.
    ResponseStall(ConnectionKey, u64),
    /// Deadline for the complete response to an attempt.
    AttemptTimeout(u64, u32),
    /// Deadline for progress of a client.
    ClientTimeout(ConnectionKey, u64),
    /// Check whether a client whose input is not read has disconnected.
    DisconnectCheck(ConnectionKey, u64),
}

/// Source of an event reported by the poller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// Source registered under a fixed key: the listener or a signal.
    Fixed(usize),
    /// Connection with this key.
    Connection(ConnectionKey),
}

impl From<usize> for Source {
    fn from(poll_key: usize) -> Source {
        match poll_key.checked_sub(FIRST_CONNECTION_KEY) {
            Some(key) => Source::Connection(key),
            None => Source::Fixed(poll_key),
        }
    }
}

/// Poller of a host, with the time of the current iteration of the event loop, the timers and the connection keys.
pub(crate) struct Reactor {
    poll: Poll,
    clock: Clock,
    now: Ms,
    input_age: Ms,
    stall_detector: StallDetector,
    delay: LoopDelay,
    timers: Timers<Timer>,
    connections: Slab<ConnectionKind>,
    last_serial: u64,
}

impl Reactor {
    /// Creates a reactor. `action_interval`: action interval of the scheduler; a longer delay of the event loop counts
    /// as a stall of the process.
    pub(crate) fn new(poll: Poll, clock: Clock, action_interval: Ms) -> Reactor {
        let now = clock.now();
        Reactor {
            poll,
            clock,
            now,
            input_age: 0.0,
            stall_detector: StallDetector::new(now, action_interval),
            delay: LoopDelay::start(now),
            timers: Timers::default(),
            connections: Slab::new(),
            last_serial: 0,
        }
    }

    /// Returns the time at which the current iteration of the event loop began.
    pub(crate) fn now(&self) -> Ms {
        self.now
    }

    /// Returns the current time.
    pub(crate) fn read_clock(&self) -> Ms {
        self.clock.now()
    }

    /// Returns the upper bound of the age of the input in this iteration.
    pub(crate) fn input_age(&self) -> Ms {
        self.input_age
    }

    /// Waits for events until `wake_at`, and begins a new iteration. Returns the duration of the one that ends.
    pub(crate) fn wait(&mut self, poll_events: &mut PollEvents, wake_at: Ms) -> io::Result<Ms> {
        let now = self.clock.now();
        let sleep = (wake_at - now).clamp(0.0, MAX_POLL_WAIT_MS);
        self.stall_detector.on_sleep(now, sleep);
        let turn_ms = self.delay.on_sleep(now, now + sleep);
        self.poll.wait(poll_events, Some(Clock::duration_until(now, now + sleep)))?;
        self.now = self.clock.now();
        self.stall_detector.on_wake(self.now);
        self.delay.on_wake(self.now);
        self.input_age = self.stall_detector.max_request_age();
        Ok(turn_ms)
    }

    /// Returns a serial number that no other connection of this process has.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Registers a connection; `open` creates its stream under the new key.
    pub(crate) fn register(
        &mut self,
        kind: ConnectionKind,
        open: impl FnOnce(&Poll, usize) -> io::Result<Stream>,
    ) -> io::Result<(ConnectionKey, Stream)> {
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let stream = open(&self.poll, key + FIRST_CONNECTION_KEY)?;
        entry.insert(kind);
        Ok((key, stream))
    }

    /// Releases a key. The owner drops the stream.
    pub(crate) fn release(&mut self, key: ConnectionKey) {
        self.connections.try_remove(key);
    }

    /// Returns the kind of the connection that a key identifies; none where the connection is closed.
    pub(crate) fn kind(&self, key: ConnectionKey) -> Option<ConnectionKind> {
        self.connections.get(key).copied()
    }

    /// Returns the number of open connections of all kinds.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Sets a timer.
    pub(crate) fn set_timer(&mut self, at: Ms, timer: Timer) {
        self.timers.set(at, timer);
    }

    /// Returns the time at which the next timer is due.
    pub(crate) fn next_timer_at(&self) -> Option<Ms> {
        self.timers.next_due_at()
    }

    /// Removes and returns the next timer that is due.
    pub(crate) fn due_timer(&mut self) -> Option<Timer> {
        self.timers.pop_due(self.now)
    }
}
