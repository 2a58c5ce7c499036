//! Attempts on sockets: connections to nodes, each carrying one exchange at a time. An attempt ends in one place, and
//! so does a connection.

use crate::attempt_end::{outcome, AttemptEnd};
use crate::host::{labels, Connection, Host, Timer};
use crate::idle_pool::RESPONSE_STALL_MS;
use crate::request_log::UpstreamCloseReason;
use magpiewick::{Answer, EndpointState, Ms, Outcome};
use magpiewick_engine::{AttemptRef, Reason};
use magpiewick_exchange::{ExchangeHistory, ReceivedResponse, ResponseMismatch};
use magpiewick_http1::{self as http1, ResponseReader};
use magpiewick_transport::{out_of_descriptors, reach, Ended, Reach, Stream};
use std::net::SocketAddr;

/// A connection to a node that does not stand by then has not come up, where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT_MS: Ms = 1000.0;

/// What a connection to a node is at.
#[derive(Clone, Copy)]
pub enum UpstreamState {
    Idle,
    /// An attempt that is written when the connection stands: until when its client waits, and by when it must have
    /// left the host.
    Connecting {
        request_id: u64,
        ends: Ms,
        latest: Ms,
    },
    /// An attempt; until which byte of the stream it goes, and when that was written.
    InFlight {
        request_id: u64,
        end: u64,
        written: Option<Ms>,
    },
}

/// A connection to a node.
pub struct UpstreamConnection {
    pub stream: Stream,
    pub answers: ResponseReader,
    pub node: u32,
    pub serial: u64,
    /// When the last bytes came of an answer that is not whole.
    pub begun: Option<Ms>,
    pub stage: UpstreamState,
    pub exchanges: ExchangeHistory,
}

impl UpstreamConnection {
    /// Whether the kernel took the last byte of the attempt.
    fn written(&self) -> bool {
        matches!(self.stage, UpstreamState::InFlight { end, .. } if self.stream.written_in_all() >= end)
    }
}

/// A whole answer that came on a connection that the host asks on.
pub struct CompleteResponse {
    pub answer: http1::Response,
    /// What came behind it, and whether the connection is of no more use.
    pub trailing: Vec<u8>,
    pub last: bool,
}

/// What came on a connection that the host asks on: an answer if it is whole. Bytes that are no answer and an end
/// before it is whole come as what they are to an attempt.
pub fn read_response(
    stream: &mut Stream,
    answers: &mut ResponseReader,
) -> Result<Option<CompleteResponse>, AttemptEnd> {
    let ended = stream.fill().err();
    let input = stream.take_input();
    let (used, answer) = answers.read(&input).map_err(|_| AttemptEnd::MalformedResponse)?;
    let trailing = input[used..].to_vec();
    stream.give_back(input, used);
    let answer = match (answer, &ended) {
        (None, Some(Ended::Closed)) if trailing.is_empty() => answers.on_end_of_stream(),
        (answer, _) => answer,
    };
    match answer {
        Some(answer) => {
            let last = !trailing.is_empty() || ended.is_some() || answer.close;
            Ok(Some(CompleteResponse { answer, trailing, last }))
        }
        None if ended.is_some() => Err(AttemptEnd::ConnectionLost),
        None => Ok(None),
    }
}

impl Host {
    pub fn upstream(&mut self, key: usize) -> Option<&mut UpstreamConnection> {
        match self.connections.get_mut(key) {
            Some(Connection::Upstream(upstream)) => Some(upstream),
            _ => None,
        }
    }

    /// Ends a connection to a node. Whatever attempt is out on it is the caller's to end.
    pub fn close_upstream(&mut self, key: usize, why: UpstreamCloseReason) -> Option<UpstreamConnection> {
        self.upstream(key)?;
        self.upstream_count -= 1;
        let Connection::Upstream(upstream) = self.connections.remove(key) else { return None };
        let node = self.nodes.get(&upstream.node).map(|n| n.id.as_str());
        self.request_log.upstream_closed(
            self.now,
            node,
            upstream.serial,
            upstream.exchanges.exchanges(),
            why,
        );
        if matches!(upstream.stage, UpstreamState::Idle) {
            self.pool.ended(upstream.node, key);
        }
        Some(upstream)
    }

    /// Ends all connections that rest at a node.
    pub fn close_idle(&mut self, node: u32, why: UpstreamCloseReason) {
        self.pool.leaves(node).into_iter().for_each(|key| _ = self.close_upstream(key, why));
    }

