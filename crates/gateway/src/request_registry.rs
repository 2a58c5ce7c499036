//! Requests of a host, as received from clients. Each is kept until it has its final answer and none of its
//! attempts is in flight.

use crate::request_log::RequestLog;
use magpiewick::{Ms, Outcome};
use magpiewick_coalescing::{PendingWrite, WriteRange};
use magpiewick_engine::IncomingRequest;
use magpiewick_node_protocol::{Attempt, ClientRequest, FinalCode};
use slab::Slab;

/// Number of bits of an id that contain the request's slot; a serial number is in the bits above.
const SLOT_BITS: u32 = 24;
/// Bit that distinguishes ids of split reads from those of requests.
const SPLIT_READ_FLAG: u64 = 1 << 63;

/// Returns whether an id is that of a split read.
pub(crate) fn is_split_read(id: u64) -> bool {
    id & SPLIT_READ_FLAG != 0
}

fn slot_of(request_id: u64) -> usize {
    (request_id & ((1 << SLOT_BITS) - 1)) as usize
}

/// Identification of a request by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientRef {
    /// The client's poll key.
    pub key: usize,
    /// The client's own number for the request.
    pub request_id: u64,
}

/// A part of a split read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartRef {
    /// Id of the split read.
    pub read: u64,
    /// Index of the part.
    pub index: usize,
}

/// Recipient of a request's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    Client(ClientRef),
    SplitRead(PartRef),
}

/// Location of a request's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    /// Shard that holds the data; none for any shard.
    pub shard: Option<usize>,
    /// Version of the extent; 0 where no map is used.
    pub version: u32,
}

impl Location {
    /// Returns the shard as sent on the wire: all bits set for any shard.
    pub(crate) fn wire_shard(&self) -> u32 {
        self.shard.map_or(u32::MAX, |shard| shard as u32)
    }
}

/// A request at its admission.
pub(crate) struct AdmittedRequest<'a> {
    pub requester: Requester,
    pub request: &'a ClientRequest<'a>,
    pub location: Location,
    pub client_timeout: Ms,
    pub log: RequestLog,
}

/// An attempt whose outcome has not been reported to the engine.
struct InFlightAttempt {
    attempt: u32,
    /// Upstream that it was sent to; none after its connection was closed.
    upstream: Option<usize>,
    sent_at: Ms,
    /// Version of the extent under which the attempt was sent.
    version: u32,
}

/// An attempt that has ended.
pub(crate) struct EndedAttempt {
    /// Upstream that it was sent to; none where the connection was closed before the end.
    pub upstream: Option<usize>,
    pub sent_at: Ms,
}

/// Result of giving a request its final answer.
pub(crate) struct FinishedRequest {
    /// Recipient of the answer; none where the client has disconnected.
    pub requester: Option<Requester>,
}

/// A request that is pending or has attempts in flight.
pub(crate) struct OpenRequest {
    id: u64,
    requester: Option<Requester>,
    answered: bool,
    received_at: Ms,
    deadline: Ms,
    class: u16,
    write: bool,
    volume: u64,
    key: u64,
    idempotency_key: u64,
    units: f32,
    wire_shard: u32,
    version: u32,
    blocks: u32,
    /// The engine's form of the request while an earlier write overlaps it; none otherwise.
    blocked: Option<IncomingRequest>,
    /// True if an attempt ended without an answer and may still take effect.
    may_take_effect_late: bool,
    payload: Vec<u8>,
    in_flight: Vec<InFlightAttempt>,
    attempts: u32,
    last_endpoint: Option<u32>,
    log: RequestLog,
}

/// A request without a final answer, with the location of its data.
pub(crate) struct UnansweredRequest {
    pub request_id: u64,
    pub volume: u64,
    pub key: u64,
    pub wire_shard: u32,
    pub version: u32,
}

impl OpenRequest {
    /// Returns the range of blocks that the request reads or writes; a key that identifies a whole piece of
    /// data counts as one block.
    fn range(&self) -> (u64, u64) {
        (self.key, self.key + u64::from(self.blocks.max(1)))
    }

