//! The operators' platform as a door of magpiewick: one host, told by its environment and a JSON file, that speaks
//! HTTP/1.1 with clients, nodes and discovery. One poll loop on one thread drives the engine; what only sockets ask
//! is decided in small modules without I/O.

mod ask;
mod client_connection;
mod clients;
mod config;
mod discovery;
mod discovery_calls;
mod discovery_log;
mod floor;
mod log_limit;
mod memory;
mod nodes;
mod outcome;
mod reload;
mod request_log;
mod shutdown;
mod upstream;
mod wall_clock;

use config::Told;
use discovery_log::CallFailure;
use floor::{Floor, Peer, Timed, FIRST_KEY};
use magpiewick::{EndpointUpdate, Failure, Ms, Validity};
use magpiewick_engine::{Engine, StallDetector};
use magpiewick_transport::{accept_error, AcceptError, Clock, Poll, Registered, Woken};
use outcome::Sign;
use reload::Reload;
use request_log::{Closed, UpstreamClosed};
use serde_json::Value;
use std::io::{self, Read};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use wall_clock::WallClock;

const LISTENER: usize = 0;
const TERM: usize = 1;
const HANG_UP: usize = 2;
/// The loop never sleeps longer: what came while the process stood still is told from what just came by it.
const MOST_SLEEP: Ms = 25.0;
/// Connections accepted a turn, and rest for the listener when there is no descriptor left.
const ACCEPTS: usize = 64;
/// So often that many are accepted when the host closes: the kernel holds no more than some hundreds.
const MOST_ACCEPTS_AT_CLOSE: usize = 64;
const ACCEPT_REST: Ms = 50.0;
/// What a connection seldom holds: below it all of them together need no look.
const SELDOM: usize = 32 << 10;
/// How often the counters are told.
const TELL_EVERY: Ms = 5000.0;
/// A host that remembers no list and that discovery does not answer is ready after this time all the same.
const READY_WITHOUT_LIST: Ms = 1500.0;

/// Why the platform's door does not open: what the environment or the file has wrong, or the system refused.
#[derive(Debug)]
pub enum Fault {
    Told(String),
    System(io::Error),
}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Fault {
        Fault::System(e)
    }
}

struct Platform {
    engine: Engine,
    floor: Floor,
    stall_detector: StallDetector,
    listener: Option<Registered<TcpListener>>,
    accepts_from: Ms,
    term: Registered<UnixStream>,
    hang_up: Registered<UnixStream>,
    path: PathBuf,
    /// What the file says that only a start takes in.
    fixed: Value,
    reload: Reload,
    /// What the list was worth when it was last looked at.
    validity: Validity,
    ready_at: Ms,
    next_command: u64,
    tells_at: Ms,
}

fn signal(poll: &Poll, number: i32, key: usize) -> io::Result<Registered<UnixStream>> {
    let (from, to) = UnixStream::pair()?;
    from.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(number, to)?;
    poll.register(from, key)
}

/// Runs a host until it has ended in order.
pub fn run() -> Result<(), Fault> {
    let path = config::path().map_err(Fault::Told)?;
    let told = config::read(&path).map_err(Fault::Told)?;
    Platform::new(told, &path)?.serve()?;
    Ok(())
}

