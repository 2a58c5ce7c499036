//! Clients as an open loop: requests come at their times whatever becomes of the earlier ones, and latencies
//! count from the time at which a request was due, so that a late loop hides nothing.

use crate::audit::Rule;
use crate::config::{Again, Habit, ScenarioConfig, Traffic};
use crate::plant::Planted;
use hdrhistogram::Histogram;
use magpiewick_gateway::config::HostConfig;
use magpiewick_node_protocol::{ClientRequest, FinalCode, Frames, Hello, Message, Role, LONG_AGO};
use magpiewick_transport::{Clock, Connection, Poll, Timers, Woken, NOTHING};
use nanorand::{Rng, WyRand};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

type Ms = f64;

/// A try of a request as its client made it.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// Counts tries over the run; a later try of a request has its mark and another number.
    pub number: u64,
    pub mark: u64,
    /// The life and the number of the host that took it.
    pub host: u64,
    pub at_host: usize,
    pub class: u16,
    pub volume: u64,
    pub key: u64,
    pub blocks: u32,
    pub write: bool,
    /// The connection that it came on: what is sent on one is taken in that order.
    pub line: usize,
    pub units: f64,
    pub limit: Ms,
    /// When the request was due at first, over all its tries.
    pub first: Ms,
    pub later: bool,
}

/// What a client saw or did.
#[derive(Clone, Copy, Debug)]
pub enum Said {
    Took(Try),
    Answered {
        number: u64,
        verdict: FinalCode,
        back: Ms,
    },
    /// What a succeeded read found in a block: the mark of what was written there, 0 for nothing.
    Found {
        number: u64,
        block: u64,
        mark: u64,
    },
    /// The client's time was up.
    GaveUp {
        number: u64,
    },
    /// The connection ended, and with it the wait.
    Lost {
        number: u64,
    },
}

/// Counts and latencies of all clients.
#[derive(Clone)]
pub struct Tally {
    pub settled: u64,
    pub bounced: u64,
    pub scrapped: u64,
    pub gave_up: u64,
    pub lost: u64,
    pub taken: u64,
    /// Microseconds from when a request was due until it was succeeded.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Tally {
        // Three digits from a microsecond to a minute: bounds the crate cannot refuse.
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of the histogram");
        Tally { settled: 0, bounced: 0, scrapped: 0, gave_up: 0, lost: 0, taken: 0, latency }
    }
}

/// Where a host is; none while it is down.
#[derive(Clone, Copy, Debug, Default)]
pub struct Host {
    pub address: Option<SocketAddr>,
}

enum Order {
    Host(usize, Host),
    Surge(u64, f64),
    Stop,
}

struct Line {
    connection: Connection,
    /// Known from the host's greeting.
    life: Option<u64>,
}

struct InHand {
    attempt: Try,
    line: usize,
    host: usize,
    mix: usize,
    volume: usize,
    /// How often it was tried, and by what habit.
    tries: u32,
    habit: Option<Habit>,
}

enum Due {
    GiveUp(u64),
    Again(u64),
    Write(u64),
}

struct Volume {
    id: u64,
    hosts: Vec<usize>,
    surge: f64,
    /// By mix: the key and the host of the last request.
    last: Vec<(u64, usize)>,
}

/// Keys that come through one connection, so that most ranges that overlap do.
const STRIPE: u64 = 16;
/// How long a rig that breaks the order holds requests back.
const OVERTAKING: Ms = 250.0;

struct Loop {
    clock: Clock,
    poll: Poll,
    rng: WyRand,
    traffic: Traffic,
    limits: Vec<Ms>,
    again: Vec<bool>,
    volumes: Vec<Volume>,
    hosts: Vec<Host>,
    lines: Vec<Option<Line>>,
    in_hand: HashMap<u64, InHand>,
    /// Bounced requests that come back.
    back: HashMap<u64, InHand>,
    timers: Timers<u64>,
    dues: HashMap<u64, Due>,
    serial: u64,
    next_at: Ms,
    in_flight: Option<usize>,
    now: Ms,
    ends: Ms,
    records: Option<Vec<(Ms, Said)>>,
    tally: Tally,
    payload: Vec<u8>,
    /// A number from which on one answer is lost on its way, and whether ordered requests are held back on theirs:
    /// what a rig does to break a rule.
    deafened: Option<u64>,
    overtaken: bool,
    /// A number from which on one answer comes twice.
    twice: Option<u64>,
    ordered: Vec<bool>,
    /// How much longer than it says a client waits, so that a late thread is not taken for a late host.
    noise: Ms,
}

