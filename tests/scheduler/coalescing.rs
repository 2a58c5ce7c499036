//! Tests of requests that are sent in one batch.

use crate::simulation::*;
use magpiewick::*;
use std::collections::BTreeMap;

/// Ends attempts with an outcome that proves that they did not run.
fn end_without_running(simulation: &mut Simulation, requests: &[usize]) {
    for id in requests {
        simulation.outcome(*id, Outcome::DeadlineExceeded);
    }
}

#[test]
fn a_batch_takes_one_slot_until_its_last_request_ends() {
    let mut simulation = Simulation::with_full_window(config());
    let queued = simulation.submit_all(40, &request_of(1));
    simulation.coalesces = true;
    end_without_running(&mut simulation, &[0]);
    let sent = |simulation: &Simulation| -> Vec<usize> {
        queued.iter().copied().filter(|&id| simulation.attempts(id) > 0).collect()
    };
    let first = sent(&simulation);
    assert!(first.len() > 3, "a frame holds several requests: {}", first.len());
    assert!(first.len() < 30, "a batch holds no more than a frame: {}", first.len());
    end_without_running(&mut simulation, &[1]);
    let second = sent(&simulation);
    assert!(second.len() > first.len(), "the first batch takes one slot");
    end_without_running(&mut simulation, &second[1..first.len()]);
    assert_eq!(sent(&simulation), second, "a slot is not free while a request of its batch is in flight");
    end_without_running(&mut simulation, &second[..1]);
    assert!(sent(&simulation).len() > second.len(), "the slot is free");
}

/// Fills the window, and answers each batch after a time determined by its units. Returns the number of
/// batches in flight.
fn answer_batches(simulation: &mut Simulation, coalesces: bool) -> usize {
    simulation.coalesces = coalesces;
    for n in 0..60 {
        simulation.submit(request_of(1 + n % 3));
    }
    let mut batches: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for (id, record) in simulation.requests.iter().enumerate() {
        if let Some(attempt) = record.attempts.last().filter(|attempt| attempt.is_in_flight()) {
            batches.entry(attempt.first).or_default().push(id);
        }
    }
    let mut by_units: Vec<(usize, usize)> =
        batches.values().flat_map(|batch| batch.iter().map(|id| (batch.len(), *id))).collect();
    by_units.sort_unstable();
    let started_at = simulation.now;
    for (units, id) in &by_units {
        simulation.now = started_at + 2.0 + *units as f64;
        simulation.outcome(*id, Outcome::Succeeded);
    }
    simulation.advance(100.0);
    batches.len()
}

#[test]
fn the_latency_of_a_batch_is_measured_against_its_total_units() {
    let mut simulation = Simulation::new(config());
    (0..30).for_each(|_| _ = answer_batches(&mut simulation, false));
    (0..30).for_each(|_| _ = answer_batches(&mut simulation, true));
    let window = answer_batches(&mut simulation, false);
    assert!(window > 4, "the window is {window} after batches");
}

#[test]
fn coalesced_requests_respect_their_key_rate_limit_and_node() {
    let mut simulation = Simulation::with_full_window(config());
    simulation.coalesces = true;
    let ordered = simulation.submit_all(2, &Request { class: 1, key: Some(3), ..request_of(1) });
    let limited = simulation.submit_all(60, &Request { policy: 1, ..request_of(3) });
    let elsewhere = simulation.submit(Request { shard: Some(1), ..request_of(1) });
    let attempts_elsewhere = simulation.attempts(elsewhere);
    end_without_running(&mut simulation, &[0]);
    // The reference model checks that no request violates its key's order or its volume's rate limit.
    assert!(simulation.attempts(ordered[1]) == 0 || !simulation.requests[ordered[0]].is_in_flight());
    assert!(limited.iter().filter(|id| simulation.attempts(**id) > 0).count() < 60);
    assert_eq!(
        simulation.attempts(elsewhere),
        attempts_elsewhere,
        "a batch contains a request of another node"
    );
}
