//! Follows the endpoint list: applies its news in order, finds gaps, and keeps the time at which each process
//! started on this host's clock. Free of I/O.

use crate::contact::Process;
use magpiewick::{Endpoint, EndpointState, EndpointUpdate, Ms};
use magpiewick_node_protocol::{EndpointEntry, EndpointListUpdate, EntryState, LONG_AGO};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// A node as this host knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    pub line: EndpointEntry,
    /// When its process started, fixed when this life was first heard of: an age told twice would make two
    /// starts of one.
    pub started: Option<Ms>,
}

/// The list as this host has it.
#[derive(Default)]
pub struct Follower {
    epoch: u64,
    nodes: BTreeMap<u32, Known>,
}

/// What news came to.
#[derive(Debug)]
pub enum Heard {
    /// For the module: its kind and the entries.
    Update(EndpointUpdate, Vec<(u32, Endpoint)>),
    /// EndpointUpdate is missing before this one: the whole list must be asked for.
    Gap,
    /// The same news again.
    Old,
}

pub fn started(now: Ms, age_us: u64) -> Option<Ms> {
    (age_us != LONG_AGO).then(|| now - age_us as f64 / 1000.0)
}

pub fn address(line: &EndpointEntry) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(line.address).into(), line.port)
}

impl Follower {
    /// The last epoch whose news this host has; 0 before any.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn nodes(&self) -> impl Iterator<Item = &Known> {
        self.nodes.values()
    }

    pub fn node(&self, node: u32) -> Option<&Known> {
        self.nodes.get(&node)
    }

    pub fn process(&self, node: u32) -> Option<Process> {
        self.nodes.get(&node).map(|k| Process { node, life: k.line.incarnation, started: k.started })
    }

    pub fn heard(&mut self, now: Ms, list: &EndpointListUpdate) -> Heard {
        // A service that started anew counts its epochs anew; only a whole list can tell.
        if !list.snapshot {
            if list.epoch <= self.epoch {
                return Heard::Old;
            }
            if list.epoch != self.epoch + 1 {
                return Heard::Gap;
            }
        } else {
            let named: Vec<u32> = list.entries.iter().map(|l| l.node).collect();
            self.nodes.retain(|node, _| named.contains(node));
        }
        self.epoch = list.epoch;
        let news = if list.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        let entries = list.entries.iter().map(|line| (line.node, self.note(now, line))).collect();
        if !list.snapshot {
            // What has gone needs no memory; the module keeps what is still out there.
            self.nodes.retain(|_, k| k.line.state != EntryState::Removed);
        }
        Heard::Update(news, entries)
    }

    fn note(&mut self, now: Ms, line: &EndpointEntry) -> Endpoint {
        let before = self.nodes.get(&line.node).filter(|k| k.line.incarnation == line.incarnation);
        let started = before.map_or_else(|| started(now, line.age_us), |k| k.started);
        self.nodes.insert(line.node, Known { line: *line, started });
        entry(line, started)
    }

    /// A greeting showed that a node's process is a later one than the list says.
    pub fn restarted(&mut self, node: u32, life: u64, started: Option<Ms>) -> Option<(u32, Endpoint)> {
        let known = self.nodes.get_mut(&node)?;
        (known.line.incarnation, known.started) = (life, started);
        Some((node, entry(&known.line, started)))
    }

    /// The list to keep over a restart of this host, with the ages as of now.
    pub fn remembered(&self, now: Ms) -> EndpointListUpdate {
        let age = |k: &Known| k.started.map_or(LONG_AGO, |at| ((now - at).max(0.0) * 1000.0) as u64);
        let lines = self.nodes.values().map(|k| EndpointEntry { age_us: age(k), ..k.line }).collect();
        EndpointListUpdate { snapshot: true, epoch: self.epoch, entries: lines }
    }

    /// What this host kept when it last ran. How long it did not run is not known, so nodes count as younger
    /// than they are: the safe side. The epoch is not taken over, so that the whole list is asked for.
    pub fn recall(&mut self, now: Ms, list: &EndpointListUpdate) -> Vec<(u32, Endpoint)> {
        list.entries.iter().map(|line| (line.node, self.note(now, line))).collect()
    }
}

fn entry(line: &EndpointEntry, started: Option<Ms>) -> Endpoint {
    let state = match line.state {
        EntryState::Ready => EndpointState::Ready,
        EntryState::Draining => EndpointState::Draining,
        EntryState::Removed => EndpointState::Removed,
    };
    Endpoint { node: 0, zone: usize::from(line.zone), shard: line.shard as usize, state, started_at: started }
}

#[cfg(test)]
mod tests;
