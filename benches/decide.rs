//! What a decision costs, by how many nodes there are and how many requests are held: all windows are full, one
//! request is succeeded, the next ones leave, and a new one is taken in its place.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use magpiewick::{
    Action, AfterOutcome, Answer, DeduplicationScope, Endpoint, EndpointUpdate, Idempotency, Ms, Outcome,
    QosPolicy, Request, RequestClass, RouteDecision, Scheduler, SchedulerConfig,
};
use std::collections::VecDeque;

/// Limits that nothing reaches within a measurement.
const LONG: Ms = 1e9;
/// The clock goes on by so much a request.
const STEP: Ms = 0.001;
const VOLUMES: usize = 40;

fn start() -> SchedulerConfig {
    let class = |ordered| RequestClass {
        latency_objective: LONG,
        client_timeout: 2.0 * LONG,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
        ordered,
    };
    let (price, rate, reserve, limit_rate, limit_burst) = (1.0, 100.0, 50.0, 0.0, 0.0);
    let plan = |weight| QosPolicy { price, weight, rate, reserve, limit_rate, limit_burst };
    SchedulerConfig {
        seed: 1,
        hosts: 1.0,
        classes: vec![class(false), class(true)],
        plans: vec![plan(1.0), plan(4.0)],
        round: 1.0,
        max_attempts: 3,
        can_cancel: true,
        max_retry_after: 100.0,
        max_poll_interval: None,
        slow_start_share: 1.0,
        slow_start_duration: 0.0,
        slow_start_units: 0.0,
        overload_window: 0.0,
        overload_multiple: 1.0,
        ordering_quiet_period: 50.0,
        budget: None,
        max_units: 4.0,
        mean_units: 2.0,
        max_batch_units: 4.0,
        share_weight: 0.3,
        counts_remote_service: true,
        peer: None,
    }
}

/// A host with its windows full and `held` requests besides.
struct Host {
    scheduler: Scheduler,
    now: Ms,
    nodes: usize,
    taken: usize,
    out: VecDeque<usize>,
    free: Vec<usize>,
    requests: Vec<Request>,
}

impl Host {
    fn new(nodes: usize, held: usize) -> Host {
        let mut scheduler = Scheduler::new(start(), 0.0);
        let entry = |node| Endpoint { node, zone: node % 3, shard: node, ..Endpoint::default() };
        scheduler.on_endpoint_update(
            0.0,
            EndpointUpdate::Snapshot,
            &(0..nodes).map(entry).collect::<Vec<_>>(),
        );
        let (out, free, requests) = (VecDeque::new(), Vec::new(), Vec::new());
        let mut host = Host { scheduler, now: 0.0, nodes, taken: 0, out, free, requests };
        while host.requests.len() < host.out.len() + held {
            host.take();
        }
        host
    }

    fn ask(&mut self, id: usize) {
        if let RouteDecision::Send { .. } = self.scheduler.route(self.now, id, &self.requests[id]) {
            self.out.push_back(id);
        }
    }

    fn run(&mut self) {
        while let Action::Route(id) = self.scheduler.next_action(self.now) {
            self.ask(id);
        }
    }

    fn take(&mut self) {
        self.taken += 1;
        let n = self.taken;
        // A tenth of the requests have a key whose order is kept.
        let (class, key) = if n.is_multiple_of(10) { (1, Some(n / 10)) } else { (0, None) };
        let request = Request {
            class,
            plan: n % 2,
            volume: n % VOLUMES,
            key,
            units: 1.0 + (n % 4) as f64,
            shard: Some(n.wrapping_mul(7919) % self.nodes),
            hosts: 1.0,
            client_timeout: 2.0 * LONG,
            counts: 1.0,
            with: None,
        };
        let id = self.free.pop().unwrap_or(self.requests.len());
        if id == self.requests.len() {
            self.requests.push(request);
        } else {
            self.requests[id] = request;
        }
        self.ask(id);
        self.run();
    }

    /// One request from being succeeded to the next one's leaving.
    fn step(&mut self) {
        self.now += STEP;
        if let Some(id) = self.out.pop_front() {
            let outcome = Outcome::Succeeded;
            let answer = Answer { outcome, latency: 1.0, over: true, used: None, others: 0.0 };
            assert!(self.scheduler.on_outcome(self.now, id, &answer) == AfterOutcome::Done, "it was settled");
            self.free.push(id);
            self.run();
        }
        self.take();
    }
}

fn decide(c: &mut Criterion) {
    let mut deduplication_scope = c.benchmark_group("decide");
    deduplication_scope.sample_size(10);
    for (nodes, held) in [(60, 100), (60, 4_000), (60, 40_000), (600, 1_000), (6_000, 1_000)] {
        let mut host = Host::new(nodes, held);
        let name = BenchmarkId::from_parameter(format!("{nodes} nodes, {held} held"));
        deduplication_scope.bench_function(name, |b| b.iter(|| host.step()));
    }
    deduplication_scope.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
