//! Nodes that an endpoint list has named: their ids, indices and gossip tags.

use crate::id_table::IdTable;
use magpiewick::GossipReport;
use std::collections::HashMap;

/// Map from node ids to the scheduler's indices and to the tags by which hosts name nodes in gossip.
#[derive(Default)]
pub(crate) struct NodeTable {
    indices: IdTable,
    ids: Vec<u32>,
    /// Node index of a tag; none for a tag that several nodes share.
    index_by_tag: HashMap<u16, Option<usize>>,
}

impl NodeTable {
    /// Returns the index of a node; a new node gets the next one.
    pub(crate) fn index_of(&mut self, id: u32) -> usize {
        let index = self.indices.index_of(id);
        if index == self.ids.len() {
            self.ids.push(id);
            let entry = self.index_by_tag.entry(tag(id));
            entry.and_modify(|index| *index = None).or_insert(Some(index));
        }
        index
    }

    /// Returns the id of the node with this index.
    pub(crate) fn id(&self, index: usize) -> u32 {
        self.ids[index]
    }

    /// Returns a report with the tag of its node, for other hosts.
    pub(crate) fn to_tagged(&self, report: &GossipReport) -> (u16, GossipReport) {
        (tag(self.ids[report.node]), *report)
    }

    /// Returns a report from another host with the index of its node, or none if the tag names no node or several.
    pub(crate) fn resolve(&self, (tag, report): &(u16, GossipReport)) -> Option<GossipReport> {
        let node = (*self.index_by_tag.get(tag)?)?;
        Some(GossipReport { node, ..*report })
    }
}

/// Returns the name of a node in gossip: part of a hash of its id, as ids may differ in any bits.
fn tag(id: u32) -> u16 {
    const GOLDEN_RATIO: u32 = 0x9e37_79b1;
    (id.wrapping_mul(GOLDEN_RATIO) >> 16) as u16
}