    /// Ends a connection that met an end or bytes while it rested.
    fn close_unsolicited(&mut self, key: usize) {
        let now = self.now;
        let Some(upstream) = self.upstream(key) else { return };
        let (node, serial, bytes) = (upstream.node, upstream.serial, upstream.stream.input().len());
        let rested = upstream.exchanges.idle_for(now);
        if bytes == 0 {
            self.close_upstream(key, UpstreamCloseReason::ClosedWhileIdle);
            return;
        }
        self.close_upstream(key, UpstreamCloseReason::UnsolicitedBytes);
        self.distrust(node, serial, bytes, rested);
    }

    /// Remembers that a node sent more than it was asked for: none of its connections is used again.
    fn distrust(&mut self, node: u32, serial: u64, bytes: usize, rested: Ms) {
        let name = self.nodes.get(&node).map(|n| n.id.as_str());
        self.request_log.unexpected_bytes(self.now, name, serial, bytes, rested);
        self.trust.on_unsolicited_bytes(node, rested);
        self.close_idle(node, UpstreamCloseReason::NotReusable);
    }

    /// Ends a connection to a node and whatever attempt is out on it.
    pub fn fail_upstream(&mut self, key: usize, sign: AttemptEnd) {
        let Some(upstream) = self.close_upstream(key, UpstreamCloseReason::Attempt(sign)) else { return };
        match upstream.stage {
            UpstreamState::Idle => {}
            UpstreamState::Connecting { request_id, .. } => {
                self.end_attempt(request_id, outcome(sign, false), None, None)
            }
            UpstreamState::InFlight { request_id, written, .. } => {
                self.end_attempt(request_id, outcome(sign, upstream.written()), written, None);
            }
        }
    }

