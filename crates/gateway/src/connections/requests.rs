//! Requests from their admission to their final answer, with the attempts of each.

use super::{Connections, UnreportedOutcome};
use crate::poll_key::{index_of, poll_key, Source};
use crate::request_registry::{AdmittedRequest, Location, PartRef, RequestRegistry, Requester};
use crate::split_reads::{FinishedPart, NewSplitRead, SplitReads};
use crate::timer::Timer;
use magpiewick::{Ms, Outcome};
use magpiewick_engine::{IncomingRequest, Reason};
use magpiewick_node_protocol::FinalCode;

impl Connections {
    /// Stores a client's request and assigns an id to it; none where its client has disconnected.
    pub(crate) fn admit(&mut self, admitted: AdmittedRequest<'_>) -> Option<u64> {
        let id = self.requests.next_request_id();
        if let Requester::Client(client) = admitted.requester {
            self.clients.add_request(client.key, client.request_id, id)?;
        }
        self.requests.insert(id, self.now, admitted);
        self.offer_for_coalescing(id);
        Some(id)
    }

    /// Offers a write without an attempt in flight for coalescing with others.
    pub(crate) fn offer_for_coalescing(&mut self, request_id: u64) {
        if let Some(write) = self.requests.get(request_id).and_then(|request| request.as_coalescible()) {
            self.coalescer.insert(request_id, write);
        }
    }

    /// Returns a request that may proceed to the engine. Stores a write that an earlier write overlaps, until
    /// the earlier one is done or `waits_until` has passed. `queue_key` identifies the queue in which the
    /// scheduler orders the request.
    #[must_use]
    pub(crate) fn acquire_overlap_lock(
        &mut self,
        incoming: IncomingRequest,
        queue_key: Option<u64>,
        waits_until: Ms,
    ) -> Option<IncomingRequest> {
        let request_id = incoming.id;
        let Some(write) = self.requests.get(request_id).and_then(|request| request.as_write(queue_key))
        else {
            return Some(incoming);
        };
        if self.overlap_lock.acquire(request_id, write) {
            return Some(incoming);
        }
        if let Some(request) = self.requests.get_mut(request_id) {
            request.block(incoming);
        }
        self.coalescer.remove(request_id);
        self.timers.set(waits_until, Timer::OverlapTimeout { request_id });
        None
    }

    /// Returns a write that was blocked by others, for the engine.
    #[must_use]
    pub(crate) fn unblock(&mut self, request_id: u64) -> Option<IncomingRequest> {
        let incoming = self.requests.get_mut(request_id)?.unblock(self.now)?;
        self.offer_for_coalescing(request_id);
        Some(incoming)
    }

    /// Unblocks a write whose maximum wait has passed; returns it for the engine, where it was still blocked.
    #[must_use]
    pub(crate) fn unblock_on_timeout(&mut self, request_id: u64) -> Option<IncomingRequest> {
        if !self.overlap_lock.is_blocked(request_id) {
            return None;
        }
        self.overlap_lock.unblock(request_id);
        self.unblock(request_id)
    }

    /// Returns the number of blocked writes.
    pub(crate) fn blocked_writes(&self) -> usize {
        self.overlap_lock.blocked_count()
    }

    /// Releases the lock of a write that can no longer take effect, which unblocks the writes that waited for
    /// it.
    pub(crate) fn release_overlap_lock(&mut self, request_id: u64) {
        self.events.unblocked.extend(self.overlap_lock.release(request_id));
    }

    /// Sends the first succeeded answer to the client.
    pub(crate) fn succeed(&mut self, request_id: u64, payload: &[u8]) {
        let reason = Reason::After(Outcome::Succeeded).as_str();
        self.finish(request_id, FinalCode::Succeeded, 0.0, payload, reason);
    }

