//! Benchmark of the cost of a decision by the number of nodes and of pending requests: all windows are
//! full, one request succeeds, the next ones are sent, and a new one arrives in its place.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use magpiewick::{
    Action, AfterOutcome, Answer, DeduplicationScope, Endpoint, EndpointUpdate, Idempotency, Ms, Outcome,
    QosPolicy, Request, RequestClass, RouteDecision, Scheduler, SchedulerConfig,
};
use std::collections::VecDeque;

/// Time that no measurement reaches.
const UNREACHED: Ms = 1e9;
/// Step of the clock for each request.
const STEP: Ms = 0.001;
const VOLUMES: usize = 40;

fn config() -> SchedulerConfig {
    let class = |ordered| RequestClass {
        latency_objective: UNREACHED,
        client_timeout: 2.0 * UNREACHED,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
        ordered,
    };
    let (price, rate, reserve, limit_rate, limit_burst) = (1.0, 100.0, 50.0, 0.0, 0.0);
    let policy = |weight| QosPolicy { price, weight, rate, reserve, limit_rate, limit_burst };
    SchedulerConfig {
        seed: 1,
        hosts: 1.0,
        classes: vec![class(false), class(true)],
        policies: vec![policy(1.0), policy(4.0)],
        action_interval: 1.0,
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
        host_number: None,
    }
}

/// Host with full windows and further pending requests.
struct Host {
    scheduler: Scheduler,
    now: Ms,
    nodes: usize,
    arrivals: usize,
    in_flight: VecDeque<usize>,
    free_indices: Vec<usize>,
    requests: Vec<Request>,
}

impl Host {
    fn new(nodes: usize, pending: usize) -> Host {
        let mut scheduler = Scheduler::new(config(), 0.0);
        let endpoint = |node| Endpoint { node, zone: node % 3, shard: node, ..Endpoint::default() };
        scheduler.on_endpoint_update(
            0.0,
            EndpointUpdate::Snapshot,
            &(0..nodes).map(endpoint).collect::<Vec<_>>(),
        );
        let (in_flight, free_indices, requests) = (VecDeque::new(), Vec::new(), Vec::new());
        let mut host = Host { scheduler, now: 0.0, nodes, arrivals: 0, in_flight, free_indices, requests };
        while host.requests.len() < host.in_flight.len() + pending {
            host.submit();
        }
        host
    }

    fn route(&mut self, id: usize) {
        if let RouteDecision::Send { .. } = self.scheduler.route(self.now, id, &self.requests[id]) {
            self.in_flight.push_back(id);
        }
    }

    fn run_actions(&mut self) {
        while let Action::Route(id) = self.scheduler.next_action(self.now) {
            self.route(id);
        }
    }

    fn submit(&mut self) {
        self.arrivals += 1;
        let n = self.arrivals;
        // A tenth of the requests have an ordering key.
        let (class, key) = if n.is_multiple_of(10) { (1, Some(n / 10)) } else { (0, None) };
        let request = Request {
            class,
            policy: n % 2,
            volume: n % VOLUMES,
            key,
            units: 1.0 + (n % 4) as f64,
            shard: Some(n.wrapping_mul(7919) % self.nodes),
            hosts: 1.0,
            client_timeout: 2.0 * UNREACHED,
            budget_weight: 1.0,
            coalesce_with: None,
        };
        let id = self.free_indices.pop().unwrap_or(self.requests.len());
        if id == self.requests.len() {
            self.requests.push(request);
        } else {
            self.requests[id] = request;
        }
        self.route(id);
        self.run_actions();
    }

    /// Ends one request with success, sends the next ones, and submits a new one.
    fn step(&mut self) {
        self.now += STEP;
        if let Some(id) = self.in_flight.pop_front() {
            let outcome = Outcome::Succeeded;
            let answer = Answer {
                outcome,
                latency: 1.0,
                request_finished: true,
                volume_usage: None,
                remote_units: 0.0,
            };
            assert!(
                self.scheduler.on_outcome(self.now, id, &answer) == AfterOutcome::Done,
                "the request is finished"
            );
            self.free_indices.push(id);
            self.run_actions();
        }
        self.submit();
    }
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    group.sample_size(10);
    for (nodes, pending) in [(60, 100), (60, 4_000), (60, 40_000), (600, 1_000), (6_000, 1_000)] {
        let mut host = Host::new(nodes, pending);
        let name = BenchmarkId::from_parameter(format!("{nodes} nodes, {pending} held"));
        group.bench_function(name, |bencher| bencher.iter(|| host.step()));
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
