//! Steps of a fault script, and their execution.

use crate::emulator::Emulator;
use crate::faults::NodeFaults;
use crate::handle::EmulatorHandle;
use crate::Ms;
use magpiewick_transport::Clock;
use std::time::Duration;

/// Longest sleep between checks whether the script was stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A step of a script. Nodes, hosts and volumes are identified by number.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A node executes requests but sends no answers.
    Unresponsive(u32, bool),
    /// A node loses a fraction of its answers.
    AnswerLoss(u32, f64),
    /// The work of a node takes longer by a factor.
    Slowdown(u32, f64),
    /// A node does not report the units that it served through other hosts.
    UsageWithheld(u32, bool),
    /// A node rejects all requests.
    QueueFull(u32, bool),
    /// A node sends no greeting, executes no requests and sends no answers.
    Hang(u32, bool),
    /// A node fails a fraction of its requests.
    PartialFailure(u32, f64),
    /// A node truncates its next answer and closes the connection.
    ResetMidFrame(u32),
    /// The process of a node ends.
    Stop(u32),
    /// The process of a node starts and warms up.
    StartWarmingUp(u32),
    /// The endpoint list marks a node as draining.
    Drain(u32),
    /// The endpoint list removes a node.
    Unlist(u32),
    /// The endpoint list adds a node.
    List(u32),
    /// The endpoint list service is unavailable.
    ListDown(bool),
    /// An extent, identified by its index in a volume, is migrated to a shard.
    Migrate(u64, usize, u32),
    /// The migration of an extent is abandoned.
    AbandonMigration(u64, usize),
    /// The coordinators of all migrations are down.
    CoordinatorsDown(bool),
    /// The map service records no changes.
    MapServiceDown(bool),
    /// The map is saved.
    SaveMap,
    /// The saved map is sent to hosts.
    ReplaySavedMap,
    /// The process of a host is suspended or continues. The caller of [`play_script`] executes this step and the
    /// following steps.
    HostStall(u32, bool),
    /// The process of a host is killed.
    HostKill(u32),
    /// The process of a host starts.
    HostStart(u32),
    /// The traffic of a volume changes to a multiple of its usual traffic.
    Surge(u64, f64),
}

impl Step {
    /// Applies the step to the emulator; returns false if the step does not affect the emulator.
    fn apply(&self, emulator: &mut Emulator) -> bool {
        match *self {
            Step::Unresponsive(node, enabled) => {
                with_faults(emulator, node, |faults| faults.unresponsive = enabled)
            }
            Step::AnswerLoss(node, fraction) => {
                with_faults(emulator, node, |faults| faults.answer_loss = fraction)
            }
            Step::Slowdown(node, factor) => with_faults(emulator, node, |faults| faults.slowdown = factor),
            Step::UsageWithheld(node, enabled) => {
                with_faults(emulator, node, |faults| faults.usage_withheld = enabled)
            }
            Step::QueueFull(node, enabled) => {
                with_faults(emulator, node, |faults| faults.queue_full = enabled)
            }
            Step::Hang(node, enabled) => with_faults(emulator, node, |faults| faults.hung = enabled),
            Step::PartialFailure(node, fraction) => {
                with_faults(emulator, node, |faults| faults.partial_failure = fraction)
            }
            Step::ResetMidFrame(node) => with_faults(emulator, node, |faults| faults.reset_mid_frame = true),
            Step::Stop(node) => with_node(emulator, node, Emulator::stop_node),
            Step::StartWarmingUp(number) => with_node(emulator, number, |emulator, node| {
                if let Err(error) = emulator.start_node(node, true) {
                    tracing::error!(node = number, %error, "node_restart_failed");
                }
            }),
            Step::Drain(node) => {
                with_node(emulator, node, |emulator, node| emulator.set_listed(node, true, true))
            }
            Step::Unlist(node) => {
                with_node(emulator, node, |emulator, node| emulator.set_listed(node, false, false))
            }
            Step::List(node) => {
                with_node(emulator, node, |emulator, node| emulator.set_listed(node, true, false))
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

/// Calls `action` with the index of the node that has the given number; does nothing if there is no such node.
fn with_node(emulator: &mut Emulator, number: u32, action: impl FnOnce(&mut Emulator, usize)) {
    if let Some(node) = emulator.node_index(number) {
        action(emulator, node);
    }
}

fn with_faults(emulator: &mut Emulator, number: u32, change: impl FnOnce(&mut NodeFaults)) {
    with_node(emulator, number, |emulator, node| emulator.change_faults(node, change));
}

/// Executes steps at their times on `clock`, counted from `start`; steps that do not affect the emulator are
/// passed to `on_other_step`. Returns early once `is_stopped` returns true.
pub fn play_script(
    handle: &EmulatorHandle,
    clock: &Clock,
    start: Ms,
    mut steps: Vec<(Ms, Step)>,
    mut on_other_step: impl FnMut(&Step),
    is_stopped: impl Fn() -> bool,
) {
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, step) in steps {
        while clock.now() < start + at {
            if is_stopped() {
                return;
            }
            let remaining = Clock::duration_until(clock.now(), start + at);
            std::thread::sleep(remaining.min(STOP_CHECK_INTERVAL));
        }
        tracing::info!(at_ms = at, step = ?step, "script_step_played");
        let applied = step.clone();
        if !handle.query(move |emulator| applied.apply(emulator)).unwrap_or(true) {
            on_other_step(&step);
        }
    }
}
