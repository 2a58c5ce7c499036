//! Pool of all connections to endpoints, and the rules for their reuse.

use crate::buffer_table::{BufferTable, BufferUse};
use crate::idle_pool::IdlePool;
use crate::reactor::{ConnectionKey, ConnectionKind, Reactor, Timer};
use crate::upstream_connection::{UpstreamConnection, RESPONSE_STALL_MS};
use magpiewick::Ms;
use magpiewick_exchange::{CommonResponses, ConnectionReusePolicy, ReceivedResponse, ResponseMismatch};
use magpiewick_transport::Stream;
use std::io;
use std::net::SocketAddr;

/// Connect timeout where the settings define none.
const DEFAULT_CONNECT_TIMEOUT_MS: Ms = 1000.0;
/// Time by which a timer may fire early.
const TIMER_SLACK_MS: Ms = 1.0;

/// Progress of a partial response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseProgress {
    /// No partial response is pending, or the timer was set again.
    Ongoing,
    /// No bytes have arrived for too long.
    Stalled,
}

/// Pool of all connections to endpoints.
pub(crate) struct UpstreamPool {
    connections: BufferTable<UpstreamConnection>,
    idle: IdlePool,
    reuse: ConnectionReusePolicy,
    common: CommonResponses,
    max_connections: usize,
    connect_timeout: Ms,
}

