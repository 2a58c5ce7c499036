//! The engine beside a plain count of what it owes: whatever comes in whatever order, each request gets one
//! final answer, nothing is sent after it, and nothing is kept once all is over.

use magpiewick::{
    Answer, DeduplicationScope, EndpointUpdate, FinalStatus, Idempotency, Ms, Outcome, QosPolicy, Request,
    RequestClass, SchedulerConfig,
};
use magpiewick_engine::{AttemptRef, Engine, Environment, IncomingRequest, Reason};
use quickcheck::quickcheck;
use std::collections::btree_map::{BTreeMap, Entry};

/// Whoever is in hand and not ended may be offered as company: the module has the last word.
#[derive(Default)]
struct Count {
    taken: u64,
    offered: u64,
    together: u32,
    out: Vec<(u64, u32)>,
    /// Final answers by request; the client's going counts as one.
    ended: BTreeMap<u64, u32>,
    wrong: Option<String>,
}

impl Environment for Count {
    fn send(&mut self, _: u32, attempts: &[AttemptRef]) {
        for part in attempts {
            if self.ended.contains_key(&part.request_id) || part.timeout <= 0.0 {
                self.wrong = Some(format!("{} was sent after its end", part.request_id));
            }
            if self.out.iter().any(|(request, _)| *request == part.request_id) {
                self.wrong = Some(format!("{} was sent while it is out", part.request_id));
            }
            self.out.push((part.request_id, part.attempt));
        }
        self.offered = 0;
        self.together += u32::from(attempts.len() > 1);
    }

    fn next_coalesced(&mut self, _: &[AttemptRef]) -> Option<u64> {
        self.offered += 1;
        (self.offered <= self.taken).then_some(self.offered)
    }

    fn cancel(&mut self, request: u64, attempt: u32) {
        if !self.out.contains(&(request, attempt)) {
            self.wrong = Some(format!("a cancel of {request}, which is not out"));
        }
    }

    fn answer(&mut self, request: u64, _: FinalStatus, _: Reason) {
        *self.ended.entry(request).or_default() += 1;
    }

    fn check_health(&mut self, _: u32) {}

    fn poll_endpoints(&mut self) {}

    fn wake(&mut self, _: Ms) {}
}

fn start() -> SchedulerConfig {
    let class = |idempotency, ordered| {
        let (deduplication_scope, deduplication_window, priority_weight) =
            (DeduplicationScope::Zone, 300.0, 1.0);
        RequestClass {
            latency_objective: 100.0,
            client_timeout: 400.0,
            priority_weight,
            idempotency,
            deduplication_scope,
            deduplication_window,
            ordered,
        }
    };
    let (price, weight, rate, reserve, limit_rate, limit_burst) = (1.0, 1.0, 50.0, 20.0, 0.0, 0.0);
    SchedulerConfig {
        seed: 3,
        hosts: 1.0,
        classes: vec![class(Idempotency::Idempotent, false), class(Idempotency::NonIdempotent, true)],
        policies: vec![QosPolicy { price, weight, rate, reserve, limit_rate, limit_burst }],
        round: 2.0,
        max_attempts: 3,
        can_cancel: true,
        max_retry_after: 100.0,
        max_poll_interval: None,
        slow_start_share: 1.0,
        slow_start_duration: 0.0,
        slow_start_units: 0.0,
        overload_window: 0.0,
        overload_multiple: 1.0,
        ordering_quiet_period: 20.0,
        budget: None,
        max_units: 4.0,
        mean_units: 1.0,
        max_batch_units: 8.0,
        share_weight: 0.3,
        counts_remote_service: true,
        peer: None,
    }
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Succeeded,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
];

fn outcome(engine: &mut Engine, environment: &mut Count, now: Ms, place: usize, outcome: Outcome) {
    let (request, _) = environment.out.remove(place);
    let over = outcome == Outcome::Succeeded;
    if over {
        let ended = environment.ended.entry(request).or_default();
        *ended = (*ended).max(1);
    }
    let answer = Answer { outcome, latency: 5.0, request_over: over, volume_usage: None, remote_units: 0.0 };
    engine.on_outcome(now, request, answer, environment);
}

