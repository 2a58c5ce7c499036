//! Tests of retries. The reference model checks each retry against idempotency and the budget.

use crate::simulation::*;
use magpiewick::*;

#[test]
fn a_non_idempotent_request_is_retried_only_when_it_provably_did_not_run() {
    let mut simulation = Simulation::new(config());
    let [overloaded, reset] = [(); 2].map(|()| simulation.submit(Request { class: 2, ..request() }));
    simulation.outcome(overloaded, Outcome::Overloaded);
    simulation.outcome(reset, Outcome::Reset);
    assert_eq!(simulation.requests[reset].final_status(), Some(FinalStatus::Failed));
    simulation.advance(150.0);
    assert_eq!(simulation.attempts(overloaded), 2);
}

#[test]
fn a_request_with_an_idempotency_key_that_may_have_run_is_not_retried_outside_its_deduplication_scope() {
    let mut simulation = Simulation::new(config());
    let id = simulation.submit(Request { class: 1, key: Some(3), ..request_of(1) });
    simulation.outcome(id, Outcome::Reset);
    simulation.move_to_shard(id, 1);
    simulation.advance(500.0);
    assert!(simulation.nodes(id).iter().all(|&node| node == 0));
    assert_eq!(simulation.requests[id].final_status(), Some(FinalStatus::Failed));
}
