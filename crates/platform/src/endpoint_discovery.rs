//! Polling of the endpoint list: performs on sockets what the endpoint client decides, and reports the results to the
//! client.

use crate::config::{ConfigError, HostConfig};
use crate::connection_table::ConnectionTable;
use crate::discovery_log::{DiscoveryLog, PollError, ReloadResult};
use crate::endpoint_list::EndpointList;
use crate::memory_limit::{BufferOwner, ConnectionBuffers};
use crate::reactor::{ConnectionKey, ConnectionKind, Reactor};
use crate::response_stream::{CompleteResponse, ReceiveError, ResponseStream};
use magpiewick::{
    AnswerHead, CallFailure, EndpointClient, EndpointUpdate, Ms, PollStep, PollTarget, Validity, Verdict,
};
use magpiewick_exchange::{ExchangeHistory, ReceivedResponse, ResponseMismatch};
use magpiewick_http1::{self as http1, Response};
use magpiewick_transport::{error_origin, ErrorOrigin, Stream, StreamEnd, MAX_BYTES_PER_FILL};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

const LIST_PATH: &str = "/v1/endpoints";
const STATUS_OK: u16 = 200;
/// Minimum share of its wait that a poll without changes takes.
const MIN_WATCH_SHARE: f64 = 0.5;

/// Returns the request target of a poll.
fn poll_path(target: PollTarget) -> String {
    match target {
        PollTarget::Snapshot => LIST_PATH.to_string(),
        PollTarget::Delta { after, hold: wait } => format!("{LIST_PATH}?after={after}&wait_ms={wait}"),
    }
}

/// Returns the time for which discovery may hold a poll while nothing changes.
fn poll_wait(target: PollTarget) -> Ms {
    match target {
        PollTarget::Snapshot => 0.0,
        PollTarget::Delta { hold, .. } => hold,
    }
}

/// Returns the class of failure that an error on a connection means for discovery.
fn failure_of(error: &io::Error) -> CallFailure {
    match (error_origin(error), error.kind()) {
        (ErrorOrigin::Local, _) => CallFailure::LocalResources,
        (_, ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted) => CallFailure::ConnectionLost,
        (_, ErrorKind::BrokenPipe | ErrorKind::NotConnected) => CallFailure::ConnectionLost,
        (_, ErrorKind::TimedOut) => CallFailure::ConnectTimedOut,
        (ErrorOrigin::Remote, _) => CallFailure::Unreachable,
    }
}

/// Reason of a failed poll, and the class of failure it means for discovery.
struct PollFailure {
    error: PollError,
    class: CallFailure,
}

impl PollFailure {
    fn unusable(error: PollError) -> PollFailure {
        PollFailure { error, class: CallFailure::InvalidAnswer }
    }
}

impl From<StreamEnd> for PollFailure {
    fn from(ended: StreamEnd) -> PollFailure {
        match ended {
            StreamEnd::Closed => {
                PollFailure { error: PollError::ConnectionClosed, class: CallFailure::ConnectionLost }
            }
            StreamEnd::Failed(error) => {
                PollFailure { class: failure_of(&error), error: PollError::ConnectionFailed(error) }
            }
        }
    }
}

/// Parses a response as an endpoint list.
fn parse_list_response(response: &Response) -> Result<EndpointList, PollFailure> {
    match response.status {
        STATUS_OK => EndpointList::from_slice(&response.body)
            .map_err(|error| PollFailure::unusable(PollError::MalformedList(error))),
        status @ 500..=599 => {
            Err(PollFailure { error: PollError::Status(status), class: CallFailure::Rejected })
        }
        status => Err(PollFailure::unusable(PollError::Status(status))),
    }
}

/// Poll that is in flight on a connection.
#[derive(Clone, Copy)]
struct PollInFlight {
    poll: u64,
    started_at: Ms,
    /// Time for which discovery may hold the poll.
    wait: Ms,
}

/// Connection to the discovery service.
struct DiscoveryConnection {
    responses: ResponseStream,
    address: SocketAddr,
    in_flight: Option<PollInFlight>,
    history: ExchangeHistory,
}

impl DiscoveryConnection {
    fn new(stream: Stream, address: SocketAddr) -> DiscoveryConnection {
        DiscoveryConnection {
            responses: ResponseStream::new(stream),
            address,
            in_flight: None,
            history: ExchangeHistory::default(),
        }
    }

