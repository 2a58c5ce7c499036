//! Scenarios: hosts as separate processes, emulated services, clients and faults on loopback, and an audit of the
//! seven rules. The audit uses no counters of the hosts, only the events that nodes and clients recorded at their
//! sockets.

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

/// A duration or a time on the clock of a run, in milliseconds.
pub type Ms = f64;