    /// Returns the write as required by the overlap lock; none for a read, and for a write without a key.
    /// `queue_key` identifies the queue in which the scheduler orders the write.
    pub(crate) fn as_write(&self, queue_key: Option<u64>) -> Option<WriteRange> {
        let (start, end) = self.range();
        let is_write = self.write && self.key != 0;
        is_write.then_some(WriteRange { volume: self.volume, start, end, ordering_key: queue_key })
    }

    /// Returns the write as required by the coalescer; none where it cannot be coalesced now.
    pub(crate) fn as_coalescible(&self) -> Option<PendingWrite> {
        let is_write = self.write && self.key != 0;
        let is_pending = !self.answered && self.in_flight.is_empty() && self.blocked.is_none();
        let (start, end) = self.range();
        (is_write && is_pending).then(|| PendingWrite {
            volume: self.volume,
            shard: self.wire_shard,
            class: self.class,
            start,
            end,
            bytes: self.payload.len(),
            units: f64::from(self.units),
        })
    }

    /// Returns the request as one attempt on the wire.
    pub(crate) fn as_attempt(&self, attempt: u32, now: Ms) -> Attempt<'_> {
        Attempt {
            request_id: self.id,
            attempt: attempt as u16,
            class: self.class,
            write: self.write,
            volume: self.volume,
            key: self.key,
            idempotency_key: self.idempotency_key,
            units: self.units,
            shard: self.wire_shard,
            remaining_us: ((self.deadline - now).max(0.0) * 1000.0) as u32,
            version: self.version,
            blocks: self.blocks,
            payload: &self.payload,
        }
    }

    /// Stores the engine's form of the request while it is blocked.
    pub(crate) fn block(&mut self, incoming: IncomingRequest) {
        self.blocked = Some(incoming);
    }

    /// Returns the engine's form of the request once it is no longer blocked, with the client's remaining
    /// time.
    pub(crate) fn unblock(&mut self, now: Ms) -> Option<IncomingRequest> {
        if self.answered {
            return None;
        }
        let mut incoming = self.blocked.take()?;
        incoming.request.client_timeout = self.deadline - now;
        Some(incoming)
    }

    /// Records an attempt that is sent to a node.
    pub(crate) fn begin_attempt(&mut self, attempt: u32, endpoint: u32, upstream: usize, now: Ms) {
        self.attempts = attempt + 1;
        self.last_endpoint = Some(endpoint);
        let version = self.version;
        self.in_flight.push(InFlightAttempt { attempt, upstream: Some(upstream), sent_at: now, version });
    }

    /// Removes an attempt; none where it has already ended.
    pub(crate) fn end_attempt(&mut self, attempt: u32, outcome: Outcome) -> Option<EndedAttempt> {
        let position = self.in_flight.iter().position(|a| a.attempt == attempt)?;
        let removed_attempt = self.in_flight.remove(position);
        self.may_take_effect_late |=
            matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset);
        Some(EndedAttempt { upstream: removed_attempt.upstream, sent_at: removed_attempt.sent_at })
    }

    /// Records that the upstream's connection is closed; returns the attempt that was in flight there, which
    /// is still to be ended.
    pub(crate) fn detach(&mut self, upstream: usize) -> Option<u32> {
        let attempt = self.in_flight.iter_mut().find(|a| a.upstream == Some(upstream))?;
        attempt.upstream = None;
        Some(attempt.attempt)
    }

    fn attempt_in_flight(&self, attempt: u32) -> Option<&InFlightAttempt> {
        self.in_flight.iter().find(|a| a.attempt == attempt)
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn has_in_flight(&self, attempt: u32) -> bool {
        self.attempt_in_flight(attempt).is_some()
    }

    /// Returns the upstream at which an attempt is in flight.
    pub(crate) fn upstream_of(&self, attempt: u32) -> Option<usize> {
        self.attempt_in_flight(attempt)?.upstream
    }

    /// Returns the version of the extent under which an attempt in flight was sent.
    pub(crate) fn version_sent(&self, attempt: u32) -> Option<u32> {
        self.attempt_in_flight(attempt).map(|a| a.version)
    }

    /// Returns the volume and key of the request's data; none after the final answer.
    pub(crate) fn unanswered_data_key(&self) -> Option<(u64, u64)> {
        (!self.answered).then_some((self.volume, self.key))
    }

    /// Updates the location of the request's data.
    pub(crate) fn relocate(&mut self, location: Location) {
        self.wire_shard = location.wire_shard();
        self.version = location.version;
    }

    /// Marks the request as answered; none where it was already answered.
    pub(crate) fn finish(&mut self, now: Ms, code: FinalCode, reason: &str) -> Option<FinishedRequest> {
        if self.answered {
            return None;
        }
        self.answered = true;
        let elapsed_ms = now - self.received_at;
        self.log.finished(code, reason, self.attempts, self.last_endpoint, elapsed_ms);
        Some(FinishedRequest { requester: self.requester.take() })
    }

    /// Marks the request as cancelled; returns false where it was already answered.
    pub(crate) fn cancel(&mut self, reason: &str) -> bool {
        if self.answered {
            return false;
        }
        self.answered = true;
        self.requester = None;
        self.log.cancelled(reason, self.attempts, self.last_endpoint);
        true
    }

    fn is_done(&self) -> bool {
        self.answered && self.in_flight.is_empty()
    }
}