impl UpstreamPool {
    /// Creates an empty pool. `idle_timeout`: time after which an endpoint closes an idle connection; none: never.
    pub(crate) fn new(
        max_connections: usize,
        connect_timeout: Option<Ms>,
        idle_timeout: Option<Ms>,
    ) -> UpstreamPool {
        UpstreamPool {
            connections: BufferTable::default(),
            idle: IdlePool::new(idle_timeout),
            reuse: ConnectionReusePolicy::default(),
            common: CommonResponses::default(),
            max_connections,
            connect_timeout: connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS),
        }
    }

    /// Returns a connection.
    pub(crate) fn get(&self, key: ConnectionKey) -> Option<&UpstreamConnection> {
        self.connections.get(key)
    }

    /// Modifies a connection, and returns the result; none where the key has no connection.
    pub(crate) fn update<R>(
        &mut self,
        key: ConnectionKey,
        change: impl FnOnce(&mut UpstreamConnection) -> R,
    ) -> Option<R> {
        self.connections.update(key, change)
    }

    /// Returns the memory that the buffers of all connections take.
    pub(crate) fn buffer_use(&self) -> BufferUse {
        self.connections.buffer_use()
    }

    /// Returns all connections in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &UpstreamConnection)> + '_ {
        self.connections.iter()
    }

    /// Returns whether a further connection requires the eviction of an idle one.
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

    /// Sets the timer by which a new connection must be established.
    pub(crate) fn arm_connect_timer(&self, reactor: &mut Reactor, key: ConnectionKey, serial: u64) {
        reactor.set_timer(reactor.now() + self.connect_timeout, Timer::UpstreamConnect(key, serial));
    }

    /// Removes a connection, which closes when it is dropped.
    #[must_use = "the attempt that the connection carries has to be ended"]
    pub(crate) fn remove(&mut self, reactor: &mut Reactor, key: ConnectionKey) -> Option<UpstreamConnection> {
        let connection = self.connections.remove(key)?;
        reactor.release(key);
        if connection.is_idle() {
            self.idle.remove(connection.endpoint(), key);
        }
        Some(connection)
    }

    /// Takes an idle connection that has been idle for long enough to be reused.
    pub(crate) fn take_idle(&mut self, now: Ms, endpoint: u32) -> Option<ConnectionKey> {
        self.idle.take(now, endpoint, self.reuse.min_idle())
    }

    /// Removes the longest idle connection from the idle pool, to free its slot for another.
    pub(crate) fn evict_oldest_idle(&mut self) -> Option<ConnectionKey> {
        self.idle.evict_oldest()
    }

    /// Removes the connections that have been idle for too long from the idle pool.
    pub(crate) fn take_expired_idle(&mut self, now: Ms) -> Vec<ConnectionKey> {
        self.idle.take_expired(now)
    }

    /// Removes all idle connections of an endpoint from the idle pool.
    pub(crate) fn take_idle_of(&mut self, endpoint: u32) -> Vec<ConnectionKey> {
        self.idle.remove_endpoint(endpoint)
    }

    /// Keeps a connection for another exchange.
    pub(crate) fn put_idle(&mut self, now: Ms, key: ConnectionKey) {
        self.connections.update(key, UpstreamConnection::become_idle);
        let Some(connection) = self.connections.get(key) else { return };
        self.idle.put(now, connection.endpoint(), key);
    }

    /// Returns whether a connection to an endpoint may be reused after this response. Reuse is excluded where the
    /// endpoint has ever sent unrequested bytes and different requests receive this same response: a copy could not be
    /// distinguished from the next response.
    pub(crate) fn may_reuse(&self, endpoint: u32, response: &ReceivedResponse<'_>) -> bool {
        let is_ambiguous = self.reuse.has_sent_unsolicited_bytes(endpoint) && self.common.contains(response);
        self.reuse.may_reuse(endpoint, response.status) && !is_ambiguous
    }

    /// Checks that a response on a connection belongs to the request in flight.
    pub(crate) fn verify(
        &self,
        key: ConnectionKey,
        response: &ReceivedResponse<'_>,
        request_id: &str,
    ) -> Result<(), ResponseMismatch> {
        let Some(connection) = self.get(key) else { return Ok(()) };
        let common =
            Some(&self.common).filter(|_| !self.reuse.has_sent_unsolicited_bytes(connection.endpoint()));
        connection.verify(response, request_id, common)
    }

    /// Records an exchange that ended with a verified response.
    pub(crate) fn record_exchange(&mut self, now: Ms, key: ConnectionKey, response: &ReceivedResponse<'_>) {
        self.connections.update(key, |connection| connection.record_exchange(now, response));
        let Some(connection) = self.connections.get(key) else { return };
        self.reuse.advance(now);
        if response.trailing.is_empty() {
            self.reuse.on_exchange(connection.endpoint());
        }
        if self.common.record(connection.serial(), response) {
            self.reuse.on_common_response(response.digest());
        }
    }

    /// Records a response that, by its content alone, may be a copy of an earlier one: no connection of the endpoint is
    /// reused until the response is known to be common, or until the reuse policy permits reuse again.
    pub(crate) fn suspect_copy(&mut self, endpoint: u32, response: &ReceivedResponse<'_>, idle_ms: Ms) {
        self.reuse.on_suspected_copy(endpoint, response.digest(), idle_ms);
    }

    /// Records that an endpoint sent unrequested bytes: none of its connections is reused until the reuse policy
    /// permits reuse again.
    pub(crate) fn on_unsolicited_bytes(&mut self, endpoint: u32, idle_ms: Ms) {
        self.reuse.on_unsolicited_bytes(endpoint, idle_ms);
    }

    /// Removes the state of an endpoint that is no longer listed.
    pub(crate) fn remove_endpoint(&mut self, endpoint: u32) {
        self.reuse.remove_endpoint(endpoint);
    }

    /// Returns the connections with an attempt of which no byte was written.
    pub(crate) fn unwritten(&self, of_endpoint: impl Fn(u32) -> bool) -> Vec<ConnectionKey> {
        let unwritten = |connection: &UpstreamConnection| {
            of_endpoint(connection.endpoint()) && connection.has_unwritten_attempt()
        };
        self.connections.iter().filter(|(_, c)| unwritten(c)).map(|(key, _)| key).collect()
    }

    /// Returns whether a connection has not been established in time.
    pub(crate) fn is_connect_overdue(&self, key: ConnectionKey, serial: u64) -> bool {
        self.get(key).is_some_and(|connection| connection.serial() == serial && connection.is_connecting())
    }

    /// Checks the progress of a partial response; sets the timer again unless the response has stalled.
    pub(crate) fn check_response_progress(
        &self,
        reactor: &mut Reactor,
        key: ConnectionKey,
        serial: u64,
    ) -> ResponseProgress {
        let has_serial = |connection: &&UpstreamConnection| connection.serial() == serial;
        let Some(connection) = self.get(key).filter(has_serial) else { return ResponseProgress::Ongoing };
        match connection.partial_since() {
            // Bytes that this host has not read yet are no sign of a stalled endpoint.
            Some(_) if connection.is_read_paused() || connection.has_unread() => {
                reactor.set_timer(reactor.now() + RESPONSE_STALL_MS, Timer::ResponseStall(key, serial));
                ResponseProgress::Ongoing
            }
            Some(at) if reactor.now() - at >= RESPONSE_STALL_MS - TIMER_SLACK_MS => ResponseProgress::Stalled,
            Some(at) => {
                reactor.set_timer(at + RESPONSE_STALL_MS, Timer::ResponseStall(key, serial));
                ResponseProgress::Ongoing
            }
            None => ResponseProgress::Ongoing,
        }
    }
}
