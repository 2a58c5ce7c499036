//! Scenarios: hosts as processes of their own, emulated services, clients and faults on loopback, and an audit of
//! the seven rules that relies on nobody's counters, only on what nodes and clients saw on their sockets.

mod audit;
mod benchmark;
mod client_defects;
mod client_event;
mod client_loop;
mod client_statistics;
mod config;
mod error;
mod host_connections;
mod host_process;
mod load;
mod load_generator;
mod relay;
mod scenario_run;
mod seeded_defect;
mod workload;

pub use audit::{
    audit, Evidence, Finding, HostStatistics, NodeReturn, RetryStormReport, Rule, Stall, Verdict,
};
pub use benchmark::{bench, bench_reads, median_min_max, BenchmarkResult, ReadBenchmarkResult};
pub use client_event::{ClientEvent, ClientRequest};
pub use client_statistics::ClientStatistics;
pub use config::{
    read_config, Backoff, Config, Mix, RetryBehaviour, RetryStormExpectation, ScenarioConfig, TrafficConfig,
};
pub use error::ScenarioError;
pub use load::{offer_load, LoadReport};
pub use load_generator::{ClientReport, LoadGenerator, Session};
pub use relay::relay;
pub use scenario_run::{run_scenario, RunOptions, ScenarioReport, ScenarioSettings};
pub use seeded_defect::SeededDefect;

/// Milliseconds, as a span or on the clock of a run.
pub type Ms = f64;
