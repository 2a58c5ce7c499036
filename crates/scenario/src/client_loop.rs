//! Event loop of the clients.

use crate::client_defects::ClientDefects;
use crate::client_event::{ClientEvent, ClientRequest};
use crate::client_statistics::ClientStatistics;
use crate::config::{RetryBehaviour, ScenarioConfig};
use crate::host_connections::{HostConnections, ReceivedBytes};
use crate::load_generator::{ClientReport, Session};
use crate::workload::Workload;
use crate::Ms;
use magpiewick::Idempotency;
use magpiewick_gateway::config::HostConfig;
use magpiewick_node_protocol::{self as wire, FinalCode, Frames, Message};
use magpiewick_transport::{Clock, LoopDelay, Poll, PollEvents, Timers};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;

/// Number of consecutive keys that use the same connection, so that most overlapping ranges share a connection.
const KEYS_PER_STRIPE: u64 = 16;
/// Delay of ordered requests under the defect that violates their order.
const REORDERING_DELAY: Ms = 250.0;
/// Shortest remaining time in which a client still retries.
const MIN_RETRY_TIMEOUT: Ms = 50.0;
/// Longest wait of the event loop, and therefore longest delay of a command.
const MAX_POLL_WAIT: Ms = 50.0;

/// Commands to running clients.
pub(crate) enum Command {
    /// Changes the address of a host; `None` for a host that is down.
    SetHost(usize, Option<SocketAddr>),
    SetSurge(u64, f64),
    Stop,
}

/// A request in flight or waiting for its retry.
struct OpenRequest {
    request: ClientRequest,
    /// Indexes of the traffic mix and volume in the workload.
    mix: usize,
    volume: usize,
    /// Number of times that the request was sent.
    sends: u32,
    retry_behaviour: Option<RetryBehaviour>,
}

enum Timer {
    Timeout(u64),
    Retry(u64),
    DelayedWrite(u64),
}

/// Properties of a request class that clients depend on.
struct ClassTraits {
    timeout: Ms,
    /// Set if a request that may have been executed may be retried.
    idempotent: bool,
    ordered: bool,
}

pub(crate) struct ClientLoop {
    clock: Clock,
    poll: Poll,
    workload: Workload,
    classes: Vec<ClassTraits>,
    connections: HostConnections,
    in_flight: HashMap<u64, OpenRequest>,
    waiting_retries: HashMap<u64, OpenRequest>,
    timers: Timers<u64>,
    timers_by_id: HashMap<u64, Timer>,
    /// Latest number assigned to a request or a timer.
    last_number: u64,
    next_due: Ms,
    max_in_flight: Option<usize>,
    now: Ms,
    delay: LoopDelay,
    end: Ms,
    events: Option<Vec<(Ms, ClientEvent)>>,
    statistics: ClientStatistics,
    payload: Vec<u8>,
    defects: ClientDefects,
    /// Time that a client waits in addition to its timeout, so that a delay of its own thread does not count as a
    /// late answer.
    clock_tolerance: Ms,
}

impl ClientLoop {
    pub(crate) fn new(
        host: &HostConfig,
        scenario: &ScenarioConfig,
        hosts: Vec<Option<SocketAddr>>,
        session: &Session,
        poll: Poll,
    ) -> ClientLoop {
        let traffic = &scenario.traffic;
        let max_payload = traffic.mixes.iter().map(|mix| mix.payload * mix.blocks.max(1) as usize).max();
        let classes = host.scheduler.classes.iter().map(|class| ClassTraits {
            timeout: class.client_timeout,
            idempotent: class.idempotency == Idempotency::Idempotent,
            ordered: class.ordered,
        });
        ClientLoop {
            clock: session.clock,
            workload: Workload::new(host, scenario, hosts.len(), session.seed, session.defect),
            classes: classes.collect(),
            connections: HostConnections::new(poll.clone(), hosts, traffic.connections_per_host),
            poll,
            in_flight: HashMap::new(),
            waiting_retries: HashMap::new(),
            timers: Timers::default(),
            timers_by_id: HashMap::new(),
            last_number: 0,
            next_due: session.begin,
            max_in_flight: session.in_flight,
            now: session.clock.now(),
            delay: LoopDelay::start(session.clock.now()),
            end: session.end,
            events: session.record.then(Vec::new),
            statistics: ClientStatistics::default(),
            payload: vec![0; max_payload.unwrap_or(0).max(8)],
            defects: ClientDefects::new(session.defect),
            clock_tolerance: scenario.clock_tolerance,
        }
    }

