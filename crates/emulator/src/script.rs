//! Troubles on a script: which, to whom, from when to when.

use crate::fleet::{Fleet, Handle};
use crate::Ms;
use magpiewick_hcl_settings::SettingsBlock;
use magpiewick_transport::Clock;
use std::time::Duration;

/// A kind of fault, as the file names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Silent,
    AnswersLost,
    Slow,
    Ageing,
    Crash,
    Drain,
    Preempt,
    MassRestart,
    ReportsLate,
    FullQueue,
    Deaf,
    ResetMidFrame,
    ListDown,
    ListFlaps,
    HostStall,
    HostKill,
    Surge,
    Move,
    AbandonMove,
    MoversDie,
    MapDown,
    Partly,
    MapOld,
}

const KINDS: [(&str, Kind); 23] = [
    ("silent", Kind::Silent),
    ("answers-lost", Kind::AnswersLost),
    ("slow", Kind::Slow),
    ("ageing", Kind::Ageing),
    ("crash", Kind::Crash),
    ("drain", Kind::Drain),
    ("preempt", Kind::Preempt),
    ("mass-restart", Kind::MassRestart),
    ("reports-late", Kind::ReportsLate),
    ("full-queue", Kind::FullQueue),
    ("deaf", Kind::Deaf),
    ("reset-mid-frame", Kind::ResetMidFrame),
    ("list-down", Kind::ListDown),
    ("list-flaps", Kind::ListFlaps),
    ("host-stall", Kind::HostStall),
    ("host-kill", Kind::HostKill),
    ("surge", Kind::Surge),
    ("move", Kind::Move),
    ("abandon-move", Kind::AbandonMove),
    ("movers-die", Kind::MoversDie),
    ("map-down", Kind::MapDown),
    ("partly", Kind::Partly),
    ("map-old", Kind::MapOld),
];

/// One fault of a script.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub name: String,
    kind: Kind,
    /// Nodes, zones, hosts or volumes, by the kind.
    whom: Vec<u64>,
    pub from: Ms,
    pub to: Ms,
    amount: f64,
    /// The spare nodes that take the place of those that go.
    successors: Vec<u64>,
    /// Of moves: which extent of the volume, and to which shard.
    extent: usize,
    shard: u32,
}

/// One thing that a script does, at its time.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Silent(u32, bool),
    Losing(u32, f64),
    Slow(u32, f64),
    Meter(u32, bool),
    Full(u32, bool),
    Deaf(u32, bool),
    Partly(u32, f64),
    Breaking(u32),
    Stop(u32),
    StartCold(u32),
    Drain(u32),
    Unlist(u32),
    List(u32),
    ListDown(bool),
    Move(u64, usize, u32),
    AbandonMove(u64, usize),
    MoversDead(bool),
    MapDown(bool),
    /// Keeps the map as it is, or tells hosts what was kept.
    MapOld(bool),
    /// These are not the fleet's: whoever plays the script does them.
    HostStall(u32, bool),
    HostKill(u32),
    HostStart(u32),
    Surge(u64, f64),
}

/// Reads the blocks `fault` of a file.
pub fn read_troubles(root: &SettingsBlock) -> Vec<Trouble> {
    root.repeated_blocks("trouble").iter().filter_map(read_trouble).collect()
}

fn read_trouble(p: &SettingsBlock) -> Option<Trouble> {
    let kind = KINDS.iter().find(|(name, _)| *name == p.label()).map(|k| k.1);
    if kind.is_none() {
        let known: Vec<&str> = KINDS.iter().map(|k| k.0).collect();
        p.report_error(format!("unknown trouble {:?}; known: {}", p.label(), known.join(", ")));
    }
    let (from, to) = (p.attribute("from").duration_ms(), p.attribute("to").duration_ms_or(f64::INFINITY));
    if to <= from {
        p.report_attribute_error("to", "a trouble that ends before it begins");
    }
    let successors = p.attribute("successors");
    let lists = ["nodes", "zones", "hosts", "volumes"].map(|name| p.attribute(name));
    let whom = lists.iter().find(|l| l.is_present()).map_or(Vec::new(), |l| l.integers());
    Some(Trouble {
        name: p.label().to_string(),
        kind: kind?,
        whom,
        from,
        to,
        extent: p.attribute("extent").integer_or(0..=1 << 20, 0) as usize,
        shard: p.attribute("shard").integer_or(0..=u64::from(u16::MAX), 0) as u32,
        amount: p.attribute("amount").number_or(1.0),
        successors: if successors.is_present() { successors.integers() } else { Vec::new() },
    })
}

