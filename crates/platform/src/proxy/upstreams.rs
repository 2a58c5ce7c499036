//! The side of the endpoints: the endpoint list, connections, and responses that arrive on them.

use super::Proxy;
use crate::attempt_end::AttemptEnd;
use crate::endpoint_list::EndpointList;
use crate::endpoint_table::EndpointChange;
use crate::reactor::{ConnectionKey, Timer};
use crate::request_log::UpstreamCloseReason;
use crate::request_registry::OpenRequest;
use crate::response_stream::CompleteResponse;
use crate::upstream_connection::{
    AssignedAttempt, FlushEvent, ReceiveEvent, UpstreamConnection, RESPONSE_STALL_MS,
};
use crate::upstream_pool::ResponseProgress;
use crate::wall_clock::unix_time;
use magpiewick::{Endpoint, Ms, Outcome};
use magpiewick_exchange::{ReceivedResponse, ResponseMismatch};
use magpiewick_transport::{error_origin, ErrorOrigin};
use std::net::SocketAddr;

impl Proxy {
    /// Takes in an endpoint list; what the engine has to be told of it.
    pub(crate) fn apply_endpoint_list(&mut self, list: &EndpointList) -> Vec<(u32, Endpoint)> {
        self.endpoints.on_wall_clock(unix_time(), self.reactor.read_clock());
        for number in self.endpoints.missing_from(list) {
            self.remove_endpoint(number);
        }
        let mut updated = Vec::with_capacity(list.records.len());
        for record in &list.records {
            let Some(update) = self.endpoints.update(self.reactor.now(), record) else { continue };
            self.apply_change(update.number, update.change);
            updated.push((update.number, update.endpoint));
        }
        updated
    }

    fn apply_change(&mut self, number: u32, change: EndpointChange) {
        match change {
            EndpointChange::None => {}
            EndpointChange::Moved => self.close_idle(number, UpstreamCloseReason::EndpointRemoved),
            EndpointChange::NotReady => {
                self.close_idle(number, UpstreamCloseReason::EndpointRemoved);
                self.withdraw_unwritten(|endpoint| endpoint == number);
            }
            EndpointChange::Removed => self.remove_endpoint(number),
        }
    }

    fn remove_endpoint(&mut self, number: u32) {
        self.close_idle(number, UpstreamCloseReason::EndpointRemoved);
        self.withdraw_unwritten(|endpoint| endpoint == number);
        self.upstreams.forget_endpoint(number);
        self.endpoints.remove(self.reactor.now(), number);
    }

    /// Withdraws all attempts of which no byte was written, as the endpoint list has expired.
    pub(crate) fn withdraw_all_unwritten(&mut self) {
        self.withdraw_unwritten(|_| true);
    }

    fn withdraw_unwritten(&mut self, of_endpoint: impl Fn(u32) -> bool) {
        for key in self.upstreams.unwritten(of_endpoint) {
            self.fail_upstream(key, AttemptEnd::Withdrawn);
        }
    }

    /// An endpoint sent more than was requested: none of its connections is used again until it has behaved for long.
    fn distrust(&mut self, endpoint: u32, serial: u64, bytes: usize, idle_ms: Ms) {
        let id = self.endpoints.id(endpoint);
        self.log.unsolicited_bytes_received(self.reactor.now(), id, serial, bytes, idle_ms);
        self.upstreams.distrust(endpoint, idle_ms);
        self.close_idle(endpoint, UpstreamCloseReason::NotReusable);
    }
}

impl Proxy {
    /// Closes a connection. The attempt that it carries is the caller's to end.
    fn close_upstream(
        &mut self,
        key: ConnectionKey,
        reason: UpstreamCloseReason,
    ) -> Option<UpstreamConnection> {
        let upstream = self.upstreams.remove(&mut self.reactor, key)?;
        let id = self.endpoints.id(upstream.endpoint());
        self.log.upstream_closed(self.reactor.now(), id, upstream.serial(), upstream.exchanges(), reason);
        Some(upstream)
    }

