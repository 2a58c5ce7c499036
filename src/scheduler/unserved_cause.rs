//! Cause for which a request ends unserved, for logs and counters.

use super::pending_request::{PendingRequest, RequestState};
use super::Scheduler;
use crate::types::{Ms, UnservedCause};

impl Scheduler {
    /// Returns what a request that ends now without an answer of a node was waiting for.
    pub(super) fn unserved_cause(&self, now: Ms, id: usize, pending: &PendingRequest) -> UnservedCause {
        if pending.attempts > 0 {
            return UnservedCause::AttemptFailed;
        }
        if now >= pending.deadline {
            return UnservedCause::DeadlineExpired;
        }
        if pending.is_retry_by_guess {
            return UnservedCause::RetryGuess;
        }
        if self.endpoint_list_expired {
            return UnservedCause::EndpointListExpired;
        }
        if matches!(pending.state, RequestState::Queued(_)) {
            return UnservedCause::Overloaded;
        }
        self.cause_of_block(id, pending)
    }

    /// Returns why a request has not entered the queue of a node.
    fn cause_of_block(&self, id: usize, pending: &PendingRequest) -> UnservedCause {
        let request = &pending.request;
        if request.shard.is_some_and(|shard| self.select_node(shard).is_none()) {
            return UnservedCause::NoEndpoint;
        }
        let holder = self.ordering_key(request).and_then(|key| self.key_locks.holder(key));
        if holder.is_some_and(|(holder, _)| holder != id) {
            return UnservedCause::KeyBusy;
        }
        if self.config.policies[request.policy].limit_rate > 0.0 && !pending.has_tokens {
            return UnservedCause::RateLimited;
        }
        UnservedCause::Overloaded
    }
}
