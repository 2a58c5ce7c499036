//! The operators' platform as a settings of magpiewick: one host, config by its environment and a JSON file, that speaks
//! HTTP/1.1 with clients, nodes and discovery. One poll loop on one thread drives the engine; what only sockets ask
//! is decided in small modules without I/O.

mod attempt_end;
mod client_connection;
mod client_policy;
mod config;
mod discovery_log;
mod endpoint_discovery;
mod endpoint_list;
mod graceful_shutdown;
mod host;
mod idle_pool;
mod incoming_request;
mod log_limit;
mod memory_limit;
mod reload;
mod request_log;
mod upstream_connection;
mod wall_clock;

use attempt_end::AttemptEnd;
use config::HostConfig;
use discovery_log::CallError;
use host::{Connection, Host, Timer, FIRST_CONNECTION_KEY};
use magpiewick::{EndpointUpdate, Failure, Ms, Validity};
use magpiewick_engine::{Engine, StallDetector};
use magpiewick_transport::{accept_error, AcceptError, Clock, Poll, Registered, Woken};
use reload::Reload;
use request_log::{ClientCloseReason, UpstreamCloseReason};
use serde_json::Value;
use std::io::{self, Read};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use wall_clock::WallClock;

const LISTENER_KEY: usize = 0;
const SIGTERM_KEY: usize = 1;
const SIGHUP_KEY: usize = 2;
/// The loop never sleeps longer: what came while the process stood still is config from what just came by it.
const MAX_POLL_WAIT_MS: Ms = 25.0;
/// Connections accepted a turn, and rest for the listener when there is no descriptor left.
const ACCEPTS_PER_TURN: usize = 64;
/// So often that many are accepted when the host closes: the kernel holds no more than some hundreds.
const MAX_ACCEPT_TURNS_AT_CLOSE: usize = 64;
const ACCEPT_PAUSE_MS: Ms = 50.0;
/// What a connection seldom holds: below it all of them together need no activity.
const MEMORY_CHECK_BYTES: usize = 32 << 10;
/// How often the counters are config.
const METRICS_INTERVAL_MS: Ms = 5000.0;
/// A host that remembers no list and that discovery does not answer is ready after this time all the same.
const READY_WITHOUT_LIST_MS: Ms = 1500.0;

/// Why the platform's settings does not open: what the environment or the file has wrong, or the system refused.
#[derive(Debug)]
pub enum Error {
    Config(String),
    System(io::Error),
}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Error {
        Error::System(e)
    }
}

struct EventLoop {
    engine: Engine,
    host: Host,
    stall_detector: StallDetector,
    listener: Option<Registered<TcpListener>>,
    accept_resumes_at: Ms,
    term: Registered<UnixStream>,
    sighup: Registered<UnixStream>,
    path: PathBuf,
    /// What the file says that only a start takes in.
    fixed: Value,
    reload: Reload,
    /// What the list was worth when it was last looked at.
    validity: Validity,
    ready_at: Ms,
    last_request_id: u64,
    next_metrics_at: Ms,
}

fn signal(poll: &Poll, number: i32, key: usize) -> io::Result<Registered<UnixStream>> {
    let (from, to) = UnixStream::pair()?;
    from.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(number, to)?;
    poll.register(from, key)
}

/// Runs a host until it has ended in order.
pub fn run() -> Result<(), Error> {
    let path = config::path().map_err(Error::Config)?;
    let config = config::read(&path).map_err(Error::Config)?;
    EventLoop::new(config, &path)?.serve()?;
    Ok(())
}