/// When and how clients send.
#[derive(Clone, Copy)]
pub struct Session {
    pub clock: Clock,
    pub begin: Ms,
    pub end: Ms,
    pub seed: u64,
    /// Whether all that is said is recorded, for an audit.
    pub record: bool,
    /// What is broken on purpose on the way between clients and hosts.
    pub planted: Option<Planted>,
    /// In place of the traffic's rate: so many requests are always in hand.
    pub in_flight: Option<usize>,
}

impl Session {
    /// Traffic at its rate, for a time that begins shortly.
    pub fn open(clock: Clock, time: Ms, seed: u64) -> Session {
        let begin = clock.now() + SETTLING;
        let end = begin + time;
        Session { clock, begin, end, seed, record: false, planted: None, in_flight: None }
    }
}

/// How long hosts have to learn of the nodes before clients begin.
const SETTLING: Ms = 300.0;

/// The clients of a run, in a thread of their own.
pub struct Clients {
    orders: Sender<Order>,
    poll: Poll,
    thread: JoinHandle<(Tally, Vec<(Ms, Said)>)>,
}

impl Clients {
    /// Starts the clients of a session.
    pub fn start(
        config: &HostConfig,
        drill: &ScenarioConfig,
        hosts: Vec<Host>,
        session: &Session,
    ) -> std::io::Result<Clients> {
        let (orders, inbox) = channel();
        let poll = Poll::new()?;
        let count = hosts.len();
        let reach =
            |id: u64, v: f64| (0..(v as usize).min(count)).map(|i| (id as usize + i) % count).collect();
        let volumes = config.volumes.iter();
        let volumes = volumes.map(|(id, v)| Volume {
            id: *id,
            hosts: reach(*id, v.hosts),
            surge: 1.0,
            last: vec![(u64::MAX, 0); drill.traffic.mixes.len()],
        });
        let most =
            drill.traffic.mixes.iter().map(|m| m.payload * m.blocks.max(1) as usize).max().unwrap_or(0);
        let mut all = Loop {
            poll: poll.clone(),
            rng: WyRand::new_seed(session.seed),
            noise: drill.noise,
            traffic: traffic(drill, session.planted),
            limits: config.start.classes.iter().map(|b| b.client_timeout).collect(),
            again: config
                .start
                .classes
                .iter()
                .map(|b| b.idempotency == magpiewick::Idempotency::Idempotent)
                .collect(),
            volumes: volumes.collect(),
            lines: (0..count * drill.traffic.clients).map(|_| None).collect(),
            hosts,
            in_hand: HashMap::new(),
            back: HashMap::new(),
            timers: Timers::default(),
            dues: HashMap::new(),
            serial: 0,
            next_at: session.begin,
            in_flight: session.in_flight,
            now: session.clock.now(),
            ends: session.end,
            records: session.record.then(Vec::new),
            tally: Tally::default(),
            payload: vec![0; most.max(8)],
            deafened: (session.planted == Some(Planted::Rule(Rule::Lost))).then_some(200),
            overtaken: session.planted == Some(Planted::Rule(Rule::Order)),
            twice: (session.planted == Some(Planted::Again)).then_some(200),
            ordered: config.start.classes.iter().map(|b| b.ordered).collect(),
            clock: session.clock,
        };
        let thread = std::thread::Builder::new().name("clients".to_string());
        let thread = thread.spawn(move || {
            all.run(&inbox);
            (all.tally, all.records.unwrap_or_default())
        })?;
        Ok(Clients { orders, poll, thread })
    }

    fn order(&self, order: Order) {
        // Clients that have ended need no orders.
        _ = self.orders.send(order);
        self.poll.wake();
    }

    pub fn host(&self, number: usize, host: Host) {
        self.order(Order::Host(number, host));
    }

    pub fn surge(&self, volume: u64, times: f64) {
        self.order(Order::Surge(volume, times));
    }

    /// Waits for the end of the traffic and of all that is in hand; none where the clients panicked.
    pub fn finish(self) -> Option<(Tally, Vec<(Ms, Said)>)> {
        self.thread.join().ok()
    }

    pub fn stop(&self) {
        self.order(Order::Stop);
    }
}

