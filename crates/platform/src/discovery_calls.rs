//! Calls to discovery on sockets: carries out what the list client decides and reports to it what came of it.

use crate::discovery::{self, Listing};
use crate::discovery_log::{CallFailure, Reload as ReloadOutcome};
use crate::floor::{self, Call, Peer};
use crate::outcome::Sign;
use crate::upstream::{next_answer, Came};
use crate::{config, unix_time, Platform};
use magpiewick::{Answered, EndpointUpdate, Failure, Ms, Step, Target, Validity, Verdict};
use magpiewick_exchange::{Arrived, Doubt, Upstream};
use magpiewick_http1::{self as http1, Answers};
use magpiewick_transport::{out_of_descriptors, reach, Ended, Reach, Stream};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

const TARGET: &str = "/v1/endpoints";
/// A watch that ends without news does so when this part of its wait is over at the earliest.
const EARLY_PART: f64 = 0.5;

/// The request target of a call.
fn path(target: Target) -> String {
    match target {
        Target::Whole => TARGET.to_string(),
        Target::Changes { after, wait } => format!("{TARGET}?after={after}&wait_ms={wait}"),
    }
}

/// What an error on a connection says of the service.
fn failure(error: &io::Error) -> Failure {
    match (reach(error), error.kind()) {
        (Reach::Local, _) => Failure::Local,
        (_, ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted) => Failure::Broken,
        (_, ErrorKind::BrokenPipe | ErrorKind::NotConnected) => Failure::Broken,
        (_, ErrorKind::TimedOut) => Failure::NeverUp,
        (Reach::Remote, _) => Failure::Unreachable,
    }
}

/// How long the service may wait for news before it answers a call.
fn wait_of(target: Target) -> Ms {
    match target {
        Target::Whole => 0.0,
        Target::Changes { wait, .. } => wait,
    }
}

/// Whether an answer is that of an earlier call once more: it is the same, and came long before the service would
/// have given up waiting for news.
fn is_copy(connection: &Call, answer: &http1::Answer, now: Ms) -> bool {
    let arrived = Arrived { status: answer.status, body: &answer.body, behind: &[], names: None };
    let same = connection.exchanges.judge(&arrived, "") == Err(Doubt::CopyOfEarlier);
    same && now - connection.began < connection.wait * EARLY_PART
}

fn broken(ended: Ended) -> (CallFailure, Failure) {
    match ended {
        Ended::Closed => (CallFailure::Broke("closed".to_string()), Failure::Broken),
        Ended::Failed(error) => (CallFailure::Broke(error.to_string()), failure(&error)),
    }
}

impl Platform {
    /// Does what the list client wants now, and holds the module to what the list is worth.
    pub(crate) fn run_list_client(&mut self) {
        let now = self.floor.now;
        while let Some(step) = self.floor.endpoint_client.due(now) {
            match step {
                Step::Call { call, target } => self.begin_call(call, target),
                Step::Drop { call } => self.drop_call(call),
            }
        }
        self.look_at_validity();
    }

    /// Tells the module whether the list may be relied on. Where it may not any more, attempts of which no byte was
    /// written are taken back.
    pub(crate) fn look_at_validity(&mut self) {
        let now = self.floor.now;
        let validity = self.floor.endpoint_client.validity(now);
        if validity == self.validity {
            return;
        }
        let age = self.floor.endpoint_client.age(now);
        self.floor.discovery_log.validity_changed(self.validity, validity, age);
        self.validity = validity;
        self.engine.set_endpoint_list_expired(validity == Validity::Expired);
        if validity == Validity::Expired {
            self.floor.take_all_back();
        }
    }

    fn begin_call(&mut self, call: u64, target: Target) {
        let (now, address) = (self.floor.now, self.floor.discovery);
        let (path, wait) = (path(target), wait_of(target));
        let late = self.floor.endpoint_client.calls_out() - 1;
        self.floor.discovery_log.called(now, call, late, address, &path);
        let key = match self.call_connection(address) {
            Ok(key) => key,
            Err(error) => {
                return self.call_failed(call, CallFailure::Connect(error.to_string()), failure(&error))
            }
        };
        let Some(Peer::Call(connection)) = self.floor.peers.get_mut(key) else { return };
        (connection.call, connection.began, connection.wait) = (Some(call), now, wait);
        let host = address.to_string();
        http1::write_request_head(connection.stream.output(), "GET", &path, &[("Host", host.as_bytes())]);
        connection.stream.output().extend_from_slice(b"\r\n");
        self.flush_call(key);
    }

