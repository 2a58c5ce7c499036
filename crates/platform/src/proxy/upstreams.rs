//! Endpoint side of the proxy: the endpoint list, connections, and responses.

use super::Proxy;
use crate::attempt_end::AttemptEnd;
use crate::buffer_table::Buffers;
use crate::endpoint_list::EndpointList;
use crate::endpoint_table::EndpointChange;
use crate::reactor::{ConnectionKey, Timer};
use crate::request_log::UpstreamCloseReason;
use crate::request_registry::OpenRequest;
use crate::response_stream::CompleteResponse;
use crate::upstream_connection::{
    AssignedAttempt, FlushEvent, ReceiveEvent, UpstreamConnection, RESPONSE_STALL_MS,
};
use crate::upstream_pool::{ResponseProgress, UpstreamPool};
use crate::wall_clock::unix_time;
use magpiewick::{Endpoint, Ms, Outcome};
use magpiewick_exchange::{ReceivedResponse, ResponseMismatch};
use magpiewick_transport::{error_origin, ErrorOrigin, MAX_BYTES_PER_FILL};
use std::net::SocketAddr;

impl Proxy {
    /// Applies an endpoint list, and returns the updates for the engine.
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
        self.upstreams.remove_endpoint(number);
        self.endpoints.remove(self.reactor.now(), number);
    }

    /// Withdraws all attempts of which no byte was written, because the endpoint list has expired.
    pub(crate) fn withdraw_all_unwritten(&mut self) {
        self.withdraw_unwritten(|_| true);
    }

    fn withdraw_unwritten(&mut self, of_endpoint: impl Fn(u32) -> bool) {
        for key in self.upstreams.unwritten(of_endpoint) {
            self.fail_upstream(key, AttemptEnd::Withdrawn);
        }
    }

    /// Records that an endpoint sent unrequested bytes: none of its connections is reused until the reuse policy
    /// permits reuse again.
    fn on_unsolicited_bytes(&mut self, endpoint: u32, serial: u64, bytes: usize, idle_ms: Ms) {
        let id = self.endpoints.id(endpoint);
        self.log.unsolicited_bytes_received(self.reactor.now(), id, serial, bytes, idle_ms);
        self.upstreams.on_unsolicited_bytes(endpoint, idle_ms);
        self.close_idle(endpoint, UpstreamCloseReason::NotReusable);
    }
}

impl Proxy {
    /// Closes a connection. The caller must end the attempt that the connection carries.
    fn close_upstream(
        &mut self,
        key: ConnectionKey,
        reason: UpstreamCloseReason,
    ) -> Option<UpstreamConnection> {
        let upstream = self.upstreams.remove(&mut self.reactor, key)?;
        self.read_order.remove(key);
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

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_expired_upstreams(&mut self) {
        for key in self.upstreams.take_expired_idle(self.reactor.now()) {
            self.close_upstream(key, UpstreamCloseReason::Expired);
        }
    }

    /// Closes a connection on which bytes or the end of the stream arrived while it was idle.
    fn close_unsolicited(&mut self, key: ConnectionKey) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        let (endpoint, serial, bytes) = (upstream.endpoint(), upstream.serial(), upstream.unread_bytes());
        let idle_ms = upstream.idle_for(self.reactor.now());
        if bytes == 0 {
            self.close_upstream(key, UpstreamCloseReason::ClosedWhileIdle);
            return;
        }
        self.close_upstream(key, UpstreamCloseReason::UnsolicitedBytes);
        self.on_unsolicited_bytes(endpoint, serial, bytes, idle_ms);
    }

    /// Closes a connection, and ends the attempt that the connection carries.
    pub(crate) fn fail_upstream(&mut self, key: ConnectionKey, end: AttemptEnd) {
        let Some(upstream) = self.close_upstream(key, UpstreamCloseReason::Attempt(end)) else { return };
        let Some(attempt) = upstream.attempt() else { return };
        self.end_attempt(attempt.request_id, end.outcome(attempt.written), attempt.written_at, None);
    }

