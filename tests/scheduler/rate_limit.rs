//! Token buckets of limited volumes. The reference model checks each attempt against the true bucket.

use crate::simulation::*;
use magpiewick::*;

#[test]
fn a_token_bucket_is_empty_when_the_host_starts() {
    let mut simulation = Simulation::new(config());
    let limited = Request { policy: 1, units: 4.0, client_timeout: 2000.0, ..request() };
    simulation.advance(2000.0);
    simulation.restart();
    let id = simulation.submit(limited);
    assert_eq!(simulation.attempts(id), 0);
    simulation.advance(110.0);
    assert_eq!(simulation.attempts(id), 1);
}

#[test]
fn a_token_bucket_does_not_refill_in_place_of_reserved_tokens() {
    let mut config = config();
    config.classes[0].latency_objective = 2000.0;
    let mut simulation = Simulation::new(config);
    simulation.advance(2000.0);
    simulation.fill_window();
    simulation.submit_all(10, &Request { policy: 1, units: 4.0, ..request_of(1) });
    simulation.advance(500.0);
    for id in 0..simulation.requests.len() {
        simulation.outcome(id, Outcome::Succeeded);
    }
}

#[test]
fn a_request_whose_shard_moved_is_retried_within_the_budget_and_spends_its_tokens_once() {
    let mut simulation = Simulation::new(config());
    simulation.advance(2000.0);
    // Not idempotent, with a rate limit that covers one such request only.
    let limited = |shard| Request { class: 2, policy: 1, units: 4.0, shard: Some(shard), ..request_of(5) };
    let id = simulation.submit(limited(0));
    assert_eq!(simulation.attempts(id), 1);
    simulation.outcome(id, Outcome::ShardMoved);
    assert_eq!(simulation.attempts(id), 1, "sent again where the data is no more");
    simulation.move_to_shard(id, 1);
    assert_eq!(simulation.nodes(id), [0, 1]);
    simulation.outcome(id, Outcome::Succeeded);
    // The reference model has counted one draw; a second one would leave less than there is.
    let next = simulation.submit(Request { units: 1.0, ..limited(1) });
    simulation.advance(60.0);
    assert_eq!(simulation.attempts(next), 1);
}
