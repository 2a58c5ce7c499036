//! When a connection to an endpoint may carry another exchange.

use crate::Ms;
use std::collections::BTreeSet;

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

/// What a host has learned of its endpoints. Nothing in HTTP/1.1 proves that nothing of an exchange is still on its
/// way, so a connection is used again only after an idle time in which nothing arrived, and an endpoint that ever sent
/// more than was requested gets a new connection for each exchange.
#[derive(Clone, Debug)]
pub struct EndpointTrust {
    min_idle: Ms,
    untrusted: BTreeSet<u32>,
}

impl Default for EndpointTrust {
    fn default() -> EndpointTrust {
        EndpointTrust { min_idle: MIN_IDLE_MS, untrusted: BTreeSet::new() }
    }
}

impl EndpointTrust {
    /// How long a connection must be idle before it is used again.
    pub fn min_idle(&self) -> Ms {
        self.min_idle
    }

    /// Whether a connection to this endpoint may carry another exchange after a response with this status. A copy of a
    /// refusal cannot be told from the next refusal, and would be taken for a proof that nothing was run.
    pub fn may_reuse(&self, endpoint: u32, status: u16) -> bool {
        status == STATUS_OK && !self.untrusted.contains(&endpoint)
    }

    /// Bytes arrived from an endpoint outside an exchange, so long after the last one on their connection ended.
    pub fn on_unsolicited_bytes(&mut self, endpoint: u32, idle_ms: Ms) {
        self.untrusted.insert(endpoint);
        if idle_ms < MAX_LEARNED_IDLE_MS {
            let learned = (idle_ms * IDLE_PER_LATENESS).min(MAX_LEARNED_IDLE_MS);
            self.min_idle = self.min_idle.max(learned);
        }
    }

    /// The endpoint has left the list.
    pub fn forget(&mut self, endpoint: u32) {
        self.untrusted.remove(&endpoint);
    }
}

#[cfg(test)]
mod tests;
