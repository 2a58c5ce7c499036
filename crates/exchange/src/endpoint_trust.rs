//! When a connection to an endpoint may carry another exchange.

use crate::{Ms, ResponseDigest};
use std::collections::BTreeMap;

/// How long a connection must be idle before it is used again: twice what the platform's protocol allows the network,
/// for a copy that an endpoint writes late and for its way.
const MIN_IDLE_MS: Ms = 100.0;
/// Once bytes arrived late, connections must be idle for so many times as long as those were late.
const IDLE_PER_LATENESS: f64 = 4.0;
/// The longest idle time that is learned in this way. What arrives later belongs to no exchange: some endpoints write
/// something when they close an idle connection.
const MAX_LEARNED_IDLE_MS: Ms = 1000.0;
/// A response with this status ends an exchange in the ordinary way.
const STATUS_OK: u16 = 200;

/// Exchanges, or the time, after which an endpoint is trusted again that sent more than was requested for the first
/// time; each further time it takes twice as long, up to a bound.
const FIRST_DISTRUST_EXCHANGES: u32 = 64;
const FIRST_DISTRUST_MS: Ms = 10_000.0;
const MAX_DISTRUST_DOUBLINGS: u32 = 6;

/// A response that may be a copy, by its content alone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SuspectedCopy {
    digest: ResponseDigest,
    idle_ms: Ms,
}

/// Why and for how long an endpoint is not trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Distrust {
    /// Exchanges until it is trusted again, and when it is at the latest.
    exchanges_left: u32,
    until: Ms,
    /// How often it sent more than was requested.
    offences: u32,
    suspicion: Option<SuspectedCopy>,
}

impl Distrust {
    fn is_over(&self) -> bool {
        self.exchanges_left == 0 && self.suspicion.is_none()
    }

    /// The endpoint has behaved for long enough. A suspicion that nothing has explained counts as a copy that was late.
    fn end(&mut self, learned_idle: &mut Ms) {
        self.exchanges_left = 0;
        if let Some(suspicion) = self.suspicion.take() {
            self.offences += 1;
            let idle = idle_after(suspicion.idle_ms).unwrap_or(MIN_IDLE_MS);
            *learned_idle = learned_idle.max(idle);
        }
    }
}

/// What a host has learned of its endpoints. Nothing in HTTP/1.1 proves that nothing of an exchange is still on its
/// way, so a connection is used again only after an idle time in which nothing arrived, and an endpoint that sent more
/// than was requested gets a new connection for each exchange until it has behaved for a number of them.
#[derive(Clone, Debug)]
pub struct ConnectionReusePolicy {
    now: Ms,
    learned_idle: Ms,
    distrusted: BTreeMap<u32, Distrust>,
}

impl Default for ConnectionReusePolicy {
    fn default() -> ConnectionReusePolicy {
        ConnectionReusePolicy { now: 0.0, learned_idle: MIN_IDLE_MS, distrusted: BTreeMap::new() }
    }
}

impl ConnectionReusePolicy {
    /// Time advances: endpoints that have behaved for long enough are trusted again.
    pub fn advance(&mut self, now: Ms) {
        self.now = now;
        let learned_idle = &mut self.learned_idle;
        for distrust in self.distrusted.values_mut().filter(|distrust| now >= distrust.until) {
            distrust.end(learned_idle);
        }
    }

    /// How long a connection must be idle before it is used again.
    pub fn min_idle(&self) -> Ms {
        let suspicions = self.distrusted.values().filter_map(|distrust| distrust.suspicion);
        let suspected = suspicions.filter_map(|suspicion| idle_after(suspicion.idle_ms));
        suspected.fold(self.learned_idle, f64::max)
    }

    /// Whether a connection to this endpoint may carry another exchange after a response with this status. A copy of a
    /// refusal cannot be told from the next refusal, and would be taken for a proof that nothing was run.
    pub fn may_reuse(&self, endpoint: u32, status: u16) -> bool {
        status == STATUS_OK && self.distrusted.get(&endpoint).is_none_or(Distrust::is_over)
    }

    /// Whether an endpoint ever sent more than was requested.
    pub fn has_sent_unsolicited_bytes(&self, endpoint: u32) -> bool {
        self.distrusted.get(&endpoint).is_some_and(|distrust| distrust.offences > 0)
    }

    /// Bytes arrived from an endpoint outside an exchange, so long after the last one on their connection ended.
    pub fn on_unsolicited_bytes(&mut self, endpoint: u32, idle_ms: Ms) {
        let distrust = self.distrusted.entry(endpoint).or_default();
        let doublings = distrust.offences.min(MAX_DISTRUST_DOUBLINGS);
        distrust.exchanges_left = FIRST_DISTRUST_EXCHANGES << doublings;
        distrust.until = self.now + FIRST_DISTRUST_MS * f64::from(1u32 << doublings);
        distrust.offences += 1;
        if let Some(idle) = idle_after(idle_ms) {
            self.learned_idle = self.learned_idle.max(idle);
        }
    }

    /// A response that is the same as an earlier one on its connection may be a copy of it.
    pub fn on_suspected_copy(&mut self, endpoint: u32, digest: ResponseDigest, idle_ms: Ms) {
        let distrust = self.distrusted.entry(endpoint).or_default();
        distrust.exchanges_left = distrust.exchanges_left.max(FIRST_DISTRUST_EXCHANGES);
        distrust.until = distrust.until.max(self.now + FIRST_DISTRUST_MS);
        distrust.suspicion = Some(SuspectedCopy { digest, idle_ms });
    }

    /// Different requests are given this response: what was suspected for its sake alone was none.
    pub fn on_common_response(&mut self, digest: ResponseDigest) {
        for distrust in self.distrusted.values_mut() {
            if distrust.suspicion.take_if(|suspicion| suspicion.digest == digest).is_some()
                && distrust.offences == 0
            {
                distrust.exchanges_left = 0;
            }
        }
    }

    /// An exchange with an endpoint ended with a response of its own and nothing behind it.
    pub fn on_exchange(&mut self, endpoint: u32) {
        let Some(distrust) = self.distrusted.get_mut(&endpoint) else { return };
        distrust.exchanges_left = distrust.exchanges_left.saturating_sub(1);
        if distrust.exchanges_left == 0 {
            distrust.end(&mut self.learned_idle);
        }
    }

    /// The endpoint has left the list.
    pub fn remove_endpoint(&mut self, endpoint: u32) {
        self.distrusted.remove(&endpoint);
    }
}

/// How long connections must be idle where bytes arrived so late; none where these belong to no exchange.
fn idle_after(lateness: Ms) -> Option<Ms> {
    (lateness < MAX_LEARNED_IDLE_MS).then(|| (lateness * IDLE_PER_LATENESS).min(MAX_LEARNED_IDLE_MS))
}

#[cfg(test)]
mod tests;