impl Trouble {
    /// Its steps, with their times. `zone` tells the nodes of a zone.
    pub fn steps(&self, zone: impl Fn(u64) -> Vec<u32>) -> Vec<(Ms, Step)> {
        let mut steps = Vec::new();
        let both = |steps: &mut Vec<(Ms, Step)>, from: Step, to: Step| {
            steps.extend([(self.from, from), (self.to, to)]);
        };
        let length = if self.to.is_finite() { self.to - self.from } else { 1000.0 };
        for whom in &self.whom {
            let node = *whom as u32;
            match self.kind {
                Kind::Silent => both(&mut steps, Step::Silent(node, true), Step::Silent(node, false)),
                Kind::AnswersLost => {
                    both(&mut steps, Step::Losing(node, self.amount), Step::Losing(node, 0.0))
                }
                Kind::Slow => both(&mut steps, Step::Slow(node, self.amount), Step::Slow(node, 1.0)),
                Kind::ReportsLate => both(&mut steps, Step::Meter(node, true), Step::Meter(node, false)),
                Kind::FullQueue => both(&mut steps, Step::Full(node, true), Step::Full(node, false)),
                Kind::Partly => both(&mut steps, Step::Partly(node, self.amount), Step::Partly(node, 0.0)),
                Kind::Deaf => both(&mut steps, Step::Deaf(node, true), Step::Deaf(node, false)),
                Kind::Crash => {
                    both(&mut steps, Step::Stop(node), Step::StartCold(node));
                    both(&mut steps, Step::Unlist(node), Step::List(node));
                }
                Kind::ResetMidFrame => both(&mut steps, Step::Breaking(node), Step::Breaking(node)),
                Kind::HostStall => {
                    both(&mut steps, Step::HostStall(node, true), Step::HostStall(node, false))
                }
                Kind::HostKill => both(&mut steps, Step::HostKill(node), Step::HostStart(node)),
                Kind::Surge => both(&mut steps, Step::Surge(*whom, self.amount), Step::Surge(*whom, 1.0)),
                Kind::Ageing => {
                    // Slower and slower, then dead, then back and cold.
                    for part in 0..8 {
                        let slow = 1.0 + (self.amount - 1.0) * f64::from(part + 1) / 8.0;
                        steps.push((self.from + length * f64::from(part) / 10.0, Step::Slow(node, slow)));
                    }
                    steps.push((self.from + length * 0.8, Step::Stop(node)));
                    steps.push((self.to, Step::StartCold(node)));
                    steps.push((self.to, Step::List(node)));
                    continue;
                }
                Kind::MassRestart => {
                    for node in zone(*whom) {
                        steps.push((self.from, Step::Stop(node)));
                        steps.push((self.to, Step::StartCold(node)));
                        steps.push((self.to, Step::List(node)));
                    }
                    continue;
                }
                Kind::Drain | Kind::Preempt => {
                    steps.push((self.from, Step::Drain(node)));
                    steps.push((self.to, Step::Stop(node)));
                    steps.push((self.to, Step::Unlist(node)));
                    continue;
                }
                Kind::Move => steps.push((self.from, Step::Move(*whom, self.extent, self.shard))),
                Kind::AbandonMove => steps.push((self.from, Step::AbandonMove(*whom, self.extent))),
                Kind::ListDown | Kind::ListFlaps | Kind::MoversDie | Kind::MapDown | Kind::MapOld => {}
            }
        }
        match self.kind {
            Kind::ListDown => both(&mut steps, Step::ListDown(true), Step::ListDown(false)),
            Kind::MoversDie => both(&mut steps, Step::MoversDead(true), Step::MoversDead(false)),
            Kind::MapDown => both(&mut steps, Step::MapDown(true), Step::MapDown(false)),
            Kind::MapOld => both(&mut steps, Step::MapOld(true), Step::MapOld(false)),
            Kind::ListFlaps => {
                for turn in 0..4 {
                    let at = self.from + length * f64::from(turn) / 4.0;
                    steps.push((at, Step::ListDown(true)));
                    steps.push((at + length / 8.0, Step::ListDown(false)));
                }
            }
            // A drained node's successor starts with its notice, a preempted one's once it has gone.
            Kind::Drain | Kind::Preempt => {
                let at = if self.kind == Kind::Drain { self.from } else { self.to };
                for node in &self.successors {
                    steps.push((at, Step::StartCold(*node as u32)));
                    steps.push((at, Step::List(*node as u32)));
                }
            }
            _ => {}
        }
        steps.retain(|(at, _)| at.is_finite());
        steps
    }
}

