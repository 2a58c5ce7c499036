//! The requests of a host as its clients sent them, each until its final answer is given and none of its attempts is
//! in flight.

use crate::request_log::RequestLog;
use magpiewick::{Ms, Outcome};
use magpiewick_coalescing::{PendingWrite, WriteRange};
use magpiewick_engine::IncomingRequest;
use magpiewick_node_protocol::{Attempt, ClientRequest, FinalCode};
use slab::Slab;

/// Bits of an id that name the request's slot; a serial number stands above them.
const SLOT_BITS: u32 = 24;
/// Marks the id of a split read among those of requests.
const SPLIT_READ_FLAG: u64 = 1 << 63;

/// Whether an id is that of a split read.
pub(crate) fn is_split_read(id: u64) -> bool {
    id & SPLIT_READ_FLAG != 0
}

fn slot_of(request_id: u64) -> usize {
    (request_id & ((1 << SLOT_BITS) - 1)) as usize
}

/// A request as its client names it.
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
    /// The id of the split read.
    pub read: u64,
    /// Which part.
    pub index: usize,
}

/// Who waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    Client(ClientRef),
    SplitRead(PartRef),
}

/// Where a request's data lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    /// The shard; none for any.
    pub shard: Option<usize>,
    /// The version of the extent; 0 where no map is followed.
    pub version: u32,
}

impl Location {
    /// The shard as it stands on the wire: all bits set for any.
    pub(crate) fn wire_shard(&self) -> u32 {
        self.shard.map_or(u32::MAX, |shard| shard as u32)
    }
}

/// A request as it is admitted.
pub(crate) struct Admitted<'a> {
    pub requester: Requester,
    pub request: &'a ClientRequest<'a>,
    pub location: Location,
    pub client_timeout: Ms,
    pub log: RequestLog,
}

/// An attempt whose outcome is to be reported to the engine.
struct InFlightAttempt {
    attempt: u32,
    /// The upstream that it was sent to; none once its connection is closed.
    upstream: Option<usize>,
    sent_at: Ms,
    /// The version of the extent that it was sent under.
    version: u32,
}

/// An attempt that ended.
pub(crate) struct EndedAttempt {
    /// The upstream that it was sent to; none where its connection was closed before.
    pub upstream: Option<usize>,
    pub sent_at: Ms,
}

/// What becomes of a request that has got its final answer.
pub(crate) struct FinishedRequest {
    /// Who waits for the answer; none where the client has gone.
    pub requester: Option<Requester>,
}

/// One request.
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
    /// What the engine gets once no earlier write overlaps it.
    blocked: Option<IncomingRequest>,
    /// An attempt ended without an answer: its effect may come late.
    may_take_effect_late: bool,
    payload: Vec<u8>,
    in_flight: Vec<InFlightAttempt>,
    attempts: u32,
    last_endpoint: Option<u32>,
    log: RequestLog,
}

/// A request without its final answer, and where it is placed.
pub(crate) struct PlacedRequest {
    pub request_id: u64,
    pub volume: u64,
    pub key: u64,
    pub wire_shard: u32,
    pub version: u32,
}

impl OpenRequest {
    /// The blocks that it reads or writes; a key that is a piece by itself is one.
    fn range(&self) -> (u64, u64) {
        (self.key, self.key + u64::from(self.blocks.max(1)))
    }

    /// The write as the overlap lock knows it; none for a read, and where it has no key. `queue` names the queue in
    /// which the scheduler orders it.
    pub(crate) fn as_write(&self, queue: Option<u64>) -> Option<WriteRange> {
        let (start, end) = self.range();
        let is_write = self.write && self.key != 0;
        is_write.then_some(WriteRange { volume: self.volume, start, end, ordering_key: queue })
    }

    /// The write as the coalescer knows it; none where it may not be coalesced now.
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

    /// The request as one attempt on the wire.
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

    /// Holds it back from the engine.
    pub(crate) fn block(&mut self, incoming: IncomingRequest) {
        self.blocked = Some(incoming);
    }

    /// What the engine gets now that nothing holds it back, with the time that its client still waits.
    pub(crate) fn unblock(&mut self, now: Ms) -> Option<IncomingRequest> {
        if self.answered {
            return None;
        }
        let mut incoming = self.blocked.take()?;
        incoming.request.client_timeout = self.deadline - now;
        Some(incoming)
    }

    /// An attempt is sent to a node.
    pub(crate) fn begin_attempt(&mut self, attempt: u32, endpoint: u32, upstream: usize, now: Ms) {
        self.attempts = attempt + 1;
        self.last_endpoint = Some(endpoint);
        let version = self.version;
        self.in_flight.push(InFlightAttempt { attempt, upstream: Some(upstream), sent_at: now, version });
    }