impl Platform {
    fn new(told: Told, path: &Path) -> io::Result<Platform> {
        let (poll, clock) = (Poll::new()?, Clock::start());
        let now = clock.now();
        let wall_clock = WallClock::new(unix_time(), now);
        let term = signal(&poll, signal_hook::consts::SIGTERM, TERM)?;
        let hang_up = signal(&poll, signal_hook::consts::SIGHUP, HANG_UP)?;
        let listener = poll.register(magpiewick_transport::listen(told.listen)?, LISTENER)?;
        let (round, pushed) = (told.start.round, told.pushed());
        tracing::info!(name = told.name, listen = %told.listen, discovery = %told.discovery, "serves");
        let seed = told.start.seed;
        let floor = Floor::new(poll, clock, wall_clock, &told);
        let mut platform = Platform {
            engine: Engine::new(told.start, now),
            floor,
            stall_detector: StallDetector::new(now, round),
            listener: Some(listener),
            accepts_from: now,
            term,
            hang_up,
            path: path.to_path_buf(),
            fixed: told.fixed,
            reload: Reload::new(seed),
            validity: Validity::Valid,
            ready_at: now + READY_WITHOUT_LIST,
            next_command: 0,
            tells_at: now + TELL_EVERY,
        };
        if let Some(known) = told.known {
            let entries = platform.floor.listed(&known, unix_time());
            platform.engine.on_endpoint_update(now, EndpointUpdate::Restored, &entries);
            // Clients wait for a host that has come back, a quarter of a second for discovery's answer alone, and the
            // module knows that what is remembered may be old. Where lists are pushed, what the agent has counts as
            // told from the first moment, so that its answer is waited for.
            if !entries.is_empty() && !pushed {
                platform.ready_at = now;
            }
        }
        Ok(platform)
    }

    fn serve(&mut self) -> io::Result<()> {
        let mut woken = Woken::default();
        loop {
            self.settle_all();
            if self.ended() {
                tracing::info!(counts = ?self.floor.counts, "ended");
                return Ok(());
            }
            let now = self.floor.clock.now();
            let sleep = (self.wakes_at() - now).clamp(0.0, MOST_SLEEP);
            self.stall_detector.on_sleep(now, sleep);
            self.floor.poll.wait(&mut woken, Some(Clock::until(now, now + sleep)))?;
            self.floor.now = self.floor.clock.now();
            self.stall_detector.on_wake(self.floor.now);
            self.floor.age = self.stall_detector.max_request_age();
            // Before anything is sent: the process may have stood still for long.
            self.look_at_validity();
            self.read_all(&woken.readable);
            for key in woken.writable.drain(..) {
                if let Some(key) = key.checked_sub(FIRST_KEY) {
                    self.writable(key);
                }
            }
            self.timed();
        }
    }

    /// Reads whatever can be read: what discovery tells comes first, then which clients have left or ask for something,
    /// so that nothing is decided on old news, and nothing is written for a client whose end was there to be seen.
    fn read_all(&mut self, readable: &[usize]) {
        let order = |key: &usize| match key.checked_sub(FIRST_KEY).and_then(|key| self.floor.peers.get(key)) {
            Some(Peer::Call(_)) => 0,
            Some(Peer::Client(_)) => 1,
            Some(Peer::Link(_)) => 2,
            None => 3,
        };
        let mut keys = readable.to_vec();
        keys.sort_by_key(order);
        for key in keys {
            match key {
                LISTENER => _ = self.accept(),
                TERM => self.asked_to_end(),
                HANG_UP => {
                    signalled(&mut self.hang_up);
                    self.reload_announced();
                }
                key => {
                    self.readable(key - FIRST_KEY);
                    self.sheds(key - FIRST_KEY);
                }
            }
        }
    }

    /// A second request to end changes nothing: whoever would not wait has SIGKILL, and an end at once would take
    /// answers away that are owed.
    fn asked_to_end(&mut self) {
        if signalled(&mut self.term) {
            self.floor.shutdown.asked(self.floor.now);
            tracing::info!(in_hand = self.engine.pending(), "asked to end");
        }
    }

    /// Keeps what waits in memory within its bound, where a connection that was just read holds more than usual.
    fn sheds(&mut self, key: usize) {
        if self.floor.held(key) < SELDOM || self.floor.too_large().is_empty() {
            return;
        }
        // What was queued in this turn has not been offered to its client yet.
        self.flush_queued();
        for key in self.floor.too_large() {
            self.floor.counts.crowded += 1;
            match self.floor.peers.get(key) {
                Some(Peer::Client(_)) => self.end_client(key, Closed::OverMemory),
                Some(Peer::Link(_)) => self.floor.end_link(key, Sign::Spoilt),
                Some(Peer::Call(_)) => self.call_ended(key, CallFailure::TooLarge, Failure::Unusable),
                None => {}
            }
        }
    }

