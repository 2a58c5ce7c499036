//! Requests of one key of an ordered class run one after the other, in the order of arrival.

use super::Scheduler;
use crate::types::{Ms, Outcome, Request};

/// Whether the attempt may still run after this outcome.
fn may_still_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
}

impl Scheduler {
    /// The key by which a request is ordered.
    pub(super) fn ordering_key(&self, request: &Request) -> Option<usize> {
        request.key.filter(|_| self.config.classes[request.class].ordered)
    }

    /// Keeps the key of a request quiet after an attempt that may still run. A round is added, as the
    /// attempt may have been sent that much later than the scheduler said.
    pub(super) fn keep_key_quiet(&mut self, now: Ms, id: usize, outcome: Outcome) {
        let request = self.requests.get(id).map(|pending| &pending.request);
        let key = request.and_then(|request| self.ordering_key(request));
        if let Some(key) = key.filter(|_| may_still_run(outcome)) {
            let until = now + self.config.ordering_quiet_period + self.config.action_interval;
            self.key_locks.set_quiet_until(key, until);
        }
    }

    /// A request is over: the next one of its key may go on.
    pub(super) fn release_key(&mut self, now: Ms, id: usize, request: &Request) {
        let Some(key) = self.ordering_key(request) else { return };
        if let Some(next) = self.key_locks.remove(now, key, id) {
            self.wake(next);
        }
    }
}
