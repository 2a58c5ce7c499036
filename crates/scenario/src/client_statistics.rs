//! Request counts and latencies of the clients of a run.

use crate::Ms;
use hdrhistogram::Histogram;
use magpiewick_node_protocol::FinalCode;

/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Request counts and latencies of all clients.
#[derive(Clone)]
pub struct ClientStatistics {
    /// Number of requests sent, including retries.
    pub sent: u64,
    /// Number of requests that succeeded.
    pub succeeded: u64,
    /// Number of requests that were rejected.
    pub rejected: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Number of requests without an answer in time.
    pub timed_out: u64,
    /// Number of requests whose connection ended.
    pub connection_lost: u64,
    latency_us: Histogram<u64>,
}

impl Default for ClientStatistics {
    fn default() -> ClientStatistics {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the bounds and digits of the histogram are valid");
        ClientStatistics {
            sent: 0,
            succeeded: 0,
            rejected: 0,
            failed: 0,
            timed_out: 0,
            connection_lost: 0,
            latency_us,
        }
    }
}

impl ClientStatistics {
    /// Counts a final answer; `latency` is the time since the request was first due.
    pub fn record_answer(&mut self, code: FinalCode, latency: Ms) {
        match code {
            FinalCode::Succeeded => {
                self.succeeded += 1;
                self.latency_us.saturating_record((latency * 1000.0).max(1.0) as u64);
            }
            FinalCode::Rejected => self.rejected += 1,
            FinalCode::Failed => self.failed += 1,
        }
    }

    /// Returns a quantile of the latencies of successful requests, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the longest latency of a successful request, in milliseconds.
    pub fn max_latency_ms(&self) -> f64 {
        self.latency_us.max() as f64 / 1000.0
    }
}
