//! Expiry of the endpoint list of a host.
//!
//! A change of the list binds every host some time after the discovery service has received the change,
//! whether or not the host has. A host therefore relies on its list only as long as no change that it has
//! not received can bind it, and longer only if the service itself is down: a change that reaches no host
//! binds none.

use crate::types::Ms;

/// Rules of the deployment on the time at which a change binds a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreshnessRules {
    /// Time from the receipt of a change by the service until the change binds hosts.
    pub binding_delay: Ms,
    /// Time from a reload until every change that the service received before the reload binds the host.
    pub binding_delay_after_reload: Ms,
    /// Longest stall of the process between reading its clock and sending an attempt.
    pub max_stall: Ms,
    /// True if the service is the host's own agent, which does not respond when its own source is down.
    pub unresponsive_when_down: bool,
}

/// Failure of a call to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The network or the service's machine reported that the service is unreachable.
    Unreachable,
    /// The connection was not established in time.
    ConnectTimedOut,
    /// Lack of sockets, ports or memory on this host.
    LocalResources,
    /// The connection ended before any part of an answer was received.
    ConnectionLost,
    /// The service answered with a rejection.
    Rejected,
    /// The service rejected the call immediately, which means that the service is running and overloaded.
    Overloaded,
    /// The connection was established, but no answer was received.
    NoAnswer,
    /// The answer is malformed or does not follow the known generation.
    InvalidAnswer,
}

impl CallFailure {
    /// Returns whether this failure occurs only with a running service.
    fn proves_service_up(self) -> bool {
        matches!(self, CallFailure::Overloaded | CallFailure::InvalidAnswer)
    }
}

/// Validity of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validity {
    /// No change that the host has not received can bind it yet.
    Valid,
    /// The list is old, and the service is down and can notify no host of a change.
    ServiceDown,
    /// A change that the host has not received may bind it: no new request may be sent by this list.
    Expired,
}

/// Age of the endpoint list, and the state of its service since the list was last confirmed.
#[derive(Clone, Debug)]
pub struct Freshness {
    rules: FreshnessRules,
    /// Time at which the list was complete.
    confirmed_at: Ms,
    /// Times at which the configuration was replaced since then; the first one determines expiry.
    reloads: Vec<Ms>,
    last_failure: Option<CallFailure>,
    was_service_up: bool,
}

impl Freshness {
    /// Creates the state of a host that starts with a list complete at `confirmed_at`.
    pub fn new(rules: FreshnessRules, confirmed_at: Ms) -> Freshness {
        Freshness { rules, confirmed_at, reloads: Vec::new(), last_failure: None, was_service_up: false }
    }

    /// Records that an answer of a former address was applied, complete as of `as_of`. The service may
    /// have moved to another address, so the expiry due to a reload remains.
    pub fn confirmed_by_former(&mut self, as_of: Ms) {
        self.confirmed_at = self.confirmed_at.max(as_of);
    }

    /// Records that an answer was applied that contains all changes of the service as of `as_of`.
    pub fn confirmed(&mut self, as_of: Ms) {
        if as_of < self.confirmed_at {
            return;
        }
        self.confirmed_at = as_of;
        self.reloads.retain(|reload| *reload > as_of);
        (self.last_failure, self.was_service_up) = (None, false);
    }

    /// Records that the configuration was replaced: the service or its address may have changed.
    pub fn reloaded(&mut self, now: Ms) {
        self.reloads.push(now);
        self.last_failure = None;
    }

    /// Records a failed call.
    pub fn failed(&mut self, failure: CallFailure) {
        self.last_failure = Some(failure);
        self.was_service_up |= failure.proves_service_up();
    }

    /// Returns the greatest possible age of the list.
    pub fn age(&self, now: Ms) -> Ms {
        now - self.confirmed_at
    }

    /// Returns the earliest time at which a change that the host has not received may bind it.
    pub fn expires_at(&self) -> Ms {
        let by_age = self.confirmed_at + self.rules.binding_delay;
        let by_reload = self
            .reloads
            .first()
            .map_or(f64::INFINITY, |reload| reload + self.rules.binding_delay_after_reload);
        by_age.min(by_reload) - self.rules.max_stall
    }

    /// Returns the validity of the list.
    pub fn validity(&self, now: Ms) -> Validity {
        if now < self.expires_at() {
            return Validity::Valid;
        }
        match self.service_down() {
            true => Validity::ServiceDown,
            false => Validity::Expired,
        }
    }

    /// Returns whether all observations since the list was confirmed indicate that the service is down.
    /// Guards against hosts that serve no requests during an outage of the service, when no change can
    /// bind them; may use an outdated list where a running service breaks every call for as long as a
    /// change takes to bind.
    fn service_down(&self) -> bool {
        if self.was_service_up {
            return false;
        }
        match self.last_failure {
            Some(CallFailure::Unreachable) => true,
            // After a reload these failures may also mean overload, as the operator has configured a
            // service at the new address.
            Some(CallFailure::ConnectTimedOut | CallFailure::ConnectionLost | CallFailure::Rejected) => {
                self.reloads.is_empty() || self.rules.unresponsive_when_down
            }
            Some(CallFailure::NoAnswer) => self.rules.unresponsive_when_down,
            Some(CallFailure::LocalResources | CallFailure::Overloaded | CallFailure::InvalidAnswer)
            | None => false,
        }
    }
}