    /// Removes an attempt; none where it has ended before.
    pub(crate) fn end_attempt(&mut self, attempt: u32, outcome: Outcome) -> Option<EndedAttempt> {
        let position = self.in_flight.iter().position(|a| a.attempt == attempt)?;
        let ended = self.in_flight.remove(position);
        self.may_take_effect_late |=
            matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset);
        Some(EndedAttempt { upstream: ended.upstream, sent_at: ended.sent_at })
    }

    /// The upstream's connection is closed: returns the attempt that was in flight there, which remains to be ended.
    pub(crate) fn detach(&mut self, upstream: usize) -> Option<u32> {
        let attempt = self.in_flight.iter_mut().find(|a| a.upstream == Some(upstream))?;
        attempt.upstream = None;
        Some(attempt.attempt)
    }

    fn attempt_in_flight(&self, attempt: u32) -> Option<&InFlightAttempt> {
        self.in_flight.iter().find(|a| a.attempt == attempt)
    }

    /// Whether an attempt is in flight.
    pub(crate) fn has_in_flight(&self, attempt: u32) -> bool {
        self.attempt_in_flight(attempt).is_some()
    }

    /// The upstream where an attempt is in flight.
    pub(crate) fn upstream_of(&self, attempt: u32) -> Option<usize> {
        self.attempt_in_flight(attempt)?.upstream
    }

    /// The version of the extent that an attempt in flight was sent under.
    pub(crate) fn version_sent(&self, attempt: u32) -> Option<u32> {
        self.attempt_in_flight(attempt).map(|a| a.version)
    }

    /// Its volume and key; none once it has its final answer.
    pub(crate) fn unanswered_piece(&self) -> Option<(u64, u64)> {
        (!self.answered).then_some((self.volume, self.key))
    }

    /// Its data lies elsewhere.
    pub(crate) fn relocate(&mut self, location: Location) {
        self.wire_shard = location.wire_shard();
        self.version = location.version;
    }

    /// Marks that it has its final answer; none where it had one before.
    pub(crate) fn finish(&mut self, now: Ms, code: FinalCode, reason: &str) -> Option<FinishedRequest> {
        if self.answered {
            return None;
        }
        self.answered = true;
        let elapsed_ms = now - self.received_at;
        self.log.finished(code, reason, self.attempts, self.last_endpoint, elapsed_ms);
        Some(FinishedRequest { requester: self.requester.take() })
    }

    /// Marks that nobody waits for it any more; false where it had its final answer before.
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
pub(crate) struct Removed {
    /// What may have run of it may still take effect.
    pub may_take_effect_late: bool,
}

/// All requests by id.
#[derive(Default)]
pub(crate) struct RequestRegistry {
    requests: Slab<OpenRequest>,
    serial: u64,
}

impl RequestRegistry {
    /// The id that the next request gets; never used before.
    pub(crate) fn next_request_id(&mut self) -> u64 {
        self.serial += 1;
        self.serial << SLOT_BITS | self.requests.vacant_key() as u64
    }

    /// The id of the next split read.
    pub(crate) fn next_split_read_id(&mut self) -> u64 {
        self.serial += 1;
        SPLIT_READ_FLAG | self.serial
    }

    /// Adds a request under the id from [`RequestRegistry::next_request_id`].
    pub(crate) fn insert(&mut self, id: u64, now: Ms, admitted: Admitted<'_>) {
        let Admitted { requester, request, location, client_timeout, log } = admitted;
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
        debug_assert_eq!(slot, slot_of(id), "a request was added between its id and itself");
    }

    pub(crate) fn get(&self, request_id: u64) -> Option<&OpenRequest> {
        self.requests.get(slot_of(request_id)).filter(|request| request.id == request_id)
    }

    pub(crate) fn get_mut(&mut self, request_id: u64) -> Option<&mut OpenRequest> {
        self.requests.get_mut(slot_of(request_id)).filter(|request| request.id == request_id)
    }

    /// Removes a request that has its final answer and no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, request_id: u64) -> Option<Removed> {
        self.get(request_id).filter(|request| request.is_done())?;
        let request = self.requests.remove(slot_of(request_id));
        Some(Removed { may_take_effect_late: request.may_take_effect_late })
    }

    /// Requests without their final answer, in the order of their admission.
    pub(crate) fn placed(&self) -> Vec<PlacedRequest> {
        let unanswered = self.requests.iter().map(|(_, request)| request).filter(|r| !r.answered);
        let mut placed: Vec<PlacedRequest> = unanswered
            .map(|r| PlacedRequest {
                request_id: r.id,
                volume: r.volume,
                key: r.key,
                wire_shard: r.wire_shard,
                version: r.version,
            })
            .collect();
        placed.sort_unstable_by_key(|p| p.request_id);
        placed
    }
}
