//! What an audit found.

use super::evidence::TrackedAttempt;
use super::retry_storm::RetryStormReport;
use crate::Ms;
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// A rule that the audit checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets exactly one final answer, in time, and no attempt is sent after it.
    FinalAnswer,
    /// No effect takes place twice.
    AtMostOnce,
    /// Nothing new goes to a node that drains.
    Draining,
    /// A node that warms up is not overloaded.
    SlowStart,
    /// Requests of one key run in the order taken.
    Ordering,
    /// The retries of a host stay within its retry budget.
    RetryBudget,
    /// The requests of a volume stay within its rate limit.
    RateLimits,
    /// Beyond the seven: an acknowledged write is where its data lies.
    DataIntegrity,
    /// Beyond the seven: what a scenario expects of retry storms, where it states something.
    RetryStorm,
}

impl Rule {
    /// All rules, in the order of a report.
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

    /// The rule's name on the command line and in reports.
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

/// One breach of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// The rule that was broken.
    pub rule: Rule,
    /// Milliseconds since the run began.
    pub at: Ms,
    /// The incarnation of the host that broke it, where it was one host.
    pub host: Option<u64>,
    /// The node concerned.
    pub node: Option<u32>,
    /// The client's mark of the request.
    #[serde(rename = "command")]
    pub request_id: Option<u64>,
    /// What happened, in words.
    #[serde(rename = "what")]
    pub description: String,
}

/// The result of an audit.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// How many cases were checked, by the name of the rule.
    pub checked: BTreeMap<&'static str, u64>,
    /// All breaches, by time.
    pub findings: Vec<Finding>,
    /// The priority weight of all requests.
    #[serde(rename = "due")]
    pub total_weight: f64,
    /// The priority weight of the requests that succeeded within their latency objective.
    #[serde(rename = "reached")]
    pub earned_weight: f64,
    /// Attempts that nodes received.
    #[serde(rename = "hand_offs")]
    pub attempts: u64,
    /// Attempts after the first one of a request.
    #[serde(rename = "further")]
    pub retries: u64,
    /// Attempts that reached a node which did not serve the data.
    #[serde(rename = "stale")]
    pub stale_attempts: u64,
    /// Requests with stale attempts that succeeded.
    #[serde(rename = "stale_settled")]
    pub stale_succeeded: u64,
    /// Requests with stale attempts that were rejected.
    #[serde(rename = "stale_bounced")]
    pub stale_rejected: u64,
    /// Requests with stale attempts that failed.
    #[serde(rename = "stale_scrapped")]
    pub stale_failed: u64,
    /// Changes of extents' owners or versions.
    #[serde(rename = "switched")]
    pub extents_switched: u64,
    /// What each host did, by number.
    pub by_host: Vec<HostStatistics>,
    /// What retry storms came to, where the scenario states an expectation.
    #[serde(rename = "storms", skip_serializing_if = "Option::is_none")]
    pub retry_storms: Option<RetryStormReport>,
}

/// What one host did.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HostStatistics {
    /// The host's number.
    pub host: usize,
    /// Writes that clients sent to it, without retries.
    pub writes: u64,
    /// Writes that it sent to nodes.
    #[serde(rename = "sent")]
    pub writes_sent: u64,
    /// The nodes' requests in which it sent them.
    #[serde(rename = "node_commands")]
    pub node_requests: u64,
    /// The part of the total priority weight that it earned within the latency objective.
    #[serde(rename = "payoff")]
    pub earned_share: f64,
    /// Successful reads of many blocks.
    pub long_reads: u64,
    /// Their median time to the last byte.
    pub long_p50_ms: f64,
    /// Their 99th percentile time to the last byte.
    pub long_p99_ms: f64,
}

impl Verdict {
    /// Counts checked cases of a rule.
    pub(super) fn add_checked(&mut self, rule: Rule, count: usize) {
        *self.checked.entry(rule.name()).or_default() += count as u64;
    }

    /// Adds a breach by an attempt.
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

    /// Adds a breach that concerns a request, by its mark.
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
