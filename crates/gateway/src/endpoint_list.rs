//! The host's copy of the endpoint list: applies updates in order, detects gaps, and records the start time
//! of each process on this host's clock. Free of I/O.

use crate::node_connection::ProcessIdentity;
use magpiewick::{Endpoint, EndpointState, EndpointUpdate, Ms};
use magpiewick_node_protocol::{EndpointEntry, EndpointListUpdate, EntryState, AGE_LONG_RUNNING};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// A listed node.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ListedNode {
    pub entry: EndpointEntry,
    /// Start time of the node's process. It is set when this incarnation is first listed: two ages of one
    /// process, received at different times, must not result in two start times.
    pub started_at: Option<Ms>,
}

impl ListedNode {
    pub(crate) fn address(&self) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::from(self.entry.address).into(), self.entry.port)
    }

    fn endpoint(&self) -> Endpoint {
        let state = match self.entry.state {
            EntryState::Ready => EndpointState::Ready,
            EntryState::Draining => EndpointState::Draining,
            EntryState::Removed => EndpointState::Removed,
        };
        Endpoint {
            node: 0,
            zone: usize::from(self.entry.zone),
            shard: self.entry.shard as usize,
            state,
            started_at: self.started_at,
        }
    }
}

/// The endpoint list.
#[derive(Default)]
pub(crate) struct EndpointList {
    epoch: u64,
    nodes: BTreeMap<u32, ListedNode>,
}

/// Result of an update.
#[derive(Debug)]
pub(crate) enum ListChange {
    /// Kind of update and endpoints, for the scheduler.
    Updated(EndpointUpdate, Vec<(u32, Endpoint)>),
    /// An earlier update is missing, so the whole list must be requested.
    Gap,
    /// The update has already been applied.
    Stale,
}

/// Returns the start time of a process of this age; none where the process started long ago.
pub(crate) fn started_at(now: Ms, age_us: u64) -> Option<Ms> {
    (age_us != AGE_LONG_RUNNING).then(|| now - age_us as f64 / 1000.0)
}

impl EndpointList {
    /// Returns the epoch of the last update; 0 before the first.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = &ListedNode> {
        self.nodes.values()
    }

    pub(crate) fn node(&self, node: u32) -> Option<&ListedNode> {
        self.nodes.get(&node)
    }

    /// Returns the process of a node according to the list.
    pub(crate) fn process(&self, node: u32) -> Option<ProcessIdentity> {
        self.nodes.get(&node).map(|listed| ProcessIdentity {
            node,
            incarnation: listed.entry.incarnation,
            started_at: listed.started_at,
        })
    }

    /// Applies an update.
    #[must_use]
    pub(crate) fn apply(&mut self, now: Ms, update: &EndpointListUpdate) -> ListChange {
        // A restarted service counts its epochs from the start again; only a snapshot reveals this.
        if !update.snapshot {
            if update.epoch <= self.epoch {
                return ListChange::Stale;
            }
            if update.epoch != self.epoch + 1 {
                return ListChange::Gap;
            }
        } else {
            let listed_nodes: Vec<u32> = update.entries.iter().map(|entry| entry.node).collect();
            self.nodes.retain(|node, _| listed_nodes.contains(node));
        }
        self.epoch = update.epoch;
        let kind = if update.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        let endpoints = self.insert_all(now, update);
        if !update.snapshot {
            // The scheduler keeps the attempts that are still in flight at removed nodes.
            self.nodes.retain(|_, listed| listed.entry.state != EntryState::Removed);
        }
        ListChange::Updated(kind, endpoints)
    }

    fn insert_all(&mut self, now: Ms, update: &EndpointListUpdate) -> Vec<(u32, Endpoint)> {
        update.entries.iter().map(|entry| (entry.node, self.insert(now, entry))).collect()
    }

    fn insert(&mut self, now: Ms, entry: &EndpointEntry) -> Endpoint {
        let same_incarnation =
            self.nodes.get(&entry.node).filter(|listed| listed.entry.incarnation == entry.incarnation);
        let started_at =
            same_incarnation.map_or_else(|| started_at(now, entry.age_us), |listed| listed.started_at);
        let listed = ListedNode { entry: *entry, started_at };
        let endpoint = listed.endpoint();
        self.nodes.insert(entry.node, listed);
        endpoint
    }

    /// Records that a node's greeting came from a later process than the listed one; returns the node's new
    /// endpoint.
    pub(crate) fn on_restart(
        &mut self,
        node: u32,
        incarnation: u64,
        started_at: Option<Ms>,
    ) -> Option<(u32, Endpoint)> {
        let listed = self.nodes.get_mut(&node)?;
        listed.entry.incarnation = incarnation;
        listed.started_at = started_at;
        Some((node, listed.endpoint()))
    }

    /// Returns the list to be cached across a restart of this host, with the current ages.
    pub(crate) fn snapshot(&self, now: Ms) -> EndpointListUpdate {
        let age_us = |started_at: Option<Ms>| {
            started_at.map_or(AGE_LONG_RUNNING, |started_at| ((now - started_at).max(0.0) * 1000.0) as u64)
        };
        let with_age =
            |listed: &ListedNode| EndpointEntry { age_us: age_us(listed.started_at), ..listed.entry };
        let entries = self.nodes.values().map(with_age).collect();
        EndpointListUpdate { snapshot: true, epoch: self.epoch, entries }
    }

    /// Restores the list that the previous run of this host cached. The downtime is unknown and is not added
    /// to the ages, so nodes are treated as younger than they are, which is the safe assumption. The epoch is
    /// not restored, so that the whole list is requested.
    pub(crate) fn restore(&mut self, now: Ms, cached: &EndpointListUpdate) -> Vec<(u32, Endpoint)> {
        self.insert_all(now, cached)
    }
}

#[cfg(test)]
mod tests;