    /// Closes all idle connections to an endpoint.
    fn close_idle(&mut self, endpoint: u32, reason: UpstreamCloseReason) {
        for key in self.upstreams.take_idle_of(endpoint) {
            self.close_upstream(key, reason);
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired_upstreams(&mut self) {
        for key in self.upstreams.take_expired_idle(self.reactor.now()) {
            self.close_upstream(key, UpstreamCloseReason::Expired);
        }
    }

    /// Closes a connection on which bytes or an end arrived while it was idle.
    fn close_unsolicited(&mut self, key: ConnectionKey) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let (endpoint, serial, bytes) = (upstream.endpoint(), upstream.serial(), upstream.unread_bytes());
        let idle_ms = upstream.idle_for(self.reactor.now());
        if bytes == 0 {
            self.close_upstream(key, UpstreamCloseReason::ClosedWhileIdle);
            return;
        }
        self.close_upstream(key, UpstreamCloseReason::UnsolicitedBytes);
        self.distrust(endpoint, serial, bytes, idle_ms);
    }

    /// Closes a connection, and ends the attempt that it carries.
    pub(crate) fn fail_upstream(&mut self, key: ConnectionKey, end: AttemptEnd) {
        let Some(upstream) = self.close_upstream(key, UpstreamCloseReason::Attempt(end)) else { return };
        let Some(attempt) = upstream.attempt() else { return };
        self.end_attempt(attempt.request_id, end.outcome(attempt.written), attempt.written_at, None);
    }

    /// Opens a connection to an endpoint, or what that makes of the attempt.
    pub(super) fn connect_upstream(
        &mut self,
        endpoint: u32,
        address: SocketAddr,
    ) -> Result<ConnectionKey, Outcome> {
        if self.upstreams.is_full() {
            let key = self.upstreams.evict_oldest_idle().ok_or(Outcome::ConnectFailed)?;
            self.close_upstream(key, UpstreamCloseReason::Evicted);
        }
        let serial = self.reactor.next_serial();
        let opened = match self.upstreams.connect(&mut self.reactor, endpoint, address, serial) {
            Err(error) if self.evict_client_for_descriptor(&error) => {
                self.upstreams.connect(&mut self.reactor, endpoint, address, serial)
            }
            opened => opened,
        };
        // Where this host is out of descriptors, ports or memory, that says nothing of the endpoint.
        let key = opened.map_err(|error| match error_origin(&error) {
            ErrorOrigin::Remote => Outcome::ConnectFailed,
            ErrorOrigin::Local => Outcome::DeadlineExceeded,
        })?;
        self.metrics.upstreams_opened += 1;
        self.upstreams.arm_connect_timer(&mut self.reactor, key, serial);
        Ok(key)
    }

    /// An idle connection on which nothing of an earlier exchange can arrive any more, as far as that can be known.
    pub(super) fn take_idle_upstream(&mut self, endpoint: u32) -> Option<ConnectionKey> {
        loop {
            let key = self.upstreams.take_idle(self.reactor.now(), endpoint)?;
            let Some(upstream) = self.upstreams.get_mut(key) else { continue };
            if upstream.is_quiet() {
                return Some(key);
            }
            self.close_unsolicited(key);
        }
    }

    /// Writes to a connection, and the attempt that waits for it to be established.
    pub(crate) fn flush_upstream(&mut self, key: ConnectionKey) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        match upstream.flush(|| self.reactor.read_clock()) {
            FlushEvent::None => {}
            FlushEvent::ConnectionLost => self.fail_upstream(key, AttemptEnd::ConnectionLost),
            FlushEvent::ReadyToWrite(attempt) => match self.write_attempt(key, attempt) {
                Ok(()) => self.flush_upstream(key),
                Err(end) => self.fail_upstream(key, end),
            },
        }
    }

    /// Queues an attempt on an established connection. The endpoint is told what time is left to the client at this
    /// very moment. An error ends the attempt: it is too late for it, or its client has disconnected.
    fn write_attempt(&mut self, key: ConnectionKey, attempt: AssignedAttempt) -> Result<(), AttemptEnd> {
        let now = self.reactor.read_clock();
        if now > attempt.send_by {
            return Err(AttemptEnd::Cancelled);
        }
        if self.is_request_over(attempt.request_id) {
            return Err(AttemptEnd::Withdrawn);
        }
        let Some(request) = self.requests.get(attempt.request_id) else { return Err(AttemptEnd::Cancelled) };
        let Some(upstream) = self.upstreams.get_mut(key) else { return Ok(()) };
        let time_left = (attempt.deadline - now).max(1.0).floor();
        upstream.queue_attempt(attempt.request_id, request.head(), time_left, request.body());
        let labels = request.labels(&self.endpoints, now);
        self.log.attempt_started(&labels, upstream.serial(), upstream.exchanges(), time_left);
        self.metrics.attempts_started += 1;
        Ok(())
    }

