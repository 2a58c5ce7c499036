//! Clients as an open loop: requests are sent when due, independently of earlier requests, unless the session fixes
//! the number of requests in flight. Latencies are counted from the time at which a request was due, so that they
//! include a delay of the event loop.

use crate::client_event::ClientEvent;
use crate::client_loop::{ClientLoop, Command};
use crate::client_statistics::ClientStatistics;
use crate::config::ScenarioConfig;
use crate::error::ScenarioError;
use crate::seeded_defect::SeededDefect;
use crate::Ms;
use magpiewick_gateway::config::HostConfig;
use magpiewick_transport::{Clock, Poll};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::thread::JoinHandle;

/// Time in which hosts receive the endpoint list before clients begin.
const SETTLING_TIME: Ms = 300.0;

/// Time, seed and options of the traffic of clients.
#[derive(Clone, Copy)]
pub struct Session {
    /// Clock of the run.
    pub clock: Clock,
    /// Time at which clients begin to send.
    pub begin: Ms,
    /// Time at which clients stop sending.
    pub end: Ms,
    /// Seed of the clients' random numbers.
    pub seed: u64,
    /// Set if events are recorded for an audit.
    pub record: bool,
    /// Seeded defect between clients and hosts.
    pub defect: Option<SeededDefect>,
    /// Number of requests that are always in flight, in place of the rate of the traffic.
    pub in_flight: Option<usize>,
}

impl Session {
    /// Returns an open-loop session that begins after the settling time and has the given duration.
    pub fn open_loop(clock: Clock, duration: Ms, seed: u64) -> Session {
        let begin = clock.now() + SETTLING_TIME;
        let end = begin + duration;
        Session { clock, begin, end, seed, record: false, defect: None, in_flight: None }
    }
}

/// Statistics and events of the clients of a session.
pub struct ClientReport {
    /// Request counts and latencies.
    pub statistics: ClientStatistics,
    /// Longest delay of the clients' event loop.
    pub longest_delay: Ms,
    /// All events by time, if recorded.
    pub events: Vec<(Ms, ClientEvent)>,
}

/// Clients of a run, in a separate thread.
pub struct LoadGenerator {
    commands: Sender<Command>,
    poll: Poll,
    thread: JoinHandle<ClientReport>,
}

impl LoadGenerator {
    /// Starts the clients of a session; `hosts` are the addresses by number, `None` for a host that is down.
    pub fn start(
        host: &HostConfig,
        scenario: &ScenarioConfig,
        hosts: Vec<Option<SocketAddr>>,
        session: &Session,
    ) -> Result<LoadGenerator, ScenarioError> {
        let (commands, inbox) = channel();
        let start_error = |source| ScenarioError::StartClients { source };
        let poll = Poll::new().map_err(start_error)?;
        let mut client_loop = ClientLoop::new(host, scenario, hosts, session, poll.clone());
        let thread = std::thread::Builder::new().name("clients".to_string());
        let thread = thread.spawn(move || {
            client_loop.run(&inbox);
            client_loop.into_report()
        });
        let thread = thread.map_err(start_error)?;
        Ok(LoadGenerator { commands, poll, thread })
    }

    fn command(&self, command: Command) {
        // Sending fails if the clients have ended; they need no more commands.
        _ = self.commands.send(command);
        self.poll.wake();
    }

    /// Sets the address of a host; `None` for a host that is down.
    pub fn set_host(&self, number: usize, address: Option<SocketAddr>) {
        self.command(Command::SetHost(number, address));
    }

    /// Sets the traffic of a volume to a multiple of its usual traffic.
    pub fn set_surge(&self, volume: u64, factor: f64) {
        self.command(Command::SetSurge(volume, factor));
    }

    /// Ends the traffic early.
    pub fn stop(&self) {
        self.command(Command::Stop);
    }

    /// Waits for the end of the traffic and of all requests, and returns the report.
    pub fn finish(self) -> Result<ClientReport, ScenarioError> {
        // A panic has already been reported on standard error.
        self.thread.join().map_err(|_| ScenarioError::ClientsFailed)
    }
}
