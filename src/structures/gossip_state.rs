//! Latest gossip of each other host.

use crate::types::{GossipReport, Ms};
use std::collections::BTreeMap;

/// Total load of all other hosts at a node, according to their reports.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RemoteLoad {
    /// Number of their attempts in flight.
    pub in_flight: u32,
    /// Number of hosts that have requests in the queue of the node.
    pub competing_hosts: u32,
}

struct Reports {
    received_at: Ms,
    reports: Vec<GossipReport>,
}

/// Latest reports by host, and their sums by node.
#[derive(Default)]
pub(crate) struct GossipState {
    by_host: BTreeMap<usize, Reports>,
    by_node: BTreeMap<usize, RemoteLoad>,
}

impl GossipState {
    /// Replaces the reports of a host. Returns the nodes of the previous and of the new reports.
    pub(crate) fn replace(&mut self, now: Ms, host: usize, reports: &[GossipReport]) -> Vec<usize> {
        let new = Reports { received_at: now, reports: reports.to_vec() };
        let previous = self.by_host.insert(host, new).map_or(Vec::new(), |previous| previous.reports);
        for report in reports {
            let load = self.by_node.entry(report.node).or_default();
            load.in_flight += report.in_flight;
            load.competing_hosts += u32::from(report.has_queued);
        }
        for report in &previous {
            let Some(load) = self.by_node.get_mut(&report.node) else { continue };
            load.in_flight -= report.in_flight;
            load.competing_hosts -= u32::from(report.has_queued);
        }
        self.by_node.retain(|_, load| *load != RemoteLoad::default());
        previous.iter().chain(reports).map(|report| report.node).collect()
    }

    /// Drops reports received before a time. Returns the nodes of these reports.
    pub(crate) fn expire(&mut self, before: Ms) -> Vec<usize> {
        let is_old = |reports: &Reports| reports.received_at < before;
        let expired: Vec<usize> =
            self.by_host.iter().filter(|(_, reports)| is_old(reports)).map(|(host, _)| *host).collect();
        let nodes = expired.iter().flat_map(|host| self.replace(before, *host, &[])).collect();
        for host in &expired {
            self.by_host.remove(host);
        }
        nodes
    }

    /// Returns whether there is no report of any host.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Returns the total load of the other hosts at a node.
    pub(crate) fn remote_load(&self, node: usize) -> RemoteLoad {
        self.by_node.get(&node).copied().unwrap_or_default()
    }
}
