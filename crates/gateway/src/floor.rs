//! What the engine stands on: the connections of a host, the requests as its clients sent them, and the timers.
//! It does what the engine wishes and turns what sockets tell into outcomes.

use crate::config::{Bounds, HostConfig};
use crate::contact::{Contact, Dial, Greeted, Process, Return};
use crate::follow::{address, started, Follower};
use crate::others::Others;
use magpiewick::{FinalStatus, GossipReport, Ms, Outcome};
use magpiewick_coalescing::{Coalescer, OverlapLock, Piece, SplitRead, Write};
use magpiewick_engine::{AttemptRef, Environment, IncomingRequest, Reason};
use magpiewick_node_protocol::{
    Attempt, ClientRequest, EntryState, FinalAnswer, FinalCode, Hello, Message, Role, LONG_AGO,
};
use magpiewick_transport::{Clock, Connection, Ended, Poll, Timers, NOTHING};
use slab::Slab;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use tracing::Span;

/// Whose readiness a key of the poller tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Door,
    Stop,
    Client,
    Node,
    List,
    Others,
}

const PLACES: [Place; 6] = [Place::Door, Place::Stop, Place::Client, Place::Node, Place::List, Place::Others];
/// Bits of a key below its place, and bits of a request's id that name its slot.
const INDEX: u32 = 32;
const SLOT: u32 = 24;
/// Marks the id of a read that was cut among those of requests.
pub const WHOLE: u64 = 1 << 63;

pub fn key_of(place: Place, index: usize) -> usize {
    (place as usize) << INDEX | index
}

pub fn place_of(key: usize) -> Place {
    PLACES[(key >> INDEX) % PLACES.len()]
}

fn index_of(key: usize) -> usize {
    key & ((1 << INDEX) - 1)
}

fn slot_of(request_id: u64) -> usize {
    (request_id & ((1 << SLOT) - 1)) as usize
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    TimeOut {
        request_id: u64,
        attempt: u32,
    },
    Connect {
        peer: usize,
        try_number: u64,
    },
    HalfFrame {
        client: usize,
        serial: u64,
    },
    ListAgain,
    /// Extents that were in flux are looked at anew.
    Reroute,
    /// A write has waited for an earlier one that it overlaps for as long as it may.
    GateLate {
        request_id: u64,
    },
    /// What may have run of a write that is over cannot take effect any more.
    GateRested {
        request_id: u64,
    },
}

/// An attempt whose outcome is owed to the engine. `peer` is none once its connection is over.
struct Out {
    attempt: u32,
    peer: Option<usize>,
    sent: Ms,
    /// The version of the extent that it was sent under.
    version: u32,
}

/// A request as its client sent it, kept until its final answer is given and nothing of it is out.
struct Open {
    id: u64,
    /// The client's key and its own number; none once the client has gone or gave up.
    client: Option<(usize, u64)>,
    answered: bool,
    taken: Ms,
    ends: Ms,
    class: u16,
    write: bool,
    volume: u64,
    key: u64,
    mark: u64,
    units: f32,
    shard: u32,
    /// The version under which its extent was known when it was placed; 0 where no map is followed.
    version: u32,
    blocks: u32,
    /// The read that it is a piece of, and which piece.
    piece_of: Option<(u64, usize)>,
    /// What the engine is to take once no earlier write overlaps it.
    gated: Option<IncomingRequest>,
    /// An attempt ended without an answer: its effect may come late.
    unsure: bool,
    payload: Vec<u8>,
    out: Vec<Out>,
    attempts: u32,
    last_node: Option<u32>,
    span: Span,
}

struct Client {
    connection: Connection,
    requests: HashMap<u64, u64>,
    /// Since when nothing is read from it.
    held_back: Option<Ms>,
    half_frame: bool,
    serial: u64,
}

/// A read that was cut; what each piece is asked with.
pub struct Whole {
    pub client: (usize, u64),
    pub gather: SplitRead,
    /// Where each piece starts and ends, in blocks, and its request, once it has one.
    pub pieces: Vec<(u64, u64)>,
    pub ids: Vec<Option<u64>>,
    pub class: u16,
    pub volume: u64,
    pub mark: u64,
    /// Units a block.
    pub units: f32,
    pub ends: Ms,
    pub span: Span,
}

/// A request as it is admitted: a client's own, or a piece of one.
pub struct Admitted<'a> {
    pub client: Option<(usize, u64)>,
    pub piece_of: Option<(u64, usize)>,
    pub take: &'a ClientRequest<'a>,
    /// The shard and the version of its extent.
    pub placed: (u32, u32),
    pub client_timeout: Ms,
    pub span: Span,
}

