//! Violates one rule deliberately, between sockets and nodes, to show that the audit detects the violation.

use crate::audit::Rule;
use crate::Ms;
use magpiewick::Idempotency;
use magpiewick_emulator::{AttemptInterceptor, ReceivedAttempt};
use magpiewick_gateway::config::HostConfig;
use std::collections::{HashMap, HashSet};

/// A defect that is seeded into a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededDefect {
    /// A defect that violates this rule.
    Rule(Rule),
    /// An answer *shard moved* of a node is changed to success, as if a host ignored the redirect.
    IgnoredRedirect,
    /// A batch is retried as a whole after one of its parts was rejected.
    WholeBatchRetried,
    /// The blocks of a read are returned in the wrong order.
    SwappedBlocks,
    /// A client receives two answers to a part of a batch.
    DuplicateAnswer,
    /// Hosts receive only half of each change of the extent map.
    HalfMapUpdates,
    /// Clients ignore retry-after times and retry as often as possible.
    RetryAfterIgnored,
}

impl SeededDefect {
    /// Names on the command line, in addition to the names of the rules.
    pub const OTHER_NAMES: &str = "moved, batch, swapped, again, half, deaf";

    /// Returns the defect with the given name on the command line; `None` if the name is unknown.
    pub fn from_name(name: &str) -> Option<SeededDefect> {
        if let Some(rule) = Rule::ALL.into_iter().find(|rule| rule.name() == name) {
            return Some(SeededDefect::Rule(rule));
        }
        Some(match name {
            "moved" => SeededDefect::IgnoredRedirect,
            "batch" => SeededDefect::WholeBatchRetried,
            "swapped" => SeededDefect::SwappedBlocks,
            "again" => SeededDefect::DuplicateAnswer,
            "half" => SeededDefect::HalfMapUpdates,
            "deaf" => SeededDefect::RetryAfterIgnored,
            _ => return None,
        })
    }

    /// Returns the interceptor that seeds the defect between sockets and nodes; `None` for a defect that is seeded
    /// elsewhere.
    pub(crate) fn interceptor(self, host: &HostConfig) -> Option<Box<dyn AttemptInterceptor>> {
        let intercepts = match self {
            SeededDefect::Rule(rule) => {
                !matches!(rule, Rule::FinalAnswer | Rule::Ordering | Rule::DataIntegrity)
            }
            other => other == SeededDefect::WholeBatchRetried,
        };
        intercepts.then(|| Box::new(DefectInterceptor::new(self, host)) as Box<dyn AttemptInterceptor>)
    }
}

/// Number of attempts that pass unchanged before a defect begins.
const UNTOUCHED_ATTEMPTS: u64 = 200;
/// Shortest time without attempts after which a node counts as restarted.
const RESTART_IDLE_TIME: Ms = 1000.0;
/// Delay of an attempt towards a draining node, as a fraction of the latency objective.
const DRAIN_DELAY_FRACTION: f64 = 0.85;
/// Time after which a node's first attempt means that the node joined late.
const LATE_JOIN: Ms = 1000.0;
/// Time during which a node that joined late counts as warming up.
const WARM_UP: Ms = 1500.0;
/// Number of copies of an attempt that overload a warming node.
const SLOW_START_COPIES: u64 = 900;
/// Number of copies of an attempt that overload a restarted node.
const RETRY_STORM_COPIES: u64 = 120;
/// Number of copies of an attempt that exceed a rate limit.
const RATE_LIMIT_COPIES: u64 = 8;
/// Delays of repeated attempts.
const REPEAT_DELAY: Ms = 5.0;
const RETRY_DELAY: Ms = 1.0;
const BATCH_RETRY_DELAY: Ms = 60.0;

struct DefectInterceptor {
    defect: SeededDefect,
    attempts: u64,
    non_idempotent_classes: Vec<u16>,
    /// Unordered classes whose requests are idempotent.
    idempotent_classes: Vec<u16>,
    /// Idempotent class with the longest latency objective.
    delayed_class: u16,
    /// Delay of the attempts of `delayed_class`.
    drain_delay: Ms,
    rate_limited_volumes: Vec<u64>,
    /// Times at which nodes received their first attempt.
    first_attempts: HashMap<u32, Ms>,
    /// Times at which nodes received their latest attempt.
    last_attempts: HashMap<u32, Ms>,
    /// Nodes that received an attempt after a restart, and no copies since then.
    restarted_nodes: HashSet<u32>,
    /// Set once a defect that is seeded only once has been seeded.
    seeded: bool,
    retried_batch: Option<u64>,
}

