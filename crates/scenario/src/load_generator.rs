//! Clients as an open loop: requests are sent when they are due whatever becomes of the earlier ones, and
//! latencies count from the time at which a request was due, so that a late loop hides nothing.

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

/// How long hosts have to learn of the nodes before clients begin.
const SETTLING_TIME: Ms = 300.0;

/// When and how clients send.
#[derive(Clone, Copy)]
pub struct Session {
    /// The clock of the run.
    pub clock: Clock,
    /// When clients begin.
    pub begin: Ms,
    /// When they end.
    pub end: Ms,
    /// The seed of what they draw.
    pub seed: u64,
    /// Whether events are recorded, for an audit.
    pub record: bool,
    /// A defect between clients and hosts.
    pub defect: Option<SeededDefect>,
    /// In place of the traffic's rate: so many requests are always in flight.
    pub in_flight: Option<usize>,
}

impl Session {
    /// Traffic at its rate for a time that begins shortly.
    pub fn open_loop(clock: Clock, duration: Ms, seed: u64) -> Session {
        let begin = clock.now() + SETTLING_TIME;
        let end = begin + duration;
        Session { clock, begin, end, seed, record: false, defect: None, in_flight: None }
    }
}

/// What clients did and saw over a session.
pub struct ClientReport {
    /// Counts and latencies.
    pub statistics: ClientStatistics,
    /// The longest delay of the clients' own event loop.
    pub longest_delay: Ms,
    /// All events by time, where they were recorded.
    pub events: Vec<(Ms, ClientEvent)>,
}

/// The clients of a run, in a thread of their own.
pub struct LoadGenerator {
    commands: Sender<Command>,
    poll: Poll,
    thread: JoinHandle<ClientReport>,
}

impl LoadGenerator {
    /// Starts the clients of a session; `hosts` are the addresses by number, `None` for one that is down.
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
        // Clients that have ended need no commands.
        _ = self.commands.send(command);
        self.poll.wake();
    }

    /// Changes where a host is reached, `None` for one that is down.
    pub fn set_host(&self, number: usize, address: Option<SocketAddr>) {
        self.command(Command::SetHost(number, address));
    }

    /// Changes the traffic of a volume to this multiple of its usual traffic.
    pub fn set_surge(&self, volume: u64, factor: f64) {
        self.command(Command::SetSurge(volume, factor));
    }

    /// Ends the traffic before its time.
    pub fn stop(&self) {
        self.command(Command::Stop);
    }

    /// Waits for the end of the traffic and of all requests.
    pub fn finish(self) -> Result<ClientReport, ScenarioError> {
        // What a panic said is on standard error.
        self.thread.join().map_err(|_| ScenarioError::ClientsFailed)
    }
}
