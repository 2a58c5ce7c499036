//! Frame-based fair queueing (Stiliadis and Varma, sections 4 and 5.1): the queue of one node, with the
//! tags, the system potential and the frames by which requests leave it.

use super::pending_request::PendingRequest;
use crate::structures::total_order_key;
use crate::types::{Ms, SchedulerConfig};
use std::collections::{BTreeMap, BTreeSet};

/// Factor by which a volume's reserve counts in the weight of a flow, in addition to the priority weight.
const RESERVE_FACTOR: f64 = 4.0;
/// Time after the last request of a flow during which the flow counts in the sum of the weights at a
/// node.
const FLOW_EXPIRY: Ms = 2000.0;
/// Largest number of flows without a queued request that a queue remembers. Each request looks at all flows, so that
/// requests of ever new volumes would cost ever more.
const MAX_IDLE_FLOWS: usize = 1024;
/// The same for flows that had one request only. The potential advances more slowly the more flows are remembered, and
/// requests of flows with a backlog would fall behind those of ever new volumes.
const MAX_SINGLE_REQUEST_FLOWS: usize = 64;
/// Least weight; tags are divided by weights, so none may be zero.
const MIN_WEIGHT: f64 = 1e-6;

/// Virtual start and finish tag of a request.
#[derive(Clone, Copy, Default)]
pub(super) struct Tag {
    pub start: f64,
    pub finish: f64,
    /// True if the reserve of the volume covers the request.
    pub reserved: bool,
}

impl Tag {
    /// Returns the frame in which the request starts, if the request finishes in a later frame.
    fn crossed_frame(&self) -> Option<i64> {
        let frame = self.start.floor() as i64;
        (frame < self.finish.floor() as i64).then_some(frame)
    }
}

/// Request that enters a queue.
pub(super) struct QueueEntry {
    pub request: usize,
    pub arrival: u64,
    pub volume: usize,
    pub reserved: bool,
    pub units: f64,
    pub weight: f64,
}

/// Parameters that determine the length of a frame.
pub(super) struct FrameBounds {
    /// Largest number of units that are sent as one batch.
    pub max_batch_units: f64,
    /// Least weight that any flow can have.
    pub least_weight: f64,
}

/// Requests of one volume at a node: either the requests that the reserve covers, or the others.
struct Flow {
    last_finish: f64,
    weight: f64,
    last_request_at: Ms,
    queued: u32,
    /// True if the flow has had one request only.
    is_single: bool,
}

/// Queue of one node.
#[derive(Default)]
pub(super) struct FairQueue {
    /// Queued requests by finish tag and arrival.
    entries: BTreeSet<(i64, u64, usize)>,
    flows: BTreeMap<(usize, bool), Flow>,
    potential: f64,
    frame: i64,
    /// Number of queued requests that finish in a later frame than they start in, by the frame of the
    /// start.
    frame_counters: BTreeMap<i64, u32>,
    frame_units: f64,
}

