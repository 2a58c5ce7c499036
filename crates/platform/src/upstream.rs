//! Attempts on sockets: connections to nodes, each carrying one exchange at a time. An attempt ends in one place, and
//! so does a connection.

use crate::floor::{named, Floor, Peer, Timed};
use crate::nodes::STALLS;
use crate::outcome::{outcome, Sign};
use crate::request_log::UpstreamClosed;
use magpiewick::{Answer, EndpointState, Ms, Outcome};
use magpiewick_engine::{AttemptRef, Reason};
use magpiewick_exchange::{Arrived, Doubt, Upstream};
use magpiewick_http1::{self as http1, Answers};
use magpiewick_transport::{out_of_descriptors, reach, Ended, Reach, Stream};
use std::net::SocketAddr;

/// A connection to a node that does not stand by then has not come up, where the settings do not say.
const DIAL: Ms = 1000.0;

/// What a connection to a node is at.
#[derive(Clone, Copy)]
pub enum Stage {
    Rests,
    /// An attempt that is written when the connection stands: until when its client waits, and by when it must have
    /// left the host.
    Coming {
        request_id: u64,
        ends: Ms,
        latest: Ms,
    },
    /// An attempt; until which byte of the stream it goes, and when that was written.
    Out {
        request_id: u64,
        end: u64,
        written: Option<Ms>,
    },
}

/// A connection to a node.
pub struct Link {
    pub stream: Stream,
    pub answers: Answers,
    pub node: u32,
    pub serial: u64,
    /// When the last bytes came of an answer that is not whole.
    pub begun: Option<Ms>,
    pub stage: Stage,
    pub exchanges: Upstream,
}

impl Link {
    /// Whether the kernel took the last byte of the attempt.
    fn written(&self) -> bool {
        matches!(self.stage, Stage::Out { end, .. } if self.stream.written_in_all() >= end)
    }
}

/// A whole answer that came on a connection that the host asks on.
pub struct Came {
    pub answer: http1::Answer,
    /// What came behind it, and whether the connection is of no more use.
    pub behind: Vec<u8>,
    pub last: bool,
}

/// What came on a connection that the host asks on: an answer if it is whole. Bytes that are no answer and an end
/// before it is whole come as what they are to an attempt.
pub fn next_answer(stream: &mut Stream, answers: &mut Answers) -> Result<Option<Came>, Sign> {
    let ended = stream.fill().err();
    let input = stream.take_input();
    let (used, answer) = answers.read(&input).map_err(|_| Sign::Spoilt)?;
    let behind = input[used..].to_vec();
    stream.give_back(input, used);
    let answer = match (answer, &ended) {
        (None, Some(Ended::Closed)) if behind.is_empty() => answers.ended(),
        (answer, _) => answer,
    };
    match answer {
        Some(answer) => {
            let last = !behind.is_empty() || ended.is_some() || answer.close;
            Ok(Some(Came { answer, behind, last }))
        }
        None if ended.is_some() => Err(Sign::Broke),
        None => Ok(None),
    }
}

impl Floor {
    pub fn link(&mut self, key: usize) -> Option<&mut Link> {
        match self.peers.get_mut(key) {
            Some(Peer::Link(link)) => Some(link),
            _ => None,
        }
    }

    /// Ends a connection to a node. Whatever attempt is out on it is the caller's to end.
    pub fn drop_link(&mut self, key: usize, why: UpstreamClosed) -> Option<Link> {
        self.link(key)?;
        self.links -= 1;
        let Peer::Link(link) = self.peers.remove(key) else { return None };
        let node = self.nodes.get(&link.node).map(|n| n.id.as_str());
        self.request_log.upstream_closed(self.now, node, link.serial, link.exchanges.exchanges(), why);
        if matches!(link.stage, Stage::Rests) {
            self.pool.ended(link.node, key);
        }
        Some(link)
    }

    /// Ends all connections that rest at a node.
    pub fn drop_resting(&mut self, node: u32, why: UpstreamClosed) {
        self.pool.leaves(node).into_iter().for_each(|key| _ = self.drop_link(key, why));
    }

