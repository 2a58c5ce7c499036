//! All connections to endpoints, and which of them may carry another exchange.

use crate::connection_table::ConnectionTable;
use crate::idle_pool::IdlePool;
use crate::reactor::{ConnectionKey, ConnectionKind, Reactor, Timer};
use crate::upstream_connection::{UpstreamConnection, RESPONSE_STALL_MS};
use magpiewick::Ms;
use magpiewick_exchange::{CommonResponses, ConnectionReusePolicy, ReceivedResponse, ResponseMismatch};
use magpiewick_transport::Stream;
use std::io;
use std::net::SocketAddr;

/// How long a connection may take to be established where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT_MS: Ms = 1000.0;
/// Timers may come this much early.
const TIMER_SLACK_MS: Ms = 1.0;

/// Whether a partial response still makes progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseProgress {
    /// Nothing is awaited, or the timer was set again.
    Ongoing,
    /// Nothing has arrived for too long.
    Stalled,
}

/// All connections to endpoints.
pub(crate) struct UpstreamPool {
    connections: ConnectionTable<UpstreamConnection>,
    idle: IdlePool,
    trust: ConnectionReusePolicy,
    common: CommonResponses,
    max_connections: usize,
    connect_timeout: Ms,
}

impl UpstreamPool {
    /// `idle_timeout`: after how long an endpoint closes an idle connection; none: never.
    pub(crate) fn new(
        max_connections: usize,
        connect_timeout: Option<Ms>,
        idle_timeout: Option<Ms>,
    ) -> UpstreamPool {
        UpstreamPool {
            connections: ConnectionTable::default(),
            idle: IdlePool::new(idle_timeout),
            trust: ConnectionReusePolicy::default(),
            common: CommonResponses::default(),
            max_connections,
            connect_timeout: connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS),
        }
    }

    /// A connection.
    pub(crate) fn get(&self, key: ConnectionKey) -> Option<&UpstreamConnection> {
        self.connections.get(key)
    }

    /// A connection, to be used.
    pub(crate) fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut UpstreamConnection> {
        self.connections.get_mut(key)
    }

    /// All connections, in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &UpstreamConnection)> + '_ {
        self.connections.iter()
    }

    /// Whether another connection may only take the place of an idle one.
    pub(crate) fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Begins to connect to an endpoint.
    pub(crate) fn connect(
        &mut self,
        reactor: &mut Reactor,
        endpoint: u32,
        address: SocketAddr,
        serial: u64,
    ) -> io::Result<ConnectionKey> {
        let (key, stream) =
            reactor.register(ConnectionKind::Upstream, |poll, key| Stream::connect(poll, address, key))?;
        self.connections.insert(key, UpstreamConnection::new(stream, endpoint, serial));
        Ok(key)
    }

    /// Sets the time by which a new connection must be established.
    pub(crate) fn arm_connect_timer(&self, reactor: &mut Reactor, key: ConnectionKey, serial: u64) {
        reactor.set_timer(reactor.now() + self.connect_timeout, Timer::UpstreamConnect(key, serial));
    }

    /// Takes a connection out, which closes it as soon as it is dropped.
    #[must_use = "the attempt that the connection carries has to be ended"]
    pub(crate) fn remove(&mut self, reactor: &mut Reactor, key: ConnectionKey) -> Option<UpstreamConnection> {
        let connection = self.connections.remove(key)?;
        reactor.release(key);
        if connection.is_idle() {
            self.idle.remove(connection.endpoint(), key);
        }
        Some(connection)
    }

    /// An idle connection that has been idle for long enough to be used again.
    pub(crate) fn take_idle(&mut self, now: Ms, endpoint: u32) -> Option<ConnectionKey> {
        self.idle.take(now, endpoint, self.trust.min_idle())
    }

    /// The connection that has been idle for longest, to make room for another.
    pub(crate) fn evict_oldest_idle(&mut self) -> Option<ConnectionKey> {
        self.idle.evict_oldest()
    }

    /// Connections that have been idle for too long.
    pub(crate) fn take_expired_idle(&mut self, now: Ms) -> Vec<ConnectionKey> {
        self.idle.take_expired(now)
    }

    /// All idle connections of an endpoint, to be closed.
    pub(crate) fn take_idle_of(&mut self, endpoint: u32) -> Vec<ConnectionKey> {
        self.idle.remove_endpoint(endpoint)
    }

    /// Keeps a connection for another exchange.
    pub(crate) fn put_idle(&mut self, now: Ms, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.become_idle();
        let endpoint = connection.endpoint();
        self.idle.put(now, endpoint, key);
    }

    /// Whether a connection to an endpoint may be used again after this response. Not after one that different requests
    /// are given, where the endpoint has ever sent more than was requested: a copy of it could not be told from the
    /// next one.
    pub(crate) fn may_reuse(&self, endpoint: u32, response: &ReceivedResponse<'_>) -> bool {
        let is_ambiguous = self.trust.has_sent_unsolicited_bytes(endpoint) && self.common.contains(response);
        self.trust.may_reuse(endpoint, response.status) && !is_ambiguous
    }

    /// Whether a response on a connection is that of the request in flight.
    pub(crate) fn verify(
        &self,
        key: ConnectionKey,
        response: &ReceivedResponse<'_>,
        request_id: &str,
    ) -> Result<(), ResponseMismatch> {
        let Some(connection) = self.get(key) else { return Ok(()) };
        let common =
            Some(&self.common).filter(|_| !self.trust.has_sent_unsolicited_bytes(connection.endpoint()));
        connection.verify(response, request_id, common)
    }

    /// An exchange has ended with a response of its own.
    pub(crate) fn record_exchange(&mut self, now: Ms, key: ConnectionKey, response: &ReceivedResponse<'_>) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.record_exchange(now, response);
        self.trust.advance(now);
        if response.trailing.is_empty() {
            self.trust.on_exchange(connection.endpoint());
        }
        if self.common.record(connection.serial(), response) {
            self.trust.on_common_response(response.digest());
        }
    }

    /// A response of an endpoint may be a copy of an earlier one, by its content alone: none of its connections is used
    /// again until that is known to be common, or it has behaved for long.
    pub(crate) fn suspect_copy(&mut self, endpoint: u32, response: &ReceivedResponse<'_>, idle_ms: Ms) {
        self.trust.on_suspected_copy(endpoint, response.digest(), idle_ms);
    }

    /// An endpoint sent more than was requested: none of its connections is used again until it has behaved for long.
    pub(crate) fn distrust(&mut self, endpoint: u32, idle_ms: Ms) {
        self.trust.on_unsolicited_bytes(endpoint, idle_ms);
    }

    /// An endpoint has left the list.
    pub(crate) fn forget_endpoint(&mut self, endpoint: u32) {
        self.trust.remove_endpoint(endpoint);
    }

    /// Connections with an attempt of which no byte was written.
    pub(crate) fn unwritten(&self, of_endpoint: impl Fn(u32) -> bool) -> Vec<ConnectionKey> {
        let unwritten = |connection: &UpstreamConnection| {
            of_endpoint(connection.endpoint()) && connection.has_unwritten_attempt()
        };
        self.connections.iter().filter(|(_, c)| unwritten(c)).map(|(key, _)| key).collect()
    }

    /// Whether a connection has failed to be established in time.
    pub(crate) fn is_connect_overdue(&self, key: ConnectionKey, serial: u64) -> bool {
        self.get(key).is_some_and(|connection| connection.serial() == serial && connection.is_connecting())
    }

    /// Whether a partial response has stalled; sets the timer again where it has not.
    pub(crate) fn check_response_progress(
        &self,
        reactor: &mut Reactor,
        key: ConnectionKey,
        serial: u64,
    ) -> ResponseProgress {
        let same = |connection: &&UpstreamConnection| connection.serial() == serial;
        let Some(connection) = self.get(key).filter(same) else { return ResponseProgress::Ongoing };
        match connection.partial_since() {
            Some(at) if reactor.now() - at >= RESPONSE_STALL_MS - TIMER_SLACK_MS => ResponseProgress::Stalled,
            Some(at) => {
                reactor.set_timer(at + RESPONSE_STALL_MS, Timer::ResponseStall(key, serial));
                ResponseProgress::Ongoing
            }
            None => ResponseProgress::Ongoing,
        }
    }
}
