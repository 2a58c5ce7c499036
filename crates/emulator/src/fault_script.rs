//! Scripted faults: their kind, targets, begin and end, and the steps of each fault.

use crate::script::Step;
use crate::Ms;
use magpiewick_hcl_settings::SettingsBlock;

/// Duration of a fault without an end, if its steps are distributed over the duration.
const DEFAULT_DURATION: Ms = 1000.0;
/// Number of steps in which an ageing node becomes slower before it stops; each step lasts a tenth of the duration
/// of the fault.
const AGEING_STEPS: u32 = 8;
/// Number of outages of a flapping endpoint list service; each outage lasts half of a cycle.
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

/// Kinds of fault, by name in a settings file.
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

/// A fault of a script.
#[derive(Clone, Debug)]
pub struct Fault {
    kind: FaultKind,
    /// Numbers of nodes, zones, hosts or volumes, depending on the kind.
    targets: Vec<u64>,
    from: Ms,
    to: Ms,
    /// Severity of the fault; the meaning depends on the kind.
    magnitude: f64,
    /// Spare nodes that replace the draining nodes.
    successors: Vec<u64>,
    /// Index of the extent to migrate within its volume, and the target shard.
    extent: usize,
    shard: u32,
}

/// Reads the blocks `trouble` of a file.
pub fn read_faults(root: &SettingsBlock<'_>) -> Vec<Fault> {
    root.repeated_blocks("trouble").iter().filter_map(read_fault).collect()
}

fn read_fault(block: &SettingsBlock<'_>) -> Option<Fault> {
    let kind = KINDS.iter().find(|(name, _)| *name == block.label()).map(|(_, kind)| *kind);
    if kind.is_none() {
        let kind_names: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
        block.report_error(format!("unknown trouble {:?}; known: {}", block.label(), kind_names.join(", ")));
    }
    let (from, to) =
        (block.attribute("from").duration_ms(), block.attribute("to").duration_ms_or(f64::INFINITY));
    if to <= from {
        block.report_attribute_error(
            "to",
            "the trouble must end after it begins; expected a time later than from",
        );
    }
    let successors = block.attribute("successors");
    let target_fields = ["nodes", "zones", "hosts", "volumes"].map(|name| block.attribute(name));
    let targets =
        target_fields.iter().find(|field| field.is_present()).map_or(Vec::new(), |field| field.integers());
    Some(Fault {
        kind: kind?,
        targets,
        from,
        to,
        extent: block.attribute("extent").integer_or(0..=1 << 20, 0) as usize,
        shard: block.attribute("shard").integer_or(0..=u64::from(u16::MAX), 0) as u32,
        magnitude: block.attribute("amount").number_or(1.0),
        successors: if successors.is_present() { successors.integers() } else { Vec::new() },
    })
}

impl Fault {
    /// Returns the steps of the fault with their times. `nodes_of_zone` returns the nodes of a zone.
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

    /// Returns the duration over which the steps are distributed.
    fn duration(&self) -> Ms {
        if self.to.is_finite() {
            self.to - self.from
        } else {
            DEFAULT_DURATION
        }
    }

    /// Returns one step at the begin and one step at the end of the fault.
    fn begin_and_end(&self, begin: Step, end: Step) -> Vec<(Ms, Step)> {
        vec![(self.from, begin), (self.to, end)]
    }

    fn node_or_host_steps(&self, number: u32) -> Vec<(Ms, Step)> {
        let flag = |step: fn(u32, bool) -> Step| self.begin_and_end(step(number, true), step(number, false));
        let degree = |step: fn(u32, f64) -> Step, normal: f64| {
            self.begin_and_end(step(number, self.magnitude), step(number, normal))
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
            FaultKind::ResetMidFrame => {
                self.begin_and_end(Step::ResetMidFrame(number), Step::ResetMidFrame(number))
            }
            FaultKind::HostKill => self.begin_and_end(Step::HostKill(number), Step::HostStart(number)),
            FaultKind::Crash => {
                let mut steps = self.begin_and_end(Step::Stop(number), Step::StartWarmingUp(number));
                steps.extend(self.begin_and_end(Step::Unlist(number), Step::List(number)));
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

    /// Returns the steps of a node that becomes gradually slower, stops, and is restarted.
    fn ageing_steps(&self, node: u32) -> Vec<(Ms, Step)> {
        let tenth = self.duration() / 10.0;
        let mut steps: Vec<(Ms, Step)> = (0..AGEING_STEPS)
            .map(|step| {
                let progress = f64::from(step + 1) / f64::from(AGEING_STEPS);
                let slowdown = 1.0 + (self.magnitude - 1.0) * progress;
                (self.from + tenth * f64::from(step), Step::Slowdown(node, slowdown))
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
            FaultKind::Surge => {
                self.begin_and_end(Step::Surge(volume, self.magnitude), Step::Surge(volume, 1.0))
            }
            FaultKind::Migration => vec![(self.from, Step::Migrate(volume, self.extent, self.shard))],
            FaultKind::AbandonMigration => vec![(self.from, Step::AbandonMigration(volume, self.extent))],
            _ => Vec::new(),
        }
    }

    /// Returns the steps for the services, or for the successors of draining nodes.
    fn service_steps(&self) -> Vec<(Ms, Step)> {
        match self.kind {
            FaultKind::ListDown => self.begin_and_end(Step::ListDown(true), Step::ListDown(false)),
            FaultKind::CoordinatorsDown => {
                self.begin_and_end(Step::CoordinatorsDown(true), Step::CoordinatorsDown(false))
            }
            FaultKind::MapServiceDown => {
                self.begin_and_end(Step::MapServiceDown(true), Step::MapServiceDown(false))
            }
            FaultKind::OldMapReplay => self.begin_and_end(Step::SaveMap, Step::ReplaySavedMap),
            FaultKind::ListFlaps => self.flap_steps(),
            // The successor of a drained node starts with the drain notification, the successor of a preempted
            // node after its stop.
            FaultKind::Drain => self.successor_steps(self.from),
            FaultKind::Preempt => self.successor_steps(self.to),
            _ => Vec::new(),
        }
    }

    fn flap_steps(&self) -> Vec<(Ms, Step)> {
        let cycle = self.duration() / f64::from(FLAPS);
        let cycles = (0..FLAPS).map(|n| self.from + cycle * f64::from(n));
        cycles
            .flat_map(|at| [(at, Step::ListDown(true)), (at + cycle / 2.0, Step::ListDown(false))])
            .collect()
    }

    fn successor_steps(&self, at: Ms) -> Vec<(Ms, Step)> {
        let successors = self.successors.iter().map(|node| *node as u32);
        successors.flat_map(|node| [(at, Step::StartWarmingUp(node)), (at, Step::List(node))]).collect()
    }
}

#[cfg(test)]
mod tests;
