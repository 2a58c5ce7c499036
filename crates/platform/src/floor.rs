//! What the desk's wishes come to on sockets: connections to clients, nodes and discovery, and the commands that
//! travel between them. Every decision on a command is the desk's.

use crate::clients::{self, Room, Standing};
use crate::config::Told;
use crate::discovery::{Line, Listing};
use crate::discovery_log::DiscoveryLog;
use crate::memory::{self, Holder};
use crate::nodes::{Numbers, Pool, STALLS};
use crate::outcome::{outcome, Sign};
use crate::request_log::{Closed, Named, RequestLog, UpstreamClosed};
use crate::shutdown::Shutdown;
use crate::wall_clock::WallClock;
use magpiewick::{Answer, Condition, Ending, Entry, ListClient, Ms, Outcome};
use magpiewick_desk::{Part, Reason, World};
use magpiewick_facts::Door;
use magpiewick_http1::{self as http1, Answers, Refused, Requests};
use magpiewick_link::{out_of_descriptors, reach, Clock, Ended, Poll, Reach, Stream, Timers};
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Keys below belong to the loop itself.
pub const FIRST_KEY: usize = 8;
/// Descriptors that are not for clients nor nodes: the standard ones, the poller's, signals, listener, discovery,
/// a file that is read anew.
const OWN_SOCKETS: usize = 20;
/// A connection to a node that does not stand by then has not come up, where the settings do not say.
const DIAL: Ms = 1000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timed {
    /// A connection to a node is to stand by now.
    Dial(usize, u64),
    /// An answer that has begun is to have gone on by now.
    Answer(usize, u64),
    /// A hand-off's answer is to be there by now.
    HandOff(u64, u32),
    /// A client's connection is to have done something by now.
    Client(usize, u64),
    /// A client's connection that is not read may have ended meanwhile.
    Unread(usize, u64),
}

/// A client's connection.
pub struct Client {
    pub stream: Stream,
    pub requests: Requests,
    pub serial: u64,
    pub since: Ms,
    /// How many whole requests it sent.
    pub asked: u32,
    /// When the first and the last byte of the request that is next may have come.
    pub began: Ms,
    pub came: Ms,
    /// A timer looks at it.
    pub timed: bool,
    pub open: Option<u64>,
    /// Nothing more is read as requests: what is written goes out, then it ends.
    pub closing: bool,
    /// Bytes that came after that and were thrown away.
    pub thrown: usize,
    /// What had been written when a timer last looked at an answer on its way.
    pub written: u64,
    /// The client asked for the end after the open command's answer.
    pub last: bool,
}

impl Client {
    pub fn busy(&self) -> bool {
        self.open.is_some() || self.stream.pending() > 0
    }

    /// A part of a request came, and nothing is owed yet.
    pub fn partial(&self) -> bool {
        self.requests.begun() || !self.stream.input().is_empty()
    }
}

/// What a connection to a node is at.
#[derive(Clone, Copy)]
pub enum Stage {
    Rests,
    /// A hand-off that is written when the connection stands: until when its client waits, and by when it must have
    /// left the host.
    Coming {
        command: u64,
        ends: Ms,
        latest: Ms,
    },
    /// A hand-off; until which byte of the stream it goes, and when that was written.
    Out {
        command: u64,
        end: u64,
        written: Option<Ms>,
    },
}

pub struct Link {
    pub stream: Stream,
    pub answers: Answers,
    pub node: u32,
    pub serial: u64,
    /// When the last bytes came of an answer that is not whole.
    pub begun: Option<Ms>,
    pub stage: Stage,
    /// Whole answers that came on it, and when the last of them did.
    pub exchanges: u32,
    pub rests_since: Ms,
}

impl Link {
    /// Whether the kernel took the last byte of the hand-off.
    fn written(&self) -> bool {
        matches!(self.stage, Stage::Out { end, .. } if self.stream.written_in_all() >= end)
    }
}

/// A connection to discovery.
pub struct Call {
    pub stream: Stream,
    pub answers: Answers,
    pub address: SocketAddr,
    /// The call that is out on it, and when that began.
    pub call: Option<u64>,
    pub began: Ms,
}

