//! Offers traffic to a host that runs already.

use crate::client_statistics::ClientStatistics;
use crate::config::ScenarioConfig;
use crate::error::ScenarioError;
use crate::load_generator::{LoadGenerator, Session};
use magpiewick_gateway::config::HostConfig;
use magpiewick_transport::Clock;
use serde::Serialize;
use std::net::SocketAddr;

/// What a load came to. Latencies count from when a request was due.
#[derive(Clone, Serialize)]
pub struct LoadReport {
    /// The traffic's rate.
    pub offered_a_second: f64,
    /// Requests that succeeded, a second.
    #[serde(rename = "settled_a_second")]
    pub succeeded_a_second: f64,
    /// Requests that clients sent, with retries.
    #[serde(rename = "taken")]
    pub sent: u64,
    /// Requests that succeeded.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Requests that were rejected.
    #[serde(rename = "bounced")]
    pub rejected: u64,
    /// Requests that failed.
    #[serde(rename = "scrapped")]
    pub failed: u64,
    /// Requests without an answer in time.
    pub unanswered: u64,
    /// The median latency.
    pub p50_ms: f64,
    /// The 99th percentile latency.
    pub p99_ms: f64,
    /// The 99.9th percentile latency.
    pub p999_ms: f64,
    /// The longest latency.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

/// Offers a file's traffic to a host.
pub fn offer_load(
    host: &HostConfig,
    scenario: &ScenarioConfig,
    address: SocketAddr,
    seed: u64,
) -> Result<LoadReport, ScenarioError> {
    offer_session(host, scenario, address, &Session::open_loop(Clock::start(), scenario.duration, seed))
}

/// Offers a session's traffic to one address.
pub(crate) fn offer_session(
    host: &HostConfig,
    scenario: &ScenarioConfig,
    address: SocketAddr,
    session: &Session,
) -> Result<LoadReport, ScenarioError> {
    let clients = LoadGenerator::start(host, scenario, vec![Some(address)], session)?;
    let clients = clients.finish()?;
    Ok(report(&clients.statistics, scenario))
}

fn report(statistics: &ClientStatistics, scenario: &ScenarioConfig) -> LoadReport {
    LoadReport {
        offered_a_second: scenario.traffic.rate,
        succeeded_a_second: statistics.succeeded as f64 * 1000.0 / scenario.duration,
        sent: statistics.sent,
        succeeded: statistics.succeeded,
        rejected: statistics.rejected,
        failed: statistics.failed,
        unanswered: statistics.timed_out,
        p50_ms: statistics.latency_ms(0.5),
        p99_ms: statistics.latency_ms(0.99),
        p999_ms: statistics.latency_ms(0.999),
        max_ms: statistics.max_latency_ms(),
    }
}
