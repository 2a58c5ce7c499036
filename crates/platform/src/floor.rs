//! What the engine's wishes come to on sockets: connections to clients, nodes and discovery, and the requests that
//! travel between them. Every decision on a request is the engine's.

use crate::client_connection::Client;
use crate::clients::Room;
use crate::config::Told;
use crate::discovery::{Line, Listing};
use crate::discovery_log::DiscoveryLog;
use crate::memory::{self, Holder};
use crate::nodes::{Numbers, Pool};
use crate::outcome::Sign;
use crate::request_log::{Named, RequestLog, UpstreamClosed};
use crate::shutdown::Shutdown;
use crate::upstream::Link;
use crate::wall_clock::WallClock;
use magpiewick::{Answer, Endpoint, EndpointClient, EndpointState, FinalStatus, Ms, Outcome};
use magpiewick_engine::{AttemptRef, Environment, Reason};
use magpiewick_exchange::{EndpointTrust, Upstream};
use magpiewick_http1::Answers;
use magpiewick_instance_settings::PlatformSettings;
use magpiewick_transport::{Clock, Poll, Stream, Timers};
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Keys below belong to the loop itself.
pub const FIRST_KEY: usize = 8;
/// Descriptors that are not for clients nor nodes: the standard ones, the poller's, signals, listener, discovery,
/// a file that is read anew.
const OWN_SOCKETS: usize = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timed {
    /// A connection to a node is to stand by now.
    Dial(usize, u64),
    /// An answer that has begun is to have gone on by now.
    Answer(usize, u64),
    /// An attempt's answer is to be there by now.
    Attempt(u64, u32),
    /// A client's connection is to have done something by now.
    Client(usize, u64),
    /// A client's connection that is not read may have ended meanwhile.
    Unread(usize, u64),
}

/// A connection to discovery.
pub struct Call {
    pub stream: Stream,
    pub answers: Answers,
    pub address: SocketAddr,
    /// The call that is out on it, when that began, and how long the service may wait for news.
    pub call: Option<u64>,
    pub began: Ms,
    pub wait: Ms,
    pub exchanges: Upstream,
}

pub enum Peer {
    Client(Client),
    Link(Link),
    Call(Call),
}

impl Peer {
    pub fn held(&self) -> usize {
        match self {
            Peer::Client(c) => c.held(),
            Peer::Link(l) => l.stream.held() + l.answers.held(),
            Peer::Call(c) => c.stream.held() + c.answers.held(),
        }
    }
}

/// A request until its answer is given and none of its attempts is out.
pub struct Open {
    pub client: Option<usize>,
    pub id: String,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    /// The attempt that is out, on which connection, and since when.
    pub out: Option<(u32, usize, Ms)>,
    pub taken_at: Ms,
    /// Attempts begun, and the node and outcome of the last one.
    pub attempts: u32,
    pub last: Option<(u32, Option<Outcome>)>,
}

/// A node as the list names it.
pub struct Node {
    pub id: String,
    pub address: Option<SocketAddr>,
    pub state: EndpointState,
    /// When it started: as the list told it, and by the loop's clock.
    told: Option<u64>,
    started: Option<Ms>,
}

/// Counters for the log.
#[derive(Debug, Default)]
pub struct Counts {
    pub taken: u64,
    pub settled: u64,
    pub bounced: u64,
    pub scrapped: u64,
    pub gone: u64,
    /// By what was wrong.
    pub refused: BTreeMap<&'static str, u64>,
    pub evicted: u64,
    /// Connections that ended because too many bytes waited.
    pub crowded: u64,
    pub sent: u64,
    pub opened: u64,
    pub lists: u64,
    pub lists_failed: u64,
    pub outcomes: BTreeMap<&'static str, u64>,
}

pub struct Floor {
    pub poll: Poll,
    pub clock: Clock,
    pub now: Ms,
    /// What came in may be that old.
    pub age: Ms,
    pub door: PlatformSettings,
    pub peers: Slab<Peer>,
    pub requests: HashMap<u64, Open>,
    pub ids: HashMap<String, u64>,
    pub nodes: BTreeMap<u32, Node>,
    numbers: Numbers,
    pub pool: Pool,
    pub timers: Timers<Timed>,
    /// Outcomes that are owed to the engine.
    pub owed: Vec<(u64, Answer)>,
    pub wakes_at: Ms,
    pub endpoint_client: EndpointClient,
    pub discovery: SocketAddr,
    /// The connection to discovery on which the last call was answered.
    pub resting_call: Option<usize>,
    pub shutdown: Shutdown,
    pub counts: Counts,
    pub discovery_log: DiscoveryLog,
    pub request_log: RequestLog,
    pub room: Room,
    /// How many bytes may wait in memory.
    pub most_held: usize,
    pub clients: usize,
    pub links: usize,
    serial: u64,
    wall_clock: WallClock,
    /// What was learned of nodes that sent more than they were asked for.
    pub trust: EndpointTrust,
    /// Clients whose answer was just queued: it is to be written, and what they sent behind it is next.
    pub again: Vec<usize>,
    /// Clients that were found gone while something was to be sent for them.
    pub gone: Vec<usize>,
}

