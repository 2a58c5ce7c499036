//! The scheduler beside the reference model of the rules, on generated events.

use crate::simulation::*;
use magpiewick::*;
use quickcheck::{Gen, QuickCheck};

/// What an event is, and two choices in it.
type Event = (u8, u8, u8);

fn generated_request(a: u8, b: u8) -> Request {
    let (x, y) = (usize::from(a), usize::from(b));
    Request {
        class: x % 3,
        policy: y % 2,
        volume: 2 * (x / 3 % 3) + y % 2,
        key: (a < 200).then_some(x / 9 % 2),
        units: 1.0 + (y / 2 % 4) as f64,
        shard: (b < 230).then_some(y / 8 % 2),
        hosts: 2.0,
        client_timeout: [60.0, 400.0, 1200.0][x / 7 % 3],
        budget_weight: f64::from(!a.is_multiple_of(5)),
        coalesce_with: None,
    }
}

fn end_an_attempt(simulation: &mut Simulation, a: u8, b: u8) {
    use Outcome::*;
    let failures = [Error, Overloaded, ConnectFailed, Reset, Cancelled, DeadlineExceeded];
    let outcome = failures.get(usize::from(b) % 12).copied().unwrap_or(Succeeded);
    let in_flight: Vec<usize> =
        (0..simulation.requests.len()).filter(|&id| simulation.requests[id].is_in_flight()).collect();
    if let Some(&id) = in_flight.get(usize::from(a) % in_flight.len().max(1)) {
        simulation.outcome(id, outcome);
    }
}

fn change_an_endpoint(simulation: &mut Simulation, b: u8) {
    use EndpointState::*;
    let state = [Ready, Draining, Removed, Ready][usize::from(b) % 4];
    let started_at = (b > 60).then_some(simulation.now - f64::from(b));
    simulation.set_endpoint(usize::from(b) / 4 % 4, state, started_at);
}

/// Whatever another host reports, about nodes that the endpoint list never named too.
fn receive_a_report(simulation: &mut Simulation, a: u8, b: u8) {
    let (x, y) = (usize::from(a), usize::from(b));
    let report = GossipReport {
        node: y % 6,
        in_flight: u32::from(a) * u32::from(b),
        has_queued: !a.is_multiple_of(2),
        answers: u32::from(b % 16),
        queueing_delay: f64::from(a) * f64::from(b),
    };
    simulation.receive_gossip(x % 4, &[report, GossipReport { node: x % 6, ..report }]);
}

/// Plays one event: a request, an outcome, a change of the endpoint list, a disconnect, a restart, gossip,
/// or time.
fn play(simulation: &mut Simulation, (kind, a, b): Event) {
    match kind % 16 {
        0..=6 => _ = simulation.submit(generated_request(a, b)),
        7..=11 => end_an_attempt(simulation, a, b),
        12 if a < 60 => change_an_endpoint(simulation, b),
        13 if a < 60 => match simulation.requests.len() {
            0 => simulation.update_endpoints(EndpointUpdate::PollFailed),
            requests => simulation.disconnect(usize::from(b) % requests),
        },
        14 if a < 20 => simulation.restart(),
        14 => receive_a_report(simulation, a, b),
        _ => simulation.advance(f64::from(a % 64) + f64::from(b % 4) * 100.0),
    }
}

#[test]
fn the_scheduler_keeps_every_rule_of_the_reference_model() {
    fn every_request_is_answered(events: Vec<Event>) -> bool {
        let host_number = Some(0).filter(|_| !events.len().is_multiple_of(3));
        let mut simulation = Simulation::new(SchedulerConfig { host_number, ..config() });
        simulation.coalesces = events.len().is_multiple_of(2);
        for event in events {
            play(&mut simulation, event);
        }
        simulation.advance(2500.0);
        simulation.requests.iter().all(|record| record.completion.is_some())
    }
    let seeded = Gen::from_size_and_seed(400, 20_261_201);
    let property = every_request_is_answered as fn(Vec<Event>) -> bool;
    QuickCheck::new().rng(seeded).tests(400).quickcheck(property);
}

#[test]
fn without_received_gossip_decisions_are_those_of_a_host_that_cannot_gossip() {
    fn decisions_are_the_same(events: Vec<Event>) -> bool {
        let decisions = |host_number: Option<usize>| {
            let mut simulation = Simulation::new(SchedulerConfig { host_number, ..config() });
            (simulation.fixed_step, simulation.drops_gossip) = (true, true);
            for (kind, a, b) in &events {
                // The node of a request without a shard is drawn anew at each check: there is none here.
                play(&mut simulation, (*kind, *a, b % 230));
            }
            (simulation.sent, simulation.gossip_sent.is_empty())
        };
        let (gossiping, silent) = (decisions(Some(1)), decisions(None));
        gossiping.0 == silent.0 && silent.1
    }
    let seeded = Gen::from_size_and_seed(200, 20_261_201);
    let property = decisions_are_the_same as fn(Vec<Event>) -> bool;
    QuickCheck::new().rng(seeded).tests(100).quickcheck(property);
}
