//! Tests of gossip between hosts and of the effect of received reports.

use crate::simulation::*;
use magpiewick::*;

/// Sends four requests of a volume, so that its reserve covers no further ones for some time.
fn spend_reserve(simulation: &mut Simulation, request: &Request) {
    simulation.submit_all(4, request);
}

#[test]
fn remote_in_flight_attempts_take_slots_until_their_report_expires() {
    let mut config = SchedulerConfig { hosts: 3.0, host_number: Some(0), ..config() };
    config.classes[0].latency_objective = 1000.0;
    let mut simulation = Simulation::new(config);
    let excess = || Request { units: 4.0, client_timeout: 2000.0, ..request_of(2) };
    spend_reserve(&mut simulation, &excess());
    (0..4).for_each(|id| simulation.outcome(id, Outcome::Succeeded));
    let busy = [report(0, 12, false)];
    simulation.scheduler.on_gossip(simulation.now, 1, &busy);
    simulation.scheduler.on_gossip(simulation.now, 1, &busy);
    let id = simulation.submit(excess());
    simulation.advance(50.0);
    assert_eq!(simulation.attempts(id), 0, "attempts of another host occupy the slots");
    simulation.scheduler.on_gossip(simulation.now, 2, &[report(0, 1, false)]);
    simulation.scheduler.on_gossip(simulation.now, 1, &[report(0, 1, false)]);
    simulation.advance(2.0);
    assert_eq!(simulation.attempts(id), 1, "a repeated report counted twice");
    simulation.scheduler.on_gossip(simulation.now, 1, &busy);
    let id = simulation.submit(excess());
    simulation.advance(150.0);
    assert_eq!(simulation.attempts(id), 0);
    simulation.advance(250.0);
    assert_eq!(simulation.attempts(id), 1, "an expired report still occupies slots");
}

#[test]
fn a_host_without_queued_requests_gossips_half_as_often() {
    let reports_with = |queued: usize| {
        let mut config = SchedulerConfig { host_number: Some(0), ..config() };
        config.classes[0].latency_objective = 3000.0;
        let mut simulation = Simulation::new(config);
        simulation.submit_all(4 + queued, &Request { units: 4.0, ..request_of(2) });
        simulation.advance(1000.0);
        simulation.gossip_sent.len()
    };
    let (idle, busy) = (reports_with(0), reports_with(4));
    assert!((4..7).contains(&idle) && busy > 8, "{idle} and {busy} reports in a second");
}

#[test]
fn competing_hosts_do_not_take_a_free_slot_simultaneously() {
    let sent_at_once = |competing_hosts: usize| {
        let attempts = |seed: u64| {
            let config = SchedulerConfig { hosts: 20.0, host_number: Some(0), seed, ..config() };
            let mut simulation = Simulation::new(config);
            let excess = Request { units: 4.0, ..request_of(2) };
            spend_reserve(&mut simulation, &excess);
            simulation.advance(10.0);
            (0..4).for_each(|id| simulation.outcome(id, Outcome::Succeeded));
            for host in 1..=competing_hosts {
                simulation.scheduler.on_gossip(simulation.now, host, &[report(0, 0, true)]);
            }
            let id = simulation.submit(excess);
            simulation.attempts(id)
        };
        (0..20).map(attempts).sum::<usize>()
    };
    let (alone, with_ten_competitors) = (sent_at_once(0), sent_at_once(10));
    assert!(
        alone >= 2 * with_ten_competitors,
        "{alone} sent immediately alone, {with_ten_competitors} with ten competing hosts"
    );
}