    /// A connection for a call: the one on which the last call was answered, or a new one.
    fn call_connection(&mut self, address: SocketAddr) -> io::Result<usize> {
        if let Some(key) = self.resting_connection() {
            return Ok(key);
        }
        let connect = |floor: &mut floor::Floor| {
            floor.enter(|poll, key| {
                Ok(Peer::Call(Call {
                    stream: Stream::connect(poll, address, key)?,
                    answers: Answers::default(),
                    address,
                    call: None,
                    began: 0.0,
                    wait: 0.0,
                    exchanges: Upstream::default(),
                }))
            })
        };
        match connect(&mut self.floor) {
            Err(error) if out_of_descriptors(&error) && self.floor.make_room(|_| true) => {
                connect(&mut self.floor)
            }
            connected => connected,
        }
    }

    /// The connection on which the last call was answered, where nothing came on it since.
    fn resting_connection(&mut self) -> Option<usize> {
        let key = self.floor.resting_call.take()?;
        let Some(Peer::Call(connection)) = self.floor.peers.get_mut(key) else { return None };
        if connection.stream.is_reusable() {
            return Some(key);
        }
        self.floor.peers.try_remove(key);
        None
    }

    fn drop_call(&mut self, call: u64) {
        let of_call = |peer: &Peer| matches!(peer, Peer::Call(c) if c.call == Some(call));
        let key = self.floor.peers.iter().find(|(_, peer)| of_call(peer)).map(|(key, _)| key);
        if let Some(key) = key {
            self.floor.peers.try_remove(key);
            self.floor.discovery_log.dropped(self.floor.now, call);
        }
    }

    /// Writes what a call still has to write, and notes when its connection stands.
    pub(crate) fn flush_call(&mut self, key: usize) {
        let now = self.floor.now;
        let Some(Peer::Call(connection)) = self.floor.peers.get_mut(key) else { return };
        let connecting = connection.stream.connecting();
        if let Err(ended) = connection.stream.flush() {
            let (why, failure) = broken(ended);
            return self.call_ended(key, why, failure);
        }
        let Some(call) = connection.call.filter(|_| !connection.stream.connecting()) else { return };
        if connecting {
            self.floor.discovery_log.connected(call, connection.address, now - connection.began);
        }
        self.floor.endpoint_client.connected(call);
    }

    /// The connection of a call is of no more use.
    pub(crate) fn call_ended(&mut self, key: usize, why: CallFailure, failure: Failure) {
        if self.floor.resting_call == Some(key) {
            self.floor.resting_call = None;
        }
        let Some(Peer::Call(connection)) = self.floor.peers.try_remove(key) else { return };
        if let Some(call) = connection.call {
            self.call_failed(call, why, failure);
        }
    }

    fn call_failed(&mut self, call: u64, why: CallFailure, failure: Failure) {
        let (now, client) = (self.floor.now, &mut self.floor.endpoint_client);
        let present = client.is_present(call);
        client.failed(now, call, failure);
        self.log_failed(call, present, &why);
    }

    /// Tells of a call that ended without a list; `present`: it went to the address that is named now.
    fn log_failed(&mut self, call: u64, present: bool, why: &CallFailure) {
        let now = self.floor.now;
        if !present {
            return self.floor.discovery_log.former_ended(now, call, why);
        }
        self.floor.counts.lists_failed += 1;
        let next_in = self.floor.endpoint_client.next_call_at() - now;
        self.floor.discovery_log.failed(now, call, why, next_in);
    }

    pub(crate) fn read_call(&mut self, key: usize) {
        let now = self.floor.now;
        let Some(Peer::Call(connection)) = self.floor.peers.get_mut(key) else { return };
        if connection.stream.connecting() {
            return self.flush_call(key);
        }
        let next = next_answer(&mut connection.stream, &mut connection.answers);
        // A part of an answer shows that there is somebody who writes answers.
        let begun = connection.answers.begun() || !connection.stream.input().is_empty();
        let Came { answer, last, .. } = match next {
            Ok(Some(next)) => next,
            Ok(None) => return,
            Err(Sign::Spoilt) => return self.call_ended(key, CallFailure::Spoilt, Failure::Unusable),
            Err(_) => {
                let failure = if begun { Failure::Unusable } else { Failure::Broken };
                return self.call_ended(key, CallFailure::Broke("closed".to_string()), failure);
            }
        };
        if connection.call.is_none() {
            return self.call_ended(key, CallFailure::Spoilt, Failure::Unusable);
        }
        if is_copy(connection, &answer, now) {
            return self.call_ended(key, CallFailure::Spoilt, Failure::Unusable);
        }
        let (status, body) = (answer.status, &answer.body[..]);
        connection.exchanges.ended(now, &Arrived { status, body, behind: &[], names: None });
        match listing_of(&answer) {
            Ok(listing) => self.call_answered(key, listing, last),
            Err((why, failure)) => self.call_ended(key, why, failure),
        }
    }

