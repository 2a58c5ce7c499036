//! Scripted faults: which, of what, from when to when, and the steps that they consist of.

use crate::script::Step;
use crate::Ms;
use magpiewick_hcl_settings::SettingsBlock;

/// The duration of a fault without an end, where its steps are spread over it.
const DEFAULT_DURATION: Ms = 1000.0;
/// An ageing node becomes slower in so many steps, each a tenth of its fault's duration, and then stops.
const AGEING_STEPS: u32 = 8;
/// How often a flapping endpoint list service goes down; it is down for half of each turn.
const FLAPS: u32 = 4;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Unresponsive,
    AnswersLost,
    Slow,
    Ageing,
    Crash,
    Drain,
    Preempt,
    ZoneRestart,
    UsageWithheld,
    QueueFull,
    Hang,
    ResetMidFrame,
    ListDown,
    ListFlaps,
    HostStall,
    HostKill,
    Surge,
    Migration,
    AbandonMigration,
    CoordinatorsDown,
    MapServiceDown,
    PartialFailure,
    OldMapReplay,
}

/// The kinds by their names in a file.
const KINDS: [(&str, FaultKind); 23] = [
    ("silent", FaultKind::Unresponsive),
    ("answers-lost", FaultKind::AnswersLost),
    ("slow", FaultKind::Slow),
    ("ageing", FaultKind::Ageing),
    ("crash", FaultKind::Crash),
    ("drain", FaultKind::Drain),
    ("preempt", FaultKind::Preempt),
    ("mass-restart", FaultKind::ZoneRestart),
    ("reports-late", FaultKind::UsageWithheld),
    ("full-queue", FaultKind::QueueFull),
    ("deaf", FaultKind::Hang),
    ("reset-mid-frame", FaultKind::ResetMidFrame),
    ("list-down", FaultKind::ListDown),
    ("list-flaps", FaultKind::ListFlaps),
    ("host-stall", FaultKind::HostStall),
    ("host-kill", FaultKind::HostKill),
    ("surge", FaultKind::Surge),
    ("move", FaultKind::Migration),
    ("abandon-move", FaultKind::AbandonMigration),
    ("movers-die", FaultKind::CoordinatorsDown),
    ("map-down", FaultKind::MapServiceDown),
    ("partly", FaultKind::PartialFailure),
    ("map-old", FaultKind::OldMapReplay),
];

/// One fault of a script.
#[derive(Clone, Debug)]
pub struct Fault {
    kind: FaultKind,
    /// Nodes, zones, hosts or volumes, by the kind.
    targets: Vec<u64>,
    from: Ms,
    to: Ms,
    /// How severe it is, by the kind.
    magnitude: f64,
    /// The spare nodes that replace those that drain.
    successors: Vec<u64>,
    /// The extent of the volume that is migrated, and its target shard.
    extent: usize,
    shard: u32,
}

/// Reads the blocks `trouble` of a file.
pub fn read_faults(root: &SettingsBlock<'_>) -> Vec<Fault> {
    root.repeated_blocks("trouble").iter().filter_map(read_fault).collect()
}

fn read_fault(p: &SettingsBlock<'_>) -> Option<Fault> {
    let kind = KINDS.iter().find(|(name, _)| *name == p.label()).map(|(_, kind)| *kind);
    if kind.is_none() {
        let known: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
        p.report_error(format!("unknown trouble {:?}; known: {}", p.label(), known.join(", ")));
    }
    let (from, to) = (p.attribute("from").duration_ms(), p.attribute("to").duration_ms_or(f64::INFINITY));
    if to <= from {
        p.report_attribute_error("to", "a trouble that ends before it begins");
    }
    let successors = p.attribute("successors");
    let target_fields = ["nodes", "zones", "hosts", "volumes"].map(|name| p.attribute(name));
    let targets =
        target_fields.iter().find(|field| field.is_present()).map_or(Vec::new(), |field| field.integers());
    Some(Fault {
        kind: kind?,
        targets,
        from,
        to,
        extent: p.attribute("extent").integer_or(0..=1 << 20, 0) as usize,
        shard: p.attribute("shard").integer_or(0..=u64::from(u16::MAX), 0) as u32,
        magnitude: p.attribute("amount").number_or(1.0),
        successors: if successors.is_present() { successors.integers() } else { Vec::new() },
    })
}

impl Fault {
    /// Its steps with their times. `nodes_of_zone` gives the nodes of a zone.
    pub fn steps(&self, nodes_of_zone: impl Fn(u64) -> Vec<u32>) -> Vec<(Ms, Step)> {
        let mut steps = Vec::new();
        for target in &self.targets {
            match self.kind {
                FaultKind::ZoneRestart => {
                    let nodes = nodes_of_zone(*target);
                    steps.extend(nodes.into_iter().flat_map(|node| self.restart_steps(node)));
                }
                FaultKind::Surge | FaultKind::Migration | FaultKind::AbandonMigration => {
                    steps.extend(self.volume_steps(*target));
                }
                _ => steps.extend(self.node_or_host_steps(*target as u32)),
            }
        }
        steps.extend(self.service_steps());
        steps.retain(|(at, _)| at.is_finite());
        steps
    }