/// A piece that has its final answer.
pub struct PieceEnded {
    pub whole: u64,
    pub piece: usize,
    pub verdict: FinalCode,
    pub back: Ms,
    pub payload: Vec<u8>,
}

/// A storage node and the one connection to it.
struct Peer {
    node: u32,
    address: SocketAddr,
    contact: Contact,
    connection: Option<Connection>,
    /// The life of the process that greeted on this connection.
    life: Option<u64>,
    /// Attempts that wait for the greeting, and requests whose attempt went out on the connection.
    waiting: Vec<(u64, u32)>,
    out: Vec<u64>,
    tries: u64,
}

struct ListLink {
    address: SocketAddr,
    asked: bool,
    map: bool,
    connection: Option<Connection>,
    /// The service was asked and has not answered.
    unanswered: bool,
    back: Return,
}

pub struct Floor {
    pub clock: Clock,
    pub poll: Poll,
    pub timers: Timers<Timer>,
    pub wake_at: Ms,
    /// What counts for the loop's present turn.
    pub now: Ms,
    /// Outcomes that the engine has yet to hear.
    pub owed: VecDeque<(u64, u32, Outcome)>,
    /// A call of the list that failed and that the engine has yet to hear of.
    pub list_failed: bool,
    /// Writes that no earlier one holds back any more, and pieces of reads that ended; both are the loop's to use.
    pub freed: VecDeque<u64>,
    pub pieces_ended: VecDeque<PieceEnded>,
    pub gate: OverlapLock,
    pub wholes: HashMap<u64, Whole>,
    coalescer: Coalescer,
    /// How long what was not answered may still take effect.
    rest: Ms,
    pub follower: Follower,
    pub map: magpiewick_extents::Follower,
    number: u32,
    life: u64,
    bounds: Bounds,
    peers: Vec<Peer>,
    peer_of: HashMap<u32, usize>,
    clients: Slab<Client>,
    opens: Slab<Open>,
    serial: u64,
    list: ListLink,
    /// Where the settings name other hosts.
    pub others: Option<Others>,
    touched: Vec<usize>,
}

impl Floor {
    pub fn new(config: &HostConfig, poll: Poll, clock: Clock, life: u64) -> Floor {
        let back = Return::new(config.start.seed);
        let (address, asked, map) = (config.list.address, config.list.asked, config.list.map);
        Floor {
            now: clock.now(),
            clock,
            poll,
            timers: Timers::default(),
            wake_at: 0.0,
            owed: VecDeque::new(),
            list_failed: false,
            freed: VecDeque::new(),
            pieces_ended: VecDeque::new(),
            gate: OverlapLock::default(),
            wholes: HashMap::new(),
            coalescer: Coalescer::new(config.merge.clone()),
            rest: config.start.ordering_quiet_period + config.start.round,
            follower: Follower::default(),
            map: magpiewick_extents::Follower::default(),
            number: config.number,
            life,
            bounds: config.bounds.clone(),
            peers: Vec::new(),
            peer_of: HashMap::new(),
            clients: Slab::new(),
            opens: Slab::new(),
            serial: 0,
            list: ListLink { address, asked, map, connection: None, unanswered: false, back },
            others: None,
            touched: Vec::new(),
        }
    }