impl EventLoop {
    fn new(config: HostConfig, path: &Path) -> io::Result<EventLoop> {
        let (poll, clock) = (Poll::new()?, Clock::start());
        let now = clock.now();
        let wall_clock = WallClock::new(unix_time(), now);
        let term = signal(&poll, signal_hook::consts::SIGTERM, SIGTERM_KEY)?;
        let sighup = signal(&poll, signal_hook::consts::SIGHUP, SIGHUP_KEY)?;
        let listener = poll.register(magpiewick_transport::listen(config.listen)?, LISTENER_KEY)?;
        let (round, pushed) = (config.start.round, config.pushed());
        tracing::info!(name = config.name, listen = %config.listen, discovery = %config.discovery, "host_started");
        let seed = config.start.seed;
        let host = Host::new(poll, clock, wall_clock, &config);
        let mut platform = EventLoop {
            engine: Engine::new(config.start, now),
            host,
            stall_detector: StallDetector::new(now, round),
            listener: Some(listener),
            accept_resumes_at: now,
            term,
            sighup,
            path: path.to_path_buf(),
            fixed: config.fixed,
            reload: Reload::new(seed),
            validity: Validity::Valid,
            ready_at: now + READY_WITHOUT_LIST_MS,
            last_request_id: 0,
            next_metrics_at: now + METRICS_INTERVAL_MS,
        };
        if let Some(known) = config.known {
            let entries = platform.host.listed(&known, unix_time());
            platform.engine.on_endpoint_update(now, EndpointUpdate::Restored, &entries);
            // Clients wait for a host that has come back, a quarter of a second for discovery's answer alone, and the
            // module knows that what is remembered may be old. Where endpoint_lists_applied are pushed, what the agent has counts as
            // config from the first moment, so that its answer is waited for.
            if !entries.is_empty() && !pushed {
                platform.ready_at = now;
            }
        }
        Ok(platform)
    }

    fn serve(&mut self) -> io::Result<()> {
        let mut woken = Woken::default();
        loop {
            self.run_engine();
            if self.ended() {
                tracing::info!(metrics = ?self.host.counts, "host_stopped");
                return Ok(());
            }
            let now = self.host.clock.now();
            let sleep = (self.wake_at() - now).clamp(0.0, MAX_POLL_WAIT_MS);
            self.stall_detector.sleeps(now, sleep);
            self.host.poll.wait(&mut woken, Some(Clock::until(now, now + sleep)))?;
            self.host.now = self.host.clock.now();
            self.stall_detector.woke(self.host.now);
            self.host.age = self.stall_detector.age();
            // Before anything is sent: the process may have stood still for long.
            self.update_list_validity();
            self.dispatch_readable(&woken.readable);
            for key in woken.writable.drain(..) {
                if let Some(key) = key.checked_sub(FIRST_CONNECTION_KEY) {
                    self.writable(key);
                }
            }
            self.timed();
        }
    }

    /// Reads whatever can be read: what discovery tells comes first, then which clients have left or ask for something,
    /// so that nothing is decided on old news, and nothing is written for a client whose end was there to be seen.
    fn dispatch_readable(&mut self, readable: &[usize]) {
        let order = |key: &usize| match key
            .checked_sub(FIRST_CONNECTION_KEY)
            .and_then(|key| self.host.connections.get(key))
        {
            Some(Connection::Discovery(_)) => 0,
            Some(Connection::Client(_)) => 1,
            Some(Connection::Upstream(_)) => 2,
            None => 3,
        };
        let mut keys = readable.to_vec();
        keys.sort_by_key(order);
        for key in keys {
            match key {
                LISTENER_KEY => _ = self.accept(),
                SIGTERM_KEY => self.begin_shutdown(),
                SIGHUP_KEY => {
                    drain_signal(&mut self.sighup);
                    self.on_reload_signal();
                }
                key => {
                    self.readable(key - FIRST_CONNECTION_KEY);
                    self.enforce_memory_limit(key - FIRST_CONNECTION_KEY);
                }
            }
        }
    }

    /// A second request to end changes nothing: whoever would not wait has SIGKILL, and an end at once would take
    /// answers away that are owed.
    fn begin_shutdown(&mut self) {
        if drain_signal(&mut self.term) {
            self.host.shutdown.asked(self.host.now);
            tracing::info!(requests_pending = self.engine.pending(), "shutdown_requested");
        }
    }