impl FairQueue {
    /// Returns the approximate memory of the flows.
    pub(super) fn flow_bytes(&self) -> usize {
        self.flows.len() * size_of::<((usize, bool), Flow)>()
    }

    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the queued requests in the order of dispatch.
    pub(super) fn requests(&self) -> impl Iterator<Item = usize> + '_ {
        self.entries.iter().map(|(_, _, request)| *request)
    }

    /// Resets the potential, the frames and the past service of all flows.
    pub(super) fn reset(&mut self) {
        for flow in self.flows.values_mut() {
            flow.last_finish = 0.0;
        }
        self.frame_counters.clear();
        (self.potential, self.frame, self.frame_units) = (0.0, 0, 0.0);
    }

    /// Adds a request and returns its tag.
    pub(super) fn enqueue(&mut self, now: Ms, entry: &QueueEntry, bounds: &FrameBounds) -> Tag {
        let key = (entry.volume, entry.reserved);
        let is_single = !self.flows.contains_key(&key);
        let new_flow =
            Flow { last_finish: 0.0, weight: entry.weight, last_request_at: now, queued: 0, is_single };
        let flow = self.flows.entry(key).or_insert(new_flow);
        flow.is_single = is_single;
        flow.last_request_at = now;
        flow.queued += 1;
        self.remove_idle_flows(now);
        let weights: f64 = self.flows.values().map(|flow| flow.weight).sum();
        self.frame_units = bounds.max_batch_units * weights / bounds.least_weight;
        let length = entry.units * weights / (self.frame_units * entry.weight);
        let Some(flow) = self.flows.get_mut(&key) else { return Tag::default() };
        let start = flow.last_finish.max(self.potential);
        let tag = Tag { start, finish: start + length, reserved: entry.reserved };
        flow.last_finish = tag.finish;
        if let Some(frame) = tag.crossed_frame() {
            *self.frame_counters.entry(frame).or_insert(0) += 1;
        }
        self.entries.insert((total_order_key(tag.finish), entry.arrival, entry.request));
        tag
    }

    /// Drops flows that have no queued request, no recent request, and no service ahead of the system
    /// potential. Beyond [`MAX_IDLE_FLOWS`], the half that has been idle longest is dropped as well, and likewise beyond
    /// [`MAX_SINGLE_REQUEST_FLOWS`].
    fn remove_idle_flows(&mut self, now: Ms) {
        let potential = self.potential;
        let (mut idle, mut idle_singles) = (0, 0);
        self.flows.retain(|_, flow| {
            let is_idle = flow.queued == 0;
            let remains =
                !is_idle || now - flow.last_request_at < FLOW_EXPIRY || flow.last_finish > potential;
            idle += usize::from(is_idle && remains);
            idle_singles += usize::from(is_idle && remains && flow.is_single);
            remains
        });
        if idle_singles > MAX_SINGLE_REQUEST_FLOWS {
            self.remove_longest_idle_flows(idle_singles / 2, |flow| flow.is_single);
        }
        if idle > MAX_IDLE_FLOWS {
            self.remove_longest_idle_flows(idle / 2, |_| true);
        }
    }

    fn remove_longest_idle_flows(&mut self, count: usize, may_remove: impl Fn(&Flow) -> bool) {
        let idle = self.flows.iter().filter(|(_, flow)| flow.queued == 0 && may_remove(flow));
        let mut idle: Vec<(i64, (usize, bool))> =
            idle.map(|(key, flow)| (total_order_key(flow.last_request_at), *key)).collect();
        idle.sort_unstable();
        for (_, key) in idle.into_iter().take(count) {
            self.flows.remove(&key);
        }
    }

    /// Removes a request that leaves unsent: decrements the counter of its frame and does not charge its
    /// flow.
    pub(super) fn remove_unsent(&mut self, id: usize, pending: &PendingRequest) {
        if let Some(flow) = self.remove(id, pending) {
            flow.last_finish -= pending.tag.finish - pending.tag.start;
        }
    }

    /// Removes a request that is sent, and advances the system potential and the frame.
    pub(super) fn depart(&mut self, now: Ms, id: usize, pending: &PendingRequest) {
        if let Some(flow) = self.remove(id, pending) {
            flow.last_request_at = now;
        }
        self.potential += pending.request.units / self.frame_units;
        let finish_frame = pending.tag.finish.floor() as i64;
        if finish_frame > self.frame && self.current_frame_is_served() {
            self.frame = finish_frame;
            self.potential = self.potential.max(finish_frame as f64);
            self.frame_counters = self.frame_counters.split_off(&finish_frame);
        }
    }

    fn current_frame_is_served(&self) -> bool {
        self.frame_counters.get(&self.frame).is_none_or(|&count| count == 0)
    }

    fn remove(&mut self, id: usize, pending: &PendingRequest) -> Option<&mut Flow> {
        let tag = &pending.tag;
        self.entries.remove(&(total_order_key(tag.finish), pending.arrival, id));
        let crossed = tag.crossed_frame();
        if let Some(count) = crossed.and_then(|frame| self.frame_counters.get_mut(&frame)) {
            *count = count.saturating_sub(1);
        }
        let flow = self.flows.get_mut(&(pending.request.volume, tag.reserved))?;
        flow.queued -= 1;
        Some(flow)
    }
}

/// Returns the weight of a flow, which is the value of a unit of its service: the reserve counts in full,
/// the share by weight with the fraction that the share earns.
pub(super) fn flow_weight(config: &SchedulerConfig, class: usize, policy: usize, reserved: bool) -> f64 {
    let rates: f64 = config.policies.iter().map(|policy| policy.rate).sum();
    let weights: f64 = config.policies.iter().map(|policy| policy.weight).sum();
    let policy = &config.policies[policy];
    let share = config.share_weight * policy.weight * rates / weights.max(1e-9);
    let rate = if reserved && policy.reserve > 0.0 { RESERVE_FACTOR * policy.reserve } else { share };
    (policy.price * config.classes[class].priority_weight * rate).max(MIN_WEIGHT)
}

/// Returns the least weight that any flow can have.
pub(super) fn least_flow_weight(config: &SchedulerConfig) -> f64 {
    let (classes, policies) = (0..config.classes.len(), 0..config.policies.len());
    let kinds = classes.flat_map(|class| policies.clone().map(move |policy| (class, policy)));
    let weights = kinds.flat_map(|(class, policy)| {
        [false, true].map(|reserved| flow_weight(config, class, policy, reserved))
    });
    weights.fold(f64::INFINITY, f64::min)
}

#[cfg(test)]
mod tests;