    /// The time over which its steps are spread.
    fn duration(&self) -> Ms {
        if self.to.is_finite() {
            self.to - self.from
        } else {
            DEFAULT_DURATION
        }
    }

    /// A step at the beginning and one at the end.
    fn span(&self, begin: Step, end: Step) -> Vec<(Ms, Step)> {
        vec![(self.from, begin), (self.to, end)]
    }

    fn node_or_host_steps(&self, number: u32) -> Vec<(Ms, Step)> {
        let flag = |step: fn(u32, bool) -> Step| self.span(step(number, true), step(number, false));
        let degree = |step: fn(u32, f64) -> Step, normal: f64| {
            self.span(step(number, self.magnitude), step(number, normal))
        };
        match self.kind {
            FaultKind::Unresponsive => flag(Step::Unresponsive),
            FaultKind::UsageWithheld => flag(Step::UsageWithheld),
            FaultKind::QueueFull => flag(Step::QueueFull),
            FaultKind::Hang => flag(Step::Hang),
            FaultKind::HostStall => flag(Step::HostStall),
            FaultKind::AnswersLost => degree(Step::AnswerLoss, 0.0),
            FaultKind::Slow => degree(Step::Slowdown, 1.0),
            FaultKind::PartialFailure => degree(Step::PartialFailure, 0.0),
            FaultKind::ResetMidFrame => self.span(Step::ResetMidFrame(number), Step::ResetMidFrame(number)),
            FaultKind::HostKill => self.span(Step::HostKill(number), Step::HostStart(number)),
            FaultKind::Crash => {
                let mut steps = self.span(Step::Stop(number), Step::StartWarmingUp(number));
                steps.extend(self.span(Step::Unlist(number), Step::List(number)));
                steps
            }
            FaultKind::Ageing => self.ageing_steps(number),
            FaultKind::Drain | FaultKind::Preempt => vec![
                (self.from, Step::Drain(number)),
                (self.to, Step::Stop(number)),
                (self.to, Step::Unlist(number)),
            ],
            _ => Vec::new(),
        }
    }

    /// A node becomes slower and slower, stops, and is started again.
    fn ageing_steps(&self, node: u32) -> Vec<(Ms, Step)> {
        let tenth = self.duration() / 10.0;
        let mut steps: Vec<(Ms, Step)> = (0..AGEING_STEPS)
            .map(|part| {
                let progress = f64::from(part + 1) / f64::from(AGEING_STEPS);
                let slowdown = 1.0 + (self.magnitude - 1.0) * progress;
                (self.from + tenth * f64::from(part), Step::Slowdown(node, slowdown))
            })
            .collect();
        steps.push((self.from + tenth * f64::from(AGEING_STEPS), Step::Stop(node)));
        steps.push((self.to, Step::StartWarmingUp(node)));
        steps.push((self.to, Step::List(node)));
        steps
    }

    fn restart_steps(&self, node: u32) -> Vec<(Ms, Step)> {
        vec![
            (self.from, Step::Stop(node)),
            (self.to, Step::StartWarmingUp(node)),
            (self.to, Step::List(node)),
        ]
    }

    fn volume_steps(&self, volume: u64) -> Vec<(Ms, Step)> {
        match self.kind {
            FaultKind::Surge => self.span(Step::Surge(volume, self.magnitude), Step::Surge(volume, 1.0)),
            FaultKind::Migration => vec![(self.from, Step::Migrate(volume, self.extent, self.shard))],
            FaultKind::AbandonMigration => vec![(self.from, Step::AbandonMigration(volume, self.extent))],
            _ => Vec::new(),
        }
    }

    /// The steps that concern the services, or the successors of nodes that drain.
    fn service_steps(&self) -> Vec<(Ms, Step)> {
        match self.kind {
            FaultKind::ListDown => self.span(Step::ListDown(true), Step::ListDown(false)),
            FaultKind::CoordinatorsDown => {
                self.span(Step::CoordinatorsDown(true), Step::CoordinatorsDown(false))
            }
            FaultKind::MapServiceDown => self.span(Step::MapServiceDown(true), Step::MapServiceDown(false)),
            FaultKind::OldMapReplay => self.span(Step::SaveMap, Step::ReplaySavedMap),
            FaultKind::ListFlaps => self.flap_steps(),
            // The successor of a drained node starts with its notice, that of a preempted one once it is gone.
            FaultKind::Drain => self.successor_steps(self.from),
            FaultKind::Preempt => self.successor_steps(self.to),
            _ => Vec::new(),
        }
    }

    fn flap_steps(&self) -> Vec<(Ms, Step)> {
        let turn = self.duration() / f64::from(FLAPS);
        let turns = (0..FLAPS).map(|n| self.from + turn * f64::from(n));
        turns.flat_map(|at| [(at, Step::ListDown(true)), (at + turn / 2.0, Step::ListDown(false))]).collect()
    }

    fn successor_steps(&self, at: Ms) -> Vec<(Ms, Step)> {
        let successors = self.successors.iter().map(|node| *node as u32);
        successors.flat_map(|node| [(at, Step::StartWarmingUp(node)), (at, Step::List(node))]).collect()
    }
}

#[cfg(test)]
mod tests;