/// A request that was removed.
pub(crate) struct RemovedRequest {
    /// True if an attempt of the request may still take effect.
    pub may_take_effect_late: bool,
}

/// All requests by id.
#[derive(Default)]
pub(crate) struct RequestRegistry {
    requests: Slab<OpenRequest>,
    serial: u64,
    /// Bytes of the payloads of all requests.
    payload_bytes: usize,
}

impl RequestRegistry {
    /// Returns the id of the next request, which no other request has had.
    pub(crate) fn next_request_id(&mut self) -> u64 {
        self.serial += 1;
        self.serial << SLOT_BITS | self.requests.vacant_key() as u64
    }

    /// Returns the id of the next split read.
    pub(crate) fn next_split_read_id(&mut self) -> u64 {
        self.serial += 1;
        SPLIT_READ_FLAG | self.serial
    }

    /// Adds a request under the id from [`RequestRegistry::next_request_id`].
    pub(crate) fn insert(&mut self, id: u64, now: Ms, admitted: AdmittedRequest<'_>) {
        let AdmittedRequest { requester, request, location, client_timeout, log } = admitted;
        self.payload_bytes += request.payload.len();
        let slot = self.requests.insert(OpenRequest {
            id,
            requester: Some(requester),
            answered: false,
            received_at: now,
            deadline: now + client_timeout,
            class: request.class,
            write: request.write,
            volume: request.volume,
            key: request.key,
            idempotency_key: request.idempotency_key,
            units: request.units,
            wire_shard: location.wire_shard(),
            version: location.version,
            blocks: request.blocks,
            blocked: None,
            may_take_effect_late: false,
            payload: request.payload.to_vec(),
            in_flight: Vec::new(),
            attempts: 0,
            last_endpoint: None,
            log,
        });
        debug_assert_eq!(slot, slot_of(id), "another request was added after this id was assigned");
    }

    /// Returns the bytes of the payloads of all requests.
    pub(crate) fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    pub(crate) fn get(&self, request_id: u64) -> Option<&OpenRequest> {
        self.requests.get(slot_of(request_id)).filter(|request| request.id == request_id)
    }

    pub(crate) fn get_mut(&mut self, request_id: u64) -> Option<&mut OpenRequest> {
        self.requests.get_mut(slot_of(request_id)).filter(|request| request.id == request_id)
    }

    /// Removes a request that has been answered and has no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, request_id: u64) -> Option<RemovedRequest> {
        self.get(request_id).filter(|request| request.is_done())?;
        let request = self.requests.remove(slot_of(request_id));
        self.payload_bytes -= request.payload.len();
        Some(RemovedRequest { may_take_effect_late: request.may_take_effect_late })
    }

    /// Returns the requests without a final answer, in order of admission.
    pub(crate) fn unanswered(&self) -> Vec<UnansweredRequest> {
        let unanswered = self.requests.iter().map(|(_, request)| request).filter(|r| !r.answered);
        let mut requests: Vec<UnansweredRequest> = unanswered
            .map(|r| UnansweredRequest {
                request_id: r.id,
                volume: r.volume,
                key: r.key,
                wire_shard: r.wire_shard,
                version: r.version,
            })
            .collect();
        requests.sort_unstable_by_key(|r| r.request_id);
        requests
    }
}
