//! What the scheduler knows of a request that is not over.

use super::fair_queueing::Tag;
use crate::structures::TokenWaiter;
use crate::types::{Ms, Request};

/// Where a request stands.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestState {
    /// In no queue: its key, its rate limit or its node does not allow it for now.
    Blocked,
    /// In the queue of a node.
    Queued(usize),
    /// Its attempt at a node is in flight.
    InFlight(usize),
    /// It has its final answer while its last attempt at a node is still in flight.
    Finished(usize),
}

/// An attempt that is not known not to have run.
#[derive(Clone, Copy)]
pub(super) struct UncertainAttempt {
    /// Its number, counted from 1.
    pub number: u32,
    pub sent_at: Ms,
    pub node: usize,
}

/// A request that is not over.
pub(super) struct PendingRequest {
    pub request: Request,
    /// Number in the order of arrival.
    pub arrival: u64,
    pub state: RequestState,
    /// Its tag, once it has been in a queue.
    pub tag: Tag,
    /// From when on it is past its latency objective.
    pub expires_at: Ms,
    /// When its attempts must be over.
    pub deadline: Ms,
    /// How many attempts were made.
    pub attempts: u32,
    /// The first of its attempts that may have run.
    pub uncertain_attempt: Option<UncertainAttempt>,
    pub earliest_retry_at: Ms,
    /// Its rate limit's tokens are reserved or spent.
    pub has_tokens: bool,
    /// Number in the order of entries into queues.
    pub queue_entry: u64,
}

impl PendingRequest {
    /// Whether an attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        matches!(self.state, RequestState::InFlight(_) | RequestState::Finished(_))
    }

    /// The request of this index as one that waits for tokens of its volume.
    pub(super) fn token_waiter(&self, id: usize) -> TokenWaiter {
        TokenWaiter { volume: self.request.volume, arrival: self.arrival, id, units: self.request.units }
    }
}

/// All requests that are not over, by the index that the caller gave them.
#[derive(Default)]
pub(super) struct PendingRequests {
    slots: Vec<Option<PendingRequest>>,
}

impl PendingRequests {
    /// The request of an index.
    pub(super) fn get(&self, id: usize) -> Option<&PendingRequest> {
        self.slots.get(id)?.as_ref()
    }

    /// The request of an index, to change it.
    pub(super) fn get_mut(&mut self, id: usize) -> Option<&mut PendingRequest> {
        self.slots.get_mut(id)?.as_mut()
    }

    /// The request of an index if it is in no queue and not in flight.
    pub(super) fn blocked(&self, id: usize) -> Option<&PendingRequest> {
        self.get(id).filter(|pending| pending.state == RequestState::Blocked)
    }

    /// Whether the index has a request.
    pub(super) fn contains(&self, id: usize) -> bool {
        self.get(id).is_some()
    }

    /// Gives an index a request.
    pub(super) fn insert(&mut self, id: usize, pending: PendingRequest) {
        if self.slots.len() <= id {
            self.slots.resize_with(id + 1, || None);
        }
        self.slots[id] = Some(pending);
    }

    /// Frees an index.
    pub(super) fn remove(&mut self, id: usize) -> Option<PendingRequest> {
        self.slots.get_mut(id)?.take()
    }
}