/// What came on a connection that the host asks on: an answer if it is whole, and whether the connection is of no
/// more use behind it. Bytes that are no answer and an end before it is whole come as what they are to a hand-off.
pub fn next_answer(
    stream: &mut Stream,
    answers: &mut Answers,
) -> Result<Option<(http1::Answer, bool)>, Sign> {
    let ended = stream.fill().err();
    let input = stream.take_input();
    let (used, answer) = answers.read(&input).map_err(|_| Sign::Spoilt)?;
    let behind = used < input.len();
    stream.give_back(input, used);
    let answer = match (answer, &ended) {
        (None, Some(Ended::Closed)) if !behind => answers.ended(),
        (answer, _) => answer,
    };
    match answer {
        Some(answer) => {
            let last = behind || ended.is_some() || answer.close;
            Ok(Some((answer, last)))
        }
        None if ended.is_some() => Err(Sign::Broke),
        None => Ok(None),
    }
}

pub enum Peer {
    Client(Client),
    Link(Link),
    Call(Call),
}

impl Peer {
    fn held(&self) -> usize {
        match self {
            Peer::Client(c) => c.stream.held() + c.requests.held(),
            Peer::Link(l) => l.stream.held() + l.answers.held(),
            Peer::Call(c) => c.stream.held() + c.answers.held(),
        }
    }
}

/// A command until its answer is given and none of its hand-offs is out.
pub struct Open {
    pub client: Option<usize>,
    pub id: String,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    /// The hand-off that is out, on which connection, and since when.
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
    pub condition: Condition,
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
    pub door: Door,
    pub peers: Slab<Peer>,
    pub commands: HashMap<u64, Open>,
    pub ids: HashMap<String, u64>,
    pub nodes: BTreeMap<u32, Node>,
    numbers: Numbers,
    pub pool: Pool,
    pub timers: Timers<Timed>,
    /// Outcomes that are owed to the desk.
    pub owed: Vec<(u64, Answer)>,
    pub wakes_at: Ms,
    pub list_client: ListClient,
    pub discovery: SocketAddr,
    /// The connection to discovery on which the last call was answered.
    pub resting_call: Option<usize>,
    pub shutdown: Shutdown,
    pub counts: Counts,
    pub discovery_log: DiscoveryLog,
    pub request_log: RequestLog,
    room: Room,
    /// How many bytes may wait in memory.
    most_held: usize,
    pub clients: usize,
    links: usize,
    serial: u64,
    wall_clock: WallClock,
    /// Clients with input left behind the request that was just answered.
    pub again: Vec<usize>,
}

