//! Tests of the selection of a node for a request.

use crate::simulation::*;
use magpiewick::*;

#[test]
fn requests_queued_at_a_draining_node_move_to_the_node_that_takes_over_its_shard() {
    let mut simulation = Simulation::with_full_window(config());
    let id = simulation.submit(request_of(1));
    simulation.set_endpoint(0, EndpointState::Draining, None);
    simulation.set_endpoint(2, EndpointState::Ready, None);
    assert_eq!(simulation.nodes(id)[0], 2);
}

#[test]
fn a_warming_successor_gets_no_requests_until_its_predecessor_fails() {
    let mut simulation = Simulation::new(config());
    simulation.advance(1100.0);
    simulation.set_endpoint(2, EndpointState::Ready, Some(simulation.now));
    let before = simulation.submit(request_of(1));
    assert_eq!(simulation.nodes(before)[0], 0);
    simulation.outcome(before, Outcome::ConnectFailed);
    simulation.disconnect(before);
    simulation.advance(600.0);
    let after = simulation.submit(request_of(1));
    simulation.advance(150.0);
    assert_eq!(simulation.nodes(after)[0], 2);
}

#[test]
fn a_request_without_a_shard_goes_to_a_node_with_a_free_slot() {
    let mut simulation = Simulation::with_full_window(config());
    let id = simulation.submit(Request { shard: None, ..request_of(1) });
    assert_eq!(simulation.nodes(id)[0], 1);
}

#[test]
fn hosts_spread_requests_without_a_shard_over_the_nodes() {
    let first_node = |seed| {
        let mut simulation = Simulation::new(SchedulerConfig { seed, ..config() });
        let id = simulation.submit(Request { shard: None, ..request_of(1) });
        simulation.nodes(id)[0]
    };
    let first_node_count = (0..40).filter(|&seed| first_node(seed) == 0).count();
    assert!((10..30).contains(&first_node_count), "{first_node_count} of 40 hosts chose the same node");
}
