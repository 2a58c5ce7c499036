//! Tests of the window of attempts in flight at a node, and of the spacing between attempts.

use crate::simulation::*;
use magpiewick::*;

#[test]
fn slow_answers_narrow_the_window_below_its_floor_and_fast_ones_widen_it() {
    let window_after = |latency: Ms| {
        let mut simulation = Simulation::new(config());
        for _ in 0..100 {
            simulation.submit_all(6, &request_of(1));
            simulation.advance(latency);
            (0..simulation.requests.len()).for_each(|id| simulation.outcome(id, Outcome::Succeeded));
            (0..simulation.requests.len()).for_each(|id| simulation.disconnect(id));
        }
        simulation.submit_all(40, &request_of(1));
        simulation.in_flight_at(0)
    };
    assert_eq!((window_after(120.0), window_after(10.0) > 4), (1, true));
}

#[test]
fn under_congestion_only_reserved_requests_of_high_priority_weight_are_exempt_from_spacing() {
    let attempts = |priority_weight: f64| {
        let mut config = SchedulerConfig { hosts: 40.0, ..config() };
        config.classes[1].priority_weight = priority_weight;
        let mut simulation = Simulation::new(config);
        for _ in 0..80 {
            let id = simulation.submit(request_of(1));
            simulation.advance(150.0);
            simulation.outcome(id, Outcome::Succeeded);
        }
        for _ in 0..20 {
            let id = simulation.submit(request_of(2));
            simulation.outcome(id, Outcome::Succeeded);
        }
        let (excess, reserved) = (simulation.submit(request_of(2)), simulation.submit(request_of(3)));
        [simulation.attempts(excess), simulation.attempts(reserved)]
    };
    assert_eq!((attempts(1.0), attempts(3.0)), ([0, 1], [0, 0]));
}

#[test]
fn reserved_requests_are_spaced_when_latency_exceeds_the_objective() {
    let mut simulation = Simulation::new(SchedulerConfig { hosts: 40.0, ..config() });
    for _ in 0..80 {
        let id = simulation.submit(request_of(1));
        simulation.advance(300.0);
        simulation.outcome(id, Outcome::Succeeded);
    }
    let (first, second) = (simulation.submit(request_of(2)), simulation.submit(request_of(3)));
    simulation.outcome(first, Outcome::Succeeded);
    simulation.advance(10.0);
    assert_eq!(simulation.attempts(first) + simulation.attempts(second), 0);
}
