//! Attempts in flight at one node.

use crate::types::Ms;

/// Attempt in flight.
pub(super) struct InFlightAttempt {
    pub request: usize,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    pub sent_at: Ms,
    /// Least time without any answer after which the node may be considered unresponsive.
    pub response_timeout: Ms,
    /// Expected latency of the attempt at a node without load.
    pub unloaded_latency: Ms,
    /// Batch that the attempt was sent in.
    pub batch: u64,
    /// Units of all attempts of the batch.
    pub batch_units: f64,
    /// Number of later attempts that were answered before this one.
    pub overtaken_by: u32,
    pub cancelled: bool,
}

/// Attempts in flight at one node, the oldest first.
#[derive(Default)]
pub(super) struct InFlightAttempts {
    attempts: Vec<InFlightAttempt>,
    /// Number of later answers that make an attempt doubtful; a doubtful attempt occupies no slot.
    doubtful_after: u32,
}

impl InFlightAttempts {
    /// Creates an empty list.
    pub(super) fn new(doubtful_after: u32) -> InFlightAttempts {
        InFlightAttempts { attempts: Vec::new(), doubtful_after }
    }

    /// Sets the number of later answers that make an attempt doubtful.
    pub(super) fn set_doubtful_after(&mut self, answers: u32) {
        self.doubtful_after = answers;
    }

    /// Returns whether enough later answers were received to make the attempt doubtful.
    pub(super) fn is_doubtful(&self, attempt: &InFlightAttempt) -> bool {
        attempt.overtaken_by >= self.doubtful_after
    }

    /// Returns whether no attempt is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the attempts, the oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.attempts.iter()
    }

    /// Returns the attempt that was sent first.
    pub(super) fn oldest(&self) -> Option<&InFlightAttempt> {
        self.attempts.first()
    }

    /// Returns the most recently sent attempt.
    pub(super) fn newest(&self) -> Option<&InFlightAttempt> {
        self.attempts.last()
    }

    /// Returns the number of occupied slots of the window: a batch occupies one slot until its last
    /// attempt ends.
    pub(super) fn occupied_slots(&self) -> f64 {
        let mut last_batch = 0;
        let certain = self.attempts.iter().filter(|attempt| !self.is_doubtful(attempt));
        certain.filter(|attempt| std::mem::replace(&mut last_batch, attempt.batch) != attempt.batch).count()
            as f64
    }

    /// Adds an attempt that is sent now.
    pub(super) fn push(&mut self, attempt: InFlightAttempt) {
        self.attempts.push(attempt);
    }

    /// Adds the units of the newest attempt to those of the batch that it was sent in, whose first
    /// request is `first`.
    pub(super) fn join_batch(&mut self, first: usize) {
        let Some((batch, units)) = self.newest().map(|newest| (newest.batch, newest.batch_units)) else {
            return;
        };
        let leader = self.attempts.iter().rev().find(|attempt| attempt.request == first);
        let total_units = units + leader.map_or(0.0, |leader| leader.batch_units);
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.batch == batch) {
            attempt.batch_units = total_units;
        }
    }

    /// Returns the position of the attempt of a request, counted from the oldest.
    pub(super) fn position(&self, request: usize) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.request == request)
    }

    /// Removes an attempt.
    pub(super) fn remove(&mut self, position: usize) -> InFlightAttempt {
        self.attempts.remove(position)
    }

    /// Records that an answered attempt has overtaken the attempts that were sent before it.
    pub(super) fn overtake_older_than(&mut self, position: usize) {
        for attempt in &mut self.attempts[..position] {
            attempt.overtaken_by += 1;
        }
    }

    /// Records that answers, to this or other hosts, have overtaken the attempts that were sent before
    /// `sent_at`.
    pub(super) fn overtake_sent_before(&mut self, sent_at: Ms, answers: u32) {
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.sent_at < sent_at) {
            attempt.overtaken_by += answers;
        }
    }

    /// Marks the attempt of a request whose client has disconnected as overdue, so that it occupies no
    /// slot.
    pub(super) fn abandon(&mut self, request: usize, overtaken_by: u32) {
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.request == request) {
            (attempt.sent_at, attempt.overtaken_by) = (f64::NEG_INFINITY, overtaken_by);
        }
    }

    /// Marks an attempt as cancelled.
    pub(super) fn mark_cancelled(&mut self, position: usize) -> &InFlightAttempt {
        self.attempts[position].cancelled = true;
        &self.attempts[position]
    }
}
