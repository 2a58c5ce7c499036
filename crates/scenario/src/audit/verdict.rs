//! Results of an audit.

use super::evidence::TrackedAttempt;
use super::retry_storm::RetryStormReport;
use crate::Ms;
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// A rule that the audit checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets exactly one final answer, in time, and no attempt is sent after the final answer.
    FinalAnswer,
    /// A request takes effect at most once.
    AtMostOnce,
    /// No new attempt is sent to a draining node.
    Draining,
    /// A warming node is not overloaded.
    SlowStart,
    /// Requests for one key run in the order received.
    Ordering,
    /// Retries of a host stay within its retry budget.
    RetryBudget,
    /// Requests for a volume stay within its rate limit.
    RateLimits,
    /// In addition to the seven rules: an acknowledged write is stored at the owner of its data.
    DataIntegrity,
    /// In addition to the seven rules: the scenario's expectations of retry storms hold, if it states any.
    RetryStorm,
}

impl Rule {
    /// All rules, in the order of reports.
    pub const ALL: [Rule; 9] = [
        Rule::FinalAnswer,
        Rule::AtMostOnce,
        Rule::Draining,
        Rule::SlowStart,
        Rule::Ordering,
        Rule::RetryBudget,
        Rule::RateLimits,
        Rule::DataIntegrity,
        Rule::RetryStorm,
    ];

    /// Returns the name of the rule on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::FinalAnswer => "lost",
            Rule::AtMostOnce => "twice",
            Rule::Draining => "drain",
            Rule::SlowStart => "cold",
            Rule::Ordering => "order",
            Rule::RetryBudget => "budget",
            Rule::RateLimits => "limits",
            Rule::DataIntegrity => "data",
            Rule::RetryStorm => "storm",
        }
    }
}

impl Serialize for Rule {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// Rule that was violated.
    pub rule: Rule,
    /// Time of the violation, in milliseconds since the run began.
    pub at: Ms,
    /// Incarnation of the host that violated the rule, if a single host did.
    pub host: Option<u64>,
    /// Number of the node concerned.
    pub node: Option<u32>,
    /// Idempotency key of the request.
    #[serde(rename = "command")]
    pub request_id: Option<u64>,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
}

/// Result of an audit.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Number of checked cases, by the name of the rule.
    pub checked: BTreeMap<&'static str, u64>,
    /// All violations, by time.
    pub findings: Vec<Finding>,
    /// Priority weight of all requests.
    #[serde(rename = "due")]
    pub total_weight: f64,
    /// Priority weight of the requests that succeeded within their latency objective.
    #[serde(rename = "reached")]
    pub earned_weight: f64,
    /// Number of attempts that nodes received.
    #[serde(rename = "hand_offs")]
    pub attempts: u64,
    /// Number of attempts after the first attempt of a request.
    #[serde(rename = "further")]
    pub retries: u64,
    /// Number of attempts received by a node that did not serve the extent.
    #[serde(rename = "stale")]
    pub stale_attempts: u64,
    /// Number of requests with stale attempts that succeeded.
    #[serde(rename = "stale_settled")]
    pub stale_succeeded: u64,
    /// Number of requests with stale attempts that were rejected.
    #[serde(rename = "stale_bounced")]
    pub stale_rejected: u64,
    /// Number of requests with stale attempts that failed.
    #[serde(rename = "stale_scrapped")]
    pub stale_failed: u64,
    /// Number of changes of owners or versions of extents.
    #[serde(rename = "switched")]
    pub extents_switched: u64,
    /// Statistics of each host, by number.
    pub by_host: Vec<HostStatistics>,
    /// Results of retry storms, if the scenario states an expectation.
    #[serde(rename = "storms", skip_serializing_if = "Option::is_none")]
    pub retry_storms: Option<RetryStormReport>,
}

/// Statistics of one host.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HostStatistics {
    /// Number of the host.
    pub host: usize,
    /// Number of writes that clients sent to the host, without retries.
    pub writes: u64,
    /// Number of writes that the host sent to nodes.
    #[serde(rename = "sent")]
    pub writes_sent: u64,
    /// Number of node requests that carried the writes.
    #[serde(rename = "node_commands")]
    pub node_requests: u64,
    /// Fraction of the total priority weight that the host earned within the latency objective.
    #[serde(rename = "payoff")]
    pub earned_share: f64,
    /// Number of successful reads of many blocks.
    pub long_reads: u64,
    /// Median time to the last byte of long reads.
    pub long_p50_ms: f64,
    /// 99th percentile time to the last byte of long reads.
    pub long_p99_ms: f64,
}

impl Verdict {
    /// Adds to the number of checked cases of a rule.
    pub(super) fn add_checked(&mut self, rule: Rule, count: usize) {
        *self.checked.entry(rule.name()).or_default() += count as u64;
    }

    /// Adds a violation by an attempt.
    pub(super) fn add_attempt(
        &mut self,
        rule: Rule,
        at: Ms,
        attempt: &TrackedAttempt,
        description: impl Into<String>,
    ) {
        self.findings.push(Finding {
            rule,
            at,
            host: Some(attempt.host),
            node: Some(attempt.node),
            request_id: Some(attempt.idempotency_key),
            description: description.into(),
        });
    }

    /// Adds a violation that concerns a request, identified by its idempotency key.
    pub(super) fn add_request(
        &mut self,
        rule: Rule,
        at: Ms,
        idempotency_key: u64,
        description: impl Into<String>,
    ) {
        let request_id = Some(idempotency_key);
        self.findings.push(Finding {
            rule,
            at,
            host: None,
            node: None,
            request_id,
            description: description.into(),
        });
    }
}