impl Floor {
    pub fn new(poll: Poll, clock: Clock, wall_clock: WallClock, told: &Told) -> Floor {
        let (door, sockets, discovery) = (told.door.clone(), told.sockets, told.discovery);
        let longest = told.start.classes.iter().map(|b| b.client_timeout).fold(0.0, f64::max);
        let shutdown = Shutdown::new(longest);
        let now = clock.now();
        Floor {
            poll,
            clock,
            now,
            age: 0.0,
            pool: Pool::new(door.idle),
            door,
            peers: Slab::new(),
            requests: HashMap::new(),
            ids: HashMap::new(),
            nodes: BTreeMap::new(),
            numbers: Numbers::default(),
            timers: Timers::default(),
            owed: Vec::new(),
            wakes_at: 0.0,
            endpoint_client: told.endpoint_client(now),
            discovery,
            resting_call: None,
            shutdown,
            counts: Counts::default(),
            discovery_log: DiscoveryLog::default(),
            request_log: RequestLog::default(),
            room: Room::new(sockets, sockets - OWN_SOCKETS),
            most_held: memory::bound(told.memory_mb),
            clients: 0,
            links: 0,
            serial: 0,
            wall_clock,
            trust: EndpointTrust::default(),
            again: Vec::new(),
            gone: Vec::new(),
        }
    }

    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Puts a peer in its place; its stream is made under the key that it will have.
    pub fn enter(
        &mut self,
        make: impl FnOnce(&Poll, usize) -> std::io::Result<Peer>,
    ) -> std::io::Result<usize> {
        let place = self.peers.vacant_entry();
        let key = place.key();
        place.insert(make(&self.poll, key + FIRST_KEY)?);
        Ok(key)
    }

    /// The memory that a connection takes, without the request that is open on it.
    pub fn held(&self, key: usize) -> usize {
        self.peers.get(key).map_or(0, Peer::held)
    }

    /// Connections that give way, as too many bytes wait in memory.
    pub fn too_large(&self) -> Vec<usize> {
        let request_id = |id: &u64| self.requests.get(id).map_or(0, |open| open.head.len() + open.body.len());
        memory::give_way(
            self.most_held,
            self.peers.iter().map(|(key, peer)| match peer {
                Peer::Client(c) => {
                    // What it has asked, whether it is its turn or not, is owed an answer.
                    let owed = c.open.is_some() || c.has_more();
                    let kind = if owed { Holder::Owed } else { Holder::Written };
                    (kind, peer.held() + c.open.as_ref().map_or(0, request_id), key)
                }
                Peer::Link(_) | Peer::Call(_) => (Holder::Node, peer.held(), key),
            }),
        )
    }

    pub fn log_client_gone(&mut self, request_id: u64) {
        if let Some(open) = self.requests.get(&request_id) {
            let named = named(&self.nodes, open, self.now);
            self.request_log.client_gone(self.now, &named);
        }
    }

    /// Forgets a request that was answered and has nothing out.
    pub fn release(&mut self, request_id: u64) {
        let over = |open: &Open| open.client.is_none() && open.out.is_none();
        if self.requests.get(&request_id).is_some_and(over) {
            if let Some(open) = self.requests.remove(&request_id) {
                self.ids.remove(&open.id);
            }
        }
    }

    /// Passes a node's answer on to the client that asked, if it still waits.
    pub fn settle(&mut self, request_id: u64, body: &[u8]) {
        if let Some(client) = self.end_request(request_id) {
            self.counts.settled += 1;
            self.reply(client, 200, &[], body, false);
        }
    }

    /// Ends a request: the client that is now given its one final answer, if it still waits. Nothing of it begins any
    /// more: an attempt that is not written whole is taken back.
    fn end_request(&mut self, request_id: u64) -> Option<usize> {
        let client = self.requests.get_mut(&request_id)?.client.take();
        self.take_unwritten_back(request_id);
        self.release(request_id);
        client
    }

