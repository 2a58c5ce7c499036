//! Pending requests of the engine, and the slots that hold them.

use crate::environment::{AttemptRef, Reason};
use magpiewick::{Ms, Outcome, Request};
use std::collections::HashMap;

/// Request that has no final answer or still has an attempt in flight.
pub(crate) struct PendingRequest {
    id: u64,
    request: Request,
    attempts: u32,
    in_flight: u32,
    finished: bool,
    last_outcome: Option<Outcome>,
}

impl PendingRequest {
    fn new(id: u64, request: Request) -> PendingRequest {
        PendingRequest { id, request, attempts: 0, in_flight: 0, finished: false, last_outcome: None }
    }

    /// Returns the driver's id.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// Returns the request as passed to the scheduler.
    pub(crate) fn request(&self) -> &Request {
        &self.request
    }

    /// Returns the request as passed to the scheduler, for changes of its shard or batch.
    pub(crate) fn request_mut(&mut self) -> &mut Request {
        &mut self.request
    }

    /// Returns whether the request has its final answer or its client has disconnected.
    pub(crate) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether the request has neither its final answer nor an attempt in flight.
    pub(crate) fn is_queued(&self) -> bool {
        !self.finished && self.in_flight == 0
    }

    /// Returns whether an attempt of this number was ever started.
    pub(crate) fn has_begun(&self, attempt: u32) -> bool {
        attempt < self.attempts
    }

    /// Returns the reason to report if the host ends the request now.
    pub(crate) fn reason(&self) -> Reason {
        self.last_outcome.map_or(Reason::NoAttempt, Reason::After)
    }

    /// Counts and returns a new attempt.
    pub(crate) fn begin_attempt(&mut self, timeout: Ms, send_by: Ms) -> AttemptRef {
        assert!(!self.finished, "an attempt of request {}, which is finished", self.id);
        self.attempts += 1;
        self.in_flight += 1;
        AttemptRef { request_id: self.id, attempt: self.attempts - 1, timeout, send_by }
    }

    /// Counts the outcome of an attempt; `finishes` is true if the outcome is the final answer of the request.
    /// Returns whether the request is finished.
    pub(crate) fn end_attempt(&mut self, outcome: Outcome, finishes: bool) -> bool {
        assert!(self.in_flight > 0, "an outcome for request {}, which has no attempt in flight", self.id);
        self.in_flight -= 1;
        self.finished |= finishes;
        self.last_outcome = Some(outcome);
        self.finished
    }

    /// Marks the request as finished.
    pub(crate) fn finish(&mut self) {
        assert!(!self.finished, "a second final answer for request {}", self.id);
        self.finished = true;
    }
}

/// Pending requests by slot; a slot is reused when its request has been released.
#[derive(Default)]
pub(crate) struct RequestTable {
    slots: Vec<Option<PendingRequest>>,
    free_slots: Vec<usize>,
    slot_of_id: HashMap<u64, usize>,
}

impl RequestTable {
    /// Returns the number of requests that are not released.
    pub(crate) fn len(&self) -> usize {
        self.slot_of_id.len()
    }

    /// Adds a request and returns its slot.
    pub(crate) fn insert(&mut self, id: u64, request: Request) -> usize {
        let slot = self.free_slots.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        let previous = self.slot_of_id.insert(id, slot);
        assert!(previous.is_none(), "request {id} was submitted twice");
        self.slots[slot] = Some(PendingRequest::new(id, request));
        slot
    }

    /// Returns the slot of a request that is not released.
    pub(crate) fn slot_of(&self, id: u64) -> Option<usize> {
        self.slot_of_id.get(&id).copied()
    }

    /// Returns the request in a slot.
    pub(crate) fn get(&self, slot: usize) -> Option<&PendingRequest> {
        self.slots[slot].as_ref()
    }

    /// Returns the request in a slot for modification.
    pub(crate) fn get_mut(&mut self, slot: usize) -> Option<&mut PendingRequest> {
        self.slots[slot].as_mut()
    }

    /// Frees a slot if its request is finished and has no attempt in flight.
    pub(crate) fn release(&mut self, slot: usize) {
        if let Some(pending) = self.slots[slot].take_if(|p| p.finished && p.in_flight == 0) {
            self.slot_of_id.remove(&pending.id);
            self.free_slots.push(slot);
        }
    }
}
