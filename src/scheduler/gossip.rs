//! What hosts report to each other of nodes: how often, to whom, and what a report changes.
//!
//! A report moves what is known of a node as own answers do. Nothing depends on its arrival: it may be
//! late, lost or duplicated.

use super::Scheduler;
use crate::structures::GossipState;
use crate::types::{Action, GossipReport, Ms};
use std::collections::BTreeMap;

/// How often a host reports while requests are queued, and how much more rarely it does otherwise.
const GOSSIP_INTERVAL: Ms = 100.0;
const CALM_INTERVALS: f64 = 2.0;
/// To how many hosts it reports at a time.
const FANOUT: usize = 48;
/// After how many intervals reports expire; more where not every host is reached at each.
const EXPIRY_INTERVALS: f64 = 2.5;

/// Answers from one node that were not reported yet.
#[derive(Default)]
struct UnreportedAnswers {
    count: u32,
    total_queueing_delay: Ms,
}

/// The reports of other hosts, and when this one reports next.
pub(super) struct Gossip {
    received: GossipState,
    /// Other hosts have reported lately.
    is_active: bool,
    unreported: BTreeMap<usize, UnreportedAnswers>,
    next_at: Ms,
    /// The last report named nodes, so that one more has to say when nothing is there any more.
    owes_update: bool,
}

impl Gossip {
    /// Nothing was reported yet.
    pub(super) fn new(now: Ms) -> Gossip {
        Gossip {
            received: GossipState::default(),
            is_active: false,
            unreported: BTreeMap::new(),
            next_at: now,
            owes_update: false,
        }
    }

    /// Whether other hosts have reported lately.
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// When the next report is due, if there is anything to report.
    pub(super) fn next_at(&self) -> Ms {
        self.next_at
    }

    /// Whether there are answers or ended attempts to report.
    pub(super) fn has_unreported(&self) -> bool {
        self.owes_update || !self.unreported.is_empty()
    }

    /// Keeps an answer for the next report.
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
        self.owes_update = !reports.is_empty();
        let calm = reports.iter().all(|report| !report.has_queued);
        self.next_at = now + GOSSIP_INTERVAL * if calm { CALM_INTERVALS } else { 1.0 };
    }
}

impl Scheduler {
    /// Reports to some other hosts, drawn at random, what this host has at each node and which answers came
    /// since its last report.
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

    /// Takes in what another host reports of nodes that the endpoint list has named.
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

    /// Brings what is known of other hosts' attempts at nodes up to date.
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