/// What clients do; deaf ones ask again at once, and as often as they can.
fn traffic(drill: &ScenarioConfig, planted: Option<Planted>) -> Traffic {
    let mut traffic = drill.traffic.clone();
    if planted == Some(Planted::Deaf) {
        traffic
            .habits
            .iter_mut()
            .for_each(|h| (h.again, h.wait, h.heeds, h.tries) = (Again::Fixed, 5.0, 0.0, 1000));
    }
    traffic
}

/// Which of some shares a number from 0 to 1 falls to.
fn drawn(number: f64, mut shares: impl Iterator<Item = f64> + Clone) -> Option<usize> {
    let mut left = number * shares.clone().sum::<f64>();
    shares.position(|share| {
        left -= share;
        left < 0.0
    })
}

impl Loop {
    fn run(&mut self, inbox: &Receiver<Order>) {
        let mut woken = Woken::default();
        (0..self.hosts.len()).for_each(|host| self.connect(host));
        loop {
            let next = self.timers.next_at().unwrap_or(f64::INFINITY);
            let full = self.in_flight.is_some_and(|most| self.in_hand.len() >= most || self.now >= self.ends);
            let next = if self.next_at < self.ends && !full { next.min(self.next_at) } else { next };
            let wait = Clock::until(self.clock.now(), next.min(self.clock.now() + 50.0));
            if let Err(e) = self.poll.wait(&mut woken, Some(wait)) {
                return tracing::error!(error = %e, "the clients' poller failed");
            }
            self.now = self.clock.now();
            for order in inbox.try_iter().collect::<Vec<_>>() {
                match order {
                    Order::Host(number, host) => {
                        self.hosts[number] = host;
                        let first = number * self.traffic.clients;
                        (first..first + self.traffic.clients).for_each(|line| self.line_lost(line));
                        self.connect(number);
                    }
                    Order::Surge(id, times) => {
                        self.volumes.iter_mut().filter(|v| v.id == id).for_each(|v| v.surge = times);
                    }
                    Order::Stop => self.ends = self.now,
                }
            }
            woken.readable.iter().for_each(|key| self.readable(*key));
            while let Some(due) = self.timers.due(self.now).and_then(|serial| self.dues.remove(&serial)) {
                self.due(due);
            }
            while self.next_at < self.ends && self.next_at <= self.now {
                if self.in_flight.is_some_and(|most| self.in_hand.len() >= most || self.now >= self.ends) {
                    break;
                }
                let due = if self.in_flight.is_some() { self.now } else { self.next_at };
                if self.in_flight.is_none() {
                    self.next_at += self.gap();
                }
                let before = self.in_hand.len();
                self.request_id(due);
                if self.in_hand.len() == before {
                    break;
                }
            }
            for line in 0..self.lines.len() {
                let broken = self.lines[line].as_mut().is_some_and(|l| {
                    (l.connection.pending() > 0 || l.connection.connecting()) && l.connection.flush().is_err()
                });
                if broken {
                    self.line_lost(line);
                }
            }
            if self.now >= self.ends && self.in_hand.is_empty() && self.back.is_empty() {
                return;
            }
        }
    }

