//! The running host: one loop over clients, storage nodes and the endpoint list service, around the engine.
//!
//! The loop hands the module each event and does what it answers. It decides nothing on the module's
//! questions; what it has to decide by itself (which connection an attempt goes out on, whether a process is
//! the one that was meant, what a broken connection proves) stands in `contact` and `follow`, free of I/O.

pub mod config;
pub mod contact;
mod floor;
pub mod follow;
mod others;
mod route;

use config::HostConfig;
use contact::Greeted;
use floor::{key_of, place_of, Admitted, Floor, PieceEnded, Place, Timer, Whole, WHOLE};
use follow::Heard;
use magpiewick::{Answer, EndpointUpdate, Idempotency, Ms, Outcome, Request};
use magpiewick_coalescing::{cut, Progress, SplitRead};
use magpiewick_engine::{Engine, IncomingRequest, StallDetector};
use magpiewick_extents::{Fault, Place as At};
use magpiewick_node_protocol::{
    self as wire, ClientRequest, Decoded, EndpointListUpdate, FinalAnswer, FinalCode, Frames, Hello,
    MapUpdate, Message, OutcomeCode, Role, MAX_PAYLOAD_LENGTH, VERSION,
};
use magpiewick_transport::{Clock, Ended, Poll, Registered, Woken};
use others::Others;
use std::io::{self, ErrorKind, Read as _};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;

use xxhash_rust::xxh3::xxh3_64;

/// The loop never sleeps longer: what came while the process stood still is told from what just came by it.
const LONGEST_SLEEP: Ms = 20.0;

/// How long clients are heard out once all that they are owed is written.
const LINGER: Ms = 300.0;

/// How a host ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEnd {
    /// It was told to stop, and everything in hand got its final answer.
    Stopped,
    /// It was told twice.
    Abandoned,
}

/// A host with its listener bound.
pub struct Gateway {
    config: HostConfig,
    engine: Engine,
    floor: Floor,
    listener: Option<Registered<TcpListener>>,
    stop: Registered<UnixStream>,
    stops: usize,
    ends_by: Option<Ms>,
    /// Set once nothing more is written to clients: until when they are heard out.
    lingers_until: Option<Ms>,
    address: SocketAddr,
    /// Set while no more is read from clients, as enough is in hand.
    full: bool,
    stall_detector: StallDetector,
}

impl Gateway {
    /// Binds the listener. A byte on `stop` asks the host to stop, a second one to end at once; `life` names
    /// this start of the process and must differ from all others.
    pub fn bind(mut config: HostConfig, stop: UnixStream, life: u64) -> io::Result<Gateway> {
        let clock = Clock::start();
        let poll = Poll::new()?;
        let listener = magpiewick_transport::listen(config.listen)?;
        let address = listener.local_addr()?;
        stop.set_nonblocking(true)?;
        let now = clock.now();
        let mut floor = Floor::new(&config, poll.clone(), clock, life);
        if !config.peers.is_empty() {
            let own = config.number as usize;
            floor.others = Some(Others::bind(own, std::mem::take(&mut config.peers), &poll)?);
            config.start.peer = Some(own);
        }
        Ok(Gateway {
            engine: Engine::new(config.start.clone(), now),
            listener: Some(poll.register(listener, key_of(Place::Door, 0))?),
            stop: poll.register(stop, key_of(Place::Stop, 0))?,
            floor,
            stops: 0,
            ends_by: None,
            lingers_until: None,
            address,
            full: false,
            stall_detector: StallDetector::new(now, config.start.round),
            config,
        })
    }

    /// Where clients reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until it is told to stop.
    pub fn run(mut self) -> io::Result<HostEnd> {
        self.recall();
        if !self.config.list.asked {
            self.floor.watch_list();
        }
        let mut woken = Woken::default();
        loop {
            let sleep = self.sleep();
            self.stall_detector.on_sleep(self.floor.clock.now(), sleep);
            self.floor.poll.wait(&mut woken, Some(Clock::until(0.0, sleep)))?;
            self.floor.now = self.floor.clock.now();
            self.stall_detector.on_wake(self.floor.now);
            self.turn(&woken);
            if self.stops > 1 {
                return Ok(HostEnd::Abandoned);
            }
            if self.stops > 0 && self.in_hand() == 0 && self.has_left() {
                return Ok(HostEnd::Stopped);
            }
        }
    }

