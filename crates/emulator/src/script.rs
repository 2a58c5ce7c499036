//! The steps of a script, and their player.

use crate::emulator::Emulator;
use crate::faults::NodeFaults;
use crate::handle::EmulatorHandle;
use crate::Ms;
use magpiewick_transport::Clock;
use std::time::Duration;

/// How long the player of a script sleeps before it checks again whether it is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// One step of a script. Nodes, hosts and volumes are given by number.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A node executes requests and answers none.
    Unresponsive(u32, bool),
    /// A node loses this part of its answers.
    AnswerLoss(u32, f64),
    /// A node's work takes this many times as long.
    Slowdown(u32, f64),
    /// A node reports nothing of what it served through other hosts.
    UsageWithheld(u32, bool),
    /// A node rejects all requests.
    QueueFull(u32, bool),
    /// A node neither greets, executes nor answers.
    Hang(u32, bool),
    /// A node fails this part of its requests.
    PartialFailure(u32, f64),
    /// A node cuts off its next answer.
    ResetMidFrame(u32),
    /// A node's process ends.
    Stop(u32),
    /// A node's process starts and warms up.
    StartWarmingUp(u32),
    /// The endpoint list says that a node drains.
    Drain(u32),
    /// The endpoint list drops a node.
    Unlist(u32),
    /// The endpoint list adds a node.
    List(u32),
    /// The endpoint list service is down.
    ListDown(bool),
    /// An extent of a volume, by its index, is migrated to a shard.
    Migrate(u64, usize, u32),
    /// The migration of an extent is abandoned.
    AbandonMigration(u64, usize),
    /// The coordinators of all migrations are dead.
    CoordinatorsDown(bool),
    /// The map service records nothing.
    MapServiceDown(bool),
    /// The map is saved.
    SaveMap,
    /// Hosts are sent the saved map.
    ReplaySavedMap,
    /// A host's process is stopped or continues. This and the following are up to whoever plays the script.
    HostStall(u32, bool),
    /// A host's process is killed.
    HostKill(u32),
    /// A host's process starts.
    HostStart(u32),
    /// The traffic of a volume is this multiple of its usual traffic.
    Surge(u64, f64),
}

impl Step {
    /// Does what concerns the emulator; false where the step does not.
    fn apply(&self, emulator: &mut Emulator) -> bool {
        match *self {
            Step::Unresponsive(node, yes) => on_faults(emulator, node, |faults| faults.unresponsive = yes),
            Step::AnswerLoss(node, part) => on_faults(emulator, node, |faults| faults.answer_loss = part),
            Step::Slowdown(node, factor) => on_faults(emulator, node, |faults| faults.slowdown = factor),
            Step::UsageWithheld(node, yes) => on_faults(emulator, node, |faults| faults.usage_withheld = yes),
            Step::QueueFull(node, yes) => on_faults(emulator, node, |faults| faults.queue_full = yes),
            Step::Hang(node, yes) => on_faults(emulator, node, |faults| faults.hung = yes),
            Step::PartialFailure(node, part) => {
                on_faults(emulator, node, |faults| faults.partial_failure = part)
            }
            Step::ResetMidFrame(node) => on_faults(emulator, node, |faults| faults.reset_mid_frame = true),
            Step::Stop(node) => on_node(emulator, node, Emulator::stop_node),
            Step::StartWarmingUp(number) => on_node(emulator, number, |emulator, node| {
                if let Err(error) = emulator.start_node(node, true) {
                    tracing::error!(node = number, %error, "node_restart_failed");
                }
            }),
            Step::Drain(node) => {
                on_node(emulator, node, |emulator, node| emulator.set_listed(node, true, true))
            }
            Step::Unlist(node) => {
                on_node(emulator, node, |emulator, node| emulator.set_listed(node, false, false))
            }
            Step::List(node) => {
                on_node(emulator, node, |emulator, node| emulator.set_listed(node, true, false))
            }
            Step::ListDown(down) => emulator.set_list_down(down),
            Step::Migrate(volume, extent, shard) => emulator.migrate_extent(volume, extent, shard),
            Step::AbandonMigration(volume, extent) => emulator.abandon_migration(volume, extent),
            Step::CoordinatorsDown(down) => emulator.map.set_coordinators_down(down),
            Step::MapServiceDown(down) => emulator.map.set_down(down),
            Step::SaveMap => emulator.save_map(),
            Step::ReplaySavedMap => emulator.replay_saved_map(),
            Step::HostStall(..) | Step::HostKill(_) | Step::HostStart(_) | Step::Surge(..) => return false,
        }
        true
    }
}

/// Does something with a node, where there is one of this number.
fn on_node(emulator: &mut Emulator, number: u32, action: impl FnOnce(&mut Emulator, usize)) {
    if let Some(node) = emulator.node_index(number) {
        action(emulator, node);
    }
}

fn on_faults(emulator: &mut Emulator, number: u32, change: impl FnOnce(&mut NodeFaults)) {
    on_node(emulator, number, |emulator, node| emulator.change_faults(node, change));
}

/// Plays steps at their times on `clock`, counted from `start`; what does not concern the emulator goes to `other`.
/// Ends early where `is_stopped` says so.
pub fn play_script(
    handle: &EmulatorHandle,
    clock: &Clock,
    start: Ms,
    mut steps: Vec<(Ms, Step)>,
    mut other: impl FnMut(&Step),
    is_stopped: impl Fn() -> bool,
) {
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, step) in steps {
        while clock.now() < start + at {
            if is_stopped() {
                return;
            }
            let left = Clock::duration_until(clock.now(), start + at);
            std::thread::sleep(left.min(STOP_CHECK_INTERVAL));
        }
        tracing::info!(at_ms = at, step = ?step, "script_step_played");
        let applied = step.clone();
        if !handle.query(move |emulator| applied.apply(emulator)).unwrap_or(true) {
            other(&step);
        }
    }
}
