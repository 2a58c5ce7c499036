//! The loop of a fleet: its sockets, its work and its list.

use crate::config::{DeduplicationScope, EmulatorConfig};
use crate::moves::{Service, Stepped};
use crate::node::{Ailing, Node};
use crate::{Ms, Seen};
use magpiewick_extents::{Change, Changes, Extent, Stage};
use magpiewick_node_protocol::{
    self as wire, Attempt, EndpointEntry, EndpointListUpdate, EntryState, FinalAnswer, FinalCode, Frames,
    Hello, MapEntry, MapEntryKind, MapUpdate, Message, MigrationStage, Outcome, OutcomeCode, Role, LONG_AGO,
    MAX_MAP_ENTRIES,
};
use magpiewick_transport::{listen, Clock, Connection, Poll, Registered, Timers, Woken, NOTHING};
use nanorand::{Rng, WyRand};
use slab::Slab;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

/// An attempt as a node took it in.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub host: u64,
    /// The connection it came on, and that connection's own number.
    pub from: (usize, u64),
    /// The life of the node that it came to.
    pub life: u64,
    /// When its client stops waiting.
    pub ends: Ms,
    pub request_id: u64,
    pub attempt: u16,
    pub class: u16,
    pub write: bool,
    pub volume: u64,
    pub key: u64,
    pub mark: u64,
    pub units: f64,
    pub blocks: u32,
    pub version: u32,
    /// Numbers the node's request that it came with, and how many came with that.
    pub batch: u64,
    pub parts: usize,
    pub payload: Vec<u8>,
    /// A client asked it of the node itself; for measuring what a host adds.
    pub direct: bool,
}

/// What stands between the sockets and a node in a rig that must break a rule on purpose: each attempt goes
/// in, and comes out as often and as late as it likes.
pub trait Tamper: Send {
    fn pass(&mut self, now: Ms, node: u32, arrived: Arrived) -> Vec<(Ms, Arrived)>;
}

/// A host's or client's connection to a node, or to the endpoint list service (`node` is none).
struct Peer {
    connection: Connection,
    serial: u64,
    node: Option<usize>,
    host: u64,
    greeted: bool,
    watching: bool,
    watching_map: bool,
}

enum Due {
    Job(usize, Vec<Arrived>),
    Late(usize, Box<Arrived>),
    /// Work that was put off is done.
    PutOff(usize),
    Again(usize),
    Tell,
    Move(u64, u64),
    TellMap(Box<MapUpdate>),
}

type Order = Box<dyn FnOnce(&mut Fleet) + Send>;

/// The keys of the poller: the list's listener, the nodes' listeners, the connections.
const LIST: usize = 0;
const NODES: usize = 1;
const PEERS: usize = 1 << 32;

pub struct Fleet {
    config: EmulatorConfig,
    clock: Clock,
    poll: Poll,
    rng: WyRand,
    nodes: Vec<Node>,
    doors: Vec<Option<Registered<TcpListener>>>,
    list_door: Registered<TcpListener>,
    list_down: bool,
    epoch: u64,
    /// Changes that the endpoint list service has yet to tell, each with the time from which it may.
    untold: Vec<(Ms, u32)>,
    peers: Slab<Peer>,
    serial: u64,
    timers: Timers<u64>,
    dues: HashMap<u64, Due>,
    due_number: u64,
    batches: u64,
    memory: HashMap<(u64, u64), Ms>,
    pub map: Service,
    kept_map: Option<(u64, Vec<MapEntry>)>,
    records: Vec<(Ms, Seen)>,
    recording: bool,
    tamper: Option<Box<dyn Tamper>>,
    now: Ms,
    over: bool,
}

/// A fleet that runs in a thread of its own.
pub struct Handle {
    orders: Sender<Order>,
    poll: Poll,
    thread: Option<JoinHandle<()>>,
    pub list: SocketAddr,
}

impl Handle {
    /// Starts a fleet; `clock` is the one that its records tell the time by.
    pub fn start(
        config: EmulatorConfig,
        clock: Clock,
        tamper: Option<Box<dyn Tamper>>,
    ) -> io::Result<Handle> {
        let (orders, inbox) = channel();
        let mut fleet = Fleet::new(config, clock, tamper)?;
        let (poll, list) = (fleet.poll.clone(), fleet.list_door.local_addr()?);
        let thread = std::thread::Builder::new().name("fleet".to_string());
        let thread = thread.spawn(move || fleet.run(&inbox))?;
        Ok(Handle { orders, poll, thread: Some(thread), list })
    }