    /// Keeps what waits in memory within its bound, where a connection that was just read holds more than usual.
    fn enforce_memory_limit(&mut self, key: usize) {
        if self.host.held(key) < MEMORY_CHECK_BYTES || self.host.connections_over_memory_limit().is_empty() {
            return;
        }
        // What was queued in this turn has not been offered to its client yet.
        self.flush_queued();
        for key in self.host.connections_over_memory_limit() {
            self.host.counts.closed_over_memory += 1;
            match self.host.connections.get(key) {
                Some(Connection::Client(_)) => self.close_client(key, ClientCloseReason::OverMemory),
                Some(Connection::Upstream(_)) => self.host.fail_upstream(key, AttemptEnd::MalformedResponse),
                Some(Connection::Discovery(_)) => self.fail_call(key, CallError::TooLarge, Failure::Unusable),
                None => {}
            }
        }
    }

    fn wake_at(&self) -> Ms {
        let host = &self.host;
        let closes = host.shutdown.closes_at().filter(|_| self.listener.is_some());
        let over = host.shutdown.over_at().filter(|_| !host.requests.is_empty());
        // Past it a client that does not read its answer is waited for, as by its own timer.
        let out = host.shutdown.out_at().filter(|at| *at > host.now);
        let list = Some(host.endpoint_client.wakes_at(host.now));
        let retry = self.reload.retry_at();
        let times = [host.timers.next_at(), list, retry, Some(self.next_metrics_at), closes, over, out];
        let listens = self
            .listener
            .as_ref()
            .filter(|_| self.accept_resumes_at > host.now)
            .map(|_| self.accept_resumes_at);
        times.into_iter().flatten().chain(listens).fold(host.wake_at, f64::min)
    }

    /// Whether the host has closed and nothing is owed any more. Clients that were sent away are heard out as long as
    /// there is time: the end of the process would break their connections, and take with it what they have not read.
    fn ended(&self) -> bool {
        let (host, shutdown) = (&self.host, &self.host.shutdown);
        if self.listener.is_some() || !shutdown.closed(host.now) || !host.requests.is_empty() {
            return false;
        }
        let out = shutdown.out_at().is_some_and(|at| host.now >= at);
        host.connections.iter().all(|(_, peer)| match peer {
            Connection::Client(client) => out && !client.busy(),
            _ => true,
        })
    }