    /// Ends a connection that met an end or bytes while it rested.
    fn drop_stray(&mut self, key: usize) {
        let now = self.now;
        let Some(link) = self.link(key) else { return };
        let (node, serial, bytes) = (link.node, link.serial, link.stream.input().len());
        let rested = link.exchanges.rested(now);
        if bytes == 0 {
            self.drop_link(key, UpstreamClosed::EndedAtRest);
            return;
        }
        self.drop_link(key, UpstreamClosed::UnexpectedBytes);
        self.distrust(node, serial, bytes, rested);
    }

    /// Remembers that a node sent more than it was asked for: none of its connections is used again.
    fn distrust(&mut self, node: u32, serial: u64, bytes: usize, rested: Ms) {
        let name = self.nodes.get(&node).map(|n| n.id.as_str());
        self.request_log.unexpected_bytes(self.now, name, serial, bytes, rested);
        self.trust.unexpected(node, rested);
        self.drop_resting(node, UpstreamClosed::Distrusted);
    }

    /// Ends a connection to a node and whatever attempt is out on it.
    pub fn end_link(&mut self, key: usize, sign: Sign) {
        let Some(link) = self.drop_link(key, UpstreamClosed::Attempt(sign)) else { return };
        match link.stage {
            Stage::Rests => {}
            Stage::Coming { request_id, .. } => {
                self.end_attempt(request_id, outcome(sign, false), None, None)
            }
            Stage::Out { request_id, written, .. } => {
                self.end_attempt(request_id, outcome(sign, link.written()), written, None);
            }
        }
    }

    /// Ends the attempt of a request that is out: its outcome is owed to the engine.
    pub fn end_attempt(
        &mut self,
        request_id: u64,
        outcome: Outcome,
        written: Option<Ms>,
        answer: Option<&http1::Answer>,
    ) {
        let now = self.now;
        let Some(open) = self.requests.get_mut(&request_id) else { return };
        let Some((_, _, since)) = open.out.take() else { return };
        if let Some((_, last)) = &mut open.last {
            *last = Some(outcome);
        }
        let number =
            |name| answer.and_then(|a| a.field(name)).and_then(|text| text.trim().parse::<f64>().ok());
        let read = |name| number(name).filter(|n| n.is_finite() && *n >= 0.0);
        // What the node took: the time that a connection needed to come up is not its own.
        let latency = (now - written.unwrap_or(since)).max(0.0);
        let used = read("x-iops-used").map(|percent| percent / 100.0);
        let others = read("x-rho").unwrap_or(0.0);
        let over = outcome == Outcome::Succeeded;
        if let Some(open) = self.requests.get(&request_id) {
            self.request_log.attempt_ended(&named(&self.nodes, open, now), outcome, latency);
        }
        *self.counts.outcomes.entry(Reason::After(outcome).as_str()).or_default() += 1;
        self.owed.push((request_id, Answer { outcome, latency, over, used, others }));
    }

    /// Begins an attempt on a resting connection that is good, or on a new one.
    pub fn begin_attempt(&mut self, node: u32, part: &AttemptRef) {
        let now = self.now;
        let address = self.nodes.get(&node).and_then(|n| n.address);
        let dialled = match (self.resting_link(node), address) {
            (Some(key), _) => Ok(key),
            (None, Some(address)) => self.dial(node, address),
            (None, None) => Err(Outcome::ConnectFailed),
        };
        self.log_retry(node, part.request_id);
        let Some(open) = self.requests.get_mut(&part.request_id) else { return };
        (open.attempts, open.last) = (open.attempts + 1, Some((node, None)));
        open.out = Some((part.attempt, *dialled.as_ref().unwrap_or(&usize::MAX), now));
        let key = match dialled {
            Ok(key) => key,
            Err(outcome) => return self.end_attempt(part.request_id, outcome, None, None),
        };
        let Some(link) = self.link(key) else { return };
        link.stage =
            Stage::Coming { request_id: part.request_id, ends: now + part.timeout, latest: part.send_by };
        self.timers.set(now + part.timeout, Timed::Attempt(part.request_id, part.attempt));
        self.flush_link(key);
    }

    /// A connection on which nothing of an earlier exchange can come any more, as far as can be known.
    fn resting_link(&mut self, node: u32) -> Option<usize> {
        loop {
            let key = self.pool.take(self.now, node, self.trust.quiet())?;
            let Some(link) = self.link(key) else { continue };
            // Bytes or an end that came while it rested are no answer to anything.
            if link.stream.is_reusable() {
                return Some(key);
            }
            self.drop_stray(key);
        }
    }

