//! Idle connections to endpoints: which one an attempt takes, and which are closed; free of I/O.
//!
//! A connection is in the pool from the end of its last exchange until it is taken, evicted or expired.

use crate::reactor::ConnectionKey;
use magpiewick::Ms;
use std::collections::{BTreeMap, VecDeque};

/// The share of an endpoint's idle timeout after which a connection is closed here: a process that stalls meanwhile
/// must not write into a connection that is about to end.
const MAX_IDLE_SHARE: f64 = 0.7;

/// Idle connections by endpoint.
pub(crate) struct IdlePool {
    /// By endpoint: the keys of its idle connections, each with the time since when; the latest is the last.
    idle: BTreeMap<u32, VecDeque<(ConnectionKey, Ms)>>,
    max_idle: Option<Ms>,
}

impl IdlePool {
    /// `idle_timeout`: after how long an endpoint closes an idle connection; none: never.
    pub(crate) fn new(idle_timeout: Option<Ms>) -> IdlePool {
        IdlePool { idle: BTreeMap::new(), max_idle: idle_timeout.map(|timeout| timeout * MAX_IDLE_SHARE) }
    }

    /// A connection has become idle.
    pub(crate) fn put(&mut self, now: Ms, endpoint: u32, key: ConnectionKey) {
        self.idle.entry(endpoint).or_default().push_back((key, now));
    }

    /// Takes the connection that became idle last among those that have been idle for `min_idle`, so that surplus
    /// connections expire unused. One that has been idle for less is never taken: what is left of its last exchange
    /// may still arrive, and would be read as the response to the next request.
    pub(crate) fn take(&mut self, now: Ms, endpoint: u32, min_idle: Ms) -> Option<ConnectionKey> {
        let idle = self.idle.get_mut(&endpoint)?;
        let position = idle.iter().rposition(|(_, since)| now - since >= min_idle)?;
        let taken = idle.remove(position).map(|(key, _)| key);
        self.drop_if_empty(endpoint);
        taken
    }

    /// Takes a connection out that was closed while it was idle.
    pub(crate) fn remove(&mut self, endpoint: u32, key: ConnectionKey) {
        let Some(idle) = self.idle.get_mut(&endpoint) else { return };
        idle.retain(|(idle_key, _)| *idle_key != key);
        self.drop_if_empty(endpoint);
    }

    /// Takes out all connections of an endpoint, to which nothing more is sent.
    pub(crate) fn remove_endpoint(&mut self, endpoint: u32) -> Vec<ConnectionKey> {
        self.idle.remove(&endpoint).into_iter().flatten().map(|(key, _)| key).collect()
    }

    /// Takes out the connection that has been idle for longest, to make room for another.
    pub(crate) fn evict_oldest(&mut self) -> Option<ConnectionKey> {
        let oldest = self.idle.iter().filter_map(|(endpoint, idle)| Some((idle.front()?.1, *endpoint)));
        let (_, endpoint) = oldest.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let key = self.idle.get_mut(&endpoint)?.pop_front().map(|(key, _)| key);
        self.drop_if_empty(endpoint);
        key
    }

    /// Takes out those that have been idle for too long.
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