    /// Stops to accept, and sends away all clients that are owed nothing.
    fn close(&mut self) {
        // Those that the kernel has accepted for this host already are its own.
        for _ in 0..MAX_ACCEPT_TURNS_AT_CLOSE {
            if self.accept() {
                break;
            }
        }
        self.listener = None;
        for key in self.clients_not_closing() {
            // What has come by now is still taken; nothing is after that.
            self.read_client(key);
            let Some(client) = self.host.client(key).filter(|client| !client.closing) else { continue };
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
        let now = self.host.now;
        let out: Vec<(u64, u32)> =
            self.host.requests.iter().filter_map(|(id, open)| Some((*id, open.out?.0))).collect();
        out.into_iter().for_each(|(request_id, attempt)| {
            self.host.end_attempt_early(request_id, attempt, AttemptEnd::TimedOut)
        });
        self.run_engine();
        let mut held: Vec<u64> = self.host.requests.keys().copied().collect();
        held.sort_unstable();
        held.into_iter().for_each(|request_id| self.engine.finish(now, request_id, &mut self.host));
    }

    /// Tells the engine what is owed to it and does what it wants, until nothing is left to do now.
    fn run_engine(&mut self) {
        self.run_endpoint_client();
        loop {
            self.close_disconnected_clients();
            for (request_id, answer) in std::mem::take(&mut self.host.owed) {
                self.engine.on_outcome(self.host.now, request_id, answer, &mut self.host);
                self.host.release(request_id);
            }
            self.engine.run(self.host.now, &mut self.host);
            self.flush_queued();
            let host = &self.host;
            if host.owed.is_empty() && host.again.is_empty() && host.gone.is_empty() {
                return;
            }
        }
    }

    /// Writes the answers that were queued, and takes what their clients sent behind.
    fn flush_queued(&mut self) {
        for key in std::mem::take(&mut self.host.again) {
            self.flush_client(key);
        }
    }

    /// Accepts some of those that wait; whether none is left.
    fn accept(&mut self) -> bool {
        for _ in 0..ACCEPTS_PER_TURN {
            let Some(listener) = &mut self.listener else { return true };
            match listener.accept() {
                Ok((stream, _)) => self.host.accept(stream),
                Err(error) => match accept_error(&error) {
                    AcceptError::Empty => return true,
                    AcceptError::Next => {}
                    // A newcomer takes the place of one that waits for nothing.
                    AcceptError::OutOfDescriptors if self.host.evict_client(|_| true) => {}
                    // Nobody gives way, or that would not help: without a rest the loop would spin.
                    AcceptError::OutOfDescriptors | AcceptError::Short => {
                        self.pause_accepting(&error);
                        return true;
                    }
                },
            }
        }
        false
    }

    fn pause_accepting(&mut self, error: &io::Error) {
        self.accept_resumes_at = self.host.now + ACCEPT_PAUSE_MS;
        self.host.request_log.accept_failed(self.host.now, error);
        if let Some(listener) = &mut self.listener {
            _ = listener.watch(false, false);
        }
    }

    fn timed(&mut self) {
        let now = self.host.now;
        while let Some(timed) = self.host.timers.due(now) {
            match timed {
                Timer::Dial(key, serial) => self.host.on_connect_timeout(key, serial),
                Timer::Answer(key, serial) => self.host.on_response_stall(key, serial),
                Timer::Attempt(request_id, attempt) => {
                    self.host.end_attempt_early(request_id, attempt, AttemptEnd::TimedOut)
                }
                Timer::Client(key, serial) => self.on_client_timeout(key, serial),
                Timer::Unread(key, serial) => self.unread(key, serial),
            }
        }
        if self.reload.is_due(now) {
            self.reload_config();
        }
        for key in self.host.pool.retired(now) {
            self.host.close_upstream(key, UpstreamCloseReason::Retired);
        }
        if now >= self.accept_resumes_at {
            if let Some(listener) = &mut self.listener {
                _ = listener.watch(true, false);
            }
        }
        if self.host.shutdown.closed(now) && self.listener.is_some() {
            self.close();
        }
        if self.host.shutdown.over_at().is_some_and(|at| now >= at) && !self.host.requests.is_empty() {
            self.finish();
        }
        if now >= self.next_metrics_at {
            self.next_metrics_at = now + METRICS_INTERVAL_MS;
            self.log_metrics();
        }
    }

    fn log_metrics(&self) {
        let (host, client) = (&self.host, &self.host.endpoint_client);
        tracing::info!(
            requests_pending = host.requests.len(), client_connections = host.clients, connections = host.connections.len(),
            endpoints = host.nodes.len(), metrics = ?host.counts, "metrics_reported"
        );
        tracing::info!(
            address = %host.discovery, generation = client.generation(), validity = ?self.validity,
            age_ms = client.age(host.now).round(),
            next_poll_in_ms = (client.next_call_at() - host.now).round(),
            polls_in_flight = client.calls_out(), former_polls_in_flight = client.former_calls_out(),
            metrics = ?host.discovery_log.counts, "discovery_metrics_reported"
        );
        tracing::info!(metrics = ?host.request_log.counts, "request_metrics_reported");
    }

    fn writable(&mut self, key: usize) {
        match self.host.connections.get_mut(key) {
            Some(Connection::Client(_)) => self.flush_client(key),
            Some(Connection::Upstream(_)) => self.host.flush_upstream(key),
            Some(Connection::Discovery(_)) => self.flush_call(key),
            None => {}
        }
    }

    fn readable(&mut self, key: usize) {
        match self.host.connections.get(key) {
            Some(Connection::Client(_)) => self.read_client(key),
            Some(Connection::Upstream(_)) => self.host.read_upstream(key),
            Some(Connection::Discovery(_)) => self.read_call(key),
            None => {}
        }
    }

    fn ready(&self) -> bool {
        self.host.now >= self.ready_at && !self.host.shutdown.goes()
    }
}

/// The wall clock's Unix time in milliseconds.
fn unix_time() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

/// Takes what a signal left; whether one came.
fn drain_signal(from: &mut Registered<UnixStream>) -> bool {
    let mut marks = [0; 64];
    let mut any = false;
    while matches!(from.read(&mut marks), Ok(n) if n > 0) {
        any = true;
    }
    any
}