    fn log_retry(&mut self, node: u32, request_id: u64) {
        let Some(open) = self.requests.get(&request_id) else { return };
        let Some((_, Some(after))) = open.last else { return };
        let named = named(&self.nodes, open, self.now);
        let to = self.nodes.get(&node).map_or("", |n| n.id.as_str());
        self.request_log.retried(self.now, &named, to, after);
    }

    /// Writes an attempt to a connection that stands by now: what its node is told is what is left to the client
    /// then. The time is read anew, as much may have happened since this turn of the loop began. What ends the attempt
    /// comes back where it is too late for that, or its client has left.
    fn write_attempt(&mut self, key: usize) -> Result<(), Sign> {
        let now = self.clock.now();
        let Some(&mut Link { stage: Stage::Coming { request_id, ends, latest }, .. }) = self.link(key) else {
            return Ok(());
        };
        if now > latest {
            return Err(Sign::GivenUp);
        }
        if self.has_ended(request_id) {
            return Err(Sign::TakenBack);
        }
        let Some(open) = self.requests.get(&request_id) else { return Err(Sign::GivenUp) };
        let Some(Peer::Link(link)) = self.peers.get_mut(key) else { return Ok(()) };
        let left = (ends - now).max(1.0).floor();
        let deadline = format!("X-Deadline: {left}m\r\n\r\n");
        let out = link.stream.output();
        [&open.head, deadline.as_bytes(), &open.body].iter().for_each(|part| out.extend_from_slice(part));
        let end = link.stream.queued_in_all();
        link.stage = Stage::Out { request_id, end, written: None };
        let request = named(&self.nodes, open, now);
        self.request_log.attempt_begun(&request, link.serial, link.exchanges.exchanges(), left);
        self.counts.sent += 1;
        Ok(())
    }

    /// Opens a connection to a node, or what the attempt that wanted it comes to.
    fn dial(&mut self, node: u32, address: SocketAddr) -> Result<usize, Outcome> {
        if self.links >= self.room.links {
            let key = self.pool.gives_way().ok_or(Outcome::ConnectFailed)?;
            self.drop_link(key, UpstreamClosed::GaveWay);
        }
        let (now, serial) = (self.now, self.next_serial());
        let open = |floor: &mut Floor| {
            floor.enter(|poll, key| {
                let stream = Stream::connect(poll, address, key)?;
                let (answers, begun, stage) = (Answers::default(), None, Stage::Rests);
                let exchanges = Upstream::default();
                Ok(Peer::Link(Link { stream, node, serial, answers, begun, stage, exchanges }))
            })
        };
        let opened = match open(self) {
            Err(error) if out_of_descriptors(&error) && self.make_room(|_| true) => open(self),
            opened => opened,
        };
        // A host that is out of descriptors, ports or memory must not take that for a sign of the node.
        let key = opened.map_err(|error| match reach(&error) {
            Reach::Remote => Outcome::ConnectFailed,
            Reach::Local => Outcome::DeadlineExceeded,
        })?;
        self.links += 1;
        self.counts.opened += 1;
        self.timers.set(now + self.door.dial.unwrap_or(DIAL), Timed::Dial(key, serial));
        Ok(key)
    }

    /// Ends a connection that has not come up in time.
    pub fn look_at_dial(&mut self, key: usize, serial: u64) {
        if self.link(key).is_some_and(|link| link.serial == serial && link.stream.connecting()) {
            self.end_link(key, Sign::Late);
        }
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
        let Some(link) = self.link(key) else { return };
        if link.stream.flush().is_err() {
            return self.end_link(key, Sign::Broke);
        }
        if matches!(link.stage, Stage::Coming { .. }) && !link.stream.connecting() {
            return match self.write_attempt(key) {
                Ok(()) => self.flush_link(key),
                Err(sign) => self.end_link(key, sign),
            };
        }
        let (whole, now) = (link.written(), self.clock.now());
        let Some(link) = self.link(key) else { return };
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
        match link.stage {
            Stage::Out { .. } => {}
            Stage::Coming { .. } => return self.flush_link(key),
            Stage::Rests => {
                // Nothing was asked: whatever comes, the connection is of no more use.
                _ = link.stream.fill();
                return self.drop_stray(key);
            }
        }
        match next_answer(&mut link.stream, &mut link.answers) {
            Ok(Some(came)) => self.answered(key, &came),
            Ok(None) => {
                let (first, serial) = (link.begun.replace(now).is_none(), link.serial);
                if first {
                    self.timers.set(now + STALLS, Timed::Answer(key, serial));
                }
            }
            Err(sign) => self.end_link(key, sign),
        }
    }

