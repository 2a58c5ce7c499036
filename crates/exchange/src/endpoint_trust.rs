//! When a connection to a server may carry another exchange.

use crate::Ms;
use std::collections::BTreeSet;

/// How long a connection rests before it is used again: twice the time that the platform's protocol allows the network
/// in every limit, for a copy that a server writes late and for its way.
const MIN_IDLE_MS: Ms = 100.0;
/// Once bytes came late, all connections rest this many times as long as those did.
const IDLE_PER_LATENESS: Ms = 4.0;
/// The longest rest that is learned so. What comes later than that belongs to no exchange: servers were met that say
/// something when they end a connection that rested.
const MAX_LEARNED_IDLE_MS: Ms = 1000.0;
/// An answer with this status ends an exchange in the ordinary way.
const STATUS_OK: u16 = 200;

/// What a host has learned of its endpoints. No word of HTTP/1.1 proves that nothing of an exchange is still on its
/// way, so a connection is used again only after a rest in which nothing came, and an endpoint that ever sent more
/// than it was asked for gets a new connection for each exchange.
///
/// Guards against late copies of answers and noise that would be read as the next answer; it could harm where
/// connections are dear: endpoints that send more than they should cost a connection for each exchange.
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
    /// How long a connection has to rest before it is used again.
    pub fn min_idle(&self) -> Ms {
        self.min_idle
    }

    /// Whether a connection to this endpoint may carry another exchange after one that ended with this status.
    pub fn may_reuse(&self, endpoint: u32, status: u16) -> bool {
        // A copy of a refusal cannot be told from the next refusal, and would be consumed for a proof that nothing ran.
        status == STATUS_OK && !self.untrusted.contains(&endpoint)
    }

    /// Bytes came from an endpoint outside an exchange, so long after the last one on their connection ended.
    pub fn on_unsolicited_bytes(&mut self, endpoint: u32, idle_ms: Ms) {
        self.untrusted.insert(endpoint);
        if idle_ms < MAX_LEARNED_IDLE_MS {
            self.min_idle = self.min_idle.max((idle_ms * IDLE_PER_LATENESS).min(MAX_LEARNED_IDLE_MS));
        }
    }

    /// The endpoint has left the list.
    pub fn forget(&mut self, endpoint: u32) {
        self.untrusted.remove(&endpoint);
    }
}

#[cfg(test)]
mod tests;
