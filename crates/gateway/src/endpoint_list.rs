//! The endpoint list as this host knows it: applies updates in order, finds gaps, and keeps the time at which each
//! process started on this host's clock. Free of I/O.

use crate::node_connection::Process;
use magpiewick::{Endpoint, EndpointState, EndpointUpdate, Ms};
use magpiewick_node_protocol::{EndpointEntry, EndpointListUpdate, EntryState, AGE_LONG_RUNNING};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// A listed node.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ListedNode {
    pub entry: EndpointEntry,
    /// When its process started. It is fixed when this incarnation is first seen: two ages of one process, received at
    /// different times, must not make two starts.
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

/// The list.
#[derive(Default)]
pub(crate) struct EndpointList {
    epoch: u64,
    nodes: BTreeMap<u32, ListedNode>,
}

/// What an update changed.
#[derive(Debug)]
pub(crate) enum ListChange {
    /// For the scheduler: the kind of update and the endpoints.
    Updated(EndpointUpdate, Vec<(u32, Endpoint)>),
    /// An update before this one is missing: the whole list must be requested.
    Gap,
    /// An update that was applied before.
    Stale,
}

/// When a process of this age started; none where it no longer matters.
pub(crate) fn started_at(now: Ms, age_us: u64) -> Option<Ms> {
    (age_us != AGE_LONG_RUNNING).then(|| now - age_us as f64 / 1000.0)
}

impl EndpointList {
    /// The epoch of the last update; 0 before any.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = &ListedNode> {
        self.nodes.values()
    }

    pub(crate) fn node(&self, node: u32) -> Option<&ListedNode> {
        self.nodes.get(&node)
    }

    /// The process of a node, as the list names it.
    pub(crate) fn process(&self, node: u32) -> Option<Process> {
        self.nodes.get(&node).map(|listed| Process {
            node,
            incarnation: listed.entry.incarnation,
            started_at: listed.started_at,
        })
    }

    /// Applies an update.
    #[must_use]
    pub(crate) fn apply(&mut self, now: Ms, update: &EndpointListUpdate) -> ListChange {
        // A restarted service counts its epochs anew; only a snapshot can tell.
        if !update.snapshot {
            if update.epoch <= self.epoch {
                return ListChange::Stale;
            }
            if update.epoch != self.epoch + 1 {
                return ListChange::Gap;
            }
        } else {
            let named: Vec<u32> = update.entries.iter().map(|entry| entry.node).collect();
            self.nodes.retain(|node, _| named.contains(node));
        }
        self.epoch = update.epoch;
        let kind = if update.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        let endpoints = self.insert_all(now, update);
        if !update.snapshot {
            // The scheduler keeps what is still in flight at removed nodes.
            self.nodes.retain(|_, listed| listed.entry.state != EntryState::Removed);
        }
        ListChange::Updated(kind, endpoints)
    }

    fn insert_all(&mut self, now: Ms, update: &EndpointListUpdate) -> Vec<(u32, Endpoint)> {
        update.entries.iter().map(|entry| (entry.node, self.insert(now, entry))).collect()
    }

    fn insert(&mut self, now: Ms, entry: &EndpointEntry) -> Endpoint {
        let known = self.nodes.get(&entry.node).filter(|l| l.entry.incarnation == entry.incarnation);
        let started_at = known.map_or_else(|| started_at(now, entry.age_us), |listed| listed.started_at);
        let listed = ListedNode { entry: *entry, started_at };
        let endpoint = listed.endpoint();
        self.nodes.insert(entry.node, listed);
        endpoint
    }

    /// A greeting showed that a node's process is a later one than the listed one; returns the node's new endpoint.
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

    /// The list to cache over a restart of this host, with the ages as of now.
    pub(crate) fn snapshot(&self, now: Ms) -> EndpointListUpdate {
        let age_us = |started_at: Option<Ms>| {
            started_at.map_or(AGE_LONG_RUNNING, |started_at| ((now - started_at).max(0.0) * 1000.0) as u64)
        };
        let aged = |listed: &ListedNode| EndpointEntry { age_us: age_us(listed.started_at), ..listed.entry };
        let entries = self.nodes.values().map(aged).collect();
        EndpointListUpdate { snapshot: true, epoch: self.epoch, entries }
    }

    /// Takes over what this host cached when it last ran. How long it was down is not known, so nodes count as
    /// younger than they are: the safe side. The epoch is not taken over, so that the whole list is requested.
    pub(crate) fn restore(&mut self, now: Ms, cached: &EndpointListUpdate) -> Vec<(u32, Endpoint)> {
        self.insert_all(now, cached)
    }
}

#[cfg(test)]
mod tests;