    fn hello(&self) -> Message<'static> {
        Message::Hello(Hello::new(Role::Host, self.number, self.life, LONG_AGO))
    }

    /// Notes that a connection has something to write.
    pub fn touched(&mut self, key: usize) {
        self.touched.push(key);
    }

    /// The connections with something to write, each once.
    pub fn take_touched(&mut self) -> Vec<usize> {
        let mut keys = std::mem::take(&mut self.touched);
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    /// Whether the engine, or the loop, has yet to hear of something.
    pub fn has_news(&self) -> bool {
        !self.owed.is_empty() || self.list_failed || !self.pieces_ended.is_empty() || !self.freed.is_empty()
    }

    pub fn has_touched(&self) -> bool {
        !self.touched.is_empty()
    }

    fn connection(&mut self, key: usize) -> Option<&mut Connection> {
        let index = index_of(key);
        match place_of(key) {
            Place::Client => self.clients.get_mut(index).map(|c| &mut c.connection),
            Place::Node => self.peers.get_mut(index).and_then(|p| p.connection.as_mut()),
            Place::List => self.list.connection.as_mut(),
            Place::Door | Place::Stop | Place::Others => None,
        }
    }

    /// Reads what is there on a connection; the bytes, and why the connection is over where it is.
    pub fn read(&mut self, key: usize) -> Option<(Vec<u8>, Option<Ended>)> {
        let connection = self.connection(key)?;
        let ended = connection.fill().err();
        Some((connection.take_input(), ended))
    }

    /// The bytes that were read before and not used.
    pub fn unused(&mut self, key: usize) -> Option<Vec<u8>> {
        self.connection(key).map(Connection::take_input)
    }

    pub fn give_back(&mut self, key: usize, input: Vec<u8>, used: usize) {
        if let Some(connection) = self.connection(key) {
            connection.give_back(input, used);
        }
    }

    pub fn flush(&mut self, key: usize) -> Result<(), Ended> {
        let Some(connection) = self.connection(key) else { return Ok(()) };
        connection.flush()?;
        self.bound_client(key)
    }

    // Clients.

    pub fn accepted(&mut self, stream: TcpStream) {
        if self.clients.len() >= self.bounds.most_clients {
            return tracing::warn!(most = self.bounds.most_clients, "a client is turned away: too many");
        }
        let entry = self.clients.vacant_entry();
        let key = key_of(Place::Client, entry.key());
        let connection = match Connection::accepted(&self.poll, stream, key) {
            Ok(connection) => connection,
            Err(e) => return tracing::warn!(error = %e, "a client cannot be served"),
        };
        entry.insert(Client {
            connection,
            requests: HashMap::new(),
            held_back: None,
            half_frame: false,
            serial: 0,
        });
        let hello = self.hello();
        self.tell_client(key, &hello);
    }

    pub fn tell_client(&mut self, key: usize, message: &Message) {
        if let Some(client) = self.clients.get_mut(index_of(key)) {
            client.connection.queue(message, NOTHING);
            self.touched.push(key);
        }
    }

    pub fn client_keys(&self) -> Vec<usize> {
        self.clients.iter().map(|(index, _)| key_of(Place::Client, index)).collect()
    }

    /// A client that does not read its answers is not read either, until it does: what is kept for it is
    /// bounded by what it had in hand.
    fn bound_client(&mut self, key: usize) -> Result<(), Ended> {
        let Some(client) = self.clients.get_mut(index_of(key)).filter(|_| place_of(key) == Place::Client)
        else {
            return Ok(());
        };
        let pending = client.connection.pending();
        if client.held_back.is_none() && pending > self.bounds.client_buffer {
            client.held_back = Some(self.now);
            client.connection.set_reading(false)?;
        }
        Ok(())
    }

    /// Holds all clients back, as enough is in hand.
    pub fn hold_back_all(&mut self) {
        for (_, client) in self.clients.iter_mut().filter(|(_, c)| c.held_back.is_none()) {
            client.held_back = Some(self.now);
            // A connection that cannot be held back is broken and ends at its next read.
            _ = client.connection.set_reading(false);
        }
    }

    /// Whether a client that was held back may be read again; it is then, once its requests are taken.
    pub fn may_read_on(&self, key: usize) -> bool {
        let client = self.clients.get(index_of(key)).filter(|c| c.held_back.is_some());
        client.is_some_and(|c| c.connection.pending() <= self.bounds.client_buffer / 2)
    }

    pub fn read_on(&mut self, key: usize) {
        if let Some(client) = self.clients.get_mut(index_of(key)) {
            client.held_back = None;
            _ = client.connection.set_reading(true);
        }
    }

    /// How long a client has been held back: what it sent may have waited as long.
    pub fn held_back(&self, key: usize) -> Ms {
        let client = self.clients.get(index_of(key));
        client.and_then(|c| c.held_back).map_or(0.0, |since| self.now - since)
    }

    /// Notes whether a client's bytes end in half a frame, and whether frames were used since the last note.
    pub fn half_frame(&mut self, key: usize, half: bool, progress: bool) {
        let Some(client) = self.clients.get_mut(index_of(key)) else { return };
        if !half || progress {
            (client.half_frame, client.serial) = (false, client.serial + 1);
        }
        if half && !client.half_frame {
            client.half_frame = true;
            let timer = Timer::HalfFrame { client: key, serial: client.serial };
            self.timers.set(self.now + self.bounds.frame_within, timer);
        }
    }

    pub fn half_frame_late(&self, key: usize, serial: u64) -> bool {
        let client = self.clients.get(index_of(key));
        client.is_some_and(|c| c.half_frame && c.serial == serial && c.held_back.is_none())
    }

    /// Forgets a client; its requests that had no final answer come back.
    pub fn client_gone(&mut self, key: usize) -> Vec<u64> {
        let Some(client) = self.clients.try_remove(index_of(key)) else { return Vec::new() };
        let mut requests: Vec<u64> = client.requests.into_values().collect();
        requests.sort_unstable();
        requests.iter().for_each(|request_id| self.forsake(*request_id, "client-gone"));
        requests
    }

    /// The request that a client gives up, where it is still in hand.
    pub fn given_up(&mut self, key: usize, number: u64) -> Option<u64> {
        let request_id = self.clients.get_mut(index_of(key))?.requests.remove(&number)?;
        self.forsake(request_id, "given-up");
        Some(request_id)
    }

    pub fn forsake(&mut self, request_id: u64, why: &str) {
        if let Some(open) = self.open(request_id).filter(|o| !o.answered) {
            (open.client, open.answered) = (None, true);
            open.tell("none", why);
            self.coalescer.let_go(request_id);
        }
    }

    pub fn has_command(&self, key: usize, number: u64) -> bool {
        self.clients.get(index_of(key)).is_some_and(|c| c.requests.contains_key(&number))
    }

    /// Keeps a request as its client sent it and gives it an id that was never used.
    pub fn take(&mut self, admitted: Admitted) -> Option<u64> {
        let Admitted { client, piece_of, take, placed: (shard, version), client_timeout, span } = admitted;
        self.serial += 1;
        let entry = self.opens.vacant_entry();
        let id = self.serial << SLOT | entry.key() as u64;
        if let Some((key, number)) = client {
            self.clients.get_mut(index_of(key))?.requests.insert(number, id);
        }
        entry.insert(Open {
            id,
            client,
            answered: false,
            taken: self.now,
            ends: self.now + client_timeout,
            class: take.class,
            write: take.write,
            volume: take.volume,
            key: take.key,
            mark: take.idempotency_key,
            units: take.units,
            shard,
            version,
            blocks: take.blocks,
            piece_of,
            gated: None,
            unsure: false,
            payload: take.payload.to_vec(),
            out: Vec::new(),
            attempts: 0,
            last_node: None,
            span,
        });
        self.hold(id);
        Some(id)
    }

    /// Notes a write that is not out as one that may travel with others.
    pub fn hold(&mut self, request_id: u64) {
        let open = self.opens.get(slot_of(request_id)).filter(|o| o.id == request_id);
        let held = |o: &&Open| o.write && o.key != 0 && !o.answered && o.out.is_empty() && o.gated.is_none();
        if let Some(o) = open.filter(held) {
            let (start, end) = o.range();
            let (bytes, units) = (o.payload.len(), f64::from(o.units));
            let (volume, shard, class) = (o.volume, o.shard, o.class);
            self.coalescer.hold(request_id, Piece { volume, shard, class, start, end, bytes, units });
        }
    }

    /// Asks whether a request may go on to the engine; keeps what it is to take where an earlier write overlaps it.
    /// `line` names the line in which the module orders it.
    pub fn enter(&mut self, taken: IncomingRequest, line: Option<u64>, until: Ms) -> Option<IncomingRequest> {
        let request_id = taken.id;
        let Some(open) = self.open(request_id).filter(|o| o.write && o.key != 0) else { return Some(taken) };
        let (volume, (start, end)) = (open.volume, open.range());
        if self.gate.enter(request_id, Write { volume, start, end, line }) {
            return Some(taken);
        }
        if let Some(open) = self.open(request_id) {
            open.gated = Some(taken);
        }
        self.coalescer.let_go(request_id);
        self.timers.set(until, Timer::GateLate { request_id });
        None
    }

    /// What the engine is to take of a write that waited, and the time that its client still has.
    pub fn ungate(&mut self, request_id: u64) -> Option<IncomingRequest> {
        let now = self.now;
        let open = self.open(request_id).filter(|o| !o.answered)?;
        let mut taken = open.gated.take()?;
        taken.request.client_timeout = open.ends - now;
        self.hold(request_id);
        Some(taken)
    }

    /// Ends a read that was cut; its pieces that are out are left to the engine.
    pub fn end_whole(&mut self, whole: u64, verdict: FinalCode, back: Ms, payload: &[u8]) {
        let Some(Whole { client, span, .. }) = self.wholes.remove(&whole) else { return };
        span.in_scope(|| tracing::info!(target: "request", ?verdict, "a read in pieces is over"));
        self.answer_client(client, verdict, back, payload);
    }

    /// Gives a client the final answer to its request of this number.
    fn answer_client(&mut self, (key, number): (usize, u64), verdict: FinalCode, back: Ms, payload: &[u8]) {
        let back_us = (back * 1000.0) as u32;
        if let Some(client) = self.clients.get_mut(index_of(key)) {
            client.requests.remove(&number);
        }
        self.tell_client(
            key,
            &Message::FinalAnswer(FinalAnswer {
                request_id: number,
                code: verdict,
                retry_after_us: back_us,
                payload,
            }),
        );
    }

    /// Keeps a read that is cut.
    pub fn keep_whole(&mut self, whole: Whole) -> Option<u64> {
        let (key, number) = whole.client;
        self.serial += 1;
        let id = WHOLE | self.serial;
        self.clients.get_mut(index_of(key))?.requests.insert(number, id);
        self.wholes.insert(id, whole);
        Some(id)
    }

    fn open(&mut self, request_id: u64) -> Option<&mut Open> {
        self.opens.get_mut(slot_of(request_id)).filter(|o| o.id == request_id)
    }

    /// Passes the first succeeded answer on to the client.
    pub fn settled(&mut self, request_id: u64, payload: &[u8]) {
        self.finish(request_id, FinalCode::Succeeded, 0.0, payload, "settled");
    }

    fn finish(&mut self, request_id: u64, verdict: FinalCode, back: Ms, payload: &[u8], reason: &str) {
        let now = self.now;
        let Some(open) = self.open(request_id).filter(|o| !o.answered) else { return };
        open.answered = true;
        let answer = match verdict {
            FinalCode::Succeeded => "settled",
            FinalCode::Rejected => "bounced",
            FinalCode::Failed => "scrapped",
        };
        open.span.in_scope(|| {
            let (attempts, node, took) = (open.attempts, open.last_node, now - open.taken);
            tracing::info!(target: "request", answer, reason, attempts, node, took_ms = took);
        });
        let (client, piece_of) = (open.client.take(), open.piece_of);
        self.coalescer.let_go(request_id);
        if let Some((whole, piece)) = piece_of {
            let payload = payload.to_vec();
            return self.pieces_ended.push_back(PieceEnded { whole, piece, verdict, back, payload });
        }
        if let Some(client) = client {
            self.answer_client(client, verdict, back, payload);
        }
    }

    /// Forgets a request that is answered and of which nothing is out.
    pub fn release(&mut self, request_id: u64) {
        if self.open(request_id).is_some_and(|o| o.answered && o.out.is_empty()) {
            if self.opens.remove(slot_of(request_id)).unsure {
                self.timers.set(self.now + self.rest, Timer::GateRested { request_id });
            } else {
                self.leave_gate(request_id);
            }
        }
    }

    /// Those that waited for this write may go on.
    pub fn leave_gate(&mut self, request_id: u64) {
        self.freed.extend(self.gate.leave(request_id));
    }

    // Attempts.

    pub fn is_out(&mut self, request_id: u64, attempt: u32) -> bool {
        self.open(request_id).is_some_and(|o| o.out.iter().any(|out| out.attempt == attempt))
    }

    pub fn is_out_at(&mut self, request_id: u64, attempt: u32, key: usize) -> bool {
        let at = Some(index_of(key));
        let here = |out: &Out| out.attempt == attempt && out.peer == at;
        self.open(request_id).is_some_and(|o| o.out.iter().any(here))
    }

    /// Takes an attempt off the books; when it was sent, where it still stood there.
    pub fn end_attempt(&mut self, request_id: u64, attempt: u32, outcome: Outcome) -> Option<Ms> {
        let unanswered = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        let open = self.open(request_id)?;
        let place = open.out.iter().position(|o| o.attempt == attempt)?;
        let out = open.out.remove(place);
        open.unsure |= unanswered || outcome == Outcome::Reset;
        if let Some(peer) = out.peer.map(|p| &mut self.peers[p]) {
            let waited = peer.waiting.len();
            peer.waiting.retain(|w| *w != (request_id, attempt));
            if waited == peer.waiting.len() {
                peer.out.retain(|id| *id != request_id);
                peer.contact.done(unanswered.then_some(out.sent));
            }
        }
        Some(out.sent)
    }

    /// Tells a node that an attempt is not waited for any more, so that it need not begin it.
    pub fn tell_cancelled(&mut self, request_id: u64, attempt: u32) {
        let at = |o: &Open| o.out.iter().find(|out| out.attempt == attempt).and_then(|out| out.peer);
        let Some(index) = self.open(request_id).and_then(|o| at(o)) else { return };
        let peer = &mut self.peers[index];
        if let Some(connection) = peer.connection.as_mut().filter(|_| peer.out.contains(&request_id)) {
            connection.queue(&Message::CancelAttempt { request_id, attempt: attempt as u16 }, NOTHING);
            self.touched.push(key_of(Place::Node, index));
        }
    }

    fn owe(&mut self, request_id: u64, outcome: Outcome, peer: usize) {
        let Some(open) = self.open(request_id) else { return };
        let Some(out) = open.out.iter_mut().find(|o| o.peer == Some(peer)) else { return };
        out.peer = None;
        let attempt = out.attempt;
        self.owed.push_back((request_id, attempt, outcome));
    }

    // Storage nodes.

    fn peer(&mut self, node: u32) -> usize {
        let known = self.follower.node(node).map(|k| address(&k.line));
        let next = self.peers.len();
        let index = *self.peer_of.entry(node).or_insert(next);
        if index == next {
            self.peers.push(Peer {
                node,
                address: known.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
                contact: Contact::default(),
                connection: None,
                life: None,
                waiting: Vec::new(),
                out: Vec::new(),
                tries: 0,
            });
        }
        let peer = &mut self.peers[index];
        peer.address = known.unwrap_or(peer.address);
        index
    }

    fn connect(&mut self, index: usize) {
        let hello = self.hello();
        let peer = &mut self.peers[index];
        peer.tries += 1;
        peer.contact.opened();
        let key = key_of(Place::Node, index);
        match Connection::connect(&self.poll, peer.address, key) {
            Ok(mut connection) => {
                connection.queue(&hello, NOTHING);
                peer.connection = Some(connection);
                let timer = Timer::Connect { peer: index, try_number: peer.tries };
                self.timers.set(self.now + self.bounds.connect_within, timer);
                self.touched.push(key);
            }
            Err(e) => self.peer_lost(key, &e.to_string()),
        }
    }

    pub fn connect_late(&mut self, index: usize, try_number: u64) {
        if self.peers[index].tries == try_number && self.peers[index].contact.opening() {
            self.peer_lost(key_of(Place::Node, index), "no greeting in time");
        }
    }

    /// The connection to a node is over. What had not left whole, or waited, never ran: a frame that is not
    /// whole fails its checksum. What had left may have run.
    pub fn peer_lost(&mut self, key: usize, why: &str) {
        let index = index_of(key);
        let peer = &mut self.peers[index];
        let unsent = peer.connection.take().map_or(Vec::new(), |c| c.unwritten());
        tracing::info!(node = peer.node, why, out = peer.out.len(), "connection to a node is over");
        (peer.life, peer.contact) = (None, Contact::default());
        for request_id in std::mem::take(&mut peer.out) {
            let ran = if unsent.contains(&request_id) { Outcome::ConnectFailed } else { Outcome::Reset };
            self.owe(request_id, ran, index);
        }
        self.waiting_back(index);
    }

    /// What waits for a greeting was not sent: the engine is told so.
    fn waiting_back(&mut self, index: usize) {
        for (request_id, _) in std::mem::take(&mut self.peers[index].waiting) {
            self.owe(request_id, Outcome::ConnectFailed, index);
        }
    }

    /// Notes that a node spoke; false where it has not greeted.
    pub fn peer_heard(&mut self, key: usize) -> bool {
        let now = self.now;
        let peer = &mut self.peers[index_of(key)];
        peer.contact.heard(now);
        peer.contact.open()
    }

    pub fn greeted(&mut self, key: usize, hello: &Hello) -> Greeted {
        let index = index_of(key);
        let met =
            Process { node: hello.number, life: hello.incarnation, started: started(self.now, hello.age_us) };
        let Some(listed) = self.follower.process(self.peers[index].node) else { return Greeted::Wrong };
        let peer = &mut self.peers[index];
        let greeted = peer.contact.greeted(self.now, listed, met);
        match greeted {
            Greeted::Expected => {
                peer.life = Some(hello.incarnation);
                for (request_id, attempt) in std::mem::take(&mut peer.waiting) {
                    self.hand_over(index, [(request_id, attempt)].into_iter());
                }
            }
            Greeted::Restarted { .. } => {
                peer.life = Some(hello.incarnation);
                self.waiting_back(index);
            }
            Greeted::Wrong => {}
        }
        greeted
    }

    /// Writes attempts to a node as one frame.
    fn hand_over(&mut self, index: usize, parts: impl Iterator<Item = (u64, u32)>) {
        let now = self.now;
        let peer = &mut self.peers[index];
        let Some(connection) = &mut peer.connection else { return };
        let opens = &self.opens;
        let part = |(request_id, attempt): (u64, u32)| {
            let open = opens.get(slot_of(request_id)).filter(|o| o.id == request_id)?;
            Some(Attempt {
                request_id,
                attempt: attempt as u16,
                class: open.class,
                write: open.write,
                volume: open.volume,
                key: open.key,
                idempotency_key: open.mark,
                units: open.units,
                shard: open.shard,
                remaining_us: ((open.ends - now).max(0.0) * 1000.0) as u32,
                version: open.version,
                blocks: open.blocks,
                payload: &open.payload,
            })
        };
        let mut parts = parts.filter_map(part);
        let Some(first) = parts.next() else { return };
        let leader = first.request_id;
        let mut add = |request_id| {
            peer.out.push(request_id);
            peer.contact.sent();
        };
        add(leader);
        match parts.next() {
            None => connection.queue(&Message::Attempt(first), leader),
            Some(second) => {
                let parts: Vec<Attempt> = [first, second].into_iter().chain(parts).collect();
                let others: Vec<u64> = parts[1..].iter().map(|p| p.request_id).collect();
                others.iter().for_each(|request_id| add(*request_id));
                connection.queue_for(&Message::Batch(parts), leader, others);
            }
        }
        self.touched.push(key_of(Place::Node, index));
    }

    /// Brings the peers in line with the list: to a node that drains or went nothing leaves that has not yet,
    /// and a connection to a process that is no longer the listed one ends.
    pub fn nodes_changed(&mut self) {
        let nodes: Vec<u32> = self.follower.nodes().map(|k| k.line.node).collect();
        nodes.into_iter().for_each(|node| _ = self.peer(node));
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            let known = self.follower.node(peer.node).map(|k| (k.line.state, k.line.incarnation));
            let key = key_of(Place::Node, index);
            match known {
                Some((EntryState::Ready, life)) if peer.life.is_none_or(|l| l == life) => {}
                Some((EntryState::Ready, _)) => self.peer_lost(key, "the list names a later process"),
                _ => self.stop_sending(index),
            }
        }
    }

    fn stop_sending(&mut self, index: usize) {
        self.waiting_back(index);
        let peer = &mut self.peers[index];
        let Some(connection) = &mut peer.connection else { return };
        let magpiewick_transport::Withdrawn { tokens: pulled, partly_written } =
            connection.withdraw_unwritten();
        peer.out.retain(|request_id| !pulled.contains(request_id));
        pulled.iter().for_each(|_| peer.contact.done(None));
        pulled.into_iter().for_each(|request_id| self.owe(request_id, Outcome::ConnectFailed, index));
        let gone =
            self.follower.node(self.peers[index].node).is_none_or(|k| k.line.state == EntryState::Removed);
        if partly_written {
            // The rest of a frame would reach the node at a time that nobody can tell.
            self.peer_lost(key_of(Place::Node, index), "it takes nothing more, and a frame is half written");
        } else if gone && self.peers[index].out.is_empty() {
            self.peer_lost(key_of(Place::Node, index), "it has gone");
        }
    }

    // The endpoint list service.

    pub fn list_key(&self) -> Option<usize> {
        self.list.connection.as_ref().map(Connection::key)
    }

    /// Asks for the list, over a new connection where there is none or where the last question was not answered: one
    /// that fell silent would be asked for ever.
    pub fn watch_list(&mut self) {
        if self.list.unanswered && self.list.connection.take().is_some() {
            tracing::warn!("the list service has not answered; connecting anew");
        }
        if self.list.connection.is_none() {
            let hello = self.hello();
            match Connection::connect(&self.poll, self.list.address, key_of(Place::List, 0)) {
                Ok(mut connection) => {
                    connection.queue(&hello, NOTHING);
                    self.list.connection = Some(connection);
                    self.ask_map();
                }
                Err(e) => return self.list_lost(&e.to_string()),
            }
            // Another process may serve the list by now, whose epochs mean something else.
            return self.ask_list(0);
        }
        self.ask_list(self.follower.epoch());
    }

    pub fn ask_list(&mut self, epoch: u64) {
        if let Some(connection) = &mut self.list.connection {
            connection.queue(&Message::WatchEndpoints { epoch }, NOTHING);
            self.list.unanswered = true;
            self.touched.push(key_of(Place::List, 0));
        }
    }

    /// Asks for the map of extents, where the service tells it.
    pub fn ask_map(&mut self) {
        if let Some(connection) = self.list.connection.as_mut().filter(|_| self.list.map) {
            connection.queue(&Message::WatchMap, NOTHING);
            self.touched.push(key_of(Place::List, 0));
        }
    }

    /// Requests without their final answer: id, volume, key, and where they are placed.
    pub fn placed(&self) -> Vec<(u64, u64, u64, u32, u32)> {
        let open = self.opens.iter().map(|(_, o)| o).filter(|o| !o.answered);
        let mut all: Vec<_> = open.map(|o| (o.id, o.volume, o.key, o.shard, o.version)).collect();
        // In the order taken, whatever slots they have.
        all.sort_unstable();
        all
    }

    /// The piece of data of a request; none once it has its final answer.
    pub fn piece(&mut self, request_id: u64) -> Option<(u64, u64)> {
        self.open(request_id).filter(|o| !o.answered).map(|o| (o.volume, o.key))
    }

    /// The version that an attempt which is out was sent under.
    pub fn sent_under(&mut self, request_id: u64, attempt: u32) -> Option<u32> {
        let open = self.open(request_id)?;
        open.out.iter().find(|o| o.attempt == attempt).map(|o| o.version)
    }

    pub fn place(&mut self, request_id: u64, shard: u32, version: u32) {
        if let Some(open) = self.open(request_id) {
            (open.shard, open.version) = (shard, version);
            self.hold(request_id);
        }
    }

    pub fn list_answered(&mut self) {
        self.list.unanswered = false;
        self.list.back.succeeded();
    }

    pub fn list_lost(&mut self, why: &str) {
        tracing::warn!(why, "the list service is lost");
        self.list.connection = None;
        self.list.unanswered = false;
        if self.list.asked {
            self.list_failed = true;
        } else {
            let again = self.list.back.failed(self.now);
            self.timers.set(again, Timer::ListAgain);
        }
    }

    /// Tells all clients that nothing more comes, and reads what they still send.
    pub fn end_writing_to_clients(&mut self) {
        for (_, client) in &mut self.clients {
            client.connection.end_writing();
            // One that cannot be read any more ends at its next read.
            _ = client.connection.set_reading(true);
        }
    }

    /// Whether all that clients are owed has been written.
    pub fn nothing_to_write(&self) -> bool {
        self.clients.iter().all(|(_, c)| c.connection.pending() == 0)
    }
}

