//! Tests of the load that warming nodes receive.

use crate::simulation::*;
use magpiewick::*;

const HOSTS: usize = 40;
const STEP: Ms = 25.0;

/// Load on a warming node from many hosts together.
struct WarmingLoad {
    /// Largest fraction of its overload bound that any window reached.
    bound_used: f64,
    /// Units sent during the slow start as a fraction of the node's capacity in that time.
    capacity_used: f64,
}

fn submit_and_answer(simulation: &mut Simulation, step: usize) {
    let id = simulation.submit(Request { units: 1.0 + (step % 4) as f64, ..request_of(1) });
    simulation.outcome(id, Outcome::Succeeded);
}

/// Simulates forty hosts at a node that restarts while demand trebles.
fn load_of_many_hosts(hosts_restart: bool) -> WarmingLoad {
    let config = SchedulerConfig { hosts: HOSTS as f64, ..config() };
    let mut hosts: Vec<Simulation> = (0..HOSTS as u64)
        .map(|host| Simulation::new(SchedulerConfig { seed: 7 + host, ..config.clone() }))
        .collect();
    for step in 0..520 {
        hosts.iter_mut().for_each(|simulation| simulation.advance(STEP));
        submit_and_answer(&mut hosts[step % HOSTS], step / HOSTS);
    }
    let (restarted_at, capacity) = (hosts[0].now, 2.5 / STEP);
    for step in 0..160 {
        for (host, simulation) in hosts.iter_mut().enumerate() {
            simulation.advance(STEP);
            if step == host {
                simulation.set_endpoint(0, EndpointState::Ready, Some(restarted_at));
            }
            if hosts_restart && step == 40 + 3 * host {
                simulation.restart();
            }
            if step > host && (step + host) % 10 == 0 {
                submit_and_answer(simulation, step / 10);
            }
        }
    }
    let units_sent = |from: Ms, to: Ms| -> f64 {
        let notified_at = |host: usize| from.max(restarted_at + STEP * (host + 1) as f64);
        let sent = hosts.iter().enumerate().flat_map(|(host, simulation)| {
            simulation.sent.iter().filter(move |sent| sent.at > notified_at(host))
        });
        sent.filter(|sent| sent.at <= to).map(|sent| sent.units).sum()
    };
    let capacity_within = |from: Ms, to: Ms| {
        let recovery = config.slow_start_share + 0.4 * (from + to) / config.slow_start_duration;
        capacity * (to - from) * recovery
    };
    let bound_used = |window: u32| {
        let to = config.overload_window + 50.0 * f64::from(window);
        let from = to - config.overload_window;
        let bound = config.overload_multiple * capacity_within(from, to);
        units_sent(restarted_at + from, restarted_at + to) / bound
    };
    let sent = units_sent(restarted_at, restarted_at + config.slow_start_duration);
    WarmingLoad {
        bound_used: (0..60).map(bound_used).fold(0.0, f64::max),
        capacity_used: sent / capacity_within(0.0, config.slow_start_duration),
    }
}

#[test]
fn many_hosts_together_neither_overload_a_warming_node_nor_leave_it_idle() {
    for hosts_restart in [false, true] {
        let WarmingLoad { bound_used, capacity_used } = load_of_many_hosts(hosts_restart);
        assert!(
            bound_used <= 1.0 && capacity_used > 0.5,
            "bound used {bound_used}, capacity used {capacity_used}, {hosts_restart}"
        );
    }
}