fn take(engine: &mut Engine, environment: &mut Count, now: Ms, id: u64, (a, b): (u8, u8)) {
    let (class, shard) = (usize::from(a % 2), Some(usize::from(b % 2)));
    let (units, hosts, client_timeout) = (1.0, 1.0, 400.0);
    let (plan, volume, key, counts, with) = (0, 0, None, 1.0, None);
    let request = Request {
        class,
        policy: plan,
        volume,
        key,
        units,
        shard,
        hosts,
        client_timeout,
        budget_weight: counts,
        coalesce_with: with,
    };
    engine.submit(now, IncomingRequest { id, key: u64::from(a % 5), volume: 9, request }, environment);
}

quickcheck! {
    fn each_command_ends_once(steps: Vec<(u8, u8, u8)>) -> Result<(), String> {
        let (mut engine, mut environment, mut now) = (Engine::new(start(), 0.0), Count::default(), 0.0);
        let entry = |n: usize| magpiewick::Endpoint { shard: n, ..Default::default() };
        engine.on_endpoint_update(now, EndpointUpdate::Snapshot, &[(70, entry(0)), (80, entry(1))]);
        let mut taken = 0;
        for (step, a, b) in steps {
            now += f64::from(b % 16);
            match step % 4 {
                0 | 1 => {
                    taken += 1;
                    environment.taken = taken;
                    take(&mut engine, &mut environment, now, taken, (a, b));
                }
                2 if !environment.out.is_empty() => {
                    let place = usize::from(a) % environment.out.len();
                    outcome(&mut engine, &mut environment, now, place, OUTCOMES[usize::from(b) % OUTCOMES.len()]);
                }
                3 if taken > 0 => {
                    let id = 1 + u64::from(a) % taken;
                    // The client of an ended request has nothing to give up.
                    if let Entry::Vacant(left) = environment.ended.entry(id) {
                        engine.on_client_disconnect(now, id);
                        left.insert(1);
                    }
                }
                _ => {}
            }
            engine.run(now, &mut environment);
        }
        // In the end every attempt times out, and every client's time is over.
        for _ in 0..100 {
            now += 10.0;
            engine.run(now, &mut environment);
            while !environment.out.is_empty() {
                outcome(&mut engine, &mut environment, now, 0, Outcome::TimedOut);
            }
        }
        let many = environment.ended.iter().find(|(_, times)| **times != 1);
        match (environment.wrong, many) {
            (Some(wrong), _) => Err(wrong),
            (None, Some((request, times))) => Err(format!("{request} ended {times} times")),
            (None, None) if environment.ended.len() as u64 != taken => Err("a command never ended".to_string()),
            (None, None) if engine.pending() != 0 => Err("what is over is kept".to_string()),
            _ => Ok(()),
        }
    }
}

/// Kilobytes that this process holds in memory.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn what_is_kept_does_not_grow_with_ids_that_are_always_new() {
    let (mut engine, mut environment) = (Engine::new(start(), 0.0), Count::default());
    let entry = magpiewick::Endpoint::default();
    engine.on_endpoint_update(0.0, EndpointUpdate::Snapshot, &[(1, entry)]);
    let mut serve = |ids: std::ops::Range<u64>| {
        for id in ids {
            let now = id as f64 * 10.0;
            let (client_timeout, units) = (400.0, 1.0);
            let (class, plan, volume, key, shard) = ((id % 2) as usize, 0, 0, None, Some(0));
            let (hosts, counts, with) = (1.0, 1.0, None);
            let request = Request {
                class,
                policy: plan,
                volume,
                key,
                units,
                shard,
                hosts,
                client_timeout,
                budget_weight: counts,
                coalesce_with: with,
            };
            engine.submit(now, IncomingRequest { id, key: id, volume: id, request }, &mut environment);
            engine.run(now, &mut environment);
            while !environment.out.is_empty() {
                outcome(&mut engine, &mut environment, now, 0, Outcome::Succeeded);
            }
            environment.ended.clear();
        }
        assert_eq!((engine.pending(), &environment.wrong), (0, &None));
        resident()
    };
    // Until all that is bounded has reached its bound.
    let before = serve(1..250_000);
    let grown = serve(250_000..500_000).saturating_sub(before);
    assert!(grown < 4096, "{grown} kB more after as many commands again");
}
