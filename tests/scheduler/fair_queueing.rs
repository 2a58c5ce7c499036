//! Tests of virtual time for requests that leave a queue unsent.

use crate::simulation::*;
use magpiewick::*;

#[test]
fn a_flow_is_not_charged_for_requests_that_leave_the_queue_unsent() {
    let mut simulation = Simulation::with_full_window(config());
    for id in simulation.submit_all(20, &request_of(1)) {
        simulation.disconnect(id);
    }
    let queued = [2, 2, 1].map(|volume| simulation.submit(request_of(volume)));
    assert_eq!(simulation.dispatch_order(&queued), [queued[0], queued[2], queued[1]]);
}

#[test]
fn a_frame_crossing_request_that_leaves_unsent_does_not_stall_the_frame() {
    // A counter that is not decremented would stop the potential, and a volume that starts later would
    // catch up on service that it never requested.
    let mut config = config();
    config.policies[0].reserve = 0.0;
    let mut simulation = Simulation::with_full_window(config);
    let disconnected = simulation.submit_all(40, &request_of(1));
    let queued = simulation.submit_all(30, &request_of(2));
    for id in disconnected.into_iter().rev() {
        simulation.disconnect(id);
    }
    for id in 0..queued[20] {
        simulation.outcome(id, Outcome::Succeeded);
    }
    let late_volume = simulation.submit_all(4, &request_of(3));
    let remaining: Vec<usize> =
        queued.iter().chain(&late_volume).copied().filter(|&id| simulation.attempts(id) == 0).collect();
    let order = simulation.dispatch_order(&remaining);
    let ahead = order.iter().take_while(|id| late_volume.contains(id)).count();
    assert!(ahead < late_volume.len(), "the late volume was served before all others: {order:?}");
}

#[test]
fn a_queued_request_moves_with_its_shard_and_is_not_charged_at_the_former_node() {
    let mut simulation = Simulation::with_full_window(config());
    let queued = simulation.submit_all(3, &request_of(1));
    assert!(queued.iter().all(|&id| simulation.attempts(id) == 0));
    simulation.move_to_shard(queued[1], 1);
    assert_eq!(simulation.nodes(queued[1]), [1]);
    assert!(simulation.attempts(queued[0]) == 0 && simulation.attempts(queued[2]) == 0);
}
