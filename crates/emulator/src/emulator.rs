//! The emulator: its event loop, its sockets and the processes of its nodes.

use crate::config::EmulatorConfig;
use crate::connections::{Connections, FIRST_CONNECTION_KEY};
use crate::data_store::StoredKey;
use crate::deduplication::DeduplicationWindow;
use crate::endpoint_list::EndpointList;
use crate::error::EmulatorError;
use crate::faults::{EmulatorDefects, NodeFaults};
use crate::map_publication::MapSnapshot;
use crate::map_service::{ExtentKey, MapService};
use crate::node::{Batch, Node};
use crate::node_event::NodeEvent;
use crate::received_attempt::{AttemptInterceptor, ReceivedAttempt};
use crate::timer_queue::TimerQueue;
use crate::Ms;
use magpiewick_node_protocol::{Frames, Hello, MapUpdate, Message, Role, AGE_LONG_RUNNING};
use magpiewick_transport::{listen, Clock, LoopDelay, Poll, PollEvents, Registered};
use nanorand::{Rng, WyRand};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::Receiver;

/// Poller key of the listener of the endpoint list service; the keys of the node listeners follow.
const LIST_KEY: usize = 0;
const FIRST_NODE_KEY: usize = 1;

/// Command that the emulator executes between two iterations of its event loop.
pub(crate) type Command = Box<dyn FnOnce(&mut Emulator) + Send>;

pub(crate) enum Timer {
    /// A node has executed a batch.
    BatchDone {
        node: usize,
        batch: Batch,
    },
    /// An attempt delayed by an interceptor is due.
    DelayedAttempt {
        node: usize,
        attempt: Box<ReceivedAttempt>,
    },
    /// A node executes its deferred work.
    DeferredWork {
        node: usize,
    },
    /// A node has completed its deferred work.
    Resume {
        node: usize,
    },
    PublishEndpoints,
    PublishMap(Box<MapUpdate>),
    MigrationStep(ExtentKey),
}

/// Events recorded by the services.
pub(crate) struct EventLog {
    clock: Clock,
    events: Vec<(Ms, NodeEvent)>,
    is_recording: bool,
}

impl EventLog {
    pub(crate) fn record(&mut self, event: NodeEvent) {
        if self.is_recording {
            self.events.push((self.clock.now(), event));
        }
    }
}

/// Emulated storage nodes and an endpoint list service.
pub struct Emulator {
    pub(crate) config: EmulatorConfig,
    clock: Clock,
    poll: Poll,
    rng: WyRand,
    pub(crate) nodes: Vec<Node>,
    /// Listeners of the nodes whose process runs.
    node_listeners: Vec<Option<Registered<TcpListener>>>,
    list_listener: Registered<TcpListener>,
    list_address: SocketAddr,
    pub(crate) endpoint_list: EndpointList,
    pub(crate) connections: Connections,
    pub(crate) timers: TimerQueue<Timer>,
    /// Number of the most recent node request.
    pub(crate) last_batch: u64,
    pub(crate) deduplication: DeduplicationWindow,
    pub(crate) map: MapService,
    pub(crate) saved_map: Option<MapSnapshot>,
    pub(crate) events: EventLog,
    pub(crate) interceptor: Option<Box<dyn AttemptInterceptor>>,
    pub(crate) defects: EmulatorDefects,
    pub(crate) now: Ms,
    delay: LoopDelay,
    is_shutting_down: bool,
}