    /// Sends clients away once all that they are owed is written; whether all of them have gone, or had their time.
    /// What they still send is read and thrown away: the end of a connection with bytes unread would break it, and
    /// take answers with it that its client has not read yet.
    fn has_left(&mut self) -> bool {
        let now = self.floor.now;
        if let Some(until) = self.lingers_until {
            return self.floor.client_keys().is_empty() || now >= until;
        }
        // A client that does not read its answers cannot keep the host from ending.
        let late = *self.ends_by.get_or_insert(now + self.config.bounds.connect_within);
        if self.floor.nothing_to_write() || now >= late {
            self.floor.end_writing_to_clients();
            self.lingers_until = Some(now + LINGER);
        }
        false
    }

    /// Requests without their final answer, wherever they wait.
    fn in_hand(&self) -> usize {
        self.engine.pending() + self.floor.gate.waiting()
    }

    fn sleep(&self) -> Ms {
        let next = self.floor.timers.next_at().unwrap_or(f64::INFINITY).min(self.floor.wake_at);
        (next - self.floor.clock.now()).clamp(0.0, LONGEST_SLEEP)
    }

    /// One turn: what was told of nodes comes first, so that nothing is decided on old news; then outcomes,
    /// which free places; then new requests; then what is due.
    fn turn(&mut self, woken: &Woken) {
        let of = |place: Place| woken.readable.iter().copied().filter(move |key| place_of(*key) == place);
        of(Place::List).for_each(|key| self.list_readable(key));
        of(Place::Node).for_each(|key| self.node_readable(key));
        of(Place::Others).for_each(|_| self.others_readable());
        self.timers();
        of(Place::Client).for_each(|key| self.client_readable(key));
        of(Place::Door).for_each(|_| self.accept());
        of(Place::Stop).for_each(|_| self.told_to_stop());
        self.decide();
        // A turn that took long, or was stopped in its middle, may have decided on news that is old by now: what
        // the list has said meanwhile is heard before anything leaves.
        if self.floor.clock.now() - self.floor.now > self.config.start.round {
            self.floor.now = self.floor.clock.now();
            if let Some(key) = self.floor.list_key() {
                self.list_readable(key);
            }
            self.decide();
        }
        woken.writable.iter().for_each(|key| self.floor.touched(*key));
        self.write();
    }

    /// Asks the module until nothing is due and no outcome is owed.
    fn decide(&mut self) {
        loop {
            self.settle();
            self.engine.run(self.floor.now, &mut self.floor);
            if !self.floor.has_news() {
                return;
            }
        }
    }

    /// Tells the engine what connections brought while it was calling.
    fn settle(&mut self) {
        if std::mem::take(&mut self.floor.list_failed) {
            self.engine.on_endpoint_update(self.floor.now, EndpointUpdate::PollFailed, &[]);
        }
        while let Some((request_id, attempt, outcome)) = self.floor.owed.pop_front() {
            self.outcome(request_id, attempt, outcome, None, 0.0, &[]);
        }
        while let Some(ended) = self.floor.pieces_ended.pop_front() {
            self.piece_ended(ended);
        }
        while let Some(request_id) = self.floor.freed.pop_front() {
            if let Some(taken) = self.floor.ungate(request_id) {
                self.engine.submit(self.floor.now, taken, &mut self.floor);
            }
        }
    }

