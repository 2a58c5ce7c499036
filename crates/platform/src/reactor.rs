//! The poller, the clock, the timers and the keys of all connections.

use magpiewick::Ms;
use magpiewick_engine::StallDetector;
use magpiewick_transport::{Clock, Poll, PollEvents, Stream, Timers};
use slab::Slab;
use std::io;

/// Keys below this one belong to the listener and the signals.
const FIRST_CONNECTION_KEY: usize = 8;
/// The longest wait for events: input that arrived while the process was stalled is thereby told from fresh input.
const MAX_POLL_WAIT_MS: Ms = 25.0;

/// Names a connection for as long as it is open; keys are used again.
pub(crate) type ConnectionKey = usize;

/// Whose connection a key names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConnectionKind {
    /// A connection to the discovery service.
    Discovery,
    /// A connection that a client opened.
    Client,
    /// A connection to an endpoint.
    Upstream,
}

/// A timer. Connection timers carry the connection's serial number, as keys are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A connection to an endpoint must be established by now.
    UpstreamConnect(ConnectionKey, u64),
    /// A response that has begun must have made progress by now.
    ResponseStall(ConnectionKey, u64),
    /// The response to an attempt must be complete by now.
    AttemptTimeout(u64, u32),
    /// A client must have made progress by now.
    ClientTimeout(ConnectionKey, u64),
    /// A client whose input is not read may have disconnected.
    DisconnectCheck(ConnectionKey, u64),
}

/// What the poller reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A source that was registered under a fixed key: the listener or a signal.
    Fixed(usize),
    /// A connection.
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

/// Waits for events, keeps the time of the current turn of the event loop, and hands out connection keys.
pub(crate) struct Reactor {
    poll: Poll,
    clock: Clock,
    now: Ms,
    input_age: Ms,
    stall_detector: StallDetector,
    timers: Timers<Timer>,
    connections: Slab<ConnectionKind>,
    last_serial: u64,
}

impl Reactor {
    /// `round`: the scheduler's round, by which stalls of the process are recognised.
    pub(crate) fn new(poll: Poll, clock: Clock, round: Ms) -> Reactor {
        let now = clock.now();
        Reactor {
            poll,
            clock,
            now,
            input_age: 0.0,
            stall_detector: StallDetector::new(now, round),
            timers: Timers::default(),
            connections: Slab::new(),
            last_serial: 0,
        }
    }

    /// The time at which the current turn of the event loop began.
    pub(crate) fn now(&self) -> Ms {
        self.now
    }

    /// The time at this very moment.
    pub(crate) fn read_clock(&self) -> Ms {
        self.clock.now()
    }

    /// How old the input of this turn may be at most.
    pub(crate) fn input_age(&self) -> Ms {
        self.input_age
    }

    /// Waits for events until `wake_at`, and begins a new turn.
    pub(crate) fn wait(&mut self, poll_events: &mut PollEvents, wake_at: Ms) -> io::Result<()> {
        let now = self.clock.now();
        let sleep = (wake_at - now).clamp(0.0, MAX_POLL_WAIT_MS);
        self.stall_detector.on_sleep(now, sleep);
        self.poll.wait(poll_events, Some(Clock::duration_until(now, now + sleep)))?;
        self.now = self.clock.now();
        self.stall_detector.on_wake(self.now);
        self.input_age = self.stall_detector.max_request_age();
        Ok(())
    }

    /// A number that no other connection of this process has.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Registers a connection; its stream is made under the key that it will have.
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

    /// Gives a key back. Its stream is dropped by its owner.
    pub(crate) fn release(&mut self, key: ConnectionKey) {
        self.connections.try_remove(key);
    }

    /// Whose connection a key names; none where it is closed by now.
    pub(crate) fn kind(&self, key: ConnectionKey) -> Option<ConnectionKind> {
        self.connections.get(key).copied()
    }

    /// Open connections of all kinds.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Sets a timer.
    pub(crate) fn set_timer(&mut self, at: Ms, timer: Timer) {
        self.timers.set(at, timer);
    }

    /// When the next timer is due.
    pub(crate) fn next_timer_at(&self) -> Option<Ms> {
        self.timers.next_due_at()
    }

    /// The next timer that is due.
    pub(crate) fn due_timer(&mut self) -> Option<Timer> {
        self.timers.pop_due(self.now)
    }
}