    fn wakes_at(&self) -> Ms {
        let floor = &self.floor;
        let closes = floor.shutdown.closes_at().filter(|_| self.listener.is_some());
        let over = floor.shutdown.over_at().filter(|_| !floor.requests.is_empty());
        // Past it a client that does not read its answer is waited for, as by its own timer.
        let out = floor.shutdown.out_at().filter(|at| *at > floor.now);
        let list = Some(floor.endpoint_client.wakes_at(floor.now));
        let retry = self.reload.retry_at();
        let times = [floor.timers.next_at(), list, retry, Some(self.tells_at), closes, over, out];
        let listens =
            self.listener.as_ref().filter(|_| self.accepts_from > floor.now).map(|_| self.accepts_from);
        times.into_iter().flatten().chain(listens).fold(floor.wakes_at, f64::min)
    }

    /// Whether the host has closed and nothing is owed any more. Clients that were sent away are heard out as long as
    /// there is time: the end of the process would break their connections, and take with it what they have not read.
    fn ended(&self) -> bool {
        let (floor, shutdown) = (&self.floor, &self.floor.shutdown);
        if self.listener.is_some() || !shutdown.closed(floor.now) || !floor.requests.is_empty() {
            return false;
        }
        let out = shutdown.out_at().is_some_and(|at| floor.now >= at);
        floor.peers.iter().all(|(_, peer)| match peer {
            Peer::Client(client) => out && !client.busy(),
            _ => true,
        })
    }

    /// Stops to accept, and sends away all clients that are owed nothing.
    fn close(&mut self) {
        // Those that the kernel has accepted for this host already are its own.
        for _ in 0..MOST_ACCEPTS_AT_CLOSE {
            if self.accept() {
                break;
            }
        }
        self.listener = None;
        for key in self.standing_clients() {
            // What has come by now is still taken; nothing is after that.
            self.read_client(key);
            let Some(client) = self.floor.client(key).filter(|client| !client.closing) else { continue };
            if client.busy() {
                self.stop_reading(key);
            } else {
                client.closing = true;
                self.flush_client(key);
            }
        }
    }

    /// All that is owed is answered now: the end by force comes next.
    fn finish(&mut self) {
        let now = self.floor.now;
        let out: Vec<(u64, u32)> =
            self.floor.requests.iter().filter_map(|(id, open)| Some((*id, open.out?.0))).collect();
        out.into_iter().for_each(|(request_id, attempt)| self.floor.give_up(request_id, attempt, Sign::Late));
        self.settle_all();
        let mut held: Vec<u64> = self.floor.requests.keys().copied().collect();
        held.sort_unstable();
        held.into_iter().for_each(|request_id| self.engine.finish(now, request_id, &mut self.floor));
    }

    /// Tells the engine what is owed to it and does what it wants, until nothing is left to do now.
    fn settle_all(&mut self) {
        self.run_list_client();
        loop {
            self.end_gone_clients();
            for (request_id, answer) in std::mem::take(&mut self.floor.owed) {
                self.engine.on_outcome(self.floor.now, request_id, answer, &mut self.floor);
                self.floor.release(request_id);
            }
            self.engine.run(self.floor.now, &mut self.floor);
            self.flush_queued();
            let floor = &self.floor;
            if floor.owed.is_empty() && floor.again.is_empty() && floor.gone.is_empty() {
                return;
            }
        }
    }

    /// Writes the answers that were queued, and takes what their clients sent behind.
    fn flush_queued(&mut self) {
        for key in std::mem::take(&mut self.floor.again) {
            self.flush_client(key);
        }
    }