    /// Returns whether a response is a repetition of an earlier poll's response: it has the same content, and arrived
    /// long before discovery would have ended its wait for changes.
    fn is_repeated(&self, response: &Response, poll: PollInFlight, now: Ms) -> bool {
        let received = ReceivedResponse {
            status: response.status,
            body: &response.body,
            body_end: response.body_end,
            trailing: &[],
            request_id: None,
        };
        let is_duplicate = self.history.verify(&received, "") == Err(ResponseMismatch::DuplicateResponse);
        is_duplicate && now - poll.started_at < poll.wait * MIN_WATCH_SHARE
    }
}

/// List that was applied.
pub(crate) struct ReceivedList {
    /// Endpoint list.
    pub list: EndpointList,
    /// Kind of update that is reported to the engine.
    pub update: EndpointUpdate,
    /// True if the list came from the address in the current configuration.
    pub from_current_address: bool,
}

/// Change of the validity of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ValidityChange {
    /// True if the list has expired.
    pub expired: bool,
}

/// Client of the discovery service, which polls the endpoint list and tracks its validity.
pub(crate) struct EndpointDiscovery {
    client: EndpointClient,
    address: SocketAddr,
    connections: ConnectionTable<DiscoveryConnection>,
    /// Connection on which the last poll was answered.
    idle_connection: Option<ConnectionKey>,
    /// Validity of the list at the last check.
    validity: Validity,
    log: DiscoveryLog,
}

impl EndpointDiscovery {
    /// Creates a client that starts from the endpoint list of the configuration.
    pub(crate) fn new(config: &HostConfig, now: Ms) -> EndpointDiscovery {
        EndpointDiscovery {
            client: config.endpoint_client(now),
            address: config.discovery,
            connections: ConnectionTable::default(),
            idle_connection: None,
            validity: Validity::Valid,
            log: DiscoveryLog::default(),
        }
    }

    /// Returns the next step that is due; none where no step is due.
    pub(crate) fn next_step(&mut self, now: Ms) -> Option<PollStep> {
        self.client.next_step(now)
    }

    /// Returns the latest time for the next call of [`EndpointDiscovery::next_step`] and the next check of the
    /// validity.
    pub(crate) fn wake_at(&self, now: Ms) -> Ms {
        self.client.next_wakeup_at(now)
    }

    /// Checks the validity of the list, and returns a change.
    pub(crate) fn check_validity(&mut self, now: Ms) -> Option<ValidityChange> {
        let validity = self.client.validity(now);
        if validity == self.validity {
            return None;
        }
        self.log.validity_changed(self.validity, validity, self.client.age(now));
        self.validity = validity;
        Some(ValidityChange { expired: validity == Validity::Expired })
    }

