//! Selection of the node for a request.

use super::node::Node;
use super::Scheduler;
use crate::types::Ms;

impl Scheduler {
    /// Returns the node for requests of a shard: among the ready nodes one that is not failing, and among
    /// those the one that was started first, as its successor is still warming up.
    pub(super) fn select_node(&self, shard: usize) -> Option<&Node> {
        let ready = self.nodes.of_shard(shard).filter(|node| node.is_ready());
        ready.min_by_key(|node| {
            let started_at = node.endpoint.started_at.map(|at| at as i64);
            (node.health.is_failing(), started_at)
        })
    }

    /// Moves the oldest eligible request without a shard into the queue of a node with a free slot.
    /// Returns whether a request was moved.
    pub(super) fn place_request_without_shard(&mut self, now: Ms) -> bool {
        if !self.blocked.has_any_without_shard() {
            return false;
        }
        let Some(node) = self.select_node_without_shard(now) else { return false };
        let may_enter = |id: &usize| self.blocked_until(now, *id, node).is_some_and(|at| at <= now);
        let Some(id) = self.blocked.without_shard().find(may_enter) else { return false };
        if self.reserve_tokens(now, id).is_none_or(|at| at > now) {
            return false;
        }
        self.enqueue(now, id, node);
        true
    }

    /// Returns the node with the earlier expected completion of two that are drawn at random from those
    /// with a free slot. Guards against all hosts choosing the same node.
    fn select_node_without_shard(&mut self, now: Ms) -> Option<usize> {
        let candidates =
            self.nodes.with_capacity().filter(|node| self.accepts_request_without_shard(now, node));
        let candidates: Vec<usize> = candidates.map(|node| node.endpoint.node).collect();
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || candidates[self.rng.below(candidates.len())];
        let (first, second) = (draw(), draw());
        let is_faster = self.expected_completion(second) < self.expected_completion(first);
        Some(if is_faster { second } else { first })
    }

    fn accepts_request_without_shard(&self, now: Ms, node: &Node) -> bool {
        let names_no_shard =
            |id: usize| self.requests.get(id).is_some_and(|pending| pending.request.shard.is_none());
        node.accepts_attempt(now, false) && !node.queue.requests().any(names_no_shard)
    }

    fn expected_completion(&self, node: usize) -> Ms {
        self.nodes.get(node).map_or(0.0, |node| node.window.expected_completion(&node.in_flight))
    }
}