impl Floor {
    pub fn new(poll: Poll, clock: Clock, wall_clock: WallClock, told: &Told) -> Floor {
        let (door, sockets, discovery) = (told.door.clone(), told.sockets, told.discovery);
        let longest = told.start.bands.iter().map(|b| b.time_limit).fold(0.0, f64::max);
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
            commands: HashMap::new(),
            ids: HashMap::new(),
            nodes: BTreeMap::new(),
            numbers: Numbers::default(),
            timers: Timers::default(),
            owed: Vec::new(),
            wakes_at: 0.0,
            list_client: told.list_client(now),
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
            again: Vec::new(),
        }
    }

    fn next_serial(&mut self) -> u64 {
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

    pub fn client(&mut self, key: usize) -> Option<&mut Client> {
        match self.peers.get_mut(key) {
            Some(Peer::Client(client)) => Some(client),
            _ => None,
        }
    }

    pub fn link(&mut self, key: usize) -> Option<&mut Link> {
        match self.peers.get_mut(key) {
            Some(Peer::Link(link)) => Some(link),
            _ => None,
        }
    }

    pub fn accept(&mut self, stream: std::net::TcpStream) {
        if self.clients >= self.room.clients && !self.make_room(|_| true) {
            return;
        }
        let asked = |s: &Standing| s.asked > 0;
        if self.standing().filter(asked).count() > self.room.asked {
            self.make_room(asked);
        }
        let (now, serial) = (self.now, self.next_serial());
        let entered = self.enter(|poll, key| {
            let stream = Stream::accepted(poll, stream, key)?;
            Ok(Peer::Client(Client {
                stream,
                requests: Requests::default(),
                serial,
                since: now,
                asked: 0,
                began: now,
                came: now,
                timed: true,
                open: None,
                closing: false,
                written: 0,
                thrown: 0,
                last: false,
            }))
        });
        if let Ok(key) = entered {
            self.clients += 1;
            self.timers.set(now + clients::PATIENCE, Timed::Client(key, serial));
        }
    }

    /// Bounds what came early on a client's connection, behind `before` bytes that were kept already: a usual request
    /// always, as much as a burst of them while the memory is there. What is more is thrown away, and the connection
    /// ends behind the last request that was kept. It is read all the same, as the client's end would else stand
    /// behind bytes that are never read: nothing must begin any more for a client that has gone.
    pub fn keep_early(&mut self, key: usize, before: usize) {
        let least = http1::MOST_HEAD + http1::MOST_BODY;
        let Some(client) = self.client(key).filter(|c| c.busy()) else { return };
        let length = client.stream.input().len();
        if client.thrown == 0 && length <= least {
            return;
        }
        let all: usize = self.peers.iter().map(|(_, peer)| peer.held()).sum();
        let most = if all > self.most_held / 2 { least } else { clients::EARLY };
        let Some(client) = self.client(key) else { return };
        let kept = if client.thrown > 0 { before } else { length.min(most.max(before)) };
        client.thrown += length - kept;
        client.stream.truncate(kept);
    }

    /// A request has begun to come, or an answer to go: it must go on in time.
    pub fn client_waits(&mut self, key: usize, since: Ms) {
        let Some(client) = self.client(key).filter(|c| !c.timed) else { return };
        client.timed = true;
        let timed = Timed::Client(key, client.serial);
        self.timers.set(since + clients::PATIENCE, timed);
    }

    /// The memory that a connection takes, without the command that is open on it.
    pub fn held(&self, key: usize) -> usize {
        self.peers.get(key).map_or(0, Peer::held)
    }

    /// Connections that give way, as too many bytes wait in memory.
    pub fn too_large(&self) -> Vec<usize> {
        let command = |id: &u64| self.commands.get(id).map_or(0, |open| open.head.len() + open.body.len());
        memory::give_way(
            self.most_held,
            self.peers.iter().map(|(key, peer)| match peer {
                Peer::Client(c) => {
                    let kind = if c.open.is_some() { Holder::Owed } else { Holder::Written };
                    (kind, peer.held() + c.open.as_ref().map_or(0, command), key)
                }
                Peer::Link(_) | Peer::Call(_) => (Holder::Node, peer.held(), key),
            }),
        )
    }

    fn standing(&self) -> impl Iterator<Item = Standing> + '_ {
        self.peers.iter().filter_map(|(key, peer)| match peer {
            Peer::Client(c) => {
                let (busy, partial) = (c.busy(), c.partial());
                Some(Standing { key, busy, partial, asked: c.asked, since: c.since, serial: c.serial })
            }
            _ => None,
        })
    }

    /// Ends the client's connection that gives way first of some; false where none may.
    pub fn make_room(&mut self, of: impl Fn(&Standing) -> bool) -> bool {
        let mut all: Vec<Standing> = self.standing().filter(of).collect();
        while let Some(key) = clients::gives_way(self.now, all.iter().copied()) {
            // What it has just asked would be lost with it; and the end of a connection with bytes unread is a break.
            if !self.client(key).is_some_and(|c| c.stream.unread()) {
                self.counts.evicted += 1;
                self.drop_client(key, Closed::Evicted);
                return true;
            }
            all.retain(|s| s.key != key);
        }
        false
    }

    pub fn log_client_gone(&mut self, command: u64) {
        if let Some(open) = self.commands.get(&command) {
            let named = named(&self.nodes, open, self.now);
            self.request_log.client_gone(self.now, &named);
        }
    }

    /// Ends a client's connection; the command that was open on it.
    pub fn drop_client(&mut self, key: usize, why: Closed) -> Option<u64> {
        self.client(key)?;
        self.clients -= 1;
        let Peer::Client(client) = self.peers.remove(key) else { return None };
        self.request_log.closed(self.now, client.serial, client.asked, client.open, why);
        client.open
    }

    /// Writes an answer to a client, who has none coming otherwise.
    pub fn reply(&mut self, key: usize, status: u16, fields: &[(&str, &[u8])], body: &[u8], close: bool) {
        let now = self.now;
        let (leaves, over) = (self.shutdown.closed(now), self.shutdown.over_at().is_some_and(|at| now >= at));
        let Some(client) = self.client(key) else { return };
        // What was read behind this request by now is still owed an answer.
        let close = close || client.last || leaves && (over || !client.partial());
        http1::write_answer(client.stream.output(), status, fields, body, close);
        let (serial, command) = (client.serial, client.open);
        (client.open, client.closing, client.since) = (None, client.closing || close, now);
        self.again.push(key);
        self.request_log.replied(serial, command, status, close);
    }

    /// Refuses what a client sent: nothing of it goes further.
    pub fn refuse(&mut self, key: usize, refused: Refused, close: bool) {
        *self.counts.refused.entry(refused.why).or_default() += 1;
        let serial = self.client(key).map_or(0, |c| c.serial);
        self.request_log.refused(self.now, serial, refused.status, refused.why);
        let body = format!("{}\n", refused.why);
        self.reply(key, refused.status, &[("Content-Type", b"text/plain")], body.as_bytes(), close);
    }

    /// Forgets a command that was answered and has nothing out.
    pub fn release(&mut self, command: u64) {
        let over = |open: &Open| open.client.is_none() && open.out.is_none();
        if self.commands.get(&command).is_some_and(over) {
            if let Some(open) = self.commands.remove(&command) {
                self.ids.remove(&open.id);
            }
        }
    }

    pub fn drop_link(&mut self, key: usize, why: UpstreamClosed) -> Option<Link> {
        self.link(key)?;
        self.links -= 1;
        let Peer::Link(link) = self.peers.remove(key) else { return None };
        let node = self.nodes.get(&link.node).map(|n| n.id.as_str());
        self.request_log.upstream_closed(self.now, node, link.serial, link.exchanges, why);
        if matches!(link.stage, Stage::Rests) {
            self.pool.ended(link.node, key);
        }
        Some(link)
    }

    /// Ends a connection that met an end or bytes while it rested.
    fn drop_stray(&mut self, key: usize) {
        let now = self.now;
        let Some(link) = self.link(key) else { return };
        let (node, serial, bytes) = (link.node, link.serial, link.stream.input().len());
        let rested = now - link.rests_since;
        if bytes == 0 {
            self.drop_link(key, UpstreamClosed::EndedAtRest);
            return;
        }
        let name = self.nodes.get(&node).map(|n| n.id.as_str());
        self.request_log.unexpected_bytes(now, name, serial, bytes, rested);
        self.drop_link(key, UpstreamClosed::UnexpectedBytes);
    }

    /// Ends a connection to a node and whatever hand-off is out on it.
    pub fn end_link(&mut self, key: usize, sign: Sign) {
        let Some(link) = self.drop_link(key, UpstreamClosed::Attempt(sign)) else { return };
        match link.stage {
            Stage::Rests => {}
            Stage::Coming { command, .. } => self.owe(command, outcome(sign, false), None, None),
            Stage::Out { command, written, .. } => {
                self.owe(command, outcome(sign, link.written()), written, None);
            }
        }
    }

    /// Owes the desk the outcome of a command's hand-off that is out.
    pub fn owe(
        &mut self,
        command: u64,
        outcome: Outcome,
        written: Option<Ms>,
        answer: Option<&http1::Answer>,
    ) {
        let now = self.now;
        let Some(open) = self.commands.get_mut(&command) else { return };
        let Some((_, _, since)) = open.out.take() else { return };
        if let Some((_, last)) = &mut open.last {
            *last = Some(outcome);
        }
        let number =
            |name| answer.and_then(|a| a.field(name)).and_then(|text| text.trim().parse::<f64>().ok());
        let read = |name| number(name).filter(|n| n.is_finite() && *n >= 0.0);
        // What the node took: the time that a connection needed to come up is not its own.
        let latency = now - written.unwrap_or(since);
        let used = read("x-iops-used").map(|percent| percent / 100.0);
        let others = read("x-rho").unwrap_or(0.0);
        let over = outcome == Outcome::Settled;
        if let Some(open) = self.commands.get(&command) {
            self.request_log.attempt_ended(&named(&self.nodes, open, now), outcome, latency);
        }
        *self.counts.outcomes.entry(Reason::After(outcome).word()).or_default() += 1;
        self.owed.push((command, Answer { outcome, latency, over, used, others }));
    }

    /// Begins a hand-off on a resting connection that is good, or on a new one.
    fn hand_off(&mut self, node: u32, part: &Part) {
        let now = self.now;
        let address = self.nodes.get(&node).and_then(|n| n.address);
        let key = loop {
            let Some(key) = self.pool.take(now, node) else { break None };
            let Some(link) = self.link(key) else { continue };
            // Bytes or an end that came while it rested are no answer to anything.
            if matches!(link.stream.fill_to(1), Ok(false)) && link.stream.input().is_empty() {
                break Some(key);
            }
            self.drop_stray(key);
        };
        let dialled = match (key, address) {
            (Some(key), _) => Ok(key),
            (None, Some(address)) => self.dial(node, address),
            (None, None) => Err(Outcome::NoConnection),
        };
        self.log_retry(node, part.command);
        let Some(open) = self.commands.get_mut(&part.command) else { return };
        (open.attempts, open.last) = (open.attempts + 1, Some((node, None)));
        open.out = Some((part.hand_off, *dialled.as_ref().unwrap_or(&usize::MAX), now));
        let key = match dialled {
            Ok(key) => key,
            Err(outcome) => return self.owe(part.command, outcome, None, None),
        };
        let Some(link) = self.link(key) else { return };
        link.stage = Stage::Coming { command: part.command, ends: now + part.time_out, latest: part.latest };
        self.timers.set(now + part.time_out, Timed::HandOff(part.command, part.hand_off));
        self.flush_link(key);
    }

    fn log_retry(&mut self, node: u32, command: u64) {
        let Some(open) = self.commands.get(&command) else { return };
        let Some((_, Some(after))) = open.last else { return };
        let named = named(&self.nodes, open, self.now);
        let to = self.nodes.get(&node).map_or("", |n| n.id.as_str());
        self.request_log.retried(self.now, &named, to, after);
    }

    /// Writes a hand-off to a connection that stands by now: what its node is told is what is left to the client
    /// then. False where it is too late for that.
    fn begin(&mut self, key: usize) -> bool {
        let now = self.now;
        let Some(Peer::Link(link)) = self.peers.get_mut(key) else { return true };
        let Stage::Coming { command, ends, latest } = link.stage else { return true };
        let Some(open) = self.commands.get(&command).filter(|_| now <= latest) else { return false };
        let left = (ends - now).max(1.0).floor();
        let deadline = format!("X-Deadline: {left}m\r\n\r\n");
        let out = link.stream.output();
        [&open.head, deadline.as_bytes(), &open.body].iter().for_each(|part| out.extend_from_slice(part));
        let end = link.stream.queued_in_all();
        link.stage = Stage::Out { command, end, written: None };
        let request = named(&self.nodes, open, now);
        self.request_log.attempt_begun(&request, link.serial, link.exchanges, left);
        self.counts.sent += 1;
        true
    }

    /// Opens a connection to a node, or what the attempt that wanted it comes to.
    fn dial(&mut self, node: u32, address: SocketAddr) -> Result<usize, Outcome> {
        if self.links >= self.room.links {
            let key = self.pool.gives_way().ok_or(Outcome::NoConnection)?;
            self.drop_link(key, UpstreamClosed::GaveWay);
        }
        let (now, serial) = (self.now, self.next_serial());
        let open = |floor: &mut Floor| {
            floor.enter(|poll, key| {
                let stream = Stream::connect(poll, address, key)?;
                let (answers, begun, stage) = (Answers::default(), None, Stage::Rests);
                let (exchanges, rests_since) = (0, now);
                Ok(Peer::Link(Link { stream, node, serial, answers, begun, stage, exchanges, rests_since }))
            })
        };
        let opened = match open(self) {
            Err(error) if out_of_descriptors(&error) && self.make_room(|_| true) => open(self),
            opened => opened,
        };
        // A host that is out of descriptors, ports or memory must not take that for a sign of the node.
        let key = opened.map_err(|error| match reach(&error) {
            Reach::Remote => Outcome::NoConnection,
            Reach::Local => Outcome::Moot,
        })?;
        self.links += 1;
        self.counts.opened += 1;
        self.timers.set(now + self.door.dial.unwrap_or(DIAL), Timed::Dial(key, serial));
        Ok(key)
    }

    /// Ends a connection whose answer has begun and stands still.
    pub fn look_at_answer(&mut self, key: usize, serial: u64) {
        let now = self.now;
        let Some(link) = self.link(key).filter(|l| l.serial == serial) else { return };
        match link.begun {
            Some(at) if now - at >= STALLS - 1.0 => self.end_link(key, Sign::Spoilt),
            Some(at) => self.timers.set(at + STALLS, Timed::Answer(key, serial)),
            None => {}
        }
    }

    pub fn flush_link(&mut self, key: usize) {
        let now = self.now;
        let Some(link) = self.link(key) else { return };
        if link.stream.flush().is_err() {
            return self.end_link(key, Sign::Broke);
        }
        if matches!(link.stage, Stage::Coming { .. }) && !link.stream.connecting() {
            if !self.begin(key) {
                return self.end_link(key, Sign::GivenUp);
            }
            return self.flush_link(key);
        }
        let whole = link.written();
        if let Stage::Out { written, .. } = &mut link.stage {
            if whole {
                written.get_or_insert(now);
            }
        }
    }

    /// What came from a node.
    pub fn read_link(&mut self, key: usize) {
        let now = self.now;
        let Some(link) = self.link(key) else { return };
        let (command, written) = match link.stage {
            Stage::Out { command, written, .. } => (command, written),
            Stage::Coming { .. } => return self.flush_link(key),
            Stage::Rests => {
                // Nothing was asked: whatever comes, the connection is of no more use.
                _ = link.stream.fill();
                return self.drop_stray(key);
            }
        };
        let next = match next_answer(&mut link.stream, &mut link.answers) {
            Ok(next) => next,
            Err(sign) => return self.end_link(key, sign),
        };
        let Some((answer, last)) = next else {
            let (first, serial) = (link.begun.replace(now).is_none(), link.serial);
            if first {
                self.timers.set(now + STALLS, Timed::Answer(key, serial));
            }
            return;
        };
        link.begun = None;
        let whole = link.written();
        let node = link.node;
        link.exchanges += 1;
        if last || !whole {
            self.drop_link(key, UpstreamClosed::AfterAnswer);
        } else {
            (link.stage, link.rests_since) = (Stage::Rests, now);
            link.stream.rest();
            let ready = self.nodes.get(&node).is_some_and(|n| n.condition == Condition::Ready);
            match ready {
                true => self.pool.rests(now, node, key),
                false => _ = self.drop_link(key, UpstreamClosed::EndpointLeft),
            }
        }
        let sign = Sign::Answer { status: answer.status, not_run: answer.field("x-not-run") == Some("1") };
        let outcome = outcome(sign, whole);
        self.owe(command, outcome, written, Some(&answer));
        if outcome == Outcome::Settled {
            self.settle(command, &answer.body);
        }
    }

    /// Passes a node's answer on to the client that asked, if it still waits.
    fn settle(&mut self, command: u64, body: &[u8]) {
        let Some(open) = self.commands.get_mut(&command) else { return };
        if let Some(key) = open.client.take() {
            self.counts.settled += 1;
            self.reply(key, 200, &[], body, false);
        }
    }

    /// Takes a listing's lines in, read at this Unix time: the module's entries of them.
    pub fn listed(&mut self, listing: &Listing, unix: f64) -> Vec<(u32, Entry)> {
        self.wall_clock.read(unix, self.clock.now());
        if listing.whole {
            let named: Vec<&str> = listing.lines.iter().map(|l| l.id.as_str()).collect();
            let gone = self.nodes.iter().filter(|(_, n)| !named.contains(&n.id.as_str()));
            let gone: Vec<u32> = gone.map(|(node, _)| *node).collect();
            gone.into_iter().for_each(|node| self.forget_node(node));
        }
        listing.lines.iter().filter_map(|line| self.line(line)).collect()
    }

    fn line(&mut self, line: &Line) -> Option<(u32, Entry)> {
        let number = match line.condition {
            // Whatever was never known cannot go.
            Condition::Gone => self.numbers.known(&line.id)?,
            _ => self.numbers.of(self.now, &line.id),
        };
        let zone = self.door.zones.iter().position(|z| *z == line.zone).unwrap_or(self.door.zones.len());
        let before = self.nodes.get(&number);
        let started = match before.filter(|node| node.told == line.started) {
            Some(node) => node.started,
            None => line.started.map(|at| self.wall_clock.latest(at as f64, self.now)),
        };
        let entry = Entry { node: 0, zone, shard: line.shard, condition: line.condition, started };
        if line.condition == Condition::Gone {
            self.forget_node(number);
            return Some((number, entry));
        }
        let (id, told) = (line.id.clone(), line.started);
        let node = Node { id, address: line.address, condition: line.condition, told, started };
        let before = self.nodes.insert(number, node);
        if line.condition != Condition::Ready || before.is_some_and(|n| n.address != line.address) {
            self.pool
                .leaves(number)
                .into_iter()
                .for_each(|key| _ = self.drop_link(key, UpstreamClosed::EndpointLeft));
        }
        if line.condition != Condition::Ready {
            self.take_back(number);
        }
        Some((number, entry))
    }

    fn forget_node(&mut self, number: u32) {
        self.pool
            .leaves(number)
            .into_iter()
            .for_each(|key| _ = self.drop_link(key, UpstreamClosed::EndpointLeft));
        self.take_back(number);
        if let Some(node) = self.nodes.remove(&number) {
            self.numbers.forget(self.now, &node.id);
        }
    }

    /// Takes hand-offs back of which no byte was written to a node that wants nothing new.
    fn take_back(&mut self, number: u32) {
        self.take_back_from(|node| node == number);
    }

    /// The same for all nodes, as none of them is known to want anything.
    pub fn take_all_back(&mut self) {
        self.take_back_from(|_| true);
    }

    fn take_back_from(&mut self, of: impl Fn(u32) -> bool) {
        let unbegun = self.peers.iter().filter_map(|(key, peer)| match peer {
            Peer::Link(l) if of(l.node) && matches!(l.stage, Stage::Coming { .. }) => Some(key),
            _ => None,
        });
        let unbegun: Vec<usize> = unbegun.collect();
        unbegun.into_iter().for_each(|key| self.end_link(key, Sign::TakenBack));
    }

    /// Takes a hand-off back that is not written whole, as its client has gone: its node has not begun it, and must
    /// not begin it any more. That is no cancel of work, and needs no leave to cancel.
    pub fn client_left(&mut self, command: u64) {
        let Some((_, key, _)) = self.commands.get(&command).and_then(|open| open.out) else { return };
        if self.link(key).is_some_and(|link| !link.written()) {
            self.end_link(key, Sign::TakenBack);
        }
    }

    /// Ends a hand-off that is out, as its time is over or nobody waits for it.
    pub fn give_up(&mut self, command: u64, hand_off: u32, sign: Sign) {
        let out = self.commands.get(&command).and_then(|open| open.out);
        if let Some((_, key, _)) = out.filter(|out| out.0 == hand_off) {
            self.end_link(key, sign);
        }
    }
}