    fn draw(&mut self) -> f64 {
        (f64::from(self.rng.generate::<u32>()) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    fn gap(&mut self) -> Ms {
        let weight: f64 = self.volumes.iter().map(|v| v.surge).sum::<f64>() / self.volumes.len() as f64;
        -self.draw().ln() * 1000.0 / (self.traffic.rate * weight)
    }

    fn say(&mut self, said: Said) {
        let now = self.clock.now();
        if let Some(records) = &mut self.records {
            records.push((now, said));
        }
    }

    fn connect(&mut self, host: usize) {
        let Some(address) = self.hosts[host].address else { return };
        for line in host * self.traffic.clients..(host + 1) * self.traffic.clients {
            let Ok(mut connection) = Connection::connect(&self.poll, address, line) else { continue };
            let hello = Hello::new(Role::Client, line as u32, 0, LONG_AGO);
            connection.queue(&Message::Hello(hello), NOTHING);
            self.lines[line] = Some(Line { connection, life: None });
        }
    }

    /// Draws a request: its volume by the surges, its host among the volume's, its class by the mix. A key always
    /// comes through one connection to a host, so that the order sent is the order taken.
    fn request_id(&mut self, due: Ms) {
        let volume = drawn(self.draw(), self.volumes.iter().map(|v| v.surge)).unwrap_or(0);
        let mix = drawn(self.draw(), self.traffic.mixes.iter().map(|m| m.share)).unwrap_or(0);
        let host = (self.draw() * self.volumes[volume].hosts.len() as f64) as usize;
        let mut host = self.volumes[volume].hosts[host];
        let (units, keys) = (self.traffic.mixes[mix].units, self.traffic.keys);
        let units = 1.0 + (self.draw() * units as f64).floor();
        let blocks = self.traffic.mixes[mix].blocks.min(keys);
        let mut key = 1 + (self.draw() * (keys + 1 - blocks.max(1)) as f64) as u64;
        let run = self.traffic.run as f64;
        if run > 1.0 {
            let goes_on = self.draw() > 1.0 / run;
            let (last, at) = self.volumes[volume].last[mix];
            let next = last.saturating_add(blocks.max(1));
            if goes_on && next.saturating_add(blocks.max(1)) <= keys {
                (key, host) = (next, at);
            }
            self.volumes[volume].last[mix] = (key, host);
        }
        self.serial += 1;
        let class = self.traffic.mixes[mix].class;
        let attempt = Try {
            number: self.serial,
            mark: self.serial,
            host: 0,
            at_host: host,
            class,
            volume: self.volumes[volume].id,
            key,
            blocks: blocks as u32,
            write: self.traffic.mixes[mix].write,
            line: 0,
            units,
            limit: self.limits[usize::from(class)],
            first: due,
            later: false,
        };
        let habit = self.draw_habit();
        self.send(InHand { attempt, line: 0, host, mix, volume, tries: 0, habit });
    }

    fn draw_habit(&mut self) -> Option<Habit> {
        // Nothing is drawn where nothing hangs on it: a seed's day stays as it is.
        if self.traffic.habits.is_empty() {
            return None;
        }
        let habit = drawn(self.draw(), self.traffic.habits.iter().map(|h| h.share));
        habit.map(|habit| self.traffic.habits[habit])
    }

    fn send(&mut self, mut c: InHand) {
        c.tries += 1;
        let line = c.host * self.traffic.clients + (c.attempt.key / STRIPE) as usize % self.traffic.clients;
        let Some(life) = self.lines[line].as_ref().and_then(|l| l.life) else { return };
        c.attempt.line = line;
        (c.line, c.attempt.host, c.attempt.at_host) = (line, life, c.host);
        let t = c.attempt;
        self.tally.taken += 1;
        self.say(Said::Took(t));
        self.set(self.now + t.limit + self.noise, Due::GiveUp(t.number));
        self.in_hand.insert(t.number, c);
        // The key's requests that come within the delay overtake it.
        if self.overtaken && !t.later && self.ordered[usize::from(t.class)] && t.number.is_multiple_of(2) {
            return self.set(self.now + OVERTAKING, Due::Write(t.number));
        }
        self.write(t.number);
    }

    fn write(&mut self, number: u64) {
        let Some(c) = self.in_hand.get(&number) else { return };
        let Some(l) = &mut self.lines[c.line] else { return };
        let (t, mix) = (c.attempt, &self.traffic.mixes[c.mix]);
        // Each block that is written begins with its mark, so that it is known where it lies.
        let size = if mix.write { mix.payload * t.blocks.max(1) as usize } else { 0 };
        for block in self.payload[..size].chunks_mut(mix.payload.max(1)) {
            let marked = block.len().min(8);
            block[..marked].copy_from_slice(&t.mark.to_le_bytes()[..marked]);
        }
        l.connection.queue(
            &Message::Request(ClientRequest {
                request_id: t.number,
                class: t.class,
                write: mix.write,
                volume: t.volume,
                key: t.key,
                idempotency_key: t.mark,
                units: t.units as f32,
                client_timeout_us: (t.limit * 1000.0) as u32,
                blocks: t.blocks,
                payload: &self.payload[..size],
            }),
            NOTHING,
        );
    }

    fn set(&mut self, at: Ms, due: Due) {
        self.serial += 1;
        self.dues.insert(self.serial, due);
        self.timers.set(at, self.serial);
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::GiveUp(number) => {
                let Some(c) = self.in_hand.remove(&number) else { return };
                self.tally.gave_up += 1;
                self.say(Said::GaveUp { number });
                if let Some(line) = &mut self.lines[c.line] {
                    line.connection.queue(&Message::CancelRequest { request_id: number }, NOTHING);
                }
            }
            Due::Write(number) => self.write(number),
            Due::Again(number) => {
                if let Some(c) = self.back.remove(&number) {
                    self.send(c);
                }
            }
        }
    }

    fn readable(&mut self, line: usize) {
        let Some(l) = &mut self.lines[line] else { return };
        let mut ended = l.connection.fill().is_err();
        let input = l.connection.take_input();
        let mut frames = Frames::new(&input);
        for message in frames.by_ref() {
            match message {
                Ok(Message::Hello(hello)) => {
                    if let Some(l) = &mut self.lines[line] {
                        l.life = Some(hello.incarnation);
                    }
                }
                Ok(Message::FinalAnswer(f)) => {
                    self.answered(f.request_id, f.code, f64::from(f.retry_after_us) / 1000.0, f.payload)
                }
                Ok(_) => ended = true,
                Err(_) => {
                    ended = true;
                    break;
                }
            }
        }
        let used = frames.consumed();
        if let Some(l) = &mut self.lines[line] {
            l.connection.give_back(input, used);
        }
        if ended {
            self.line_lost(line);
        }
    }

    fn answered(&mut self, number: u64, verdict: FinalCode, back: Ms, payload: &[u8]) {
        if self.deafened.is_some_and(|from| number >= from) {
            self.deafened = None;
            return;
        }
        self.say(Said::Answered { number, verdict, back });
        if self.twice.is_some_and(|from| number >= from) {
            self.twice = None;
            self.say(Said::Answered { number, verdict, back });
        }
        let Some(c) = self.in_hand.remove(&number) else { return };
        let t = c.attempt;
        if verdict == FinalCode::Succeeded && !t.write && self.records.is_some() {
            let size = (payload.len() / t.blocks.max(1) as usize).max(1);
            for n in 0..u64::from(t.blocks.max(1)) {
                let block = payload.get(n as usize * size..).and_then(|b| b.first_chunk::<8>());
                let mark = block.map_or(0, |b| u64::from_le_bytes(*b));
                self.say(Said::Found { number, block: t.key + n, mark });
            }
        }
        match verdict {
            FinalCode::Succeeded => {
                self.tally.settled += 1;
                let took = ((self.now - c.attempt.first) * 1000.0).max(1.0) as u64;
                self.tally.latency.saturating_record(took);
            }
            FinalCode::Rejected => self.tally.bounced += 1,
            FinalCode::Failed => self.tally.scrapped += 1,
        }
        match c.habit {
            None if verdict == FinalCode::Rejected
                && back > 0.0
                && self.traffic.retries
                && !c.attempt.later =>
            {
                self.come_back(c, back);
            }
            None => {}
            // What was failed may have run.
            Some(habit) => {
                let harmless = verdict == FinalCode::Rejected || self.again[usize::from(c.attempt.class)];
                if verdict != FinalCode::Succeeded && harmless {
                    self.again(c, habit, back);
                }
            }
        }
    }

    fn again(&mut self, c: InHand, habit: Habit, back: Ms) {
        if c.tries < habit.tries {
            let (heeds, spread) = (self.draw(), self.draw());
            let wait = habit.wait_after(c.tries, back, heeds, spread);
            self.come_back(c, wait);
        }
    }

    /// A later try, after a wait, within what is left of the client's time.
    fn come_back(&mut self, mut c: InHand, wait: Ms) {
        let left = c.attempt.first + self.limits[usize::from(c.attempt.class)] - self.now - wait;
        if left < 50.0 || self.now >= self.ends {
            return;
        }
        self.serial += 1;
        c.attempt = Try { number: self.serial, limit: left, later: true, ..c.attempt };
        self.set(self.now + wait, Due::Again(c.attempt.number));
        self.back.insert(c.attempt.number, c);
    }

    /// A connection ended: what was in hand on it is the clients' to repeat, where that can do no harm.
    fn line_lost(&mut self, line: usize) {
        if self.lines[line].take().is_none() {
            return;
        }
        let mut lost: Vec<u64> =
            self.in_hand.iter().filter(|(_, c)| c.line == line).map(|(n, _)| *n).collect();
        lost.sort_unstable();
        for number in lost {
            let Some(mut c) = self.in_hand.remove(&number) else { continue };
            self.tally.lost += 1;
            self.say(Said::Lost { number });
            let hosts = &self.volumes[c.volume].hosts;
            let next = hosts.iter().position(|h| *h == c.host).map_or(0, |i| (i + 1) % hosts.len());
            c.host = hosts[next];
            let harmless = self.again[usize::from(c.attempt.class)];
            match c.habit {
                Some(habit) if harmless => self.again(c, habit, 0.0),
                None if harmless && !c.attempt.later && self.traffic.retries => self.come_back(c, 0.0),
                _ => {}
            }
        }
    }
}
