//! When a connection to a server may carry another exchange.

use crate::Ms;
use std::collections::BTreeSet;

/// How long a connection rests before it is used again: twice the time that the platform's protocol allows the network
/// in every limit, for a copy that a server writes late and for its way.
const QUIET: Ms = 100.0;
/// Once bytes came late, all connections rest this many times as long as those did.
const LATENESS_FACTOR: Ms = 4.0;
/// The longest rest that is learned so. What comes later than that belongs to no exchange: servers were met that say
/// something when they end a connection that rested.
const LONGEST_QUIET: Ms = 1000.0;
/// An answer with this status ends an exchange in the ordinary way.
const SERVED: u16 = 200;

/// What a host has learned of its endpoints. No word of HTTP/1.1 proves that nothing of an exchange is still on its
/// way, so a connection is used again only after a rest in which nothing came, and an endpoint that ever sent more
/// than it was asked for gets a new connection for each exchange.
///
/// Guards against late copies of answers and noise that would be read as the next answer; it could harm where
/// connections are dear: endpoints that send more than they should cost a connection for each exchange.
#[derive(Clone, Debug)]
pub struct EndpointTrust {
    quiet: Ms,
    distrusted: BTreeSet<u32>,
}

impl Default for EndpointTrust {
    fn default() -> EndpointTrust {
        EndpointTrust { quiet: QUIET, distrusted: BTreeSet::new() }
    }
}

impl EndpointTrust {
    /// How long a connection has to rest before it is used again.
    pub fn quiet(&self) -> Ms {
        self.quiet
    }

    /// Whether a connection to this endpoint may carry another exchange after one that ended with this status.
    pub fn may_reuse(&self, endpoint: u32, status: u16) -> bool {
        // A copy of a refusal cannot be told from the next refusal, and would be taken for a proof that nothing ran.
        status == SERVED && !self.distrusted.contains(&endpoint)
    }

    /// Bytes came from an endpoint outside an exchange, so long after the last one on their connection ended.
    pub fn unexpected(&mut self, endpoint: u32, rested: Ms) {
        self.distrusted.insert(endpoint);
        if rested < LONGEST_QUIET {
            self.quiet = self.quiet.max((rested * LATENESS_FACTOR).min(LONGEST_QUIET));
        }
    }

    /// The endpoint has left the list.
    pub fn forget(&mut self, endpoint: u32) {
        self.distrusted.remove(&endpoint);
    }
}

#[cfg(test)]
mod tests;