impl Emulator {
    pub(crate) fn new(
        config: EmulatorConfig,
        clock: Clock,
        interceptor: Option<Box<dyn AttemptInterceptor>>,
    ) -> Result<Emulator, EmulatorError> {
        let poll = Poll::new().map_err(|source| EmulatorError::CreatePoller { source })?;
        let (list_listener, list_address) = bind(&poll, config.list_address, LIST_KEY)?;
        let mut emulator = Emulator {
            rng: WyRand::new_seed(config.seed),
            nodes: config.nodes.iter().cloned().map(Node::new).collect(),
            node_listeners: config.nodes.iter().map(|_| None).collect(),
            list_listener,
            list_address,
            endpoint_list: EndpointList::new(),
            connections: Connections::default(),
            timers: TimerQueue::new(),
            last_batch: 0,
            deduplication: DeduplicationWindow::new(config.deduplication_window),
            map: MapService::new(&config),
            saved_map: None,
            events: EventLog { clock, events: Vec::new(), is_recording: true },
            interceptor,
            defects: EmulatorDefects::default(),
            now: clock.now(),
            delay: LoopDelay::start(clock.now()),
            is_shutting_down: false,
            clock,
            poll,
            config,
        };
        emulator.start_nodes()?;
        Ok(emulator)
    }