    fn call_answered(&mut self, key: usize, listing: Listing, last: bool) {
        let now = self.floor.now;
        let Some(Peer::Call(connection)) = self.floor.peers.get_mut(key) else { return };
        let Some(call) = connection.call.take() else { return };
        let took = now - connection.began;
        let present = self.floor.endpoint_client.is_present(call);
        let (generation, lines) = (listing.generation, listing.lines.len());
        let head = Answered { generation, whole: listing.whole, lines };
        let verdict = self.floor.endpoint_client.answered(now, call, head);
        if present && !last && verdict != Verdict::Gap && self.floor.resting_call.is_none() {
            self.floor.resting_call = Some(key);
        } else {
            self.floor.peers.try_remove(key);
        }
        let Verdict::Take(news) = verdict else {
            let why = if verdict == Verdict::Gap { CallFailure::Gap } else { CallFailure::Outdated };
            return self.log_failed(call, present, &why);
        };
        self.floor.discovery_log.answered(now, call, present, generation, lines, took);
        self.take_in(&listing, news);
        if present {
            self.ready_at = self.ready_at.min(now);
        }
        // A watch goes on as long as the next call comes soon after the last answer.
        self.run_list_client();
    }

    /// Tells the engine what a discovery told.
    fn take_in(&mut self, listing: &Listing, news: EndpointUpdate) {
        self.floor.counts.lists += 1;
        let entries = self.floor.listed(listing, unix_time());
        self.engine.on_endpoint_update(self.floor.now, news, &entries);
    }

    /// The operator replaced the file and said so.
    pub(crate) fn reload_announced(&mut self) {
        self.reload.announced();
        self.read_anew();
    }

    /// Reads the file: discovery's address may be another. A file that is no good changes nothing, and is read again
    /// until it is good: it may have been met half written, and the operator will not announce it twice.
    pub(crate) fn read_anew(&mut self) {
        let now = self.floor.now;
        let told = match config::read(&self.path) {
            Ok(told) => told,
            Err(why) => return self.reload_refused(now, &why),
        };
        self.reload.done();
        let late = config::differing(&self.fixed, &told.fixed);
        if !late.is_empty() {
            tracing::warn!(settings = late.join(", "), "these have changed and wait for a restart");
        }
        let (before, after) = (self.floor.discovery, told.discovery);
        if after == before {
            self.floor.discovery_log.reloaded(ReloadOutcome::Unchanged);
            return tracing::info!(discovery = %after, "the new configuration has nothing that is taken at once");
        }
        self.floor.discovery_log.reloaded(ReloadOutcome::Taken);
        tracing::info!(
            %before, %after, generation = self.floor.endpoint_client.generation(),
            calls_out = self.floor.endpoint_client.calls_out(), "discovery is at another address"
        );
        if let Some(key) = self.floor.resting_call.take() {
            self.floor.peers.try_remove(key);
        }
        self.floor.discovery = after;
        self.floor.endpoint_client.reloaded(now);
        self.run_list_client();
    }

    fn reload_refused(&mut self, now: Ms, why: &str) {
        if self.reload.refused(now) {
            self.floor.endpoint_client.reload_refused(now);
        }
        let retry_in = self.reload.retry_at().map(|at| at - now);
        self.floor.discovery_log.reload_refused(now, why, self.floor.discovery, retry_in);
    }
}

/// The list that an answer brings.
fn listing_of(answer: &http1::Answer) -> Result<Listing, (CallFailure, Failure)> {
    match answer.status {
        200 => {
            discovery::parsed(&answer.body).map_err(|why| (CallFailure::Malformed(why), Failure::Unusable))
        }
        status @ 500..=599 => Err((CallFailure::Status(status), Failure::TurnedAway)),
        status => Err((CallFailure::Status(status), Failure::Unusable)),
    }
}