    /// Takes a listing's lines in, read at this Unix time: the module's entries of them.
    pub fn listed(&mut self, listing: &Listing, unix: f64) -> Vec<(u32, Endpoint)> {
        self.wall_clock.read(unix, self.clock.now());
        if listing.whole {
            let named: Vec<&str> = listing.lines.iter().map(|l| l.id.as_str()).collect();
            let gone = self.nodes.iter().filter(|(_, n)| !named.contains(&n.id.as_str()));
            let gone: Vec<u32> = gone.map(|(node, _)| *node).collect();
            gone.into_iter().for_each(|node| self.forget_node(node));
        }
        listing.lines.iter().filter_map(|line| self.line(line)).collect()
    }

    fn line(&mut self, line: &Line) -> Option<(u32, Endpoint)> {
        let number = match line.state {
            // Whatever was never known cannot go.
            EndpointState::Removed => self.numbers.known(&line.id)?,
            _ => self.numbers.of(self.now, &line.id),
        };
        let zone = self.door.zones.iter().position(|z| *z == line.zone).unwrap_or(self.door.zones.len());
        let before = self.nodes.get(&number);
        let started = match before.filter(|node| node.told == line.started) {
            Some(node) => node.started,
            None => line.started.map(|at| self.wall_clock.latest(at as f64, self.now)),
        };
        let entry = Endpoint { node: 0, zone, shard: line.shard, state: line.state, started_at: started };
        if line.state == EndpointState::Removed {
            self.forget_node(number);
            return Some((number, entry));
        }
        let (id, told) = (line.id.clone(), line.started);
        let node = Node { id, address: line.address, state: line.state, told, started };
        let before = self.nodes.insert(number, node);
        if line.state != EndpointState::Ready || before.is_some_and(|n| n.address != line.address) {
            self.drop_resting(number, UpstreamClosed::EndpointLeft);
        }
        if line.state != EndpointState::Ready {
            self.take_back(number);
        }
        Some((number, entry))
    }

    fn forget_node(&mut self, number: u32) {
        self.drop_resting(number, UpstreamClosed::EndpointLeft);
        self.take_back(number);
        self.trust.forget(number);
        if let Some(node) = self.nodes.remove(&number) {
            self.numbers.forget(self.now, &node.id);
        }
    }
}

/// An open request as the log names it.
pub fn named<'a>(nodes: &'a BTreeMap<u32, Node>, open: &'a Open, now: Ms) -> Named<'a> {
    let node = open.last.and_then(|(node, _)| nodes.get(&node));
    Named {
        id: &open.id,
        attempts: open.attempts,
        age: now - open.taken_at,
        node: node.map(|n| n.id.as_str()),
    }
}

impl Environment for Floor {
    fn send(&mut self, node: u32, parts: &[AttemptRef]) {
        parts.iter().for_each(|part| self.begin_attempt(node, part));
    }

    fn cancel(&mut self, request_id: u64, attempt: u32) {
        self.give_up(request_id, attempt, Sign::GivenUp);
    }

    fn answer(&mut self, request_id: u64, ending: FinalStatus, reason: Reason) {
        let Some(open) = self.requests.get(&request_id) else { return };
        let status = if matches!(ending, FinalStatus::Failed) { 502 } else { 503 };
        let named = named(&self.nodes, open, self.now);
        self.request_log.answered(self.now, &named, status, reason);
        let Some(key) = self.end_request(request_id) else { return };
        let word = reason.as_str();
        let (back, count) = match ending {
            FinalStatus::Rejected { retry_after } => (retry_after, &mut self.counts.bounced),
            FinalStatus::Failed => (0.0, &mut self.counts.scrapped),
        };
        *count += 1;
        let back = format!("{:.3}", back / 1000.0);
        let fields: &[(&str, &[u8])] = match back.as_str() {
            "0.000" => &[],
            back => &[("Retry-After", back.as_bytes())],
        };
        self.reply(key, status, fields, format!("{word}\n").as_bytes(), false);
    }

    /// The module judges nodes by their answers alone and asks for no probe.
    fn check_health(&mut self, _: u32) {}

    /// The list client decides when the list is asked for; the module is not told that it may.
    fn poll_endpoints(&mut self) {}

    fn wake(&mut self, at: Ms) {
        self.wakes_at = at;
    }
}
