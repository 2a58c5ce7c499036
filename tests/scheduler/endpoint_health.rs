//! Unresponsive and refusing nodes, lost answers, cancellation.

use crate::simulation::*;
use magpiewick::*;

#[test]
fn an_attempt_whose_answer_is_lost_frees_its_slot_and_is_retried() {
    let mut config = config();
    config.classes[0].latency_objective = 500.0;
    let after_later_answers = |later: usize| {
        let mut simulation = Simulation::new(config.clone());
        let lost = simulation.submit(request_of(1));
        simulation.advance(150.0);
        for _ in 0..later {
            let id = simulation.submit(request_of(1));
            simulation.advance(20.0);
            simulation.outcome(id, Outcome::Succeeded);
        }
        simulation.advance(400.0 - 20.0 * later as f64);
        (simulation.attempts(lost), simulation.requests[lost].completion.is_some())
    };
    assert_eq!((after_later_answers(3), after_later_answers(10)), ((1, false), (2, false)));
    // An unresponsive node is tried again, each time after a longer backoff.
    let mut simulation = Simulation::with_full_window(config);
    simulation.advance(550.0);
    let before = simulation.sent.len();
    for _ in 0..60 {
        simulation.submit(request_of(1));
        simulation.advance(100.0);
    }
    let sent = simulation.sent.len() - before;
    assert!((3..12).contains(&sent), "{sent}");
}

#[test]
fn one_unanswered_attempt_closes_no_node_that_other_hosts_report_answers_of() {
    let attempts_after = |lost: usize, receives_gossip: bool| {
        let mut simulation = Simulation::new(SchedulerConfig { host_number: Some(0), ..config() });
        for _ in 0..lost {
            simulation.submit(request_of(1));
            for _ in 0..25 * usize::from(receives_gossip) {
                simulation.advance(10.0);
                simulation.receive_gossip(1, &[report(1, 1, false)]);
            }
            simulation.advance(250.0 * f64::from(!receives_gossip));
        }
        let id = simulation.submit(request_of(2));
        simulation.attempts(id)
    };
    assert_eq!([attempts_after(1, true), attempts_after(3, true), attempts_after(1, false)], [1, 0, 0]);
}

#[test]
fn an_attempt_in_flight_is_cancelled_when_its_client_disconnects() {
    let mut simulation = Simulation::new(config());
    let id = simulation.submit(request());
    simulation.disconnect(id);
    assert_eq!(simulation.cancelled, [id]);
}

#[test]
fn a_moved_shard_does_not_count_against_the_node_that_held_it() {
    let mut simulation = Simulation::new(config());
    for _ in 0..2 {
        let id = simulation.submit(request_of(1));
        simulation.outcome(id, Outcome::ShardMoved);
        simulation.move_to_shard(id, 1);
    }
    let other = simulation.submit(request_of(2));
    assert_eq!(simulation.attempts(other), 1, "backoff at a node that is well");
}

#[test]
fn a_reset_connection_causes_no_backoff_and_a_refused_one_does() {
    let mut simulation = Simulation::new(config());
    let (reset, other) = (simulation.submit(request_of(1)), simulation.submit(request_of(2)));
    simulation.outcome(reset, Outcome::Reset);
    assert_eq!(simulation.attempts(reset), 2, "backoff at a node that serves");
    simulation.outcome(other, Outcome::ConnectFailed);
    let next = simulation.submit(request_of(3));
    assert_eq!(simulation.attempts(next), 0, "no backoff at a node that refuses connections");
}