    /// Opens a connection to an endpoint; an error is the outcome of the attempt.
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
        // A lack of descriptors, ports or memory on this host is no evidence about the endpoint.
        let key = opened.map_err(|error| match error_origin(&error) {
            ErrorOrigin::Remote => Outcome::ConnectFailed,
            ErrorOrigin::Local => Outcome::DeadlineExceeded,
        })?;
        self.metrics.upstreams_opened += 1;
        self.upstreams.arm_connect_timer(&mut self.reactor, key, serial);
        Ok(key)
    }

    /// Takes an idle connection on which, as far as can be determined, no further data of an earlier exchange can
    /// arrive.
    pub(super) fn take_idle_upstream(&mut self, endpoint: u32) -> Option<ConnectionKey> {
        loop {
            let key = self.upstreams.take_idle(self.reactor.now(), endpoint)?;
            if self.upstreams.update(key, UpstreamConnection::is_quiet)? {
                return Some(key);
            }
            self.close_unsolicited(key);
        }
    }

    /// Writes pending output to a connection, and the assigned attempt once the connection is established.
    pub(crate) fn flush_upstream(&mut self, key: ConnectionKey) {
        let flushed = self.upstreams.update(key, |upstream| upstream.flush(|| self.reactor.read_clock()));
        match flushed.unwrap_or(FlushEvent::None) {
            FlushEvent::None => {}
            FlushEvent::ConnectionLost => self.fail_upstream(key, AttemptEnd::ConnectionLost),
            FlushEvent::ReadyToWrite(attempt) => match self.write_attempt(key, attempt) {
                Ok(()) => self.flush_upstream(key),
                Err(end) => self.fail_upstream(key, end),
            },
        }
    }

    /// Queues an attempt on an established connection. The endpoint receives the time that the client has left at this
    /// moment. An error ends the attempt: its deadline for sending has passed, or its client has disconnected.
    fn write_attempt(&mut self, key: ConnectionKey, attempt: AssignedAttempt) -> Result<(), AttemptEnd> {
        let now = self.reactor.read_clock();
        if now > attempt.send_by {
            return Err(AttemptEnd::Cancelled);
        }
        if self.is_request_over(attempt.request_id) {
            return Err(AttemptEnd::Withdrawn);
        }
        let Some(request) = self.requests.get(attempt.request_id) else { return Err(AttemptEnd::Cancelled) };
        let time_left = (attempt.deadline - now).max(1.0).floor();
        let queue_attempt = |upstream: &mut UpstreamConnection| {
            upstream.queue_attempt(attempt.request_id, request.head(), time_left, request.body());
        };
        self.upstreams.update(key, queue_attempt);
        let Some(upstream) = self.upstreams.get(key) else { return Ok(()) };
        let labels = request.labels(&self.endpoints, now);
        self.log.attempt_started(&labels, upstream.serial(), upstream.exchanges(), time_left);
        self.metrics.attempts_started += 1;
        Ok(())
    }

    /// Sorts connections to endpoints with input into the order in which this turn reads them.
    pub(crate) fn sort_upstreams_to_read(&self, keys: &mut [ConnectionKey]) {
        self.turn.upstreams.sort(keys);
    }

    /// Reads input from an endpoint, unless this turn has read as much as it may.
    pub(crate) fn read_upstream_in_turn(&mut self, key: ConnectionKey) {
        if !self.turn.upstreams.may_read(self.reactor.read_clock(), key) {
            self.metrics.reads_deferred += 1;
            return;
        }
        let total_read =
            |upstreams: &UpstreamPool| upstreams.get(key).map_or(0, UpstreamConnection::total_read);
        let before = total_read(&self.upstreams);
        self.read_upstream(key);
        self.turn.upstreams.on_read(total_read(&self.upstreams).saturating_sub(before) as usize);
    }

    /// Reads input from an endpoint.
    fn read_upstream(&mut self, key: ConnectionKey) {
        let now = self.reactor.now();
        let Some(upstream) = self.upstreams.get(key) else { return };
        let serial = upstream.serial();
        let max_bytes = self.response_read_limit(key, upstream);
        if max_bytes == 0 {
            return self.pause_response(key);
        }
        let received = self.upstreams.update(key, |upstream| upstream.receive(now, max_bytes));
        match received.unwrap_or(ReceiveEvent::Partial { first: false }) {
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

    /// Returns the number of bytes that may be read from a connection; 0 where its response waits for memory.
    fn response_read_limit(&self, key: ConnectionKey, upstream: &UpstreamConnection) -> usize {
        if self.read_order.may_read(key) {
            return MAX_BYTES_PER_FILL;
        }
        self.memory_budget.response_read(self.pool_use(), upstream.memory_bytes(), MAX_BYTES_PER_FILL)
    }

    /// Stops reading a response until memory is available.
    fn pause_response(&mut self, key: ConnectionKey) {
        let now = self.reactor.now();
        self.upstreams.update(key, |upstream| upstream.set_read_paused(now, true));
        self.read_order.wait(key);
        self.metrics.responses_paused += 1;
    }

    /// Resumes reading of responses for which memory is available.
    pub(crate) fn resume_responses(&mut self) {
        let now = self.reactor.now();
        let free = self.memory_budget.free(self.pool_use());
        for key in self.read_order.resume(free, MAX_BYTES_PER_FILL) {
            self.upstreams.update(key, |upstream| upstream.set_read_paused(now, false));
        }
    }

    /// Handles a complete response on a connection with an attempt in flight.
    fn on_response(&mut self, key: ConnectionKey, complete: &CompleteResponse) {
        self.read_order.remove(key);
        let Some(upstream) = self.upstreams.get(key) else { return };
        let Some(attempt) = upstream.attempt() else { return };
        let (endpoint, serial) = (upstream.endpoint(), upstream.serial());
        let CompleteResponse { response, trailing, last } = complete;
        let received = ReceivedResponse {
            status: response.status,
            body: &response.body,
            body_end: response.body_end,
            trailing,
            request_id: response.header("x-request-id"),
        };
        let id = self.requests.get(attempt.request_id).map_or("", OpenRequest::id);
        if let Err(mismatch) = self.upstreams.verify(key, &received, id) {
            return self.on_mismatch(key, &received, mismatch);
        }
        self.finish_exchange(key, &received, *last || !attempt.written);
        if !trailing.is_empty() {
            self.on_unsolicited_bytes(endpoint, serial, trailing.len(), 0.0);
        }
        let end = AttemptEnd::from(response);
        let outcome = end.outcome(attempt.written);
        self.end_attempt(attempt.request_id, outcome, attempt.written_at, Some(response));
        if outcome == Outcome::Succeeded {
            self.deliver_response(attempt.request_id, &response.body);
        }
    }

    /// Handles a response that may belong to another request or may be incomplete: the response is discarded.
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
        match mismatch {
            ResponseMismatch::DuplicateResponse if received.trailing.is_empty() => {
                self.upstreams.suspect_copy(endpoint, received, idle_ms);
                self.close_idle(endpoint, UpstreamCloseReason::NotReusable);
            }
            ResponseMismatch::WrongContentLength => {
                self.on_unsolicited_bytes(endpoint, serial, received.trailing.len(), 0.0);
            }
            _ => self.on_unsolicited_bytes(endpoint, serial, 0, idle_ms),
        }
    }

    /// Keeps a connection after its exchange, or closes a connection that must not be reused.
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

    /// Fails a connection that has not been established in time.
    pub(crate) fn on_connect_timeout(&mut self, key: ConnectionKey, serial: u64) {
        if self.upstreams.is_connect_overdue(key, serial) {
            self.fail_upstream(key, AttemptEnd::TimedOut);
        }
    }

    /// Fails a connection whose partial response has made no progress in time.
    pub(crate) fn on_response_stall(&mut self, key: ConnectionKey, serial: u64) {
        let progress = self.upstreams.check_response_progress(&mut self.reactor, key, serial);
        if progress == ResponseProgress::Stalled {
            self.fail_upstream(key, AttemptEnd::MalformedResponse);
        }
    }
}
