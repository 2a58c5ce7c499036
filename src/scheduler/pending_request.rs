//! State of a pending request.

use super::fair_queueing::Tag;
use crate::structures::TokenWaiter;
use crate::types::{Ms, Request};

/// State of a request with regard to queues and attempts.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestState {
    /// In no queue: its key, its rate limit or its node does not permit it now.
    Blocked,
    /// In the queue of a node.
    Queued(usize),
    /// An attempt at a node is in flight.
    InFlight(usize),
    /// Finished with a final answer while the last attempt at a node is still in flight.
    Finished(usize),
}

/// Attempt that may have run.
#[derive(Clone, Copy)]
pub(super) struct UncertainAttempt {
    /// Number of the attempt, counted from 1.
    pub number: u32,
    pub sent_at: Ms,
    pub node: usize,
}

/// Pending request.
pub(super) struct PendingRequest {
    pub request: Request,
    /// Number in the order of arrival.
    pub arrival: u64,
    pub state: RequestState,
    /// Tag of its last queue entry.
    pub tag: Tag,
    /// Time at which its latency objective passes.
    pub expires_at: Ms,
    /// True if it expires earlier because its shorter timeout suggests a client's retry.
    pub is_retry_by_guess: bool,
    /// Time by which its attempts must be finished.
    pub deadline: Ms,
    /// Number of attempts made.
    pub attempts: u32,
    /// First of its attempts that may have run.
    pub uncertain_attempt: Option<UncertainAttempt>,
    pub earliest_retry_at: Ms,
    /// True if tokens of the rate limit are reserved or spent.
    pub has_tokens: bool,
    /// Number in the order of entries into queues.
    pub queue_entry: u64,
}

impl PendingRequest {
    /// Returns whether an attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        matches!(self.state, RequestState::InFlight(_) | RequestState::Finished(_))
    }

    /// Returns the entry of this request, which has the given index, in the list of requests waiting for
    /// tokens.
    pub(super) fn token_waiter(&self, id: usize) -> TokenWaiter {
        TokenWaiter { volume: self.request.volume, arrival: self.arrival, id, units: self.request.units }
    }
}

/// All pending requests, by the index that the caller assigned.
#[derive(Default)]
pub(super) struct PendingRequests {
    slots: Vec<Option<PendingRequest>>,
}

impl PendingRequests {
    /// Returns the request of an index.
    pub(super) fn get(&self, id: usize) -> Option<&PendingRequest> {
        self.slots.get(id)?.as_ref()
    }

    /// Returns the request of an index for modification.
    pub(super) fn get_mut(&mut self, id: usize) -> Option<&mut PendingRequest> {
        self.slots.get_mut(id)?.as_mut()
    }

    /// Returns the request of an index if it is blocked.
    pub(super) fn blocked(&self, id: usize) -> Option<&PendingRequest> {
        self.get(id).filter(|pending| pending.state == RequestState::Blocked)
    }

    /// Returns whether the index has a request.
    pub(super) fn contains(&self, id: usize) -> bool {
        self.get(id).is_some()
    }

    /// Stores a request under an index.
    pub(super) fn insert(&mut self, id: usize, pending: PendingRequest) {
        if self.slots.len() <= id {
            self.slots.resize_with(id + 1, || None);
        }
        self.slots[id] = Some(pending);
    }

    /// Removes the request of an index.
    pub(super) fn remove(&mut self, id: usize) -> Option<PendingRequest> {
        self.slots.get_mut(id)?.take()
    }
}
