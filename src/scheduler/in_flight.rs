//! The attempts in flight at one node.

use crate::types::Ms;

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub request: usize,
    /// Its number, counted from 0.
    pub attempt: u32,
    pub sent_at: Ms,
    /// How long the node may take at least before it counts as unresponsive.
    pub response_timeout: Ms,
    /// The latency to expect of it at a node without load.
    pub unloaded_latency: Ms,
    /// The batch that it left with.
    pub batch: u64,
    /// The units of all that left with it.
    pub batch_units: f64,
    /// How many later attempts were answered before it.
    pub overtaken_by: u32,
    pub cancelled: bool,
}

/// The attempts in flight at one node, the oldest first.
#[derive(Default)]
pub(super) struct InFlightAttempts {
    attempts: Vec<InFlightAttempt>,
    /// How many later answers make an attempt doubtful; a doubtful one takes no slot.
    doubtful_after: u32,
}

impl InFlightAttempts {
    /// None in flight.
    pub(super) fn new(doubtful_after: u32) -> InFlightAttempts {
        InFlightAttempts { attempts: Vec::new(), doubtful_after }
    }

    /// Changes after how many later answers an attempt is doubtful.
    pub(super) fn set_doubtful_after(&mut self, answers: u32) {
        self.doubtful_after = answers;
    }

    /// Whether so many later answers came that the attempt's own is in doubt.
    pub(super) fn is_doubtful(&self, attempt: &InFlightAttempt) -> bool {
        attempt.overtaken_by >= self.doubtful_after
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// The attempts, the oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.attempts.iter()
    }

    /// The attempt that was sent first.
    pub(super) fn oldest(&self) -> Option<&InFlightAttempt> {
        self.attempts.first()
    }

    /// The attempt that was sent last.
    pub(super) fn newest(&self) -> Option<&InFlightAttempt> {
        self.attempts.last()
    }

    /// The slots of the window that are taken: one by all that left together, until the last of them ends.
    pub(super) fn occupied_slots(&self) -> f64 {
        let mut last_batch = 0;
        let certain = self.attempts.iter().filter(|attempt| !self.is_doubtful(attempt));
        certain.filter(|attempt| std::mem::replace(&mut last_batch, attempt.batch) != attempt.batch).count()
            as f64
    }

    /// Adds an attempt that leaves now.
    pub(super) fn push(&mut self, attempt: InFlightAttempt) {
        self.attempts.push(attempt);
    }

    /// Adds the units of the newest attempt to those of the batch that `first` leads and that it left with.
    pub(super) fn join_batch(&mut self, first: usize) {
        let Some((batch, units)) = self.newest().map(|newest| (newest.batch, newest.batch_units)) else {
            return;
        };
        let leader = self.attempts.iter().rev().find(|attempt| attempt.request == first);
        let all = units + leader.map_or(0.0, |leader| leader.batch_units);
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.batch == batch) {
            attempt.batch_units = all;
        }
    }

    /// Where the attempt of a request stands, counted from the oldest.
    pub(super) fn position(&self, request: usize) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.request == request)
    }

    /// Takes an attempt out.
    pub(super) fn remove(&mut self, position: usize) -> InFlightAttempt {
        self.attempts.remove(position)
    }

    /// An attempt was answered: those sent before it were overtaken.
    pub(super) fn overtake_older_than(&mut self, position: usize) {
        for attempt in &mut self.attempts[..position] {
            attempt.overtaken_by += 1;
        }
    }

    /// Answers came, here or to other hosts, to attempts sent at `sent_at`: older ones were overtaken.
    pub(super) fn overtake_sent_before(&mut self, sent_at: Ms, answers: u32) {
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.sent_at < sent_at) {
            attempt.overtaken_by += answers;
        }
    }

    /// Nobody waits for the answer of a request any more: its attempt is overdue and takes no slot.
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