    /// Ends the attempt of a request that is out: its outcome is owed to the engine.
    pub fn end_attempt(
        &mut self,
        request_id: u64,
        outcome: Outcome,
        written: Option<Ms>,
        answer: Option<&http1::Response>,
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
            self.request_log.attempt_ended(&labels(&self.nodes, open, now), outcome, latency);
        }
        *self.counts.outcomes.entry(Reason::After(outcome).word()).or_default() += 1;
        self.owed.push((request_id, Answer { outcome, latency, over, used, others }));
    }

    /// Begins an attempt on a resting connection that is good, or on a new one.
    pub fn start_attempt(&mut self, node: u32, part: &AttemptRef) {
        let now = self.now;
        let address = self.nodes.get(&node).and_then(|n| n.address);
        let dialled = match (self.take_idle_upstream(node), address) {
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
        let Some(upstream) = self.upstream(key) else { return };
        upstream.stage = UpstreamState::Connecting {
            request_id: part.request_id,
            ends: now + part.timeout,
            latest: part.send_by,
        };
        self.timers.set(now + part.timeout, Timer::Attempt(part.request_id, part.attempt));
        self.flush_upstream(key);
    }

    /// A connection on which nothing of an earlier exchange can come any more, as far as can be known.
    fn take_idle_upstream(&mut self, node: u32) -> Option<usize> {
        loop {
            let key = self.pool.take(self.now, node, self.trust.min_idle())?;
            let Some(upstream) = self.upstream(key) else { continue };
            // Bytes or an end that came while it rested are no answer to anything.
            if matches!(upstream.stream.fill_to(1), Ok(false)) && upstream.stream.input().is_empty() {
                return Some(key);
            }
            self.close_unsolicited(key);
        }
    }

    fn log_retry(&mut self, node: u32, request_id: u64) {
        let Some(open) = self.requests.get(&request_id) else { return };
        let Some((_, Some(after))) = open.last else { return };
        let labels = labels(&self.nodes, open, self.now);
        let to = self.nodes.get(&node).map_or("", |n| n.id.as_str());
        self.request_log.retried(self.now, &labels, to, after);
    }

    /// Writes an attempt to a connection that stands by now: what its node is config is what is left to the client
    /// then. The time is read anew, as much may have happened since this turn of the loop started_at. What ends the attempt
    /// comes back where it is too late for that, or its client has left.
    fn write_attempt(&mut self, key: usize) -> Result<(), AttemptEnd> {
        let now = self.clock.now();
        let Some(&mut UpstreamConnection {
            stage: UpstreamState::Connecting { request_id, ends, latest },
            ..
        }) = self.upstream(key)
        else {
            return Ok(());
        };
        if now > latest {
            return Err(AttemptEnd::Cancelled);
        }
        if self.is_request_over(request_id) {
            return Err(AttemptEnd::Withdrawn);
        }
        let Some(open) = self.requests.get(&request_id) else { return Err(AttemptEnd::Cancelled) };
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(key) else { return Ok(()) };
        let left = (ends - now).max(1.0).floor();
        let deadline = format!("X-Deadline: {left}m\r\n\r\n");
        let out = upstream.stream.output();
        [&open.head, deadline.as_bytes(), &open.body].iter().for_each(|part| out.extend_from_slice(part));
        let end = upstream.stream.queued_in_all();
        upstream.stage = UpstreamState::InFlight { request_id, end, written: None };
        let request = labels(&self.nodes, open, now);
        self.request_log.attempt_begun(&request, upstream.serial, upstream.exchanges.exchanges(), left);
        self.counts.sent += 1;
        Ok(())
    }

    /// Opens a connection to a node, or what the attempt that wanted it comes to.
    fn dial(&mut self, node: u32, address: SocketAddr) -> Result<usize, Outcome> {
        if self.upstream_count >= self.limits.upstream_count {
            let key = self.pool.gives_way().ok_or(Outcome::ConnectFailed)?;
            self.close_upstream(key, UpstreamCloseReason::Evicted);
        }
        let (now, serial) = (self.now, self.next_serial());
        let open = |host: &mut Host| {
            host.register_connection(|poll, key| {
                let stream = Stream::connect(poll, address, key)?;
                let (answers, begun, stage) = (ResponseReader::default(), None, UpstreamState::Idle);
                let exchanges = ExchangeHistory::default();
                Ok(Connection::Upstream(UpstreamConnection {
                    stream,
                    node,
                    serial,
                    answers,
                    begun,
                    stage,
                    exchanges,
                }))
            })
        };
        let opened = match open(self) {
            Err(error) if out_of_descriptors(&error) && self.evict_client(|_| true) => open(self),
            opened => opened,
        };
        // A host that is out of descriptors, ports or memory must not take that for a sign of the node.
        let key = opened.map_err(|error| match reach(&error) {
            Reach::Remote => Outcome::ConnectFailed,
            Reach::Local => Outcome::DeadlineExceeded,
        })?;
        self.upstream_count += 1;
        self.counts.opened += 1;
        self.timers
            .set(now + self.settings.dial.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS), Timer::Dial(key, serial));
        Ok(key)
    }

    /// Ends a connection that has not come up in time.
    pub fn on_connect_timeout(&mut self, key: usize, serial: u64) {
        if self
            .upstream(key)
            .is_some_and(|upstream| upstream.serial == serial && upstream.stream.connecting())
        {
            self.fail_upstream(key, AttemptEnd::TimedOut);
        }
    }

    /// Ends a connection whose answer has begun and stands still.
    pub fn on_response_stall(&mut self, key: usize, serial: u64) {
        let now = self.now;
        let Some(upstream) = self.upstream(key).filter(|l| l.serial == serial) else { return };
        match upstream.begun {
            Some(at) if now - at >= RESPONSE_STALL_MS - 1.0 => {
                self.fail_upstream(key, AttemptEnd::MalformedResponse)
            }
            Some(at) => self.timers.set(at + RESPONSE_STALL_MS, Timer::Answer(key, serial)),
            None => {}
        }
    }

    pub fn flush_upstream(&mut self, key: usize) {
        let Some(upstream) = self.upstream(key) else { return };
        if upstream.stream.flush().is_err() {
            return self.fail_upstream(key, AttemptEnd::ConnectionLost);
        }
        if matches!(upstream.stage, UpstreamState::Connecting { .. }) && !upstream.stream.connecting() {
            return match self.write_attempt(key) {
                Ok(()) => self.flush_upstream(key),
                Err(sign) => self.fail_upstream(key, sign),
            };
        }
        let (whole, now) = (upstream.written(), self.clock.now());
        let Some(upstream) = self.upstream(key) else { return };
        if let UpstreamState::InFlight { written, .. } = &mut upstream.stage {
            if whole {
                written.get_or_insert(now);
            }
        }
    }

    /// What came from a node.
    pub fn read_upstream(&mut self, key: usize) {
        let now = self.now;
        let Some(upstream) = self.upstream(key) else { return };
        match upstream.stage {
            UpstreamState::InFlight { .. } => {}
            UpstreamState::Connecting { .. } => return self.flush_upstream(key),
            UpstreamState::Idle => {
                // Nothing was asked: whatever comes, the connection is of no more use.
                _ = upstream.stream.fill();
                return self.close_unsolicited(key);
            }
        }
        match read_response(&mut upstream.stream, &mut upstream.answers) {
            Ok(Some(came)) => self.answered(key, &came),
            Ok(None) => {
                let (first, serial) = (upstream.begun.replace(now).is_none(), upstream.serial);
                if first {
                    self.timers.set(now + RESPONSE_STALL_MS, Timer::Answer(key, serial));
                }
            }
            Err(sign) => self.fail_upstream(key, sign),
        }
    }

    /// A whole answer came on a connection on which an attempt is out.
    fn answered(&mut self, key: usize, came: &CompleteResponse) {
        let Some(upstream) = self.upstream(key) else { return };
        let UpstreamState::InFlight { request_id, written, .. } = upstream.stage else { return };
        let (node, serial, whole) = (upstream.node, upstream.serial, upstream.written());
        upstream.begun = None;
        let id = self.requests.get(&request_id).map_or("", |open| open.id.as_str());
        let names = came.answer.field("x-request-id");
        let (status, body, trailing) = (came.answer.status, &came.answer.body[..], &came.trailing[..]);
        let arrived = ReceivedResponse { status, body, trailing, names };
        let Some(Connection::Upstream(upstream)) = self.connections.get(key) else { return };
        if let Err(doubt) = upstream.exchanges.verify(&arrived, id) {
            return self.on_mismatch(key, doubt);
        }
        self.finish_exchange(key, &arrived, came.last || !whole);
        if !trailing.is_empty() {
            self.distrust(node, serial, trailing.len(), 0.0);
        }
        let not_run = came.answer.field("x-not-run") == Some("1");
        let outcome = outcome(AttemptEnd::Response { status, not_run }, whole);
        self.end_attempt(request_id, outcome, written, Some(&came.answer));
        if outcome == Outcome::Succeeded {
            self.deliver_response(request_id, body);
        }
    }

    /// An answer may belong to another request: it is given to nobody.
    fn on_mismatch(&mut self, key: usize, doubt: ResponseMismatch) {
        let now = self.now;
        let Some(upstream) = self.upstream(key) else { return };
        let (node, serial, rested) = (upstream.node, upstream.serial, upstream.exchanges.idle_for(now));
        let name = self.nodes.get(&node).map(|n| n.id.as_str());
        self.request_log.on_mismatch(now, name, serial, doubt.word());
        self.fail_upstream(key, AttemptEnd::MalformedResponse);
        self.distrust(node, serial, 0, rested);
    }

    /// The connection rests behind an answer, or ends where it may not carry another exchange.
    fn finish_exchange(&mut self, key: usize, arrived: &ReceivedResponse, last: bool) {
        let now = self.now;
        let Some(upstream) = self.upstream(key) else { return };
        upstream.exchanges.record(now, arrived);
        let node = upstream.node;
        let ready = self.nodes.get(&node).is_some_and(|n| n.state == EndpointState::Ready);
        let why = match (last, ready, self.trust.may_reuse(node, arrived.status)) {
            (true, ..) => UpstreamCloseReason::AfterResponse,
            (_, false, _) => UpstreamCloseReason::EndpointRemoved,
            (.., false) => UpstreamCloseReason::NotReusable,
            _ => {
                let Some(upstream) = self.upstream(key) else { return };
                upstream.stage = UpstreamState::Idle;
                upstream.stream.rest();
                return self.pool.rests(now, node, key);
            }
        };
        self.close_upstream(key, why);
    }

    /// Takes attempts back of which no byte was written to a node that wants nothing new.
    pub fn withdraw_unwritten_from(&mut self, number: u32) {
        self.withdraw_unwritten_where(|node| node == number);
    }

    /// The same for all nodes, as none of them is known to want anything.
    pub fn withdraw_all_unwritten(&mut self) {
        self.withdraw_unwritten_where(|_| true);
    }

    fn withdraw_unwritten_where(&mut self, of: impl Fn(u32) -> bool) {
        let unwritten = self.connections.iter().filter_map(|(key, peer)| match peer {
            Connection::Upstream(l) if of(l.node) && matches!(l.stage, UpstreamState::Connecting { .. }) => {
                Some(key)
            }
            _ => None,
        });
        let unwritten: Vec<usize> = unwritten.collect();
        unwritten.into_iter().for_each(|key| self.fail_upstream(key, AttemptEnd::Withdrawn));
    }

    /// Takes an attempt back that is not written whole, as its request has ended: its node has not begun it, and must
    /// not begin it any more. That is no cancel of work, and needs no leave to cancel.
    pub fn withdraw_if_unwritten(&mut self, request_id: u64) {
        let Some((_, key, _)) = self.requests.get(&request_id).and_then(|open| open.out) else { return };
        if self.upstream(key).is_some_and(|upstream| !upstream.written()) {
            self.fail_upstream(key, AttemptEnd::Withdrawn);
        }
    }

    /// Ends an attempt that is out, as its time is over or nobody waits for it.
    pub fn end_attempt_early(&mut self, request_id: u64, attempt: u32, sign: AttemptEnd) {
        let out = self.requests.get(&request_id).and_then(|open| open.out);
        if let Some((_, key, _)) = out.filter(|out| out.0 == attempt) {
            self.fail_upstream(key, sign);
        }
    }
}