    /// Writes what is to be written. Connections that break at it bring outcomes, and these new attempts.
    fn write(&mut self) {
        loop {
            for key in self.floor.take_touched() {
                match self.floor.flush(key) {
                    Ok(()) => {
                        if self.floor.may_read_on(key) && !self.full {
                            self.read_on(key);
                        }
                    }
                    Err(ended) => match place_of(key) {
                        Place::Node => self.floor.peer_lost(key, &said(&ended)),
                        Place::List => self.floor.list_lost(&said(&ended)),
                        _ => self.client_gone(key, &said(&ended)),
                    },
                }
            }
            if self.full && self.in_hand() < self.config.bounds.most_in_hand {
                self.full = false;
                for key in self.floor.client_keys() {
                    if self.floor.may_read_on(key) {
                        self.read_on(key);
                    }
                }
            }
            if !self.floor.has_news() && !self.floor.has_touched() {
                return;
            }
            self.decide();
        }
    }

    /// Takes what a client sent before it was held back, and reads on.
    fn read_on(&mut self, key: usize) {
        if let Some(input) = self.floor.unused(key) {
            self.client_frames(key, input);
        }
        if !self.full {
            self.floor.read_on(key);
        }
    }

    /// Ends an attempt; what comes for one that has ended before is passed over.
    fn outcome(
        &mut self,
        request_id: u64,
        attempt: u32,
        outcome: Outcome,
        used: Option<f64>,
        others: f64,
        payload: &[u8],
    ) {
        let Some(sent) = self.floor.end_attempt(request_id, attempt, outcome) else { return };
        let over = outcome == Outcome::Succeeded;
        if over {
            self.floor.settled(request_id, payload);
        }
        let answer = Answer { outcome, latency: self.floor.now - sent, over, used, others };
        self.engine.on_outcome(self.floor.now, request_id, answer, &mut self.floor);
        if let Some((volume, key)) = self.floor.piece(request_id).filter(|_| outcome == Outcome::ShardMoved) {
            let (to, version) = self.place(volume, key);
            self.replace(request_id, to, version);
        }
        self.floor.hold(request_id);
        self.floor.release(request_id);
    }

    fn timers(&mut self) {
        while let Some(timer) = self.floor.timers.due(self.floor.now) {
            match timer {
                Timer::TimeOut { request_id, attempt } => {
                    if self.floor.is_out(request_id, attempt) {
                        self.floor.tell_cancelled(request_id, attempt);
                        self.outcome(request_id, attempt, Outcome::TimedOut, None, 0.0, &[]);
                    }
                }
                Timer::Connect { peer, try_number } => self.floor.connect_late(peer, try_number),
                Timer::HalfFrame { client, serial } => {
                    // What has come of it in this very moment is read first.
                    if self.floor.half_frame_late(client, serial) {
                        self.client_readable(client);
                    }
                    if self.floor.half_frame_late(client, serial) {
                        self.client_gone(client, "left a frame half sent");
                    }
                }
                Timer::ListAgain => self.floor.watch_list(),
                Timer::Reroute => self.reroute(),
                Timer::GateLate { request_id } => self.gate_late(request_id),
                Timer::GateRested { request_id } => self.floor.leave_gate(request_id),
            }
        }
    }

    fn others_readable(&mut self) {
        let mut turn = 0;
        while let Some((from, told)) = self.floor.others.as_mut().and_then(|others| others.next(&mut turn)) {
            self.engine.on_gossip(self.floor.now, from, &told);
        }
    }

    // The endpoint list.

