//! Offers load to a running host.

use crate::client_statistics::ClientStatistics;
use crate::config::ScenarioConfig;
use crate::error::ScenarioError;
use crate::load_generator::{LoadGenerator, Session};
use magpiewick_gateway::config::HostConfig;
use magpiewick_transport::Clock;
use serde::Serialize;
use std::net::SocketAddr;

/// Results of a load. Latencies are counted from the time at which a request was due.
#[derive(Clone, Serialize)]
pub struct LoadReport {
    /// Offered requests per second.
    pub offered_a_second: f64,
    /// Requests per second that succeeded.
    #[serde(rename = "settled_a_second")]
    pub succeeded_a_second: f64,
    /// Number of requests that clients sent, including retries.
    #[serde(rename = "taken")]
    pub sent: u64,
    /// Number of requests that succeeded.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Number of requests that were rejected.
    #[serde(rename = "bounced")]
    pub rejected: u64,
    /// Number of requests that failed.
    #[serde(rename = "scrapped")]
    pub failed: u64,
    /// Number of requests without an answer in time.
    pub unanswered: u64,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Longest latency.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

/// Offers the traffic of a settings file to a host.
pub fn offer_load(
    host: &HostConfig,
    scenario: &ScenarioConfig,
    address: SocketAddr,
    seed: u64,
) -> Result<LoadReport, ScenarioError> {
    offer_session(host, scenario, address, &Session::open_loop(Clock::start(), scenario.duration, seed))
}

/// Offers the traffic of a session to one address.
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