impl DefectInterceptor {
    fn new(defect: SeededDefect, host: &HostConfig) -> DefectInterceptor {
        let classes = &host.scheduler.classes;
        let unordered = |idempotency: Idempotency| -> Vec<u16> {
            let numbered = classes.iter().zip(0..);
            let matching = numbered.filter(|(class, _)| class.idempotency == idempotency && !class.ordered);
            matching.map(|(_, number)| number).collect()
        };
        let idempotent_classes = unordered(Idempotency::Idempotent);
        let objective = |class: &u16| classes[usize::from(*class)].latency_objective;
        let longest = idempotent_classes.iter().max_by(|a, b| objective(a).total_cmp(&objective(b)));
        let delayed_class = longest.copied().unwrap_or(0);
        let policies = &host.scheduler.policies;
        let rate_limited = host.volumes.iter().filter(|(_, volume)| policies[volume.policy].limit_rate > 0.0);
        DefectInterceptor {
            defect,
            attempts: 0,
            non_idempotent_classes: unordered(Idempotency::NonIdempotent),
            delayed_class,
            drain_delay: DRAIN_DELAY_FRACTION * objective(&delayed_class),
            idempotent_classes,
            rate_limited_volumes: rate_limited.map(|(id, _)| *id).collect(),
            first_attempts: HashMap::new(),
            last_attempts: HashMap::new(),
            restarted_nodes: HashSet::new(),
            seeded: false,
            retried_batch: None,
        }
    }

    /// Returns the attempts that the defect adds after an attempt.
    fn extra_attempts(&mut self, attempt: &ReceivedAttempt, node: NodeHistory) -> Vec<(Ms, ReceivedAttempt)> {
        let idempotent = self.idempotent_classes.contains(&attempt.class);
        let non_idempotent = self.non_idempotent_classes.contains(&attempt.class);
        let rate_limited = self.rate_limited_volumes.contains(&attempt.volume);
        match self.defect {
            SeededDefect::Rule(Rule::AtMostOnce) if non_idempotent && !self.seeded => {
                self.seeded = true;
                vec![(REPEAT_DELAY, repeat_of(attempt))]
            }
            SeededDefect::Rule(Rule::SlowStart)
                if idempotent && !rate_limited && node.joined_late && !self.seeded =>
            {
                self.seeded = true;
                copies_of(attempt, SLOW_START_COPIES)
            }
            // As if a host sent its whole queue at once to a node after the restart. Copies of a request that is not
            // idempotent would violate another rule as well.
            SeededDefect::Rule(Rule::RetryStorm)
                if idempotent && self.restarted_nodes.remove(&node.number) =>
            {
                copies_of(attempt, RETRY_STORM_COPIES)
            }
            SeededDefect::Rule(Rule::RetryBudget) if idempotent => vec![(RETRY_DELAY, repeat_of(attempt))],
            SeededDefect::Rule(Rule::RateLimits) if idempotent && rate_limited => {
                copies_of(attempt, RATE_LIMIT_COPIES)
            }
            // As if a host treated the rejection of one part as a rejection of the whole batch.
            SeededDefect::WholeBatchRetried if non_idempotent && attempt.parts > 1 => {
                match *self.retried_batch.get_or_insert(attempt.batch) == attempt.batch {
                    true => vec![(BATCH_RETRY_DELAY, repeat_of(attempt))],
                    false => Vec::new(),
                }
            }
            _ => Vec::new(),
        }
    }

    /// Records that a node receives an attempt, and returns the history of the node.
    fn record_attempt(&mut self, now: Ms, node: u32) -> NodeHistory {
        self.attempts += 1;
        let first = *self.first_attempts.entry(node).or_insert(now);
        let idle = self.last_attempts.insert(node, now).map_or(0.0, |last| now - last);
        if idle > RESTART_IDLE_TIME {
            self.restarted_nodes.insert(node);
        }
        NodeHistory { number: node, joined_late: first > LATE_JOIN && now - first < WARM_UP }
    }
}

/// History of the node that receives an attempt.
struct NodeHistory {
    number: u32,
    /// Set if the node joined during the run and is still warming up.
    joined_late: bool,
}

impl AttemptInterceptor for DefectInterceptor {
    fn intercept(&mut self, now: Ms, node: u32, attempt: ReceivedAttempt) -> Vec<(Ms, ReceivedAttempt)> {
        let node = self.record_attempt(now, node);
        if self.attempts < UNTOUCHED_ATTEMPTS {
            return vec![(0.0, attempt)];
        }
        // Attempts are delayed, so that some reach a node that has begun to drain in the meantime.
        if self.defect == SeededDefect::Rule(Rule::Draining) && attempt.class == self.delayed_class {
            return vec![(self.drain_delay, attempt)];
        }
        let extra = self.extra_attempts(&attempt, node);
        [vec![(0.0, attempt)], extra].concat()
    }
}

/// Returns the next attempt of the same request.
fn repeat_of(attempt: &ReceivedAttempt) -> ReceivedAttempt {
    ReceivedAttempt { attempt: attempt.attempt + 1, ..attempt.clone() }
}

/// Returns copies of an attempt that have request identifiers of their own.
fn copies_of(attempt: &ReceivedAttempt, count: u64) -> Vec<(Ms, ReceivedAttempt)> {
    let copy = |n: u64| {
        let request_id = attempt.request_id ^ (n << 48);
        ReceivedAttempt { request_id, attempt: 0, ..attempt.clone() }
    };
    (1..=count).map(|n| (0.0, copy(n))).collect()
}
