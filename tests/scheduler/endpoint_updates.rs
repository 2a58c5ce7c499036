//! Tests of the times at which the endpoint list is polled.

use crate::simulation::*;
use magpiewick::*;

#[test]
fn the_endpoint_list_is_polled_again_after_a_failure_or_without_an_answer() {
    let mut simulation = Simulation::new(config());
    assert_eq!(simulation.polls, 1);
    simulation.update_endpoints(EndpointUpdate::PollFailed);
    simulation.advance(100.0);
    assert_eq!(simulation.polls, 2);
    simulation.advance(9000.0);
    assert!(simulation.polls >= 3);
    simulation.update_endpoints(EndpointUpdate::Snapshot);
    let polls = simulation.polls;
    simulation.advance(9500.0);
    assert_eq!(simulation.polls, polls + 1);
}