    fn recall(&mut self) {
        let Some(path) = &self.config.list.remember else { return };
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == ErrorKind::NotFound => return,
            Err(e) => {
                return tracing::warn!(path = %path.display(), error = %e, "the kept list cannot be read")
            }
        };
        match wire::decode(&bytes) {
            Ok(Decoded::Frame(Message::EndpointList(list), used)) if used == bytes.len() => {
                let entries = self.floor.follower.recall(self.floor.now, &list);
                tracing::info!(nodes = entries.len(), "took up the list kept from the last run");
                self.floor.nodes_changed();
                self.engine.on_endpoint_update(self.floor.now, EndpointUpdate::Restored, &entries);
            }
            _ => tracing::warn!(path = %path.display(), "the kept list is damaged and passed over"),
        }
    }

    fn remember(&self) {
        let Some(path) = &self.config.list.remember else { return };
        let mut bytes = Vec::new();
        wire::encode(&Message::EndpointList(self.floor.follower.remembered(self.floor.now)), &mut bytes);
        let beside = path.with_extension("new");
        let kept = std::fs::write(&beside, &bytes).and_then(|()| std::fs::rename(&beside, path));
        if let Err(e) = kept {
            tracing::warn!(path = %path.display(), error = %e, "the list cannot be kept");
        }
    }

    fn list_readable(&mut self, key: usize) {
        let Some((input, ended)) = self.floor.read(key) else { return };
        let (used, broken) = each_frame(&input, |message| {
            match message {
                Message::EndpointList(list) => self.heard_list(&list),
                Message::ExtentMap(news) => self.heard_map(&news),
                Message::WatchRejected => {
                    self.floor.list_answered();
                    self.engine.on_endpoint_update(self.floor.now, EndpointUpdate::PollFailed, &[]);
                }
                Message::Hello(_) => {}
                _ => return Some("a message that a list service does not send".to_string()),
            }
            None
        });
        self.floor.give_back(key, input, used);
        if let Some(why) = broken.or_else(|| ended.map(|e| said(&e))) {
            self.floor.list_lost(&why);
        }
    }

    fn heard_list(&mut self, list: &EndpointListUpdate) {
        self.floor.list_answered();
        match self.floor.follower.heard(self.floor.now, list) {
            Heard::Update(news, entries) => {
                tracing::info!(
                    epoch = list.epoch,
                    whole = list.snapshot,
                    lines = list.entries.len(),
                    "list of nodes"
                );
                self.engine.on_endpoint_update(self.floor.now, news, &entries);
                self.floor.nodes_changed();
                self.remember();
            }
            Heard::Gap => {
                tracing::warn!(epoch = list.epoch, "news of the list is missing; asking for all of it");
                self.floor.ask_list(0);
            }
            Heard::Old => {}
        }
    }

    // The map of extents.

    fn heard_map(&mut self, news: &MapUpdate) {
        match route::heard(&mut self.floor.map, news) {
            Ok(true) => {
                tracing::info!(epoch = news.epoch, whole = news.snapshot, "map of extents");
                self.reroute();
            }
            Ok(false) | Err(Fault::Old) => {}
            Err(fault) => {
                tracing::warn!(%fault, "news of the map is refused; asking for all of it");
                self.floor.ask_map();
            }
        }
    }

    /// Where a piece of data lies: its shard and the extent's version. Without a map of its volume it lies on the
    /// shard of the settings that its key falls to; without a key, anywhere.
    fn place(&self, volume: u64, key: u64) -> (Option<usize>, u32) {
        match self.floor.map.place(self.floor.now, volume, key) {
            At::At { shard, version } => (Some(shard as usize), version),
            At::Flux => (Some(route::NOWHERE), 0),
            At::Unknown if key == 0 => (None, 0),
            At::Unknown => {
                let shards = self.config.volumes.get(&volume).map_or(&[][..], |v| &v.shards);
                let place = xxh3_64(&key.to_le_bytes()) % shards.len().max(1) as u64;
                (shards.get(place as usize).copied(), 0)
            }
        }
    }

    /// Held requests follow the map before they are sent.
    fn reroute(&mut self) {
        for (request_id, volume, key, shard, version) in self.floor.placed() {
            let (to, new) = self.place(volume, key);
            if to.map_or(u32::MAX, |s| s as u32) != shard || new != version {
                self.replace(request_id, to, new);
            }
        }
    }

    fn replace(&mut self, request_id: u64, to: Option<usize>, version: u32) {
        self.floor.place(request_id, to.map_or(u32::MAX, |s| s as u32), version);
        if let Some(shard) = to {
            self.engine.on_shard_moved(self.floor.now, request_id, shard);
        }
    }

    /// A node does not serve a request's extent. The request goes to whoever the node names, or waits until
    /// somebody can say.
    fn refused_by_owner(&mut self, request_id: u64, attempt: u32, owner: Option<(u32, u32)>) {
        let Some(piece) = self.floor.piece(request_id) else { return };
        let version = self.floor.sent_under(request_id, attempt).unwrap_or(0);
        tracing::debug!(request_id, version, ?owner, "a command was sent by a stale map");
        if let Some(at) = self.floor.map.refused(self.floor.now, piece, version, owner) {
            self.floor.timers.set(at, Timer::Reroute);
        }
    }

    // Storage nodes.

    fn node_readable(&mut self, key: usize) {
        let Some((input, ended)) = self.floor.read(key) else { return };
        let (used, broken) = each_frame(&input, |message| self.node_said(key, message));
        self.floor.give_back(key, input, used);
        if let Some(why) = broken.or_else(|| ended.map(|e| said(&e))) {
            self.floor.peer_lost(key, &why);
        }
        self.settle();
    }

    /// A message of a node; why its connection must end, where it must.
    fn node_said(&mut self, key: usize, message: Message) -> Option<String> {
        if let Message::Hello(hello) = message {
            return self.node_greeted(key, &hello);
        }
        if !self.floor.peer_heard(key) {
            return Some("a message before the greeting".to_string());
        }
        match message {
            Message::Outcome(o) => {
                let outcome = match o.code {
                    OutcomeCode::Succeeded => Outcome::Succeeded,
                    OutcomeCode::Error => Outcome::Error,
                    OutcomeCode::Overloaded => Outcome::Overloaded,
                    OutcomeCode::DeadlineExceeded => Outcome::DeadlineExceeded,
                    OutcomeCode::ShardMoved => Outcome::ShardMoved,
                    _ => return Some("an outcome that a node cannot know".to_string()),
                };
                // Only the node that an attempt is out at can end it.
                if self.floor.is_out_at(o.request_id, u32::from(o.attempt), key) {
                    let (used, others) = (o.used.map(f64::from), f64::from(o.others));
                    if outcome == Outcome::ShardMoved {
                        let owner = o.owner.map(|owner| (owner, o.version));
                        self.refused_by_owner(o.request_id, u32::from(o.attempt), owner);
                    }
                    self.outcome(o.request_id, u32::from(o.attempt), outcome, used, others, o.payload);
                } else {
                    tracing::debug!(request_id = o.request_id, "an answer for a hand-off that has ended");
                }
                None
            }
            Message::HealthReport { .. } => None,
            _ => Some("a message that a node does not send".to_string()),
        }
    }

    fn node_greeted(&mut self, key: usize, hello: &Hello) -> Option<String> {
        if hello.lowest > VERSION || hello.highest < VERSION {
            return Some(format!("it speaks versions {} to {}", hello.lowest, hello.highest));
        }
        if hello.role != Role::Node {
            return Some("it is no storage node".to_string());
        }
        match self.floor.greeted(key, hello) {
            Greeted::Expected => None,
            Greeted::Restarted { started } => {
                tracing::info!(node = hello.number, "the node restarted before the list said so");
                if let Some(entry) = self.floor.follower.restarted(hello.number, hello.incarnation, started) {
                    self.engine.on_endpoint_update(self.floor.now, EndpointUpdate::Delta, &[entry]);
                }
                None
            }
            Greeted::Wrong => Some("another process than the listed one answers".to_string()),
        }
    }

    // Clients.

    fn accept(&mut self) {
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((stream, _)) => self.floor.accepted(stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return tracing::warn!(error = %e, "no connection can be accepted"),
            }
        }
    }

    fn client_readable(&mut self, key: usize) {
        let Some((input, ended)) = self.floor.read(key) else { return };
        if self.lingers_until.is_none() {
            self.client_frames(key, input);
        }
        if let Some(ended) = ended {
            self.client_gone(key, &said(&ended));
        }
    }

    /// Uses the frames that a client sent, as far as there is room for its requests.
    fn client_frames(&mut self, key: usize, input: Vec<u8>) {
        let (used, broken) = each_frame(&input, |message| self.client_said(key, message));
        if broken.as_deref() == Some(FULL) {
            self.full = true;
            self.floor.hold_back_all();
            return self.floor.give_back(key, input, used);
        }
        let half = used < input.len();
        self.floor.give_back(key, input, used);
        self.floor.half_frame(key, half, used > 0);
        if let Some(why) = broken {
            self.client_gone(key, &why);
        }
    }

    /// A message of a client; why no more of them can be used, where that is so.
    fn client_said(&mut self, key: usize, message: Message) -> Option<String> {
        match message {
            Message::Request(_) if self.in_hand() >= self.config.bounds.most_in_hand => {
                return Some(FULL.to_string());
            }
            Message::Request(take) => self.take(key, &take),
            Message::CancelRequest { request_id } => {
                if let Some(request_id) = self.floor.given_up(key, request_id) {
                    self.forsaken(request_id);
                }
            }
            Message::Hello(h) if h.lowest <= VERSION && h.highest >= VERSION && h.role == Role::Client => {}
            Message::Hello(_) => return Some("a greeting that this host cannot answer".to_string()),
            _ => return Some("a message that a client does not send".to_string()),
        }
        None
    }

    fn client_gone(&mut self, key: usize, why: &str) {
        tracing::debug!(client = key, why, "a client has gone");
        for request_id in self.floor.client_gone(key) {
            self.forsaken(request_id);
        }
    }

    /// Nobody waits for a request any more, or for a read in pieces.
    fn forsaken(&mut self, request_id: u64) {
        if request_id & WHOLE != 0 {
            self.end_pieces(request_id);
            self.floor.wholes.remove(&request_id);
            return;
        }
        self.engine.on_client_disconnect(self.floor.now, request_id);
        self.floor.release(request_id);
    }

    /// Takes a request, or says at once that this host cannot: nothing ran, so trying again is harmless.
    fn take(&mut self, key: usize, take: &ClientRequest) {
        let refuse = |floor: &mut Floor, why: &str| {
            let (request_id, back_us, verdict) = (take.request_id, 0, FinalCode::Rejected);
            let answer = Message::FinalAnswer(FinalAnswer {
                request_id,
                code: verdict,
                retry_after_us: back_us,
                payload: why.as_bytes(),
            });
            floor.tell_client(key, &answer);
        };
        let class = usize::from(take.class);
        let Some(volume) = self.config.volumes.get(&take.volume) else {
            return refuse(&mut self.floor, "unknown-volume");
        };
        if class >= self.config.start.classes.len() {
            return refuse(&mut self.floor, "unknown-band");
        }
        let units = f64::from(take.units);
        if units <= 0.0 || units > self.config.start.max_units {
            return refuse(&mut self.floor, "impossible-units");
        }
        if self.stops > 0 {
            return refuse(&mut self.floor, "stopping");
        }
        if self.floor.has_command(key, take.request_id) {
            return refuse(&mut self.floor, "number-in-use");
        }
        let age = self.stall_detector.max_request_age().max(self.floor.held_back(key));
        let client_timeout = f64::from(take.client_timeout_us) / 1000.0 - age;
        let span = tracing::info_span!(
            target: "request",
            "request",
            host = self.config.number,
            number = take.request_id,
            volume = volume.name,
            class = self.config.classes[class],
        );
        match self.pieces(take) {
            Err(why) => refuse(&mut self.floor, why),
            Ok(Some(pieces)) => self.take_whole(key, take, pieces, client_timeout, span),
            Ok(None) => {
                let client = Some((key, take.request_id));
                self.admit(client, None, take, client_timeout, span);
            }
        }
    }

    /// The pieces in which a request must travel, none where it travels whole; or why it cannot at all.
    fn pieces(&self, take: &ClientRequest) -> Result<Option<Vec<(u64, u64)>>, &'static str> {
        let (start, end) = (take.key, take.key.saturating_add(u64::from(take.blocks.max(1))));
        if end - start == 1 {
            return Ok(None);
        }
        if start == 0 || end == u64::MAX {
            return Err("impossible-range");
        }
        let Some(edges) = self.floor.map.edges(take.volume, start, end) else {
            // Without the map of a volume that lies on several shards nobody knows where a range lies.
            let shards = self.config.volumes.get(&take.volume).map_or(0, |v| v.shards.len());
            return if shards > 1 { Err("unmapped-range") } else { Ok(None) };
        };
        let class = &self.config.start.classes[usize::from(take.class)];
        let cuts = !take.write && class.idempotency == Idempotency::Idempotent && !class.ordered;
        let most = if cuts { self.config.split.blocks } else { u64::MAX };
        let pieces = cut(start, end, edges.into_iter(), most);
        // Half of a write cannot be taken back, and pieces of what has an order or a mark would be idempotency.
        if pieces.len() > 1 && !cuts {
            return Err("crosses-extents");
        }
        Ok(Some(pieces).filter(|pieces| pieces.len() > 1))
    }

    /// Takes a request, or a piece of one, to the engine, past the earlier writes that it overlaps.
    fn admit(
        &mut self,
        client: Option<(usize, u64)>,
        piece_of: Option<(u64, usize)>,
        take: &ClientRequest,
        client_timeout: Ms,
        span: tracing::Span,
    ) -> Option<u64> {
        let volume = self.config.volumes.get(&take.volume)?;
        let (plan, hosts, class) = (volume.plan, volume.hosts, usize::from(take.class));
        let (shard, version) = self.place(take.volume, take.key);
        let placed = (shard.map_or(u32::MAX, |s| s as u32), version);
        let id = self.floor.take(Admitted { client, piece_of, take, placed, client_timeout, span })?;
        let request = Request {
            class,
            plan,
            volume: 0,
            key: None,
            units: f64::from(take.units),
            shard,
            hosts,
            client_timeout,
            counts: f64::from(piece_of.is_none_or(|(_, piece)| piece == 0)),
            with: None,
        };
        // A key is a piece of its volume; the module knows keys by one number.
        let key = xxh3_64(&[take.volume.to_le_bytes(), take.key.to_le_bytes()].concat()).max(1);
        let key = if take.key == 0 { 0 } else { key };
        let line = Some(key).filter(|_| self.config.start.classes[class].ordered);
        let taken = IncomingRequest { id, key, volume: take.volume, request };
        // Past its latency objective nobody would send it, so that nothing is lost by ending it then; its answer must be
        // there before its client's time is up.
        let longest = client_timeout - 2.0 * self.config.start.round;
        let until = self.floor.now + self.config.start.classes[class].latency_objective.min(longest);
        if let Some(taken) = self.floor.enter(taken, line, until) {
            self.engine.submit(self.floor.now, taken, &mut self.floor);
            self.floor.release(id);
        }
        Some(id)
    }

    /// A write that still waits for an earlier one is the module's to end: no time is left to send it.
    fn gate_late(&mut self, request_id: u64) {
        if self.floor.gate.waits(request_id) {
            self.floor.gate.pass(request_id);
            if let Some(mut taken) = self.floor.ungate(request_id) {
                taken.request.client_timeout = 0.0;
                self.engine.submit(self.floor.now, taken, &mut self.floor);
            }
        }
    }

    // Reads in pieces.

    fn take_whole(
        &mut self,
        key: usize,
        take: &ClientRequest,
        pieces: Vec<(u64, u64)>,
        client_timeout: Ms,
        span: tracing::Span,
    ) {
        let blocks = pieces.iter().map(|p| p.1 - p.0).sum::<u64>().max(1);
        let whole = Whole {
            client: (key, take.request_id),
            gather: SplitRead::new(pieces.len(), self.config.split.at_once, MAX_PAYLOAD_LENGTH),
            ids: vec![None; pieces.len()],
            pieces,
            class: take.class,
            volume: take.volume,
            mark: take.idempotency_key,
            units: take.units / blocks as f32,
            ends: self.floor.now + client_timeout,
            span,
        };
        if let Some(id) = self.floor.keep_whole(whole) {
            self.begin_pieces(id);
        }
    }

    /// Asks for as many pieces of a read as may be out.
    fn begin_pieces(&mut self, id: u64) {
        loop {
            let now = self.floor.now;
            let Some(whole) = self.floor.wholes.get_mut(&id) else { return };
            let Some(piece) = whole.gather.begin() else { return };
            let (start, end) = whole.pieces[piece];
            let take = ClientRequest {
                request_id: 0,
                class: whole.class,
                write: false,
                volume: whole.volume,
                key: start,
                idempotency_key: whole.mark,
                units: whole.units * (end - start) as f32,
                client_timeout_us: 0,
                blocks: (end - start) as u32,
                payload: &[],
            };
            let (client_timeout, span) = (whole.ends - now, whole.span.clone());
            let request_id = self.admit(None, Some((id, piece)), &take, client_timeout, span);
            if let Some(whole) = self.floor.wholes.get_mut(&id) {
                whole.ids[piece] = request_id;
            }
        }
    }

    fn piece_ended(&mut self, ended: PieceEnded) {
        let PieceEnded { whole: id, piece, verdict, back, payload } = ended;
        let Some(whole) = self.floor.wholes.get_mut(&id) else { return };
        if verdict != FinalCode::Succeeded {
            self.end_pieces(id);
            return self.floor.end_whole(id, verdict, back, &payload);
        }
        match whole.gather.brought(piece, payload) {
            Progress::Pending => self.begin_pieces(id),
            Progress::Whole(all) => self.floor.end_whole(id, FinalCode::Succeeded, 0.0, &all),
            Progress::TooLarge => {
                self.end_pieces(id);
                self.floor.end_whole(id, FinalCode::Rejected, 0.0, b"too-large");
            }
        }
    }

    /// Stops the wait for the pieces of a read that are out.
    fn end_pieces(&mut self, id: u64) {
        let Some(whole) = self.floor.wholes.get_mut(&id) else { return };
        let out: Vec<u64> = whole.gather.end().into_iter().filter_map(|piece| whole.ids[piece]).collect();
        for request_id in out {
            self.floor.forsake(request_id, "piece-not-wanted");
            self.engine.on_client_disconnect(self.floor.now, request_id);
            self.floor.release(request_id);
        }
    }

    fn told_to_stop(&mut self) {
        let mut bytes = [0; 16];
        match self.stop.read(&mut bytes) {
            Ok(n) => self.stops += n.max(1),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.stops += 1,
        }
        if self.stops > 0 && self.listener.is_some() {
            // Whoever the kernel has accepted already is this host's own.
            self.accept();
            self.listener = None;
            tracing::info!(in_hand = self.engine.pending(), "told to stop; nothing new is taken");
        }
    }
}

/// Says that a client's next request must wait, as enough is in hand.
const FULL: &str = "full";

/// Hands each whole frame on until `each` names a fault; the bytes used up, and the fault. A frame that `each`
/// faults is not used up.
fn each_frame(bytes: &[u8], mut each: impl FnMut(Message) -> Option<String>) -> (usize, Option<String>) {
    let mut frames = Frames::new(bytes);
    loop {
        let before = frames.consumed();
        let fault = match frames.next() {
            None => return (frames.consumed(), None),
            Some(Ok(message)) => each(message),
            Some(Err(fault)) => return (frames.consumed(), Some(fault.to_string())),
        };
        if fault.is_some() {
            return (before, fault);
        }
    }
}

fn said(ended: &Ended) -> String {
    match ended {
        Ended::Closed => "closed by the other side".to_string(),
        Ended::Failed(e) => e.to_string(),
    }
}