impl Open {
    /// The blocks that it reads or writes; a key that is a piece by itself is one.
    fn range(&self) -> (u64, u64) {
        (self.key, self.key + u64::from(self.blocks.max(1)))
    }

    fn tell(&self, answer: &str, reason: &str) {
        self.span.in_scope(|| {
            let (attempts, node) = (self.attempts, self.last_node);
            tracing::info!(target: "request", answer, reason, attempts, node);
        });
    }
}

impl Environment for Floor {
    fn send(&mut self, node: u32, parts: &[AttemptRef]) {
        let index = self.peer(node);
        let sent = self.now;
        self.coalescer.left(parts.iter().map(|p| p.request_id));
        for &AttemptRef { request_id, attempt, timeout: time_out, .. } in parts {
            let Some(open) = self.open(request_id) else { continue };
            (open.attempts, open.last_node) = (attempt + 1, Some(node));
            let version = open.version;
            open.out.push(Out { attempt, peer: Some(index), sent, version });
            self.timers.set(sent + time_out, Timer::TimeOut { request_id, attempt });
        }
        let parts = parts.iter().map(|p| (p.request_id, p.attempt));
        let dial = self.peers[index].contact.dial();
        if dial == Dial::Use {
            return self.hand_over(index, parts);
        }
        self.peers[index].waiting.extend(parts);
        match dial {
            Dial::Use | Dial::Wait => {}
            Dial::Open => self.connect(index),
            Dial::Afresh => {
                let waiting = std::mem::take(&mut self.peers[index].waiting);
                self.peer_lost(key_of(Place::Node, index), "it has gone deaf; connecting afresh");
                self.peers[index].waiting = waiting;
                self.connect(index);
            }
        }
    }