/// An open request as the log names it.
fn named<'a>(nodes: &'a BTreeMap<u32, Node>, open: &'a Open, now: Ms) -> Named<'a> {
    let node = open.last.and_then(|(node, _)| nodes.get(&node));
    Named {
        id: &open.id,
        attempts: open.attempts,
        age: now - open.taken_at,
        node: node.map(|n| n.id.as_str()),
    }
}

impl World for Floor {
    fn send(&mut self, node: u32, parts: &[Part]) {
        parts.iter().for_each(|part| self.hand_off(node, part));
    }

    fn cancel(&mut self, command: u64, hand_off: u32) {
        self.give_up(command, hand_off, Sign::GivenUp);
    }

    fn answer(&mut self, command: u64, ending: Ending, reason: Reason) {
        let Some(open) = self.commands.get_mut(&command) else { return };
        let client = open.client.take();
        let status = if matches!(ending, Ending::Scrapped) { 502 } else { 503 };
        let named = named(&self.nodes, open, self.now);
        self.request_log.answered(self.now, &named, status, reason);
        self.release(command);
        let Some(key) = client else { return };
        let word = reason.word();
        let (back, count) = match ending {
            Ending::Bounced { back } => (back, &mut self.counts.bounced),
            Ending::Scrapped => (0.0, &mut self.counts.scrapped),
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
    fn probe(&mut self, _: u32) {}

    /// The list client decides when the list is asked for; the module is not told that it may.
    fn watch(&mut self) {}

    fn wake(&mut self, at: Ms) {
        self.wakes_at = at;
    }
}
