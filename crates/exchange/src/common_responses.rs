//! Responses that occur for different requests, so that their content does not identify the request.

use crate::{ReceivedResponse, ResponseDigest};
use std::collections::{HashMap, VecDeque};

/// Maximum number of remembered responses over all connections.
const MAX_REMEMBERED: usize = 4096;

/// Connections on which a response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReceivedOn {
    /// A single connection, given by its serial number.
    SingleConnection(u64),
    MultipleConnections,
}

/// Registry of responses that occur for different requests. A duplicate arrives on the connection of its
/// original, so a response that matched its request on each of two connections belongs to two requests.
#[derive(Clone, Debug, Default)]
pub struct CommonResponses {
    connections: HashMap<ResponseDigest, ReceivedOn>,
    /// Digests in order of insertion; the oldest is evicted first.
    order: VecDeque<ResponseDigest>,
}

impl CommonResponses {
    /// Records that a response matched the request on a connection. Returns whether the response thereby
    /// becomes common.
    pub fn record(&mut self, connection: u64, response: &ReceivedResponse<'_>) -> bool {
        let digest = response.digest();
        match self.connections.get(&digest) {
            None => {
                self.insert_new(digest, connection);
                false
            }
            Some(ReceivedOn::SingleConnection(other)) if *other != connection => {
                self.connections.insert(digest, ReceivedOn::MultipleConnections);
                true
            }
            Some(_) => false,
        }
    }

    /// Returns whether different requests received this response.
    pub fn contains(&self, response: &ReceivedResponse<'_>) -> bool {
        self.connections.get(&response.digest()) == Some(&ReceivedOn::MultipleConnections)
    }

    fn insert_new(&mut self, digest: ResponseDigest, connection: u64) {
        if self.order.len() == MAX_REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.connections.remove(&oldest);
            }
        }
        self.order.push_back(digest);
        self.connections.insert(digest, ReceivedOn::SingleConnection(connection));
    }
}

#[cfg(test)]
mod tests;