    /// Returns the memory that the buffers take.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.buffers().map(|buffers| buffers.bytes).sum()
    }

    /// Returns the buffers of all connections to discovery.
    pub(crate) fn buffers(&self) -> impl Iterator<Item = ConnectionBuffers> + '_ {
        self.connections.iter().map(|(key, connection)| ConnectionBuffers {
            owner: BufferOwner::Upstream,
            bytes: connection.responses.memory_bytes(),
            key,
        })
    }

    /// Records the start of a poll. [`EndpointDiscovery::open_connection`] and then [`EndpointDiscovery::send_poll`]
    /// follow.
    pub(crate) fn begin_poll(&mut self, now: Ms, poll: u64, target: PollTarget) {
        let late = self.client.calls_in_flight() - 1;
        self.log.poll_started(now, poll, late, self.address, &poll_path(target));
    }

    /// Returns a connection for a poll: the one on which the last poll was answered, or a new one.
    pub(crate) fn open_connection(&mut self, reactor: &mut Reactor) -> io::Result<ConnectionKey> {
        if let Some(key) = self.take_idle_connection(reactor) {
            return Ok(key);
        }
        let address = self.address;
        let (key, stream) =
            reactor.register(ConnectionKind::Discovery, |poll, key| Stream::connect(poll, address, key))?;
        self.connections.insert(key, DiscoveryConnection::new(stream, address));
        Ok(key)
    }

    /// Returns the connection on which the last poll was answered, where nothing has arrived on it since then.
    fn take_idle_connection(&mut self, reactor: &mut Reactor) -> Option<ConnectionKey> {
        let key = self.idle_connection.take()?;
        if self.connections.get_mut(key)?.responses.is_quiet() {
            return Some(key);
        }
        self.close(reactor, key);
        None
    }

    /// Sends a poll on the connection that was opened for it.
    pub(crate) fn send_poll(
        &mut self,
        reactor: &mut Reactor,
        poll: u64,
        target: PollTarget,
        connection: io::Result<ConnectionKey>,
    ) {
        let key = match connection {
            Ok(key) => key,
            Err(error) => {
                let class = failure_of(&error);
                let failure = PollFailure { error: PollError::Connect(error), class };
                return self.on_poll_failed(reactor.now(), poll, &failure);
            }
        };
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (started_at, wait) = (reactor.now(), poll_wait(target));
        connection.in_flight = Some(PollInFlight { poll, started_at, wait });
        let host = self.address.to_string();
        let output = connection.responses.stream_mut().output();
        http1::write_request_head(output, "GET", &poll_path(target), &[("Host", host.as_bytes())]);
        output.extend_from_slice(b"\r\n");
        self.on_writable(reactor, key);
    }

    /// Cancels a poll whose response is no longer needed.
    pub(crate) fn cancel_poll(&mut self, reactor: &mut Reactor, poll: u64) {
        let carries_poll = |connection: &DiscoveryConnection| {
            connection.in_flight.is_some_and(|in_flight| in_flight.poll == poll)
        };
        let carrier = self.connections.iter().find(|(_, connection)| carries_poll(connection));
        if let Some(key) = carrier.map(|(key, _)| key) {
            self.close(reactor, key);
            self.log.poll_cancelled(reactor.now(), poll);
        }
    }

    /// Writes the pending output of a poll, and records when its connection is established.
    pub(crate) fn on_writable(&mut self, reactor: &mut Reactor, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let was_connecting = connection.responses.stream().connecting();
        if let Err(ended) = connection.responses.stream_mut().flush() {
            return self.fail(reactor, key, &ended.into());
        }
        let is_connecting = connection.responses.stream().connecting();
        let Some(in_flight) = connection.in_flight.filter(|_| !is_connecting) else { return };
        if was_connecting {
            let elapsed = reactor.now() - in_flight.started_at;
            self.log.connected(in_flight.poll, connection.address, elapsed);
        }
        self.client.connected(in_flight.poll);
    }

    /// Reads input from discovery; returns a list that was applied.
    pub(crate) fn on_readable(&mut self, reactor: &mut Reactor, key: ConnectionKey) -> Option<ReceivedList> {
        let connection = self.connections.get_mut(key)?;
        if connection.responses.stream().connecting() {
            self.on_writable(reactor, key);
            return None;
        }
        let received = connection.responses.receive(MAX_BYTES_PER_FILL);
        match self.check_response(reactor.now(), key, received) {
            Ok(None) => None,
            Ok(Some(answer)) => self.on_list(reactor, key, answer),
            Err(failure) => {
                self.fail(reactor, key, &failure);
                None
            }
        }
    }

    /// Validates a response that was received on a connection.
    fn check_response(
        &mut self,
        now: Ms,
        key: ConnectionKey,
        received: Result<Option<CompleteResponse>, ReceiveError>,
    ) -> Result<Option<PollAnswer>, PollFailure> {
        let Some(connection) = self.connections.get_mut(key) else { return Ok(None) };
        let CompleteResponse { response, last, .. } = match received {
            Ok(Some(complete)) => complete,
            Ok(None) => return Ok(None),
            Err(ReceiveError::Malformed(_)) => {
                return Err(PollFailure::unusable(PollError::MalformedResponse));
            }
            Err(ReceiveError::ConnectionLost) => {
                // A partial response shows that the peer is a server that sends responses.
                let partial = connection.responses.has_partial_response();
                let class = if partial { CallFailure::InvalidAnswer } else { CallFailure::ConnectionLost };
                return Err(PollFailure { error: PollError::ConnectionClosed, class });
            }
        };
        let Some(poll) = connection.in_flight else {
            return Err(PollFailure::unusable(PollError::MalformedResponse));
        };
        if connection.is_repeated(&response, poll, now) {
            return Err(PollFailure::unusable(PollError::MalformedResponse));
        }
        let received = ReceivedResponse {
            status: response.status,
            body: &response.body,
            body_end: response.body_end,
            trailing: &[],
            request_id: None,
        };
        connection.history.record(now, &received);
        let list = parse_list_response(&response)?;
        connection.in_flight = None;
        Ok(Some(PollAnswer { poll, list, last }))
    }

    /// Handles a list that answers a poll.
    fn on_list(
        &mut self,
        reactor: &mut Reactor,
        key: ConnectionKey,
        answer: PollAnswer,
    ) -> Option<ReceivedList> {
        let (now, PollAnswer { poll: PollInFlight { poll, started_at, .. }, list, last }) =
            (reactor.now(), answer);
        let from_current_address = self.client.is_to_current_address(poll);
        let (generation, records) = (list.generation, list.records.len());
        let head = AnswerHead { generation, is_snapshot: list.complete, endpoint_count: records };
        let verdict = self.client.answered(now, poll, head);
        let reusable = from_current_address && !last && verdict != Verdict::Gap;
        if reusable && self.idle_connection.is_none() {
            self.idle_connection = Some(key);
        } else {
            self.close(reactor, key);
        }
        let update = match verdict {
            Verdict::Apply(update) => update,
            Verdict::Gap => {
                self.log_failure(now, poll, from_current_address, &PollError::GenerationGap);
                return None;
            }
            _ => {
                self.log_failure(now, poll, from_current_address, &PollError::Outdated);
                return None;
            }
        };
        let elapsed = now - started_at;
        if from_current_address {
            self.log.list_received(now, poll, generation, records, elapsed);
        } else {
            self.log.former_list_received(now, poll, generation, records, elapsed);
        }
        Some(ReceivedList { list, update, from_current_address })
    }

    /// Closes a connection whose buffers exceed the memory limit.
    pub(crate) fn close_over_memory(&mut self, reactor: &mut Reactor, key: ConnectionKey) {
        self.fail(reactor, key, &PollFailure::unusable(PollError::TooLarge));
    }

    /// Closes a connection that is no longer usable, and fails the poll in flight.
    fn fail(&mut self, reactor: &mut Reactor, key: ConnectionKey, failure: &PollFailure) {
        if self.idle_connection == Some(key) {
            self.idle_connection = None;
        }
        let Some(connection) = self.close(reactor, key) else { return };
        if let Some(in_flight) = connection.in_flight {
            self.on_poll_failed(reactor.now(), in_flight.poll, failure);
        }
    }

    fn on_poll_failed(&mut self, now: Ms, poll: u64, failure: &PollFailure) {
        let from_current_address = self.client.is_to_current_address(poll);
        self.client.failed(now, poll, failure.class);
        self.log_failure(now, poll, from_current_address, &failure.error);
    }

    fn log_failure(&mut self, now: Ms, poll: u64, from_current_address: bool, error: &PollError) {
        if !from_current_address {
            return self.log.former_poll_failed(now, poll, error);
        }
        let next_in = self.client.next_call_at() - now;
        self.log.poll_failed(now, poll, error, next_in);
    }

    fn close(&mut self, reactor: &mut Reactor, key: ConnectionKey) -> Option<DiscoveryConnection> {
        let connection = self.connections.remove(key)?;
        reactor.release(key);
        Some(connection)
    }

    /// Handles a reload of the configuration file. A changed address is polled at once.
    pub(crate) fn on_config_reloaded(&mut self, reactor: &mut Reactor, address: SocketAddr) -> ReloadResult {
        let former = self.address;
        if address == former {
            self.log.reloaded(ReloadResult::Unchanged);
            tracing::info!(discovery = %address, "config_reloaded_unchanged");
            return ReloadResult::Unchanged;
        }
        self.log.reloaded(ReloadResult::AddressChanged);
        tracing::info!(
            %former, %address, generation = self.client.generation(),
            polls_in_flight = self.client.calls_in_flight(), "discovery_address_changed"
        );
        if let Some(key) = self.idle_connection.take() {
            self.close(reactor, key);
        }
        self.address = address;
        self.client.reloaded(reactor.now());
        ReloadResult::AddressChanged
    }

    /// Handles a reload whose file could not be used. `first`: whether this is the first failure since the reload was
    /// requested.
    pub(crate) fn on_reload_failed(
        &mut self,
        now: Ms,
        error: &ConfigError,
        first: bool,
        retry_in: Option<Ms>,
    ) {
        if first {
            self.client.reload_rejected(now);
        }
        self.log.reload_failed(now, error, self.address, retry_in);
    }

    /// Reports the state and the counters.
    pub(crate) fn log_metrics(&self, now: Ms) {
        tracing::info!(
            address = %self.address, generation = self.client.generation(), validity = ?self.validity,
            age_ms = self.client.age(now).round(),
            next_poll_in_ms = (self.client.next_call_at() - now).round(),
            polls_in_flight = self.client.calls_in_flight(),
            former_polls_in_flight = self.client.former_calls_in_flight(),
            counts = ?self.log.counts(), "discovery_metrics_reported"
        );
    }
}

/// List that answers a poll.
struct PollAnswer {
    poll: PollInFlight,
    list: EndpointList,
    /// True if the connection cannot carry another poll.
    last: bool,
}
