//! The latest gossip of each other host.

use crate::types::{GossipReport, Ms};
use std::collections::BTreeMap;

/// What all other hosts together have at a node, as far as they reported.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RemoteLoad {
    /// Their attempts in flight.
    pub in_flight: u32,
    /// How many of them have requests in the queue of the node.
    pub competing_hosts: u32,
}

struct Reports {
    received_at: Ms,
    reports: Vec<GossipReport>,
}

/// The latest reports by host, and their sums by node.
#[derive(Default)]
pub(crate) struct GossipState {
    by_host: BTreeMap<usize, Reports>,
    by_node: BTreeMap<usize, RemoteLoad>,
}

impl GossipState {
    /// Replaces what a host reported before; the nodes of the former and of the new reports.
    pub(crate) fn replace(&mut self, now: Ms, host: usize, reports: &[GossipReport]) -> Vec<usize> {
        let new = Reports { received_at: now, reports: reports.to_vec() };
        let former = self.by_host.insert(host, new).map_or(Vec::new(), |former| former.reports);
        for report in reports {
            let load = self.by_node.entry(report.node).or_default();
            load.in_flight += report.in_flight;
            load.competing_hosts += u32::from(report.has_queued);
        }
        for report in &former {
            let Some(load) = self.by_node.get_mut(&report.node) else { continue };
            load.in_flight -= report.in_flight;
            load.competing_hosts -= u32::from(report.has_queued);
        }
        self.by_node.retain(|_, load| *load != RemoteLoad::default());
        former.iter().chain(reports).map(|report| report.node).collect()
    }

    /// Drops reports received before a time; the nodes that they were about.
    pub(crate) fn expire(&mut self, before: Ms) -> Vec<usize> {
        let is_old = |reports: &Reports| reports.received_at < before;
        let old: Vec<usize> =
            self.by_host.iter().filter(|(_, reports)| is_old(reports)).map(|(host, _)| *host).collect();
        let nodes = old.iter().flat_map(|host| self.replace(before, *host, &[])).collect();
        for host in &old {
            self.by_host.remove(host);
        }
        nodes
    }

    /// Whether no host has reported lately.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// What the other hosts have at a node.
    pub(crate) fn remote_load(&self, node: usize) -> RemoteLoad {
        self.by_node.get(&node).copied().unwrap_or_default()
    }
}
