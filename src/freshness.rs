//! Until when a host may rely on the endpoint list that it has.
//!
//! A change of the list binds every host some time after the discovery service had it, whether or not it
//! reached the host. So a host relies on its list only as long as no change that it was not notified of can
//! bind it, and no longer than that unless the service itself is down: a change that nobody can be notified
//! of binds nobody.

use crate::types::Ms;

/// The rules of the deployment on when a change binds a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreshnessRules {
    /// How long after the service had it.
    pub binding_delay: Ms,
    /// How long after a reload, whatever the service had before it.
    pub binding_delay_after_reload: Ms,
    /// How long the process may stall between reading its clock and sending an attempt.
    pub max_stall: Ms,
    /// The service is the host's own agent, which does not respond when it has nothing behind it.
    pub unresponsive_when_down: bool,
}

/// How a call to the discovery service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The network or the service's machine reported that it cannot be reached.
    Unreachable,
    /// The connection was not established in time.
    ConnectTimedOut,
    /// This host had no socket, port or memory to call with.
    LocalResources,
    /// The connection ended before any of an answer came.
    ConnectionLost,
    /// The service answered that it cannot serve the call.
    Rejected,
    /// It did so at once: it is up, and overloaded.
    Overloaded,
    /// The connection is established and no answer comes.
    NoAnswer,
    /// The answer is malformed or does not follow what is known.
    InvalidAnswer,
}

impl CallFailure {
    /// Whether only a service that is up can fail so.
    fn shows_service_up(self) -> bool {
        matches!(self, CallFailure::Overloaded | CallFailure::InvalidAnswer)
    }
}

/// Whether the list may be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validity {
    /// No change that the host was not notified of can bind it yet.
    Valid,
    /// The list is old, and the service is down: nobody can be notified of a change.
    ServiceDown,
    /// A change may bind the host that it was not notified of: nothing new may be sent by this list.
    Expired,
}

/// The age of the endpoint list, and what is known of its service since it was last confirmed.
#[derive(Clone, Debug)]
pub struct Freshness {
    rules: FreshnessRules,
    /// The list was complete at this time.
    confirmed_at: Ms,
    /// When the configuration was replaced since then; the first is the one that binds.
    reloads: Vec<Ms>,
    last_failure: Option<CallFailure>,
    service_seen_up: bool,
}

impl Freshness {
    /// `confirmed_at`: as of when what the host starts with counts as complete.
    pub fn new(rules: FreshnessRules, confirmed_at: Ms) -> Freshness {
        Freshness { rules, confirmed_at, reloads: Vec::new(), last_failure: None, service_seen_up: false }
    }

    /// An answer of a former address was applied, complete as of that time. The service may have moved
    /// elsewhere: what a reload binds stays bound.
    pub fn confirmed_by_former(&mut self, as_of: Ms) {
        self.confirmed_at = self.confirmed_at.max(as_of);
    }

    /// An answer was applied that has all changes that the service had at `as_of`.
    pub fn confirmed(&mut self, as_of: Ms) {
        if as_of < self.confirmed_at {
            return;
        }
        self.confirmed_at = as_of;
        self.reloads.retain(|at| *at > as_of);
        (self.last_failure, self.service_seen_up) = (None, false);
    }

    /// The configuration was replaced: from then on the service may be another, or at another address.
    pub fn reloaded(&mut self, now: Ms) {
        self.reloads.push(now);
        self.last_failure = None;
    }

    /// A call failed.
    pub fn failed(&mut self, failure: CallFailure) {
        self.last_failure = Some(failure);
        self.service_seen_up |= failure.shows_service_up();
    }

    /// How old the list may be.
    pub fn age(&self, now: Ms) -> Ms {
        now - self.confirmed_at
    }

    /// From when on a change may bind the host that it was not notified of.
    pub fn expires_at(&self) -> Ms {
        let by_age = self.confirmed_at + self.rules.binding_delay;
        let by_reload =
            self.reloads.first().map_or(f64::INFINITY, |at| at + self.rules.binding_delay_after_reload);
        by_age.min(by_reload) - self.rules.max_stall
    }

    /// Whether the list may be relied on now.
    pub fn validity(&self, now: Ms) -> Validity {
        if now < self.expires_at() {
            return Validity::Valid;
        }
        match self.service_down() {
            true => Validity::ServiceDown,
            false => Validity::Expired,
        }
    }

    /// Whether all that was seen since the list was confirmed indicates that the service is down. Guards
    /// against hosts that serve nobody through an outage of the service, in which no change can bind them.
    /// It may hurt where a service that is up breaks every call for as long as a change takes to bind.
    fn service_down(&self) -> bool {
        if self.service_seen_up {
            return false;
        }
        match self.last_failure {
            Some(CallFailure::Unreachable) => true,
            // After a reload the service may as well be overloaded, and the operator says that it is there.
            Some(CallFailure::ConnectTimedOut | CallFailure::ConnectionLost | CallFailure::Rejected) => {
                self.reloads.is_empty() || self.rules.unresponsive_when_down
            }
            Some(CallFailure::NoAnswer) => self.rules.unresponsive_when_down,
            Some(CallFailure::LocalResources | CallFailure::Overloaded | CallFailure::InvalidAnswer)
            | None => false,
        }
    }
}