    fn start_nodes(&mut self) -> Result<(), EmulatorError> {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].config.spare {
                self.start_node(node, false)?;
                self.nodes[node].is_listed = true;
            }
            if self.config.deferred_part > 0.0 {
                // The first interval is random, so that the nodes do not pause at the same time.
                let first_run_at = self.now + self.draw() * self.config.deferred_work_interval;
                self.timers.set(first_run_at, Timer::DeferredWork { node });
            }
        }
        Ok(())
    }

    pub(crate) fn poll(&self) -> Poll {
        self.poll.clone()
    }

    pub(crate) fn list_address(&self) -> SocketAddr {
        self.list_address
    }

    /// Draws a random number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn draw(&mut self) -> f64 {
        f64::from(self.rng.generate::<u32>()) / (f64::from(u32::MAX) + 1.0)
    }

    pub(crate) fn run(&mut self, inbox: &Receiver<Command>) {
        let mut poll_events = PollEvents::default();
        while !self.is_shutting_down {
            let (now, wake_at) = (self.clock.now(), self.timers.next_at());
            self.delay.on_sleep(now, wake_at.unwrap_or(f64::INFINITY));
            let wait = wake_at.map(|at| Clock::duration_until(now, at));
            if let Err(error) = self.poll.wait(&mut poll_events, wait) {
                return tracing::error!(%error, "emulator_poll_failed");
            }
            self.now = self.clock.now();
            self.delay.on_wake(self.now);
            inbox.try_iter().for_each(|command| command(self));
            while let Some(timer) = self.timers.pop_due(self.now) {
                self.on_timer(timer);
            }
            for key in std::mem::take(&mut poll_events.readable) {
                self.on_readable(key);
            }
            self.flush_connections();
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::BatchDone { node, batch } => self.finish_batch(node, batch),
            Timer::DelayedAttempt { node, attempt } => self.enqueue(node, vec![*attempt]),
            Timer::DeferredWork { node } => self.do_deferred_work(node),
            Timer::Resume { node } => self.begin_batches(node),
            Timer::PublishEndpoints => self.publish_endpoints(),
            Timer::PublishMap(update) => self.publish_map_update(&update),
            Timer::MigrationStep(key) => self.step_migration(key),
        }
    }

    fn do_deferred_work(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        let resume_at = self.now + std::mem::take(&mut target.deferred_work);
        target.paused_until = target.paused_until.max(resume_at);
        let next_run_at = self.now + self.config.deferred_work_interval;
        self.timers.set(next_run_at, Timer::DeferredWork { node });
    }

    fn flush_connections(&mut self) {
        for index in self.connections.indexes(|peer| peer.connection.pending() > 0) {
            if self.connections.open_peer(index).connection.flush().is_err() {
                self.close_connection(index);
            }
        }
    }

    /// Stops recording events, for runs without an audit.
    pub fn disable_recording(&mut self) {
        self.events.is_recording = false;
    }

    /// Returns the longest delay of the event loop.
    pub fn longest_delay(&self) -> Ms {
        self.delay.longest()
    }

    pub(crate) fn take_events(&mut self) -> Vec<(Ms, NodeEvent)> {
        std::mem::take(&mut self.events.events)
    }

    pub(crate) fn shut_down(&mut self) {
        self.is_shutting_down = true;
    }

    /// Seeds defects, to show that an audit detects them.
    pub fn seed_defects(&mut self, defects: EmulatorDefects) {
        self.map.set_fence_ignored(defects.fence_ignored);
        self.defects = defects;
    }

    /// Returns the payload that the owner of each key stores.
    pub fn stored_keys(&mut self) -> Vec<StoredKey> {
        self.map.stored_keys()
    }

    /// Returns the numbers and addresses of the running nodes.
    pub fn node_addresses(&self) -> Vec<(u32, SocketAddr)> {
        let running = self.nodes.iter().filter(|node| node.is_up);
        running.map(|node| (node.config.number, node.address)).collect()
    }

    /// Returns the index of the node with the given number.
    pub(crate) fn node_index(&self, number: u32) -> Option<usize> {
        self.nodes.iter().position(|node| node.config.number == number)
    }

    /// Changes the faults of a node, identified by its index in the settings.
    pub fn change_faults(&mut self, node: usize, change: impl FnOnce(&mut NodeFaults)) {
        change(&mut self.nodes[node].faults);
        for index in self.connections.indexes(|peer| peer.node == Some(node) && !peer.greeting_sent) {
            self.send_greeting(index);
        }
        self.begin_batches(node);
    }

    /// Starts the process of a node at its previous address; the process either warms up or counts as fully warmed
    /// up.
    pub(crate) fn start_node(&mut self, node: usize, warming_up: bool) -> Result<(), EmulatorError> {
        let incarnation = self.rng.generate::<u64>();
        let (listener, address) = bind(&self.poll, self.nodes[node].address, FIRST_NODE_KEY + node)?;
        self.nodes[node].address = address;
        self.node_listeners[node] = Some(listener);
        let target = &mut self.nodes[node];
        target.start(incarnation, warming_up.then_some(self.now));
        self.map.on_shard_restarted(target.config.shard);
        let node = target.config.number;
        self.events.record(NodeEvent::Started { node, incarnation, warming_up });
        Ok(())
    }

    /// Ends the process of a node without draining.
    pub(crate) fn stop_node(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        target.is_up = false;
        target.queue.clear();
        let (number, incarnation) = (target.config.number, target.incarnation);
        self.node_listeners[node] = None;
        for index in self.connections.indexes(|peer| peer.node == Some(node)) {
            let peer = self.connections.remove(index);
            self.events.record(NodeEvent::ConnectionClosed { node: number, host: peer.host });
            peer.connection.reset();
        }
        self.events.record(NodeEvent::Stopped { node: number, incarnation });
    }

    fn on_readable(&mut self, key: usize) {
        match key.checked_sub(FIRST_CONNECTION_KEY) {
            Some(index) => self.on_connection_readable(index),
            None => self.accept_connections(key.checked_sub(FIRST_NODE_KEY)),
        }
    }

    /// Accepts connections to a node, or to the endpoint list service if `node` is `None`.
    fn accept_connections(&mut self, node: Option<usize>) {
        loop {
            let listener = match node {
                None => Some(&self.list_listener),
                Some(node) => self.node_listeners[node].as_ref(),
            };
            let Some(Ok((stream, _))) = listener.map(|listener| listener.accept()) else { return };
            if node.is_none() && self.endpoint_list.is_down() {
                continue;
            }
            if let Ok(index) = self.connections.accept(&self.poll, stream, node) {
                self.send_greeting(index);
            }
        }
    }

    /// Sends the greeting of the service; a hung node sends its greeting after the fault ends.
    fn send_greeting(&mut self, index: usize) {
        let node = self.connections.open_peer(index).node;
        if node.is_some_and(|node| self.nodes[node].faults.hung) {
            return;
        }
        let greeting = self.greeting(node);
        self.connections.open_peer(index).greeting_sent = true;
        self.connections.send(index, &greeting);
    }

    fn greeting(&self, node: Option<usize>) -> Message<'static> {
        let greeting = match node.map(|node| &self.nodes[node]) {
            None => Hello::new(Role::EndpointList, 0, 0, AGE_LONG_RUNNING),
            Some(node) => {
                Hello::new(Role::Node, node.config.number, node.incarnation, age_us(node, self.now))
            }
        };
        Message::Hello(greeting)
    }

    fn on_connection_readable(&mut self, index: usize) {
        let Some(id) = self.connections.id(index) else { return };
        let peer = self.connections.open_peer(index);
        let mut ended = peer.connection.fill().is_err();
        let input = peer.connection.take_input();
        let mut frames = Frames::new(&input);
        while !ended {
            let Some(message) = frames.next() else { break };
            ended = !message.is_ok_and(|message| self.on_message(index, &message));
            // Handling the message may have closed the connection.
            if self.connections.get(id).is_none() {
                return;
            }
        }
        let consumed = frames.consumed();
        self.connections.open_peer(index).connection.return_input(input, consumed);
        if ended {
            self.close_connection(index);
        }
    }

    pub(crate) fn close_connection(&mut self, index: usize) {
        let peer = self.connections.remove(index);
        if let Some(node) = peer.node {
            let node = self.nodes[node].config.number;
            self.events.record(NodeEvent::ConnectionClosed { node, host: peer.host });
        }
    }

    /// Handles a message of a host or a client; returns false if the service does not accept the message.
    fn on_message(&mut self, index: usize, message: &Message<'_>) -> bool {
        let peer = self.connections.open_peer(index);
        if let Message::Hello(greeting) = message {
            peer.host = greeting.incarnation;
            return true;
        }
        let host = peer.host;
        match peer.node {
            Some(node) => self.on_node_message(index, node, host, message),
            None => self.on_list_message(index, message),
        }
    }

    fn on_list_message(&mut self, index: usize, message: &Message<'_>) -> bool {
        match *message {
            Message::WatchEndpoints { .. } => self.watch_endpoints(index),
            Message::WatchMap => self.watch_map(index),
            Message::Migrate { volume, start, shard, abort } => {
                let state = self.on_migration_request(ExtentKey { volume, start }, shard, abort);
                self.connections.send(index, &state);
            }
            _ => return false,
        }
        true
    }

    fn on_node_message(&mut self, index: usize, node: usize, host: u64, message: &Message<'_>) -> bool {
        match message {
            Message::Attempt(attempt) => self.on_attempts(index, node, std::slice::from_ref(attempt)),
            Message::Batch(parts) => self.on_attempts(index, node, parts),
            Message::Request(request) => self.on_direct_request(index, node, request),
            Message::CancelAttempt { request_id, attempt } => {
                self.on_cancel(node, host, *request_id, *attempt)
            }
            Message::HealthCheck { number } => {
                let node = &self.nodes[node];
                let (queue, busy) = (node.queue.len() as u32, node.busy());
                self.connections.send(index, &Message::HealthReport { number: *number, queue, busy });
            }
            _ => return false,
        }
        true
    }
}

/// Listens on an address; returns the listener and the bound address.
fn bind(
    poll: &Poll,
    address: SocketAddr,
    key: usize,
) -> Result<(Registered<TcpListener>, SocketAddr), EmulatorError> {
    let bind = || {
        let listener = listen(address)?;
        let bound = listener.local_addr()?;
        Ok((poll.register(listener, key)?, bound))
    };
    bind().map_err(|source| EmulatorError::Listen { address, source })
}

/// Returns the age of the process of a node, in microseconds.
pub(crate) fn age_us(node: &Node, now: Ms) -> u64 {
    let started_at = node.slow_start.started_at();
    started_at.map_or(AGE_LONG_RUNNING, |started_at| ((now - started_at).max(0.0) * 1000.0) as u64)
}