    /// A whole answer came on a connection on which an attempt is out.
    fn answered(&mut self, key: usize, came: &Came) {
        let Some(link) = self.link(key) else { return };
        let Stage::Out { request_id, written, .. } = link.stage else { return };
        let (node, serial, whole) = (link.node, link.serial, link.written());
        link.begun = None;
        let id = self.requests.get(&request_id).map_or("", |open| open.id.as_str());
        let names = came.answer.field("x-request-id");
        let (status, body, behind) = (came.answer.status, &came.answer.body[..], &came.behind[..]);
        let arrived = Arrived { status, body, behind, names };
        let Some(Peer::Link(link)) = self.peers.get(key) else { return };
        if let Err(doubt) = link.exchanges.judge(&arrived, id) {
            return self.doubted(key, doubt);
        }
        self.exchange_ended(key, &arrived, came.last || !whole);
        if !behind.is_empty() {
            self.distrust(node, serial, behind.len(), 0.0);
        }
        let not_run = came.answer.field("x-not-run") == Some("1");
        let outcome = outcome(Sign::Answer { status, not_run }, whole);
        self.end_attempt(request_id, outcome, written, Some(&came.answer));
        if outcome == Outcome::Succeeded {
            self.settle(request_id, body);
        }
    }

    /// An answer may belong to another request: it is given to nobody.
    fn doubted(&mut self, key: usize, doubt: Doubt) {
        let now = self.now;
        let Some(link) = self.link(key) else { return };
        let (node, serial, rested) = (link.node, link.serial, link.exchanges.rested(now));
        let name = self.nodes.get(&node).map(|n| n.id.as_str());
        self.request_log.doubted(now, name, serial, doubt.word());
        self.end_link(key, Sign::Spoilt);
        self.distrust(node, serial, 0, rested);
    }

    /// The connection rests behind an answer, or ends where it may not carry another exchange.
    fn exchange_ended(&mut self, key: usize, arrived: &Arrived, last: bool) {
        let now = self.now;
        let Some(link) = self.link(key) else { return };
        link.exchanges.ended(now, arrived);
        let node = link.node;
        let ready = self.nodes.get(&node).is_some_and(|n| n.state == EndpointState::Ready);
        let why = match (last, ready, self.trust.may_reuse(node, arrived.status)) {
            (true, ..) => UpstreamClosed::AfterAnswer,
            (_, false, _) => UpstreamClosed::EndpointLeft,
            (.., false) => UpstreamClosed::Distrusted,
            _ => {
                let Some(link) = self.link(key) else { return };
                link.stage = Stage::Rests;
                link.stream.release_buffers();
                return self.pool.rests(now, node, key);
            }
        };
        self.drop_link(key, why);
    }

    /// Takes attempts back of which no byte was written to a node that wants nothing new.
    pub fn take_back(&mut self, number: u32) {
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

    /// Takes an attempt back that is not written whole, as its request has ended: its node has not begun it, and must
    /// not begin it any more. That is no cancel of work, and needs no leave to cancel.
    pub fn take_unwritten_back(&mut self, request_id: u64) {
        let Some((_, key, _)) = self.requests.get(&request_id).and_then(|open| open.out) else { return };
        if self.link(key).is_some_and(|link| !link.written()) {
            self.end_link(key, Sign::TakenBack);
        }
    }

    /// Ends an attempt that is out, as its time is over or nobody waits for it.
    pub fn give_up(&mut self, request_id: u64, attempt: u32, sign: Sign) {
        let out = self.requests.get(&request_id).and_then(|open| open.out);
        if let Some((_, key, _)) = out.filter(|out| out.0 == attempt) {
            self.end_link(key, sign);
        }
    }
}
