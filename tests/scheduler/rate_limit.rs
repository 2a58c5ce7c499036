//! Tests of the token buckets of rate-limited volumes. The reference model checks each attempt against
//! the actual bucket.

use crate::simulation::*;
use magpiewick::*;

/// Number of queued requests that hold tokens of their volume.
const WITH_TOKENS: usize = 300;
/// Largest growth of the processor time when sixteen times as many requests wait for tokens.
const MAX_GROWTH: f64 = 4.0;

/// Returns a host whose window is full, with [`WITH_TOKENS`] queued requests of one volume and `waiting`
/// requests with long deadlines that wait for tokens of this volume.
fn host_short_of_tokens(waiting: usize) -> Simulation {
    let mut config = config();
    config.classes[2].latency_objective = 100_000.0;
    (config.policies[1].limit_rate, config.policies[1].limit_burst) = (1000.0, WITH_TOKENS as f64);
    let mut simulation = Simulation::with_full_window(config);
    simulation.now += 1000.0;
    let limited = Request { policy: 1, ..request_of(5) };
    let patient = Request { class: 2, client_timeout: 200_000.0, ..limited.clone() };
    let requests = (0..WITH_TOKENS).map(|_| &limited).chain((0..waiting).map(|_| &patient));
    for (id, request) in (simulation.requests.len()..).zip(requests) {
        let decision = simulation.scheduler.route(simulation.now, id, request);
        assert!(matches!(decision, RouteDecision::Queue));
    }
    simulation
}

fn assert_independent_of_waiting_requests(step: fn(&mut Simulation)) {
    let time = |waiting| shortest_time(|| host_short_of_tokens(waiting), step);
    let (few, many) = (time(300), time(4800));
    let growth = many.as_secs_f64() / few.as_secs_f64();
    assert!(growth < MAX_GROWTH, "{few:?} with 300 waiting requests, {many:?} with 4800");
}

/// Guards against a loop iteration that is so long that answers are late, when many requests expire and
/// return their tokens.
#[test]
fn cost_of_returned_tokens_is_independent_of_the_number_of_waiting_requests() {
    assert_independent_of_waiting_requests(|simulation| {
        simulation.now += 210.0;
        assert!(simulation.run_due() >= WITH_TOKENS);
    });
}

/// Guards against a host whose processor time is consumed by requests over their rate limit.
#[test]
fn cost_of_accrued_tokens_is_independent_of_the_number_of_waiting_requests() {
    assert_independent_of_waiting_requests(|simulation| {
        for _ in 0..150 {
            simulation.now += 1.0;
            simulation.run_due();
        }
    });
}

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
fn a_token_bucket_does_not_replace_reserved_tokens() {
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
    // A non-idempotent request with a rate limit that covers only one such request.
    let limited = |shard| Request { class: 2, policy: 1, units: 4.0, shard: Some(shard), ..request_of(5) };
    let id = simulation.submit(limited(0));
    assert_eq!(simulation.attempts(id), 1);
    simulation.outcome(id, Outcome::ShardMoved);
    assert_eq!(simulation.attempts(id), 1, "sent again to the node that no longer holds the data");
    simulation.move_to_shard(id, 1);
    assert_eq!(simulation.nodes(id), [0, 1]);
    simulation.outcome(id, Outcome::Succeeded);
    // The reference model has counted one withdrawal; a second one would exceed the remaining tokens.
    let next = simulation.submit(Request { units: 1.0, ..limited(1) });
    simulation.advance(60.0);
    assert_eq!(simulation.attempts(next), 1);
}