    /// Reads what an endpoint has sent.
    pub(crate) fn read_upstream(&mut self, key: ConnectionKey) {
        let now = self.reactor.now();
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let serial = upstream.serial();
        match upstream.receive(now) {
            ReceiveEvent::MayBeEstablished => self.flush_upstream(key),
            ReceiveEvent::Unsolicited => self.close_unsolicited(key),
            ReceiveEvent::Partial { first: true } => {
                self.reactor.set_timer(now + RESPONSE_STALL_MS, Timer::ResponseStall(key, serial));
            }
            ReceiveEvent::Partial { first: false } => {}
            ReceiveEvent::Response(complete) => self.on_response(key, &complete),
            ReceiveEvent::Failed(error) => self.fail_upstream(key, error.into()),
        }
    }

    /// A complete response arrived on a connection with an attempt in flight.
    fn on_response(&mut self, key: ConnectionKey, complete: &CompleteResponse) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let Some(attempt) = upstream.attempt() else { return };
        let (endpoint, serial) = (upstream.endpoint(), upstream.serial());
        let CompleteResponse { response, trailing, last } = complete;
        let received = ReceivedResponse {
            status: response.status,
            body: &response.body,
            trailing,
            request_id: response.header("x-request-id"),
        };
        let id = self.requests.get(attempt.request_id).map_or("", OpenRequest::id);
        if let Err(mismatch) = self.upstreams.verify(key, &received, id) {
            return self.on_mismatch(key, &received, mismatch);
        }
        self.finish_exchange(key, &received, *last || !attempt.written);
        if !trailing.is_empty() {
            self.distrust(endpoint, serial, trailing.len(), 0.0);
        }
        let end = AttemptEnd::from(response);
        let outcome = end.outcome(attempt.written);
        self.end_attempt(attempt.request_id, outcome, attempt.written_at, Some(response));
        if outcome == Outcome::Succeeded {
            self.deliver_response(attempt.request_id, &response.body);
        }
    }

    /// A response may belong to another request: nobody is given it.
    fn on_mismatch(
        &mut self,
        key: ConnectionKey,
        received: &ReceivedResponse<'_>,
        mismatch: ResponseMismatch,
    ) {
        let now = self.reactor.now();
        let Some(upstream) = self.upstreams.get(key) else { return };
        let (endpoint, serial, idle_ms) = (upstream.endpoint(), upstream.serial(), upstream.idle_for(now));
        self.log.response_mismatched(now, self.endpoints.id(endpoint), serial, mismatch);
        self.fail_upstream(key, AttemptEnd::MalformedResponse);
        if mismatch == ResponseMismatch::DuplicateResponse && received.trailing.is_empty() {
            self.upstreams.suspect_copy(endpoint, received, idle_ms);
            self.close_idle(endpoint, UpstreamCloseReason::NotReusable);
        } else {
            self.distrust(endpoint, serial, 0, idle_ms);
        }
    }

    /// Keeps a connection after its exchange, or closes it where it may not carry another one.
    fn finish_exchange(&mut self, key: ConnectionKey, received: &ReceivedResponse<'_>, last: bool) {
        let now = self.reactor.now();
        let Some(endpoint) = self.upstreams.get(key).map(UpstreamConnection::endpoint) else { return };
        self.upstreams.record_exchange(now, key, received);
        let reason = if last {
            UpstreamCloseReason::AfterResponse
        } else if !self.endpoints.is_ready(endpoint) {
            UpstreamCloseReason::EndpointRemoved
        } else if !self.upstreams.may_reuse(endpoint, received) {
            UpstreamCloseReason::NotReusable
        } else {
            return self.upstreams.put_idle(now, key);
        };
        self.close_upstream(key, reason);
    }

    /// A connection must be established by now.
    pub(crate) fn on_connect_timeout(&mut self, key: ConnectionKey, serial: u64) {
        if self.upstreams.is_connect_overdue(key, serial) {
            self.fail_upstream(key, AttemptEnd::TimedOut);
        }
    }

    /// A response that has begun must have made progress by now.
    pub(crate) fn on_response_stall(&mut self, key: ConnectionKey, serial: u64) {
        let progress = self.upstreams.check_response_progress(&mut self.reactor, key, serial);
        if progress == ResponseProgress::Stalled {
            self.fail_upstream(key, AttemptEnd::MalformedResponse);
        }
    }
}
