//! Gossip between hosts about nodes: intervals, recipients, and the effect of received reports.
//!
//! A report updates the state of a node as answers to this host do. No decision depends on the arrival of
//! reports: a report may be late, lost or duplicated.

use super::Scheduler;
use crate::structures::GossipState;
use crate::types::{Action, GossipReport, Ms};
use std::collections::BTreeMap;

/// Interval between reports while requests are queued, and its multiple otherwise.
const GOSSIP_INTERVAL: Ms = 100.0;
const IDLE_INTERVALS: f64 = 2.0;
/// Largest number of hosts that receive a report.
const FANOUT: usize = 48;
/// Number of intervals after which reports expire; the number grows where a report does not reach every
/// host.
const EXPIRY_INTERVALS: f64 = 2.5;

/// Answers of one node that this host has not yet reported.
#[derive(Default)]
struct UnreportedAnswers {
    count: u32,
    total_queueing_delay: Ms,
}

/// Reports of other hosts, and the time of this host's next report.
pub(super) struct Gossip {
    received: GossipState,
    /// True if other hosts have reported recently.
    is_active: bool,
    unreported: BTreeMap<usize, UnreportedAnswers>,
    next_at: Ms,
    /// True if the last report named nodes, so that one more report must announce when no load remains.
    needs_final_report: bool,
}

impl Gossip {
    /// Creates the state of a host without any report.
    pub(super) fn new(now: Ms) -> Gossip {
        Gossip {
            received: GossipState::default(),
            is_active: false,
            unreported: BTreeMap::new(),
            next_at: now,
            needs_final_report: false,
        }
    }

    /// Returns whether other hosts have reported recently.
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Returns the time of the next report, if there is anything to report.
    pub(super) fn next_at(&self) -> Ms {
        self.next_at
    }

    /// Returns whether there are answers or ended attempts to report.
    pub(super) fn has_unreported(&self) -> bool {
        self.needs_final_report || !self.unreported.is_empty()
    }

    /// Records an answer for the next report.
    pub(super) fn record_answer(&mut self, node: usize, queueing_delay: Ms) {
        let unreported = self.unreported.entry(node).or_default();
        unreported.count += 1;
        unreported.total_queueing_delay += queueing_delay;
    }

    fn expire(&mut self, now: Ms, hosts: f64) -> Vec<usize> {
        let intervals = EXPIRY_INTERVALS * GOSSIP_INTERVAL * (hosts / FANOUT as f64).max(1.0);
        self.received.expire(now - intervals)
    }

    fn schedule_next(&mut self, now: Ms, reports: &[GossipReport]) {
        self.needs_final_report = !reports.is_empty();
        let is_idle = reports.iter().all(|report| !report.has_queued);
        self.next_at = now + GOSSIP_INTERVAL * if is_idle { IDLE_INTERVALS } else { 1.0 };
    }
}

impl Scheduler {
    /// Reports to other hosts, drawn at random, this host's load at each node and the answers received
    /// since the last report.
    pub(super) fn send_gossip(&mut self, now: Ms, own_number: usize) -> Action {
        let expired = self.gossip.expire(now, self.config.hosts);
        self.apply_remote_load(&expired);
        let reports = self.collect_reports();
        let to = self.draw_gossip_targets(own_number);
        self.gossip.schedule_next(now, &reports);
        Action::SendGossip { to, reports }
    }

    fn collect_reports(&mut self) -> Vec<GossipReport> {
        let mut unreported = std::mem::take(&mut self.gossip.unreported);
        let reports = self.nodes.iter().map(|node| {
            let index = node.endpoint.node;
            let answers = unreported.remove(&index).unwrap_or_default();
            GossipReport {
                node: index,
                in_flight: node.in_flight.occupied_slots() as u32,
                has_queued: !node.queue.is_empty(),
                answers: answers.count,
                queueing_delay: answers.total_queueing_delay / f64::from(answers.count.max(1)),
            }
        });
        reports.filter(|report| report.in_flight + report.answers > 0 || report.has_queued).collect()
    }

    fn draw_gossip_targets(&mut self, own_number: usize) -> Vec<usize> {
        let mut targets: Vec<usize> =
            (0..self.config.hosts as usize).filter(|&host| host != own_number).collect();
        while targets.len() > FANOUT {
            let dropped = self.rng.below(targets.len());
            targets.swap_remove(dropped);
        }
        targets
    }

    /// Applies the reports of another host on nodes that the endpoint list names.
    pub(super) fn receive_gossip(&mut self, now: Ms, from: usize, reports: &[GossipReport]) {
        if from as f64 >= self.config.hosts {
            return;
        }
        let nodes = self.gossip.received.replace(now, from, reports);
        self.apply_remote_load(&nodes);
        for report in reports {
            self.apply_report(now, report);
        }
    }

    fn apply_report(&mut self, now: Ms, report: &GossipReport) {
        let bounds = self.latencies.delay_bounds(self.congested_floor);
        let Some(node) = self.nodes.get_mut(report.node) else { return };
        let nearly_full = node.is_nearly_full();
        let overtaken = node.window.overtaken_since(now, report.queueing_delay, GOSSIP_INTERVAL);
        node.in_flight.overtake_sent_before(overtaken, report.answers);
        for _ in 0..report.answers {
            node.on_answer(now, report.queueing_delay, nearly_full, &bounds);
            node.in_flight.set_doubtful_after(self.losses.doubtful_after());
            node.health.note_answer(now);
        }
        let shard = node.endpoint.shard;
        self.schedule_expiry_check(Some(shard));
    }

    /// Updates the remote load of these nodes, and whether gossip is active.
    fn apply_remote_load(&mut self, nodes: &[usize]) {
        let is_active = !self.gossip.received.is_empty();
        if self.gossip.is_active != is_active {
            self.gossip.is_active = is_active;
            for node in self.nodes.iter_mut() {
                node.window.set_gossip(is_active);
            }
        }
        for &index in nodes {
            if let Some(node) = self.nodes.get_mut(index) {
                let load = self.gossip.received.remote_load(index);
                node.window.set_remote_load(load.in_flight, load.competing_hosts);
                self.nodes.refresh(index);
            }
        }
    }
}