    /// Runs until the session and all its requests are over.
    pub(crate) fn run(&mut self, inbox: &Receiver<Command>) {
        let mut poll_events = PollEvents::default();
        (0..self.connections.host_count()).for_each(|host| self.connections.connect(host));
        loop {
            let (now, wake_at) = (self.clock.now(), self.next_wakeup());
            self.delay.on_sleep(now, wake_at);
            let wait = Clock::duration_until(now, wake_at);
            if let Err(error) = self.poll.wait(&mut poll_events, Some(wait)) {
                return tracing::error!(%error, "client_poll_failed");
            }
            self.now = self.clock.now();
            self.delay.on_wake(self.now);
            inbox.try_iter().collect::<Vec<_>>().into_iter().for_each(|command| self.on_command(command));
            poll_events.readable.iter().for_each(|key| self.on_readable(*key));
            while let Some(id) = self.timers.pop_due(self.now) {
                let Some(timer) = self.timers_by_id.remove(&id) else { break };
                self.on_timer(timer);
            }
            self.send_due_requests();
            self.connections.flush().into_iter().for_each(|connection| self.on_connection_lost(connection));
            if self.now >= self.end && self.in_flight.is_empty() && self.waiting_retries.is_empty() {
                return;
            }
        }
    }

    /// Returns the statistics and events of the clients.
    pub(crate) fn into_report(self) -> ClientReport {
        ClientReport {
            statistics: self.statistics,
            longest_delay: self.delay.longest(),
            events: self.events.unwrap_or_default(),
        }
    }

    /// Returns whether a session with a fixed number of requests in flight has reached that number, or is over.
    fn is_saturated(&self) -> bool {
        self.max_in_flight.is_some_and(|max| self.in_flight.len() >= max || self.now >= self.end)
    }

