//! Breaks one rule on purpose, between sockets and nodes, to show that the audit finds it.

use crate::audit::Rule;
use crate::Ms;
use magpiewick::Idempotency;
use magpiewick_emulator::{AttemptInterceptor, ReceivedAttempt};
use magpiewick_gateway::config::HostConfig;
use std::collections::HashMap;

/// A defect that is seeded into a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededDefect {
    /// One that breaks this rule.
    Rule(Rule),
    /// A node's answer *shard moved* becomes a success on its way: what a host that ignores it would tell its
    /// client.
    IgnoredRedirect,
    /// A batch of which a part was rejected is retried as a whole.
    WholeBatchRetried,
    /// The blocks of a read come in another order.
    SwappedBlocks,
    /// A part of a batch is answered twice to its client.
    DuplicateAnswer,
    /// Hosts are sent half of each change of the map.
    HalfMapUpdates,
    /// Clients ignore retry-after times and retry at once.
    RetryAfterIgnored,
}

impl SeededDefect {
    /// The names on the command line beside those of the rules.
    pub const OTHER_NAMES: &str = "moved, batch, swapped, again, half, deaf";

    /// The defect of a name on the command line.
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

    /// The interceptor that seeds the defect between sockets and nodes; `None` where it is seeded elsewhere.
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

/// How many attempts pass before a defect begins.
const UNTOUCHED_ATTEMPTS: u64 = 200;
/// A node that received nothing for so long was away.
const ABSENCE: Ms = 1000.0;
/// The part of its latency objective for which a request is delayed towards a draining node.
const DRAIN_DELAY_PART: f64 = 0.85;
/// A node that was met first after this time joined late.
const LATE_JOIN: Ms = 1000.0;
/// How long a node that joined late counts as warming up.
const WARM_UP: Ms = 1500.0;
/// Copies of an attempt that overload a node which warms up, one that comes back, and a rate limit.
const SLOW_START_COPIES: u64 = 900;
const RETRY_STORM_COPIES: u64 = 120;
const RATE_LIMIT_COPIES: u64 = 8;
/// The delays of repeated attempts.
const REPEAT_DELAY: Ms = 5.0;
const RETRY_DELAY: Ms = 1.0;
const BATCH_RETRY_DELAY: Ms = 60.0;

struct DefectInterceptor {
    defect: SeededDefect,
    attempts: u64,
    non_idempotent_classes: Vec<u16>,
    /// Unordered classes whose requests may be executed again.
    idempotent_classes: Vec<u16>,
    /// The one of them with the longest latency objective, and how long its attempts are delayed.
    delayed_class: u16,
    drain_delay: Ms,
    rate_limited_volumes: Vec<u64>,
    /// When nodes received their first and their last attempt.
    first_attempts: HashMap<u32, Ms>,
    last_attempts: HashMap<u32, Ms>,
    /// Whether a defect that is seeded once has been.
    done: bool,
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
            drain_delay: DRAIN_DELAY_PART * objective(&delayed_class),
            idempotent_classes,
            rate_limited_volumes: rate_limited.map(|(id, _)| *id).collect(),
            first_attempts: HashMap::new(),
            last_attempts: HashMap::new(),
            done: false,
            retried_batch: None,
        }
    }

    /// The attempts that follow one by the defect.
    fn extra_attempts(&mut self, attempt: &ReceivedAttempt, node: NodeHistory) -> Vec<(Ms, ReceivedAttempt)> {
        let idempotent = self.idempotent_classes.contains(&attempt.class);
        let non_idempotent = self.non_idempotent_classes.contains(&attempt.class);
        let rate_limited = self.rate_limited_volumes.contains(&attempt.volume);
        match self.defect {
            SeededDefect::Rule(Rule::AtMostOnce) if non_idempotent && !self.done => {
                self.done = true;
                vec![(REPEAT_DELAY, repeat_of(attempt))]
            }
            SeededDefect::Rule(Rule::SlowStart)
                if idempotent && !rate_limited && node.joined_late && !self.done =>
            {
                self.done = true;
                copies_of(attempt, SLOW_START_COPIES)
            }
            // What a host queued for a node that was away, all at once.
            SeededDefect::Rule(Rule::RetryStorm) if node.idle > ABSENCE => {
                copies_of(attempt, RETRY_STORM_COPIES)
            }
            SeededDefect::Rule(Rule::RetryBudget) if idempotent => vec![(RETRY_DELAY, repeat_of(attempt))],
            SeededDefect::Rule(Rule::RateLimits) if idempotent && rate_limited => {
                copies_of(attempt, RATE_LIMIT_COPIES)
            }
            // As by a host that takes one part's rejection for the whole batch's.
            SeededDefect::WholeBatchRetried if non_idempotent && attempt.parts > 1 => {
                match *self.retried_batch.get_or_insert(attempt.batch) == attempt.batch {
                    true => vec![(BATCH_RETRY_DELAY, repeat_of(attempt))],
                    false => Vec::new(),
                }
            }
            _ => Vec::new(),
        }
    }

    /// Notes that a node receives an attempt.
    fn note_attempt(&mut self, now: Ms, node: u32) -> NodeHistory {
        self.attempts += 1;
        let first = *self.first_attempts.entry(node).or_insert(now);
        let idle = self.last_attempts.insert(node, now).map_or(0.0, |last| now - last);
        NodeHistory { joined_late: first > LATE_JOIN && now - first < WARM_UP, idle }
    }
}

/// What is known of the node that receives an attempt.
struct NodeHistory {
    /// Whether it joined during the run, a short time ago.
    joined_late: bool,
    /// For how long it had received nothing.
    idle: Ms,
}

impl AttemptInterceptor for DefectInterceptor {
    fn intercept(&mut self, now: Ms, node: u32, attempt: ReceivedAttempt) -> Vec<(Ms, ReceivedAttempt)> {
        let node = self.note_attempt(now, node);
        if self.attempts < UNTOUCHED_ATTEMPTS {
            return vec![(0.0, attempt)];
        }
        // Delayed on the way, so that some reach a node that has begun to drain meanwhile.
        if self.defect == SeededDefect::Rule(Rule::Draining) && attempt.class == self.delayed_class {
            return vec![(self.drain_delay, attempt)];
        }
        let extra = self.extra_attempts(&attempt, node);
        [vec![(0.0, attempt)], extra].concat()
    }
}

/// The next attempt of the same request.
fn repeat_of(attempt: &ReceivedAttempt) -> ReceivedAttempt {
    ReceivedAttempt { attempt: attempt.attempt + 1, ..attempt.clone() }
}

/// Copies that look like requests of their own.
fn copies_of(attempt: &ReceivedAttempt, count: u64) -> Vec<(Ms, ReceivedAttempt)> {
    let copy = |n: u64| {
        let request_id = attempt.request_id ^ (n << 48);
        ReceivedAttempt { request_id, attempt: 0, ..attempt.clone() }
    };
    (1..=count).map(|n| (0.0, copy(n))).collect()
}