    pub(super) fn finish(
        &mut self,
        request_id: u64,
        code: FinalCode,
        retry_after: Ms,
        payload: &[u8],
        reason: &str,
    ) {
        let now = self.now;
        let request = self.requests.get_mut(request_id);
        let Some(finished) = request.and_then(|request| request.finish(now, code, reason)) else { return };
        self.coalescer.remove(request_id);
        match finished.requester {
            Some(Requester::Client(client)) => self.answer_client(client, code, retry_after, payload),
            Some(Requester::SplitRead(PartRef { read, index })) => {
                let payload = payload.to_vec();
                let part = FinishedPart { read, index, code, retry_after, payload };
                self.events.finished_parts.push_back(part);
            }
            None => {}
        }
    }

    /// Removes a request that has been answered and has no attempt in flight.
    pub(crate) fn release(&mut self, request_id: u64) {
        let Some(removed) = self.requests.remove_if_done(request_id) else { return };
        if removed.may_take_effect_late {
            self.timers.set(self.now + self.late_effect_duration, Timer::OverlapRelease { request_id });
        } else {
            self.release_overlap_lock(request_id);
        }
    }

    pub(crate) fn requests(&self) -> &RequestRegistry {
        &self.requests
    }

    /// Updates the location of a request's data.
    pub(crate) fn relocate(&mut self, request_id: u64, location: Location) {
        if let Some(request) = self.requests.get_mut(request_id) {
            request.relocate(location);
            self.offer_for_coalescing(request_id);
        }
    }

    /// Stores a read that was split; none where its client has disconnected.
    pub(crate) fn admit_split_read(&mut self, split_read: NewSplitRead<'_>) -> Option<u64> {
        let id = self.requests.next_split_read_id();
        self.clients.add_request(split_read.client.key, split_read.client.request_id, id)?;
        self.split_reads.insert(id, split_read);
        Some(id)
    }

    pub(crate) fn split_reads_mut(&mut self) -> &mut SplitReads {
        &mut self.split_reads
    }

    /// Sends the final answer of a split read; its parts in flight remain with the engine.
    pub(crate) fn finish_split_read(&mut self, id: u64, code: FinalCode, retry_after: Ms, payload: &[u8]) {
        if let Some(client) = self.split_reads.finish(id, code) {
            self.answer_client(client, code, retry_after, payload);
        }
    }

    pub(crate) fn is_in_flight(&self, request_id: u64, attempt: u32) -> bool {
        self.requests.get(request_id).is_some_and(|request| request.has_in_flight(attempt))
    }

    /// Returns whether an attempt is in flight at the node of this key.
    pub(crate) fn is_in_flight_at(&self, request_id: u64, attempt: u32, key: usize) -> bool {
        let request = self.requests.get(request_id);
        request.and_then(|request| request.upstream_of(attempt)) == Some(index_of(key))
    }

    /// Removes an attempt; returns when it was sent, unless it had already ended.
    #[must_use]
    pub(crate) fn end_attempt(&mut self, request_id: u64, attempt: u32, outcome: Outcome) -> Option<Ms> {
        let attempt_entry = self.requests.get_mut(request_id)?.end_attempt(attempt, outcome)?;
        if let Some(upstream) = attempt_entry.upstream {
            let is_unanswered = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
            let unanswered = is_unanswered.then_some(attempt_entry.sent_at);
            self.upstreams.on_attempt_ended(upstream, (request_id, attempt), unanswered);
        }
        Some(attempt_entry.sent_at)
    }

    /// Notifies a node that an attempt was cancelled, so that the node need not start it.
    pub(crate) fn send_cancel(&mut self, request_id: u64, attempt: u32) {
        let request = self.requests.get(request_id);
        let Some(upstream) = request.and_then(|request| request.upstream_of(attempt)) else { return };
        if self.upstreams.send_cancel(upstream, (request_id, attempt)) {
            self.note_to_write(poll_key(Source::Node, upstream));
        }
    }

    /// Removes an attempt whose connection was closed, and reports its outcome to the engine.
    pub(super) fn detach(&mut self, request_id: u64, outcome: Outcome, upstream: usize) {
        let request = self.requests.get_mut(request_id);
        if let Some(attempt) = request.and_then(|request| request.detach(upstream)) {
            self.events.outcomes.push_back(UnreportedOutcome { request_id, attempt, outcome });
        }
    }
}