    /// Has the fleet do something between two turns of its loop.
    pub fn order(&self, order: impl FnOnce(&mut Fleet) + Send + 'static) {
        // A fleet that has ended needs no orders.
        _ = self.orders.send(Box::new(order));
        self.poll.wake();
    }

    /// Asks the fleet something and waits for the answer; none once it has ended.
    pub fn ask<T: Send + 'static>(&self, ask: impl FnOnce(&mut Fleet) -> T + Send + 'static) -> Option<T> {
        let (to, from) = channel();
        self.order(move |fleet| _ = to.send(ask(fleet)));
        from.recv().ok()
    }

    /// The records since they were last taken.
    pub fn records(&self) -> Vec<(Ms, Seen)> {
        self.ask(|fleet| std::mem::take(&mut fleet.records)).unwrap_or_default()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.order(|fleet| fleet.over = true);
        if let Some(thread) = self.thread.take() {
            // A fleet that panicked has said so on standard error.
            _ = thread.join();
        }
    }
}

impl Fleet {
    fn new(config: EmulatorConfig, clock: Clock, tamper: Option<Box<dyn Tamper>>) -> io::Result<Fleet> {
        let poll = Poll::new()?;
        let list_door = poll.register(listen(config.list)?, LIST)?;
        let mut fleet = Fleet {
            rng: WyRand::new_seed(config.seed),
            nodes: config.nodes.iter().cloned().map(Node::new).collect(),
            doors: config.nodes.iter().map(|_| None).collect(),
            list_door,
            list_down: false,
            epoch: 1,
            untold: Vec::new(),
            peers: Slab::new(),
            serial: 0,
            timers: Timers::default(),
            dues: HashMap::new(),
            due_number: 0,
            batches: 0,
            memory: HashMap::new(),
            kept_map: None,
            map: Service::new(&config.volumes, config.extents, config.keys, config.pace),
            records: Vec::new(),
            recording: true,
            tamper,
            now: clock.now(),
            over: false,
            clock,
            poll,
            config,
        };
        for node in 0..fleet.nodes.len() {
            if !fleet.nodes[node].config.spare {
                fleet.start(node, false)?;
                fleet.nodes[node].listed = true;
            }
            if fleet.config.put_off > 0.0 {
                let first = fleet.draw() * fleet.config.put_off_every;
                fleet.set(fleet.now + first, Due::PutOff(node));
            }
        }
        Ok(fleet)
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.rng.generate::<u32>()) / (f64::from(u32::MAX) + 1.0)
    }

    fn set(&mut self, at: Ms, due: Due) {
        self.due_number += 1;
        self.dues.insert(self.due_number, due);
        self.timers.set(at, self.due_number);
    }

    fn see(&mut self, seen: Seen) {
        if self.recording {
            self.records.push((self.clock.now(), seen));
        }
    }

    /// Keeps no records any more; for runs without an audit.
    pub fn forget_records(&mut self) {
        self.recording = false;
    }

    fn run(&mut self, inbox: &Receiver<Order>) {
        let mut woken = Woken::default();
        while !self.over {
            let next = self.timers.next_at().map(|at| Clock::until(self.clock.now(), at));
            if let Err(e) = self.poll.wait(&mut woken, next) {
                return tracing::error!(error = %e, "the fleet's poller failed");
            }
            self.now = self.clock.now();
            inbox.try_iter().for_each(|order| order(self));
            while let Some(due) = self.timers.due(self.now).and_then(|number| self.dues.remove(&number)) {
                self.due(due);
            }
            for key in std::mem::take(&mut woken.readable) {
                self.readable(key);
            }
            for index in self
                .peers
                .iter()
                .filter(|(_, p)| p.connection.pending() > 0)
                .map(|(i, _)| i)
                .collect::<Vec<_>>()
            {
                if self.peers[index].connection.flush().is_err() {
                    self.end_peer(index);
                }
            }
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Job(node, job) => self.done(node, job),
            Due::Late(node, arrived) => self.arrive(node, vec![*arrived]),
            Due::PutOff(node) => {
                let n = &mut self.nodes[node];
                n.still_until = n.still_until.max(self.now + std::mem::take(&mut n.put_off));
                let again = self.now + self.config.put_off_every;
                self.set(again, Due::PutOff(node));
            }
            Due::Again(node) => self.work(node),
            Due::Tell => self.tell_news(),
            Due::Move(volume, start) => self.step_move(volume, start),
            Due::TellMap(news) => self.tell_map(&news),
        }
    }

    // What a script does.

    pub fn node_number(&self, number: u32) -> Option<usize> {
        self.nodes.iter().position(|n| n.config.number == number)
    }

    /// Where its nodes listen, by number.
    pub fn addresses(&self) -> Vec<(u32, SocketAddr)> {
        self.nodes.iter().filter(|n| n.up).map(|n| (n.config.number, n.address)).collect()
    }

    pub fn ail(&mut self, node: usize, change: impl FnOnce(&mut Ailing)) {
        change(&mut self.nodes[node].ailing);
        let ungreeted = self.peers.iter().filter(|(_, p)| p.node == Some(node) && !p.greeted);
        for index in ungreeted.map(|(index, _)| index).collect::<Vec<_>>() {
            self.greet(index);
        }
        self.work(node);
    }

    /// Starts a node's process, cold or as one that has run for long, at the address it had before.
    pub fn start(&mut self, node: usize, cold: bool) -> io::Result<()> {
        let life = self.rng.generate::<u64>();
        let door = listen(self.nodes[node].address)?;
        self.nodes[node].address = door.local_addr()?;
        self.doors[node] = Some(self.poll.register(door, NODES + node)?);
        self.nodes[node].begin(life, cold.then_some(self.now));
        let shard = self.nodes[node].config.shard;
        self.map.restarted(shard);
        self.see(Seen::Started { node: self.nodes[node].config.number, life, cold });
        Ok(())
    }

    /// Ends a node's process without a word.
    pub fn stop(&mut self, node: usize) {
        let (number, life) = (self.nodes[node].config.number, self.nodes[node].life);
        self.nodes[node].up = false;
        self.nodes[node].waiting.clear();
        self.doors[node] = None;
        let own: Vec<usize> =
            self.peers.iter().filter(|(_, p)| p.node == Some(node)).map(|(i, _)| i).collect();
        for index in own {
            self.see(Seen::Ended { node: number, host: self.peers[index].host });
            self.peers.remove(index).connection.reset();
        }
        self.see(Seen::Stopped { node: number, life });
    }

    /// Lists a node anew: as ready, as draining, or not at all.
    pub fn list(&mut self, node: usize, listed: bool, draining: bool) {
        let n = &mut self.nodes[node];
        (n.listed, n.draining) = (listed, draining);
        let number = n.config.number;
        let at = self.now + self.config.list_late;
        self.untold.push((at, number));
        self.set(at, Due::Tell);
    }

    pub fn list_is_down(&mut self, down: bool) {
        self.list_down = down;
        if down {
            let own: Vec<usize> =
                self.peers.iter().filter(|(_, p)| p.node.is_none()).map(|(i, _)| i).collect();
            own.into_iter().for_each(|index| self.peers.remove(index).connection.reset());
        }
    }

    // The endpoint list service.

    fn line(&self, number: u32) -> Option<EndpointEntry> {
        let n = &self.nodes[self.node_number(number)?];
        let IpAddr::V4(address) = n.address.ip() else { return None };
        let state = match (n.listed, n.draining) {
            (false, _) => EntryState::Removed,
            (true, true) => EntryState::Draining,
            (true, false) => EntryState::Ready,
        };
        let age_us = n.started.map_or(LONG_AGO, |at| ((self.now - at).max(0.0) * 1000.0) as u64);
        let (node, shard, zone, life) = (number, n.config.shard, n.config.zone, n.life);
        Some(EndpointEntry {
            node,
            shard,
            zone,
            state,
            incarnation: life,
            age_us,
            address: address.octets(),
            port: n.address.port(),
        })
    }

    fn tell_news(&mut self) {
        let now = self.now;
        let due: Vec<u32> = self.untold.iter().filter(|u| u.0 <= now).map(|u| u.1).collect();
        self.untold.retain(|u| u.0 > now);
        if due.is_empty() {
            return;
        }
        self.epoch += 1;
        let lines = due.into_iter().filter_map(|number| self.line(number)).collect();
        let news = EndpointListUpdate { snapshot: false, epoch: self.epoch, entries: lines };
        if self.list_down {
            return;
        }
        for index in self.peers.iter().filter(|(_, p)| p.watching).map(|(i, _)| i).collect::<Vec<_>>() {
            self.tell(index, &news);
        }
    }

    fn tell(&mut self, index: usize, list: &EndpointListUpdate) {
        let host = self.peers[index].host;
        for l in list.entries.iter().filter(|l| l.state != EntryState::Ready) {
            self.see(Seen::Told { host, node: l.node, life: l.incarnation });
        }
        self.peers[index].connection.queue(&Message::EndpointList(list.clone()), NOTHING);
    }

    fn whole_list(&self) -> EndpointListUpdate {
        // What is not told yet stands in the whole list as it will: news may be early, never wrong.
        let listed = self.nodes.iter().filter(|n| n.listed).map(|n| n.config.number);
        EndpointListUpdate {
            snapshot: true,
            epoch: self.epoch,
            entries: listed.filter_map(|n| self.line(n)).collect(),
        }
    }

    // The map of extents and its moves.

    /// Begins to move an extent, by its number in the volume.
    pub fn plan_move(&mut self, volume: u64, extent: usize, to: u32) {
        if let Some(e) = self.map.extent(volume, extent) {
            self.plan(volume, e, to);
        }
    }

    fn plan(&mut self, volume: u64, e: Extent, to: u32) {
        if self.nodes.iter().any(|n| n.config.shard == to) && self.map.plan(volume, e, to) {
            self.set(self.now, Due::Move(volume, e.start));
        }
    }

    /// What an operator asks of an extent's move; how far it is then.
    fn asked_move(&mut self, volume: u64, start: u64, shard: u32, abandon: bool) -> Message<'static> {
        let extent = self.map.map.find(volume, start).filter(|e| e.start == start);
        match extent {
            Some(_) if abandon => self.map.abandon(volume, start),
            Some(e) => self.plan(volume, e, shard),
            None => {}
        }
        let still = extent.map_or(u32::MAX, |e| e.shard);
        let (from, to, stage) = match self.map.stage(volume, start) {
            None => (still, still, MigrationStage::Idle),
            Some((from, to, Stage::Copying)) => (from, to, MigrationStage::Copying),
            Some((from, to, Stage::Copied)) => (from, to, MigrationStage::Copied),
            Some((from, to, Stage::Moved)) => (from, to, MigrationStage::Completed),
            Some((from, to, Stage::Abandoned)) => (from, to, MigrationStage::Aborted),
        };
        Message::MigrationState { volume, start, from, to, stage }
    }

    pub fn abandon_move(&mut self, volume: u64, extent: usize) {
        if let Some(e) = self.map.extent(volume, extent) {
            self.map.abandon(volume, e.start);
        }
    }

    fn step_move(&mut self, volume: u64, start: u64) {
        let nodes = &self.nodes;
        let waiting = |shard: u32| {
            let of = nodes.iter().filter(|n| n.up && n.config.shard == shard);
            of.map(|n| n.waiting.len()).max()
        };
        let again = self.now + self.config.move_step;
        match self.map.step((volume, start), waiting) {
            Stepped::Over(None) => {}
            Stepped::Again => self.set(again, Due::Move(volume, start)),
            Stepped::Changed(changes) => {
                self.publish(&changes);
                self.set(again, Due::Move(volume, start));
            }
            Stepped::Over(Some(changes)) => self.publish(&changes),
        }
    }

    fn publish(&mut self, changes: &Changes) {
        let line = |c: &Change| match *c {
            Change::Switch { volume, start, shard, version } => {
                Some(MapEntry { kind: MapEntryKind::Switch, volume, start, position: 0, shard, version })
            }
            _ => None,
        };
        let lines: Vec<MapEntry> = changes.changes.iter().filter_map(line).collect();
        for l in &lines {
            let (volume, start, shard, version) = (l.volume, l.start, l.shard, l.version);
            self.see(Seen::Switched { volume, start, shard, version });
        }
        let news = MapUpdate { snapshot: false, epoch: changes.epoch, part: 0, last: true, entries: lines };
        let late = self.now + self.config.list_late;
        self.set(late, Due::TellMap(Box::new(news)));
    }

    fn tell_map(&mut self, news: &MapUpdate) {
        if self.list_down {
            return;
        }
        let mut told = news.clone();
        if self.map.halved {
            told.entries.truncate(told.entries.len() / 2);
        }
        let mut hosts = Vec::new();
        for (_, peer) in self.peers.iter_mut().filter(|(_, p)| p.watching_map) {
            peer.connection.queue(&Message::ExtentMap(told.clone()), NOTHING);
            hosts.push(peer.host);
        }
        for l in news.entries.iter().filter(|l| l.kind == MapEntryKind::Switch) {
            let (volume, start, version) = (l.volume, l.start, l.version);
            let end = self.map.map.find(volume, start).map_or(start, |e| e.end);
            for host in &hosts {
                self.see(Seen::MapTold { host: *host, volume, start, end, version });
            }
        }
    }

    fn whole_map(&self) -> (u64, Vec<MapEntry>) {
        let line = |(volume, e): (u64, Extent)| {
            let (start, at, shard, version) = (e.start, e.end, e.shard, e.version);
            MapEntry { kind: MapEntryKind::Extent, volume, start, position: at, shard, version }
        };
        (self.map.map.epoch(), self.map.map.all().map(line).collect())
    }

    fn tell_whole_map(&mut self, index: usize, (epoch, lines): &(u64, Vec<MapEntry>)) {
        let parts = lines.chunks(MAX_MAP_ENTRIES).count().max(1);
        for part in 0..parts {
            let lines = lines.chunks(MAX_MAP_ENTRIES).nth(part).unwrap_or_default().to_vec();
            let (epoch, part, last) = (*epoch, part as u32, part + 1 == parts);
            let news = Message::ExtentMap(MapUpdate { snapshot: true, epoch, part, last, entries: lines });
            self.peers[index].connection.queue(&news, NOTHING);
        }
    }

    /// Keeps the map as it is now, or tells all hosts what was kept: a service that went back in time.
    pub fn map_old(&mut self, keep: bool) {
        if keep {
            self.kept_map = Some(self.whole_map());
        } else if let Some(kept) = self.kept_map.take().filter(|_| !self.list_down) {
            let watching = self.peers.iter().filter(|(_, p)| p.watching_map).map(|(index, _)| index);
            watching.collect::<Vec<_>>().into_iter().for_each(|index| self.tell_whole_map(index, &kept));
        }
    }

    // Sockets.

    fn readable(&mut self, key: usize) {
        if key >= PEERS {
            return self.peer_readable(key - PEERS);
        }
        let node = key.checked_sub(NODES);
        loop {
            let door = match node {
                None => Some(&self.list_door),
                Some(n) => self.doors[n].as_ref(),
            };
            let Some(Ok((stream, _))) = door.map(|d| d.accept()) else { return };
            if node.is_none() && self.list_down {
                continue;
            }
            let entry = self.peers.vacant_entry();
            let index = entry.key();
            let Ok(connection) = Connection::accepted(&self.poll, stream, PEERS + index) else { continue };
            self.serial += 1;
            entry.insert(Peer {
                connection,
                serial: self.serial,
                node,
                host: 0,
                greeted: false,
                watching: false,
                watching_map: false,
            });
            self.greet(index);
        }
    }

    /// Greets whoever connected; a deaf node does so once it hears again.
    fn greet(&mut self, index: usize) {
        let node = self.peers[index].node;
        if node.is_some_and(|n| self.nodes[n].ailing.deaf) {
            return;
        }
        let hello = self.hello(node);
        self.peers[index].greeted = true;
        self.peers[index].connection.queue(&hello, NOTHING);
    }

    fn hello(&self, node: Option<usize>) -> Message<'static> {
        let n = node.map(|n| &self.nodes[n]);
        let age = |at: Ms| ((self.now - at).max(0.0) * 1000.0) as u64;
        Message::Hello(Hello::new(
            n.map_or(Role::EndpointList, |_| Role::Node),
            n.map_or(0, |n| n.config.number),
            n.map_or(0, |n| n.life),
            n.and_then(|n| n.started).map_or(LONG_AGO, age),
        ))
    }

    fn peer_readable(&mut self, index: usize) {
        let Some(peer) = self.peers.get_mut(index) else { return };
        let serial = peer.serial;
        let mut ended = peer.connection.fill().is_err();
        let input = peer.connection.take_input();
        let mut frames = Frames::new(&input);
        while !ended {
            let Some(message) = frames.next() else { break };
            ended = !message.is_ok_and(|message| self.said(index, &message));
            // Whoever broke the connection off took its peer away.
            if self.peers.get(index).is_none_or(|p| p.serial != serial) {
                return;
            }
        }
        let used = frames.consumed();
        self.peers[index].connection.give_back(input, used);
        if ended {
            self.end_peer(index);
        }
    }

    fn end_peer(&mut self, index: usize) {
        let peer = self.peers.remove(index);
        if let Some(node) = peer.node {
            self.see(Seen::Ended { node: self.nodes[node].config.number, host: peer.host });
        }
    }

    /// What a host said; false where it may not.
    fn said(&mut self, index: usize, message: &Message) -> bool {
        let (node, host) = (self.peers[index].node, self.peers[index].host);
        match (message, node) {
            (Message::Hello(hello), _) => self.peers[index].host = hello.incarnation,
            (Message::WatchEndpoints { .. }, None) => {
                self.peers[index].watching = true;
                let whole = self.whole_list();
                self.tell(index, &whole);
                // Nodes that are not listed any more are told of by their absence.
                let gone: Vec<(u32, u64)> =
                    self.nodes.iter().filter(|n| !n.listed).map(|n| (n.config.number, n.life)).collect();
                gone.into_iter().for_each(|(node, life)| self.see(Seen::Told { host, node, life }));
            }
            (Message::WatchMap, None) => {
                self.peers[index].watching_map = true;
                let whole = self.whole_map();
                self.tell_whole_map(index, &whole);
            }
            (Message::Migrate { volume, start, shard, abort: abandon }, None) => {
                let state = self.asked_move(*volume, *start, *shard, *abandon);
                self.peers[index].connection.queue(&state, NOTHING);
            }
            (Message::Attempt(h), Some(node)) => self.handed(index, node, std::slice::from_ref(h)),
            (Message::Batch(parts), Some(node)) => self.handed(index, node, parts),
            (Message::Request(t), Some(node)) => {
                let (request_id, class, write, volume, key) =
                    (t.request_id, t.class, t.write, t.volume, t.key);
                let (mark, units, payload, left_us) =
                    (t.idempotency_key, t.units, t.payload, t.client_timeout_us);
                let (attempt, shard) = (0, self.nodes[node].config.shard);
                let h = Attempt {
                    request_id,
                    attempt,
                    class,
                    write,
                    volume,
                    key,
                    idempotency_key: mark,
                    units,
                    shard,
                    remaining_us: left_us,
                    version: 0,
                    blocks: t.blocks,
                    payload,
                };
                let arrived = Arrived { direct: true, ..self.arrived(index, node, &h, 1) };
                self.arrive(node, vec![arrived]);
            }
            (Message::CancelAttempt { request_id, attempt }, Some(node)) => {
                let number = self.nodes[node].config.number;
                self.see(Seen::Cancelled { node: number, host, request_id: *request_id, attempt: *attempt });
                let is = |a: &Arrived| (a.host, a.request_id, a.attempt) == (host, *request_id, *attempt);
                let waiting = &mut self.nodes[node].waiting;
                waiting.iter_mut().for_each(|job| job.retain(|a| !is(a)));
                waiting.retain(|job| !job.is_empty());
            }
            (Message::HealthCheck { number }, Some(node)) => {
                let n = &self.nodes[node];
                let busy = n.running as f32 / n.config.cores as f32;
                let (number, queue) = (*number, n.waiting.len() as u32);
                self.peers[index].connection.queue(&Message::HealthReport { number, queue, busy }, NOTHING);
            }
            _ => return false,
        }
        true
    }

    /// Takes in what a host handed over as one request.
    fn handed(&mut self, index: usize, node: usize, parts: &[Attempt]) {
        self.batches += 1;
        let mut now = Vec::new();
        for h in parts {
            let arrived = self.arrived(index, node, h, parts.len());
            let Some(tamper) = &mut self.tamper else {
                now.push(arrived);
                continue;
            };
            for (late, arrived) in tamper.pass(self.now, self.nodes[node].config.number, arrived) {
                match late > 0.0 {
                    true => self.set(self.now + late, Due::Late(node, Box::new(arrived))),
                    false => now.push(arrived),
                }
            }
        }
        self.arrive(node, now);
    }

    fn arrived(&self, index: usize, node: usize, h: &Attempt, parts: usize) -> Arrived {
        let peer = &self.peers[index];
        Arrived {
            host: peer.host,
            from: (index, peer.serial),
            life: self.nodes[node].life,
            ends: self.now + f64::from(h.remaining_us) / 1000.0,
            request_id: h.request_id,
            attempt: h.attempt,
            class: h.class,
            write: h.write,
            volume: h.volume,
            key: h.key,
            mark: h.idempotency_key,
            units: f64::from(h.units),
            blocks: h.blocks,
            version: h.version,
            batch: self.batches,
            parts,
            payload: h.payload.to_vec(),
            direct: false,
        }
    }

    // Work.

    fn arrive(&mut self, node: usize, parts: Vec<Arrived>) {
        let mut job = Vec::with_capacity(parts.len());
        for a in parts {
            let n = &mut self.nodes[node];
            if !n.up || n.life != a.life {
                return;
            }
            let (number, shard) = (n.config.number, n.config.shard);
            let Arrived {
                host,
                request_id,
                attempt,
                class,
                volume,
                key,
                mark,
                units,
                write,
                batch,
                version,
                ..
            } = a;
            self.see(Seen::Attempt {
                node: number,
                host,
                request_id,
                attempt,
                class,
                volume,
                key,
                mark,
                units,
                write,
                version,
                batch,
            });
            let n = &mut self.nodes[node];
            if n.pushed_over(self.now, units, self.config.unit_work, &self.config.cold) {
                self.see(Seen::Fell { node: number });
                return self.stop(node);
            }
            let full = n.ailing.full || n.waiting.len() >= self.config.queue;
            if self.map.serves_all(shard, volume, key, a.blocks).is_err() {
                self.answer(node, &a, OutcomeCode::ShardMoved, &[]);
            } else if full || self.strikes(node) {
                self.answer(node, &a, OutcomeCode::Overloaded, &[]);
            } else {
                job.push(a);
            }
        }
        if !job.is_empty() {
            self.nodes[node].waiting.push_back(job);
            self.work(node);
        }
    }

    /// Whether a node that fails partly does so now, in one of its three ways.
    fn strikes(&mut self, node: usize) -> bool {
        let part = self.nodes[node].ailing.partly / 3.0;
        part > 0.0 && self.draw() < part
    }

    fn work(&mut self, node: usize) {
        let (unit_work, cold) = (self.config.unit_work, self.config.cold);
        loop {
            let n = &mut self.nodes[node];
            if !n.up || n.ailing.deaf || n.running >= n.config.cores || n.waiting.is_empty() {
                return;
            }
            if self.now < n.still_until {
                let at = n.still_until;
                return self.set(at, Due::Again(node));
            }
            let Some(mut job) = n.waiting.pop_front() else { return };
            // A request whose time is up is not begun.
            job.retain(|part| self.now < part.ends);
            if job.is_empty() {
                continue;
            }
            let units = job.iter().map(|part| part.units).sum();
            let mut time = n.work(self.now, units, unit_work, &cold);
            if job[0].write {
                n.put_off += time * self.config.put_off / n.config.cores as f64;
                time *= 1.0 - self.config.put_off;
            }
            time += self.config.command_work * n.ailing.slow / n.config.speed;
            n.running += 1;
            let at = self.now + time;
            if time <= 0.0 {
                self.done(node, job);
            } else {
                self.set(at, Due::Job(node, job));
            }
        }
    }

    fn done(&mut self, node: usize, job: Vec<Arrived>) {
        if !self.nodes[node].up || self.nodes[node].life != job[0].life {
            return;
        }
        self.nodes[node].running -= 1;
        for part in &job {
            // Whoever broke the connection off at an answer has ended nothing else.
            self.run_part(node, part);
        }
        self.work(node);
    }

    fn run_part(&mut self, node: usize, job: &Arrived) {
        let (number, shard) = (self.nodes[node].config.number, self.nodes[node].config.shard);
        // What began before the extent was fenced has had no effect yet, and has none any more.
        if self.map.serves_all(shard, job.volume, job.key, job.blocks).is_err() {
            return self.answer(node, job, OutcomeCode::ShardMoved, &[]);
        }
        if self.strikes(node) {
            return self.answer(node, job, OutcomeCode::Error, &[]);
        }
        if !self.is_repeat(node, job) {
            let (host, request_id, class, mark) = (job.host, job.request_id, job.class, job.mark);
            let (volume, key, write, blocks) = (job.volume, job.key, job.write, job.blocks.max(1));
            self.see(Seen::Ran { node: number, host, request_id, class, volume, key, mark, write, blocks });
            if job.write {
                self.map.write_all(shard, volume, key, blocks, &job.payload);
            }
        }
        let found = match job.write {
            true => Vec::new(),
            false => self.map.read_all(shard, job.volume, job.key, job.blocks, self.config.block),
        };
        if !self.strikes(node) {
            self.answer(node, job, OutcomeCode::Succeeded, &found);
        }
    }

    /// Whether the nodes of this one's group have run the request before and still know.
    fn is_repeat(&mut self, node: usize, job: &Arrived) -> bool {
        if job.mark == 0 || !self.config.fingerprinted.contains(&job.class) {
            return false;
        }
        let config = &self.nodes[node].config;
        let group = match self.config.group {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => u64::from(config.zone),
            DeduplicationScope::Shard => u64::from(config.shard),
        };
        let (now, memory) = (self.now, self.config.memory);
        if self.memory.len() > 100_000 {
            self.memory.retain(|_, at| now - *at < memory);
        }
        let known = self.memory.get(&(group, job.mark)).is_some_and(|at| now - at < memory);
        if !known {
            self.memory.insert((group, job.mark), now);
        }
        known
    }

    fn answer(&mut self, node: usize, a: &Arrived, code: OutcomeCode, payload: &[u8]) {
        let code =
            if code == OutcomeCode::ShardMoved && self.map.denied { OutcomeCode::Succeeded } else { code };
        let others = match code {
            OutcomeCode::Succeeded => self.nodes[node].served(a.volume, a.host, a.units),
            _ => 0.0,
        };
        let lost = self.nodes[node].ailing.losing > 0.0 && self.draw() < self.nodes[node].ailing.losing;
        let ailing = self.nodes[node].ailing;
        let (index, serial) = a.from;
        let Some(peer) = self.peers.get_mut(index).filter(|p| p.serial == serial) else { return };
        if ailing.silent || lost {
            return;
        }
        let n = &self.nodes[node];
        let (request_id, attempt) = (a.request_id, a.attempt);
        if a.direct {
            let verdict =
                if code == OutcomeCode::Succeeded { FinalCode::Succeeded } else { FinalCode::Rejected };
            let answer =
                Message::FinalAnswer(FinalAnswer { request_id, code: verdict, retry_after_us: 0, payload });
            return peer.connection.queue(&answer, NOTHING);
        }
        let owner = self.map.serves(n.config.shard, a.volume, a.key).err().flatten();
        let owner = owner.filter(|_| code == OutcomeCode::ShardMoved);
        let message = Message::Outcome(Outcome {
            owner: owner.map(|o| o.0),
            version: owner.map_or(0, |o| o.1),
            request_id,
            attempt,
            code,
            used: None,
            others: others as f32,
            queue: n.waiting.len() as u32,
            busy: n.running as f32 / n.config.cores as f32,
            payload,
        });
        if ailing.breaking {
            let mut frame = Vec::new();
            wire::encode(&message, &mut frame);
            peer.connection.queue_bytes(&frame[..frame.len() / 2]);
            _ = peer.connection.flush();
            self.nodes[node].ailing.breaking = false;
            return self.end_peer(index);
        }
        peer.connection.queue(&message, NOTHING);
        let (node, host) = (n.config.number, a.host);
        let (ran, moved) = (code == OutcomeCode::Succeeded, code == OutcomeCode::ShardMoved);
        self.see(Seen::Answered { node, host, request_id, attempt, ran, moved });
    }
}
