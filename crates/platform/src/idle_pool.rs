//! Pool of idle connections to endpoints: selection for attempts, eviction and expiry; free of I/O.
//!
//! A connection is in the pool from the end of its last exchange until it is taken, evicted or expired.

use crate::reactor::ConnectionKey;
use magpiewick::Ms;
use std::collections::{BTreeMap, VecDeque};

/// Share of an endpoint's idle timeout after which a connection is closed here: a process that stalls in the meantime
/// must not write to a connection that is about to be closed by the endpoint.
const MAX_IDLE_SHARE: f64 = 0.7;

/// Idle connections by endpoint.
pub(crate) struct IdlePool {
    /// Keys of the idle connections by endpoint, each with the time at which the connection became idle; the latest is
    /// last.
    idle: BTreeMap<u32, VecDeque<(ConnectionKey, Ms)>>,
    max_idle: Option<Ms>,
}

impl IdlePool {
    /// Creates an empty pool. `idle_timeout`: time after which an endpoint closes an idle connection; none: never.
    pub(crate) fn new(idle_timeout: Option<Ms>) -> IdlePool {
        IdlePool { idle: BTreeMap::new(), max_idle: idle_timeout.map(|timeout| timeout * MAX_IDLE_SHARE) }
    }

    /// Adds a connection that has become idle.
    pub(crate) fn put(&mut self, now: Ms, endpoint: u32, key: ConnectionKey) {
        self.idle.entry(endpoint).or_default().push_back((key, now));
    }

    /// Takes the most recently idle connection among those that have been idle for at least `min_idle`, so that surplus
    /// connections expire unused. A connection with a shorter idle time is never taken: the remainder of its last
    /// exchange may still arrive, and would be read as the response to the next request.
    pub(crate) fn take(&mut self, now: Ms, endpoint: u32, min_idle: Ms) -> Option<ConnectionKey> {
        let idle = self.idle.get_mut(&endpoint)?;
        let position = idle.iter().rposition(|(_, since)| now - since >= min_idle)?;
        let taken = idle.remove(position).map(|(key, _)| key);
        self.drop_if_empty(endpoint);
        taken
    }

    /// Removes a connection that was closed while it was idle.
    pub(crate) fn remove(&mut self, endpoint: u32, key: ConnectionKey) {
        let Some(idle) = self.idle.get_mut(&endpoint) else { return };
        idle.retain(|(idle_key, _)| *idle_key != key);
        self.drop_if_empty(endpoint);
    }

    /// Removes all connections of an endpoint that receives no further requests.
    pub(crate) fn remove_endpoint(&mut self, endpoint: u32) -> Vec<ConnectionKey> {
        self.idle.remove(&endpoint).into_iter().flatten().map(|(key, _)| key).collect()
    }

    /// Removes the longest idle connection, to free its slot for another.
    pub(crate) fn evict_oldest(&mut self) -> Option<ConnectionKey> {
        let oldest = self.idle.iter().filter_map(|(endpoint, idle)| Some((idle.front()?.1, *endpoint)));
        let (_, endpoint) = oldest.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let key = self.idle.get_mut(&endpoint)?.pop_front().map(|(key, _)| key);
        self.drop_if_empty(endpoint);
        key
    }

    /// Removes the connections that have been idle for too long.
    pub(crate) fn take_expired(&mut self, now: Ms) -> Vec<ConnectionKey> {
        let Some(max_idle) = self.max_idle else { return Vec::new() };
        let mut expired = Vec::new();
        for idle in self.idle.values_mut() {
            while let Some((key, _)) = idle.pop_front_if(|(_, since)| now - *since >= max_idle) {
                expired.push(key);
            }
        }
        self.idle.retain(|_, idle| !idle.is_empty());
        expired
    }

    fn drop_if_empty(&mut self, endpoint: u32) {
        if self.idle.get(&endpoint).is_some_and(VecDeque::is_empty) {
            self.idle.remove(&endpoint);
        }
    }
}

#[cfg(test)]
mod tests;