impl Step {
    /// Does what is the fleet's to do; false where it is not.
    fn apply(&self, fleet: &mut Fleet) -> bool {
        let on = |fleet: &mut Fleet, number: u32, change: &dyn Fn(&mut Fleet, usize)| {
            if let Some(node) = fleet.node_number(number) {
                change(fleet, node);
            }
        };
        match *self {
            Step::Silent(n, yes) => on(fleet, n, &|f, n| f.ail(n, |a| a.silent = yes)),
            Step::Losing(n, part) => on(fleet, n, &|f, n| f.ail(n, |a| a.losing = part)),
            Step::Slow(n, times) => on(fleet, n, &|f, n| f.ail(n, |a| a.slow = times)),
            Step::Meter(n, mute) => on(fleet, n, &|f, n| f.ail(n, |a| a.mute_meter = mute)),
            Step::Full(n, yes) => on(fleet, n, &|f, n| f.ail(n, |a| a.full = yes)),
            Step::Deaf(n, yes) => on(fleet, n, &|f, n| f.ail(n, |a| a.deaf = yes)),
            Step::Partly(n, part) => on(fleet, n, &|f, n| f.ail(n, |a| a.partly = part)),
            Step::Breaking(n) => on(fleet, n, &|f, n| f.ail(n, |a| a.breaking = true)),
            Step::Stop(n) => on(fleet, n, &|f, n| f.stop(n)),
            Step::StartCold(n) => on(fleet, n, &|f, n| {
                if let Err(e) = f.start(n, true) {
                    tracing::error!(node = n, error = %e, "a stand-in cannot start again");
                }
            }),
            Step::Drain(n) => on(fleet, n, &|f, n| f.list(n, true, true)),
            Step::Unlist(n) => on(fleet, n, &|f, n| f.list(n, false, false)),
            Step::List(n) => on(fleet, n, &|f, n| f.list(n, true, false)),
            Step::ListDown(down) => fleet.list_is_down(down),
            Step::Move(volume, extent, shard) => fleet.plan_move(volume, extent, shard),
            Step::AbandonMove(volume, extent) => fleet.abandon_move(volume, extent),
            Step::MoversDead(dead) => fleet.map.movers_dead = dead,
            Step::MapDown(down) => fleet.map.down = down,
            Step::MapOld(keep) => fleet.map_old(keep),
            _ => return false,
        }
        true
    }
}

/// Plays steps at their times on `clock`, counted from `start`; what is not the fleet's goes to `other`.
/// Ends early where `stopped` says so.
pub fn play(
    handle: &Handle,
    clock: &Clock,
    start: Ms,
    mut steps: Vec<(Ms, Step)>,
    mut other: impl FnMut(&Step),
    stopped: impl Fn() -> bool,
) {
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, step) in steps {
        while clock.now() < start + at {
            if stopped() {
                return;
            }
            let left = Clock::until(clock.now(), start + at);
            std::thread::sleep(left.min(Duration::from_millis(50)));
        }
        tracing::info!(at_ms = at, step = ?step, "the script goes on");
        let did = step.clone();
        if !handle.ask(move |fleet| did.apply(fleet)).unwrap_or(true) {
            other(&step);
        }
    }
}