    fn next_wakeup(&self) -> Ms {
        let timer = self.timers.next_due_at().unwrap_or(f64::INFINITY);
        let sends = self.next_due < self.end && !self.is_saturated();
        let next = if sends { timer.min(self.next_due) } else { timer };
        next.min(self.clock.now() + MAX_POLL_WAIT)
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::SetHost(number, address) => {
                self.connections.set_address(number, address);
                self.connections.of_host(number).for_each(|connection| self.on_connection_lost(connection));
                self.connections.connect(number);
            }
            Command::SetSurge(volume, factor) => self.workload.set_surge(volume, factor),
            Command::Stop => self.end = self.now,
        }
    }

    fn send_due_requests(&mut self) {
        while self.next_due < self.end && self.next_due <= self.now && !self.is_saturated() {
            let due = match self.max_in_flight {
                Some(_) => self.now,
                None => {
                    let due = self.next_due;
                    self.next_due += self.workload.draw_interarrival();
                    due
                }
            };
            let in_flight = self.in_flight.len();
            self.send_new_request(due);
            if self.in_flight.len() == in_flight {
                return;
            }
        }
    }

    fn record(&mut self, event: ClientEvent) {
        let now = self.clock.now();
        if let Some(events) = &mut self.events {
            events.push((now, event));
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn send_new_request(&mut self, due: Ms) {
        let drawn = self.workload.draw_request();
        let number = self.next_number();
        let mix = &self.workload.traffic().mixes[drawn.mix];
        let request = ClientRequest {
            number,
            idempotency_key: number,
            host: 0,
            host_number: drawn.host,
            class: mix.class,
            volume: drawn.volume_id,
            key: drawn.key,
            blocks: drawn.blocks,
            write: mix.write,
            connection: 0,
            units: drawn.units,
            timeout: self.classes[usize::from(mix.class)].timeout,
            first_due: due,
            is_retry: false,
        };
        let retry_behaviour = self.workload.draw_retry_behaviour();
        self.send(OpenRequest { request, mix: drawn.mix, volume: drawn.volume, sends: 0, retry_behaviour });
    }

    /// Returns the connection of a request. Requests for a key use the same connection to a host, so that the host
    /// receives the requests in the order sent.
    fn connection_for(&self, request: &ClientRequest) -> usize {
        let connections = self.connections.of_host(request.host_number);
        connections.start + (request.key / KEYS_PER_STRIPE) as usize % connections.len()
    }

    fn send(&mut self, mut open: OpenRequest) {
        open.sends += 1;
        let connection = self.connection_for(&open.request);
        let Some(incarnation) = self.connections.incarnation(connection) else { return };
        open.request.connection = connection;
        open.request.host = incarnation;
        let request = open.request;
        self.statistics.sent += 1;
        self.record(ClientEvent::Sent(request));
        let timeout_at = self.now + request.timeout + self.clock_tolerance;
        self.set_timer(timeout_at, Timer::Timeout(request.number));
        self.in_flight.insert(request.number, open);
        let ordered = self.classes[usize::from(request.class)].ordered;
        if self.defects.reorder && !request.is_retry && ordered && request.number.is_multiple_of(2) {
            let write_at = self.now + REORDERING_DELAY;
            return self.set_timer(write_at, Timer::DelayedWrite(request.number));
        }
        self.write(request.number);
    }

    fn write(&mut self, number: u64) {
        let Some(open) = self.in_flight.get(&number) else { return };
        let request = &open.request;
        let mix = &self.workload.traffic().mixes[open.mix];
        let size = if mix.write { mix.payload * request.blocks.max(1) as usize } else { 0 };
        // Each written block begins with the idempotency key of the request, by which the audit identifies the
        // request.
        for block in self.payload[..size].chunks_mut(mix.payload.max(1)) {
            let key_size = block.len().min(8);
            block[..key_size].copy_from_slice(&request.idempotency_key.to_le_bytes()[..key_size]);
        }
        let message = wire::ClientRequest {
            request_id: request.number,
            class: request.class,
            write: mix.write,
            volume: request.volume,
            key: request.key,
            idempotency_key: request.idempotency_key,
            units: request.units as f32,
            client_timeout_us: (request.timeout * 1000.0) as u32,
            blocks: request.blocks,
            payload: &self.payload[..size],
        };
        self.connections.queue(request.connection, &Message::Request(message));
    }

    fn set_timer(&mut self, at: Ms, timer: Timer) {
        let id = self.next_number();
        self.timers_by_id.insert(id, timer);
        self.timers.set(at, id);
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Timeout(number) => self.on_timeout(number),
            Timer::DelayedWrite(number) => self.write(number),
            Timer::Retry(number) => {
                if let Some(open) = self.waiting_retries.remove(&number) {
                    self.send(open);
                }
            }
        }
    }

    fn on_timeout(&mut self, number: u64) {
        let Some(open) = self.in_flight.remove(&number) else { return };
        self.statistics.timed_out += 1;
        self.record(ClientEvent::TimedOut { number });
        self.connections.queue(open.request.connection, &Message::CancelRequest { request_id: number });
    }

    fn on_readable(&mut self, index: usize) {
        let Some(ReceivedBytes { bytes, mut ended }) = self.connections.receive(index) else { return };
        let mut frames = Frames::new(&bytes);
        for message in frames.by_ref() {
            match message {
                Ok(Message::Hello(greeting)) => self.connections.on_greeting(index, &greeting),
                Ok(Message::FinalAnswer(answer)) => {
                    let retry_after = f64::from(answer.retry_after_us) / 1000.0;
                    self.on_answer(answer.request_id, answer.code, retry_after, answer.payload);
                }
                Ok(_) => ended = true,
                Err(_) => {
                    ended = true;
                    break;
                }
            }
        }
        let consumed = frames.consumed();
        self.connections.return_input(index, bytes, consumed);
        if ended {
            self.on_connection_lost(index);
        }
    }

    fn on_answer(&mut self, number: u64, code: FinalCode, retry_after: Ms, payload: &[u8]) {
        if self.defects.loses_answer(number) {
            return;
        }
        self.record(ClientEvent::Answered { number, code, retry_after });
        if self.defects.repeats_answer(number) {
            self.record(ClientEvent::Answered { number, code, retry_after });
        }
        let Some(open) = self.in_flight.remove(&number) else { return };
        if code == FinalCode::Succeeded && !open.request.write && self.events.is_some() {
            self.record_blocks(&open.request, payload);
        }
        self.statistics.record_answer(code, self.now - open.request.first_due);
        match open.retry_behaviour {
            Some(behaviour) => {
                // A failed request may have been executed, so only idempotent requests are retried.
                let retriable = code == FinalCode::Rejected || self.is_idempotent(&open);
                if code != FinalCode::Succeeded && retriable {
                    self.retry(open, &behaviour, retry_after);
                }
            }
            None => {
                let retriable = code == FinalCode::Rejected && retry_after > 0.0;
                if retriable && self.retries_once(&open) {
                    self.schedule_retry(open, retry_after);
                }
            }
        }
    }

    /// Records the idempotency key at the beginning of each block of a successful read.
    fn record_blocks(&mut self, request: &ClientRequest, payload: &[u8]) {
        let blocks = request.blocks.max(1);
        let size = (payload.len() / blocks as usize).max(1);
        for n in 0..u64::from(blocks) {
            let idempotency_key = payload.get(n as usize * size..).and_then(|block| block.first_chunk::<8>());
            let idempotency_key =
                idempotency_key.map_or(0, |idempotency_key| u64::from_le_bytes(*idempotency_key));
            self.record(ClientEvent::BlockRead {
                number: request.number,
                block: request.key + n,
                idempotency_key,
            });
        }
    }

    fn is_idempotent(&self, open: &OpenRequest) -> bool {
        self.classes[usize::from(open.request.class)].idempotent
    }

    /// Returns whether a client without a retry behaviour may retry a request.
    fn retries_once(&self, open: &OpenRequest) -> bool {
        self.workload.traffic().retries && !open.request.is_retry
    }

    fn retry(&mut self, open: OpenRequest, behaviour: &RetryBehaviour, retry_after: Ms) {
        if open.sends < behaviour.max_sends {
            let delay = self.workload.draw_retry_delay(behaviour, open.sends, retry_after);
            self.schedule_retry(open, delay);
        }
    }

    /// Retries a request after a delay, within the remaining client timeout.
    fn schedule_retry(&mut self, mut open: OpenRequest, delay: Ms) {
        let request = &open.request;
        let timeout = self.classes[usize::from(request.class)].timeout;
        let time_left = request.first_due + timeout - self.now - delay;
        if time_left < MIN_RETRY_TIMEOUT || self.now >= self.end {
            return;
        }
        let number = self.next_number();
        open.request = ClientRequest { number, timeout: time_left, is_retry: true, ..open.request };
        self.set_timer(self.now + delay, Timer::Retry(number));
        self.waiting_retries.insert(number, open);
    }

    /// Handles the end of a connection: clients retry its idempotent requests at another host.
    fn on_connection_lost(&mut self, index: usize) {
        if !self.connections.remove(index) {
            return;
        }
        let affected = self.in_flight.values().filter(|open| open.request.connection == index);
        let mut lost_requests: Vec<u64> = affected.map(|open| open.request.number).collect();
        lost_requests.sort_unstable();
        for number in lost_requests {
            let Some(mut open) = self.in_flight.remove(&number) else { continue };
            self.statistics.connection_lost += 1;
            self.record(ClientEvent::ConnectionLost { number });
            open.request.host_number = self.workload.next_host(open.volume, open.request.host_number);
            if !self.is_idempotent(&open) {
                continue;
            }
            match open.retry_behaviour {
                Some(behaviour) => self.retry(open, &behaviour, 0.0),
                None if self.retries_once(&open) => self.schedule_retry(open, 0.0),
                None => {}
            }
        }
    }
}