    fn next_coalesced(&mut self, parts: &[AttemptRef]) -> Option<u64> {
        self.coalescer.beside(parts.iter().map(|p| p.request_id))
    }

    fn cancel(&mut self, request_id: u64, attempt: u32) {
        if !self.is_out(request_id, attempt) {
            return;
        }
        let waits = self.peers.iter().any(|p| p.waiting.contains(&(request_id, attempt)));
        self.tell_cancelled(request_id, attempt);
        let outcome = if waits { Outcome::ConnectFailed } else { Outcome::Cancelled };
        self.owed.push_back((request_id, attempt, outcome));
    }

    fn answer(&mut self, request_id: u64, ending: FinalStatus, reason: Reason) {
        let word = reason.as_str();
        match ending {
            FinalStatus::Rejected { retry_after } => {
                self.finish(request_id, FinalCode::Rejected, retry_after, word.as_bytes(), word)
            }
            FinalStatus::Failed => self.finish(request_id, FinalCode::Failed, 0.0, word.as_bytes(), word),
        }
        self.release(request_id);
    }

    fn send_gossip(&mut self, to: &[usize], told: &[(u16, GossipReport)]) {
        self.others.iter().for_each(|others| others.tell(to, told));
    }

    fn check_health(&mut self, node: u32) {
        let index = self.peer(node);
        let peer = &mut self.peers[index];
        if let Some(connection) = peer.connection.as_mut().filter(|_| peer.contact.open()) {
            connection.queue(&Message::HealthCheck { number: node }, NOTHING);
            self.touched.push(key_of(Place::Node, index));
        }
    }

    fn poll_endpoints(&mut self) {
        self.watch_list();
    }

    fn wake(&mut self, at: Ms) {
        self.wake_at = at;
    }
}
