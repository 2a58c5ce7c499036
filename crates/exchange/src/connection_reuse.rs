//! Rules for when a connection to an endpoint may carry another exchange.

use crate::{Ms, ResponseDigest};
use std::collections::BTreeMap;

/// Minimum idle time of a connection before it is reused: twice the network delay that the platform's
/// protocol allows, to cover a duplicate that an endpoint writes late and the time of its transfer.
const MIN_IDLE_MS: Ms = 100.0;
/// Factor from the lateness of unsolicited bytes to the required idle time of connections.
const IDLE_PER_LATENESS: f64 = 4.0;
/// Maximum lateness of bytes from which an idle time is derived, and maximum of that time. Bytes that arrive
/// later belong to no exchange: some endpoints write data when they close an idle connection.
const MAX_LEARNED_IDLE_MS: Ms = 1000.0;
/// Status of a response after which the connection may be reused.
const STATUS_OK: u16 = 200;

/// Connections to an endpoint are not reused after its first unsolicited bytes until this number of exchanges
/// has completed or this time has passed. Both limits double with each further violation, up to a bound.
const FIRST_RESTRICTION_EXCHANGES: u32 = 64;
const FIRST_RESTRICTION_MS: Ms = 10_000.0;
const MAX_RESTRICTION_DOUBLINGS: u32 = 6;

/// A response that may be a duplicate, judged by its content alone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SuspectedDuplicate {
    digest: ResponseDigest,
    idle_ms: Ms,
}

/// State of an endpoint whose connections are not reused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ReuseRestriction {
    /// Number of exchanges until connections are reused, and the time from which they are reused in any case.
    exchanges_left: u32,
    until: Ms,
    /// Number of times that the endpoint sent unsolicited bytes or an unexplained duplicate.
    violations: u32,
    suspicion: Option<SuspectedDuplicate>,
}

impl ReuseRestriction {
    fn has_ended(&self) -> bool {
        self.exchanges_left == 0 && self.suspicion.is_none()
    }

    /// Ends the restriction after enough exchanges or time without a violation. A suspected duplicate that is
    /// still unexplained counts as a late duplicate.
    fn end(&mut self, learned_idle: &mut Ms) {
        self.exchanges_left = 0;
        if let Some(suspicion) = self.suspicion.take() {
            self.violations += 1;
            let idle = required_idle(suspicion.idle_ms).unwrap_or(MIN_IDLE_MS);
            *learned_idle = learned_idle.max(idle);
        }
    }
}

/// Decides which connections may be reused, from the past behaviour of their endpoints. HTTP/1.1 offers no
/// proof that no bytes of an exchange are still in transit. A connection is therefore reused only after an
/// idle time without incoming bytes, and an endpoint that sent unsolicited bytes gets a new connection for
/// each exchange until a number of exchanges have completed without a violation.
#[derive(Clone, Debug)]
pub struct ConnectionReusePolicy {
    now: Ms,
    learned_idle: Ms,
    restrictions: BTreeMap<u32, ReuseRestriction>,
}

impl Default for ConnectionReusePolicy {
    fn default() -> ConnectionReusePolicy {
        ConnectionReusePolicy { now: 0.0, learned_idle: MIN_IDLE_MS, restrictions: BTreeMap::new() }
    }
}

impl ConnectionReusePolicy {
    /// Advances the time and ends the restrictions that have expired.
    pub fn advance(&mut self, now: Ms) {
        self.now = now;
        let learned_idle = &mut self.learned_idle;
        for restriction in self.restrictions.values_mut().filter(|restriction| now >= restriction.until) {
            restriction.end(learned_idle);
        }
    }

    /// Returns the time that a connection must be idle before it is reused.
    pub fn min_idle(&self) -> Ms {
        let suspicions = self.restrictions.values().filter_map(|restriction| restriction.suspicion);
        let suspected = suspicions.filter_map(|suspicion| required_idle(suspicion.idle_ms));
        suspected.fold(self.learned_idle, f64::max)
    }

    /// Returns whether a connection to this endpoint may carry another exchange after a response with this
    /// status. A duplicate of a rejection is indistinguishable from the next rejection and would be taken as
    /// proof that the request did not run.
    pub fn may_reuse(&self, endpoint: u32, status: u16) -> bool {
        status == STATUS_OK && self.restrictions.get(&endpoint).is_none_or(ReuseRestriction::has_ended)
    }

    /// Returns whether an endpoint has ever sent unsolicited bytes or an unexplained duplicate.
    pub fn has_sent_unsolicited_bytes(&self, endpoint: u32) -> bool {
        self.restrictions.get(&endpoint).is_some_and(|restriction| restriction.violations > 0)
    }

    /// Records bytes that arrived outside an exchange, `idle_ms` after the last exchange on their connection
    /// ended.
    pub fn on_unsolicited_bytes(&mut self, endpoint: u32, idle_ms: Ms) {
        let restriction = self.restrictions.entry(endpoint).or_default();
        let doublings = restriction.violations.min(MAX_RESTRICTION_DOUBLINGS);
        restriction.exchanges_left = FIRST_RESTRICTION_EXCHANGES << doublings;
        restriction.until = self.now + FIRST_RESTRICTION_MS * f64::from(1u32 << doublings);
        restriction.violations += 1;
        if let Some(idle) = required_idle(idle_ms) {
            self.learned_idle = self.learned_idle.max(idle);
        }
    }

    /// Records a response that equals an earlier one on its connection and may therefore be a duplicate.
    pub fn on_suspected_copy(&mut self, endpoint: u32, digest: ResponseDigest, idle_ms: Ms) {
        let restriction = self.restrictions.entry(endpoint).or_default();
        restriction.exchanges_left = restriction.exchanges_left.max(FIRST_RESTRICTION_EXCHANGES);
        restriction.until = restriction.until.max(self.now + FIRST_RESTRICTION_MS);
        restriction.suspicion = Some(SuspectedDuplicate { digest, idle_ms });
    }

    /// Clears suspicions that are based only on this response, as different requests receive it.
    pub fn on_common_response(&mut self, digest: ResponseDigest) {
        for restriction in self.restrictions.values_mut() {
            if restriction.suspicion.take_if(|suspicion| suspicion.digest == digest).is_some()
                && restriction.violations == 0
            {
                restriction.exchanges_left = 0;
            }
        }
    }

    /// Records an exchange that ended with its own response and no trailing bytes.
    pub fn on_exchange(&mut self, endpoint: u32) {
        let Some(restriction) = self.restrictions.get_mut(&endpoint) else { return };
        restriction.exchanges_left = restriction.exchanges_left.saturating_sub(1);
        if restriction.exchanges_left == 0 {
            restriction.end(&mut self.learned_idle);
        }
    }

    /// Removes an endpoint that is no longer on the list.
    pub fn remove_endpoint(&mut self, endpoint: u32) {
        self.restrictions.remove(&endpoint);
    }
}

/// Returns the idle time that connections require after bytes arrived with this lateness; none where the
/// bytes belong to no exchange.
fn required_idle(lateness: Ms) -> Option<Ms> {
    (lateness < MAX_LEARNED_IDLE_MS).then(|| (lateness * IDLE_PER_LATENESS).min(MAX_LEARNED_IDLE_MS))
}

#[cfg(test)]
mod tests;