    /// Accepts some of those that wait; whether none is left.
    fn accept(&mut self) -> bool {
        for _ in 0..ACCEPTS {
            let Some(listener) = &mut self.listener else { return true };
            match listener.accept() {
                Ok((stream, _)) => self.floor.accept(stream),
                Err(error) => match accept_error(&error) {
                    AcceptError::Empty => return true,
                    AcceptError::Next => {}
                    // A newcomer takes the place of one that waits for nothing.
                    AcceptError::OutOfDescriptors if self.floor.make_room(|_| true) => {}
                    // Nobody gives way, or that would not help: without a rest the loop would spin.
                    AcceptError::OutOfDescriptors | AcceptError::Short => {
                        self.rest_listener(&error);
                        return true;
                    }
                },
            }
        }
        false
    }

    fn rest_listener(&mut self, error: &io::Error) {
        self.accepts_from = self.floor.now + ACCEPT_REST;
        self.floor.request_log.accept_failed(self.floor.now, error);
        if let Some(listener) = &mut self.listener {
            _ = listener.watch(false, false);
        }
    }

    fn timed(&mut self) {
        let now = self.floor.now;
        while let Some(timed) = self.floor.timers.due(now) {
            match timed {
                Timed::Dial(key, serial) => self.floor.look_at_dial(key, serial),
                Timed::Answer(key, serial) => self.floor.look_at_answer(key, serial),
                Timed::Attempt(request_id, attempt) => self.floor.give_up(request_id, attempt, Sign::Late),
                Timed::Client(key, serial) => self.client_late(key, serial),
                Timed::Unread(key, serial) => self.unread(key, serial),
            }
        }
        if self.reload.is_due(now) {
            self.read_anew();
        }
        for key in self.floor.pool.retired(now) {
            self.floor.drop_link(key, UpstreamClosed::Retired);
        }
        if now >= self.accepts_from {
            if let Some(listener) = &mut self.listener {
                _ = listener.watch(true, false);
            }
        }
        if self.floor.shutdown.closed(now) && self.listener.is_some() {
            self.close();
        }
        if self.floor.shutdown.over_at().is_some_and(|at| now >= at) && !self.floor.requests.is_empty() {
            self.finish();
        }
        if now >= self.tells_at {
            self.tells_at = now + TELL_EVERY;
            self.tell_counters();
        }
    }

    fn tell_counters(&self) {
        let (floor, client) = (&self.floor, &self.floor.endpoint_client);
        tracing::info!(
            in_hand = floor.requests.len(), clients = floor.clients, peers = floor.peers.len(),
            nodes = floor.nodes.len(), counts = ?floor.counts, "counters"
        );
        tracing::info!(
            address = %floor.discovery, generation = client.generation(), validity = ?self.validity,
            age_ms = client.age(floor.now).round(),
            next_call_in_ms = (client.next_call_at() - floor.now).round(),
            calls_out = client.calls_out(), former_calls_out = client.former_calls_out(),
            counts = ?floor.discovery_log.counts, "discovery counters"
        );
        tracing::info!(counts = ?floor.request_log.counts, "request counters");
    }

    fn writable(&mut self, key: usize) {
        match self.floor.peers.get_mut(key) {
            Some(Peer::Client(_)) => self.flush_client(key),
            Some(Peer::Link(_)) => self.floor.flush_link(key),
            Some(Peer::Call(_)) => self.flush_call(key),
            None => {}
        }
    }

    fn readable(&mut self, key: usize) {
        match self.floor.peers.get(key) {
            Some(Peer::Client(_)) => self.read_client(key),
            Some(Peer::Link(_)) => self.floor.read_link(key),
            Some(Peer::Call(_)) => self.read_call(key),
            None => {}
        }
    }

    fn ready(&self) -> bool {
        self.floor.now >= self.ready_at && !self.floor.shutdown.goes()
    }
}

/// The wall clock's Unix time in milliseconds.
fn unix_time() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

/// Takes what a signal left; whether one came.
fn signalled(from: &mut Registered<UnixStream>) -> bool {
    let mut marks = [0; 64];
    let mut any = false;
    while matches!(from.read(&mut marks), Ok(n) if n > 0) {
        any = true;
    }
    any
}
