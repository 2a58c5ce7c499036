//! The endpoint list service: content and time of the published endpoint lists.

use crate::emulator::{age_us, Emulator, Timer};
use crate::node::Node;
use crate::node_event::NodeEvent;
use crate::Ms;
use magpiewick_node_protocol::{EndpointEntry, EndpointListUpdate, EntryState, Message};
use std::net::IpAddr;

/// State of the endpoint list service.
pub(crate) struct EndpointList {
    epoch: u64,
    /// Numbers of nodes whose state has changed, each with the time of publication.
    unpublished: Vec<(Ms, u32)>,
    is_down: bool,
}

impl EndpointList {
    pub(crate) fn new() -> EndpointList {
        EndpointList { epoch: 1, unpublished: Vec::new(), is_down: false }
    }

    pub(crate) fn is_down(&self) -> bool {
        self.is_down
    }

    /// Returns the whole list, including changes that are not published yet: an entry may be early, but is always
    /// correct.
    fn snapshot(&self, nodes: &[Node], now: Ms) -> EndpointListUpdate {
        let listed = nodes.iter().filter(|node| node.is_listed);
        let entries = listed.filter_map(|node| entry(node, now)).collect();
        EndpointListUpdate { snapshot: true, epoch: self.epoch, entries }
    }

    /// Returns the update that is due now, under the next epoch.
    fn next_update(&mut self, nodes: &[Node], now: Ms) -> Option<EndpointListUpdate> {
        let unpublished = std::mem::take(&mut self.unpublished);
        let (due, later): (Vec<_>, Vec<_>) = unpublished.into_iter().partition(|change| change.0 <= now);
        self.unpublished = later;
        if due.is_empty() {
            return None;
        }
        self.epoch += 1;
        let node = |number: u32| nodes.iter().find(|node| node.config.number == number);
        let entries = due.into_iter().filter_map(|(_, number)| entry(node(number)?, now)).collect();
        Some(EndpointListUpdate { snapshot: false, epoch: self.epoch, entries })
    }
}

fn entry(node: &Node, now: Ms) -> Option<EndpointEntry> {
    let IpAddr::V4(address) = node.address.ip() else { return None };
    let state = match (node.is_listed, node.is_draining) {
        (false, _) => EntryState::Removed,
        (true, true) => EntryState::Draining,
        (true, false) => EntryState::Ready,
    };
    Some(EndpointEntry {
        node: node.config.number,
        shard: node.config.shard,
        zone: node.config.zone,
        state,
        incarnation: node.incarnation,
        age_us: age_us(node, now),
        address: address.octets(),
        port: node.address.port(),
    })
}

impl Emulator {
    /// Changes the entry of a node to ready, draining or not listed.
    pub(crate) fn set_listed(&mut self, node: usize, is_listed: bool, is_draining: bool) {
        let publish_at = self.now + self.config.publication_delay;
        let node = &mut self.nodes[node];
        node.is_listed = is_listed;
        node.is_draining = is_draining;
        self.endpoint_list.unpublished.push((publish_at, node.config.number));
        self.timers.set(publish_at, Timer::PublishEndpoints);
    }

    /// Stops or restarts the endpoint list service.
    pub(crate) fn set_list_down(&mut self, is_down: bool) {
        self.endpoint_list.is_down = is_down;
        if is_down {
            for index in self.connections.indexes(|peer| peer.node.is_none()) {
                self.connections.remove(index).connection.reset();
            }
        }
    }

    pub(crate) fn publish_endpoints(&mut self) {
        let Some(update) = self.endpoint_list.next_update(&self.nodes, self.now) else { return };
        if self.endpoint_list.is_down {
            return;
        }
        for index in self.connections.indexes(|peer| peer.watches_endpoints) {
            self.send_list(index, &update);
        }
    }

    /// Sends the whole list to a host, and subscribes the host to updates.
    pub(crate) fn watch_endpoints(&mut self, index: usize) {
        let peer = self.connections.open_peer(index);
        peer.watches_endpoints = true;
        let host = peer.host;
        let snapshot = self.endpoint_list.snapshot(&self.nodes, self.now);
        self.send_list(index, &snapshot);
        // The absence of a node in the list notifies the host that the node is no longer listed.
        for node in self.nodes.iter().filter(|node| !node.is_listed) {
            let (node, incarnation) = (node.config.number, node.incarnation);
            self.events.record(NodeEvent::DrainNotified { host, node, incarnation });
        }
    }

    fn send_list(&mut self, index: usize, list: &EndpointListUpdate) {
        let host = self.connections.open_peer(index).host;
        for entry in list.entries.iter().filter(|entry| entry.state != EntryState::Ready) {
            let (node, incarnation) = (entry.node, entry.incarnation);
            self.events.record(NodeEvent::DrainNotified { host, node, incarnation });
        }
        self.connections.send(index, &Message::EndpointList(list.clone()));
    }
}
