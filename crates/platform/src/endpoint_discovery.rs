//! Calls to discovery on sockets: carries out what the list client decides and reports to it what came of it.

use crate::attempt_end::AttemptEnd;
use crate::discovery_log::{CallError, Reload as ReloadResult};
use crate::endpoint_list::{self, EndpointList};
use crate::host::{self, Connection, DiscoveryConnection};
use crate::upstream_connection::{read_response, CompleteResponse};
use crate::{config, unix_time, EventLoop};
use magpiewick::{Answered, EndpointUpdate, Failure, Ms, Step, Target, Validity, Verdict};
use magpiewick_exchange::{ExchangeHistory, ReceivedResponse, ResponseMismatch};
use magpiewick_http1::{self as http1, ResponseReader};
use magpiewick_transport::{out_of_descriptors, reach, Ended, Reach, Stream};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

const LIST_PATH: &str = "/v1/endpoints";
/// A watch that ends without news does so when this part of its wait is over at the earliest.
const MIN_WATCH_SHARE: f64 = 0.5;

/// The request target of a call.
fn path(target: Target) -> String {
    match target {
        Target::Whole => LIST_PATH.to_string(),
        Target::Changes { after, wait } => format!("{LIST_PATH}?after={after}&wait_ms={wait}"),
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
fn watch_wait(target: Target) -> Ms {
    match target {
        Target::Whole => 0.0,
        Target::Changes { wait, .. } => wait,
    }
}

/// Whether an answer is that of an earlier call once more: it is the same, and came long before the service would
/// have given up waiting for news.
fn is_copy(connection: &DiscoveryConnection, answer: &http1::Response, now: Ms) -> bool {
    let arrived = ReceivedResponse { status: answer.status, body: &answer.body, trailing: &[], names: None };
    let same = connection.exchanges.verify(&arrived, "") == Err(ResponseMismatch::DuplicateResponse);
    same && now - connection.started_at < connection.wait * MIN_WATCH_SHARE
}

fn broken(ended: Ended) -> (CallError, Failure) {
    match ended {
        Ended::Closed => (CallError::ConnectionLost("closed".to_string()), Failure::Broken),
        Ended::Failed(error) => (CallError::ConnectionLost(error.to_string()), failure(&error)),
    }
}

impl EventLoop {
    /// Does what the list client wants now, and holds the module to what the list is worth.
    pub(crate) fn run_endpoint_client(&mut self) {
        let now = self.host.now;
        while let Some(step) = self.host.endpoint_client.due(now) {
            match step {
                Step::Call { call, target } => self.start_call(call, target),
                Step::Drop { call } => self.cancel_call(call),
            }
        }
        self.update_list_validity();
    }

    /// Tells the module whether the list may be relied on. Where it may not any more, attempts of which no byte was
    /// written are taken back.
    pub(crate) fn update_list_validity(&mut self) {
        let now = self.host.now;
        let validity = self.host.endpoint_client.validity(now);
        if validity == self.validity {
            return;
        }
        let age = self.host.endpoint_client.age(now);
        self.host.discovery_log.validity_changed(self.validity, validity, age);
        self.validity = validity;
        self.engine.set_endpoint_list_expired(validity == Validity::Expired);
        if validity == Validity::Expired {
            self.host.withdraw_all_unwritten();
        }
    }

    fn start_call(&mut self, call: u64, target: Target) {
        let (now, address) = (self.host.now, self.host.discovery);
        let (path, wait) = (path(target), watch_wait(target));
        let late = self.host.endpoint_client.calls_out() - 1;
        self.host.discovery_log.called(now, call, late, address, &path);
        let key = match self.connect_for_call(address) {
            Ok(key) => key,
            Err(error) => {
                return self.on_call_failed(call, CallError::Connect(error.to_string()), failure(&error))
            }
        };
        let Some(Connection::Discovery(connection)) = self.host.connections.get_mut(key) else { return };
        (connection.call, connection.started_at, connection.wait) = (Some(call), now, wait);
        let host = address.to_string();
        http1::write_request_head(connection.stream.output(), "GET", &path, &[("Host", host.as_bytes())]);
        connection.stream.output().extend_from_slice(b"\r\n");
        self.flush_call(key);
    }

    /// A connection for a call: the one on which the last call was answered, or a new one.
    fn connect_for_call(&mut self, address: SocketAddr) -> io::Result<usize> {
        if let Some(key) = self.take_idle_connection() {
            return Ok(key);
        }
        let connect = |host: &mut host::Host| {
            host.register_connection(|poll, key| {
                Ok(Connection::Discovery(DiscoveryConnection {
                    stream: Stream::connect(poll, address, key)?,
                    answers: ResponseReader::default(),
                    address,
                    call: None,
                    started_at: 0.0,
                    wait: 0.0,
                    exchanges: ExchangeHistory::default(),
                }))
            })
        };
        match connect(&mut self.host) {
            Err(error) if out_of_descriptors(&error) && self.host.evict_client(|_| true) => {
                connect(&mut self.host)
            }
            connected => connected,
        }
    }

    /// The connection on which the last call was answered, where nothing came on it since.
    fn take_idle_connection(&mut self) -> Option<usize> {
        let key = self.host.idle_connection.take()?;
        let Some(Connection::Discovery(connection)) = self.host.connections.get_mut(key) else { return None };
        if matches!(connection.stream.fill_to(1), Ok(false)) && connection.stream.input().is_empty() {
            return Some(key);
        }
        self.host.connections.try_remove(key);
        None
    }

    fn cancel_call(&mut self, call: u64) {
        let of_call = |peer: &Connection| matches!(peer, Connection::Discovery(c) if c.call == Some(call));
        let key = self.host.connections.iter().find(|(_, peer)| of_call(peer)).map(|(key, _)| key);
        if let Some(key) = key {
            self.host.connections.try_remove(key);
            self.host.discovery_log.dropped(self.host.now, call);
        }
    }

    /// Writes what a call still has to write, and notes when its connection stands.
    pub(crate) fn flush_call(&mut self, key: usize) {
        let now = self.host.now;
        let Some(Connection::Discovery(connection)) = self.host.connections.get_mut(key) else { return };
        let connecting = connection.stream.connecting();
        if let Err(ended) = connection.stream.flush() {
            let (why, failure) = broken(ended);
            return self.fail_call(key, why, failure);
        }
        let Some(call) = connection.call.filter(|_| !connection.stream.connecting()) else { return };
        if connecting {
            self.host.discovery_log.connected(call, connection.address, now - connection.started_at);
        }
        self.host.endpoint_client.connected(call);
    }

    /// The connection of a call is of no more use.
    pub(crate) fn fail_call(&mut self, key: usize, why: CallError, failure: Failure) {
        if self.host.idle_connection == Some(key) {
            self.host.idle_connection = None;
        }
        let Some(Connection::Discovery(connection)) = self.host.connections.try_remove(key) else { return };
        if let Some(call) = connection.call {
            self.on_call_failed(call, why, failure);
        }
    }

    fn on_call_failed(&mut self, call: u64, why: CallError, failure: Failure) {
        let (now, client) = (self.host.now, &mut self.host.endpoint_client);
        let present = client.is_present(call);
        client.failed(now, call, failure);
        self.log_call_failure(call, present, &why);
    }

    /// Tells of a call that ended without a list; `present`: it went to the address that is labels now.
    fn log_call_failure(&mut self, call: u64, present: bool, why: &CallError) {
        let now = self.host.now;
        if !present {
            return self.host.discovery_log.former_ended(now, call, why);
        }
        self.host.counts.endpoint_list_poll_failures += 1;
        let next_in = self.host.endpoint_client.next_call_at() - now;
        self.host.discovery_log.failed(now, call, why, next_in);
    }

    pub(crate) fn read_call(&mut self, key: usize) {
        let now = self.host.now;
        let Some(Connection::Discovery(connection)) = self.host.connections.get_mut(key) else { return };
        if connection.stream.connecting() {
            return self.flush_call(key);
        }
        let next = read_response(&mut connection.stream, &mut connection.answers);
        // A part of an answer shows that there is somebody who writes answers.
        let begun = connection.answers.in_progress() || !connection.stream.input().is_empty();
        let CompleteResponse { answer, last, .. } = match next {
            Ok(Some(next)) => next,
            Ok(None) => return,
            Err(AttemptEnd::MalformedResponse) => {
                return self.fail_call(key, CallError::MalformedResponse, Failure::Unusable)
            }
            Err(_) => {
                let failure = if begun { Failure::Unusable } else { Failure::Broken };
                return self.fail_call(key, CallError::ConnectionLost("closed".to_string()), failure);
            }
        };
        if connection.call.is_none() {
            return self.fail_call(key, CallError::MalformedResponse, Failure::Unusable);
        }
        if is_copy(connection, &answer, now) {
            return self.fail_call(key, CallError::MalformedResponse, Failure::Unusable);
        }
        let (status, body) = (answer.status, &answer.body[..]);
        connection.exchanges.record(now, &ReceivedResponse { status, body, trailing: &[], names: None });
        match parse_list_response(&answer) {
            Ok(listing) => self.on_list(key, listing, last),
            Err((why, failure)) => self.fail_call(key, why, failure),
        }
    }

    fn on_list(&mut self, key: usize, listing: EndpointList, last: bool) {
        let now = self.host.now;
        let Some(Connection::Discovery(connection)) = self.host.connections.get_mut(key) else { return };
        let Some(call) = connection.call.take() else { return };
        let took = now - connection.started_at;
        let present = self.host.endpoint_client.is_present(call);
        let (generation, lines) = (listing.generation, listing.lines.len());
        let head = Answered { generation, whole: listing.whole, lines };
        let verdict = self.host.endpoint_client.answered(now, call, head);
        if present && !last && verdict != Verdict::Gap && self.host.idle_connection.is_none() {
            self.host.idle_connection = Some(key);
        } else {
            self.host.connections.try_remove(key);
        }
        let Verdict::Take(news) = verdict else {
            let why = if verdict == Verdict::Gap { CallError::Gap } else { CallError::Outdated };
            return self.log_call_failure(call, present, &why);
        };
        self.host.discovery_log.answered(now, call, present, generation, lines, took);
        self.apply_list(&listing, news);
        if present {
            self.ready_at = self.ready_at.min(now);
        }
        // A watch goes on as long as the next call comes soon after the last answer.
        self.run_endpoint_client();
    }

    /// Tells the engine what a discovery config.
    fn apply_list(&mut self, listing: &EndpointList, news: EndpointUpdate) {
        self.host.counts.endpoint_lists_applied += 1;
        let entries = self.host.listed(listing, unix_time());
        self.engine.on_endpoint_update(self.host.now, news, &entries);
    }

    /// The operator replaced the file and said so.
    pub(crate) fn on_reload_signal(&mut self) {
        self.reload.announced();
        self.reload_config();
    }

    /// Reads the file: discovery's address may be another. A file that is no good changes nothing, and is read again
    /// until it is good: it may have been met half written, and the operator will not announce it twice.
    pub(crate) fn reload_config(&mut self) {
        let now = self.host.now;
        let config = match config::read(&self.path) {
            Ok(config) => config,
            Err(why) => return self.reload_refused(now, &why),
        };
        self.reload.done();
        let late = config::changed_settings(&self.fixed, &config.fixed);
        if !late.is_empty() {
            tracing::warn!(settings = late.join(", "), "changed_settings_need_restart");
        }
        let (before, after) = (self.host.discovery, config.discovery);
        if after == before {
            self.host.discovery_log.reloaded(ReloadResult::Unchanged);
            return tracing::info!(discovery = %after, "config_reloaded_unchanged");
        }
        self.host.discovery_log.reloaded(ReloadResult::Taken);
        tracing::info!(
            %before, %after, generation = self.host.endpoint_client.generation(),
            polls_in_flight = self.host.endpoint_client.calls_out(), "discovery_address_changed"
        );
        if let Some(key) = self.host.idle_connection.take() {
            self.host.connections.try_remove(key);
        }
        self.host.discovery = after;
        self.host.endpoint_client.reloaded(now);
        self.run_endpoint_client();
    }

    fn reload_refused(&mut self, now: Ms, why: &str) {
        if self.reload.refused(now) {
            self.host.endpoint_client.reload_refused(now);
        }
        let retry_in = self.reload.retry_at().map(|at| at - now);
        self.host.discovery_log.reload_refused(now, why, self.host.discovery, retry_in);
    }
}

/// The list that an answer brings.
fn parse_list_response(answer: &http1::Response) -> Result<EndpointList, (CallError, Failure)> {
    match answer.status {
        200 => endpoint_list::parsed(&answer.body)
            .map_err(|why| (CallError::MalformedList(why), Failure::Unusable)),
        status @ 500..=599 => Err((CallError::Status(status), Failure::TurnedAway)),
        status => Err((CallError::Status(status), Failure::Unusable)),
    }
}
