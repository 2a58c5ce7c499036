//! The plain types in which the decision module is asked and answers. Nothing here decides.
//!
//! Times are milliseconds with fractions on one clock; requests, nodes, volumes, keys, classes, plans, shards
//! and zones are small indices that the caller hands out. A request's index is free again once the request
//! is over and none of its attempts is out.

/// A point in time or a length of it, in milliseconds.
pub type Ms = f64;

/// Whether a class's requests may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    IdempotentWithKey,
    NonIdempotent,
}

/// The nodes that drop idempotency of a fingerprinted request among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Shard,
}

/// What the module reads of a class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub latency_objective: Ms,
    /// How long a client waits over all its tries.
    pub client_timeout: Ms,
    pub priority_weight: f64,
    pub idempotency: Idempotency,
    pub deduplication_scope: DeduplicationScope,
    /// How long the group remembers a fingerprint, from the first send that may have run.
    pub deduplication_window: Ms,
    pub ordered: bool,
}

/// What the module reads of a plan; every figure counts for one volume over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct QosPolicy {
    pub price: f64,
    pub weight: f64,
    /// Units a second that such a volume is sized for, and those of them that are reserved.
    pub rate: f64,
    pub reserve: f64,
    /// Units a second that fill the limit's store, and how many it holds; a rate of 0 is no limit.
    pub limit_rate: f64,
    pub limit_burst: f64,
}

/// How far retries may go: `free` plus `share` of the requests taken, in any `window`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    pub free: f64,
    pub share: f64,
    pub window: Ms,
}

/// What a host is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    pub seed: u64,
    pub hosts: f64,
    pub classes: Vec<RequestClass>,
    pub plans: Vec<QosPolicy>,
    pub round: Ms,
    pub max_attempts: u32,
    pub can_cancel: bool,
    /// The longest wait that a rejected client follows; 0 where it is not told one.
    pub max_retry_after: Ms,
    /// Set where the endpoint list must be asked for: how long a host may go without asking.
    pub max_poll_interval: Option<Ms>,
    pub slow_start_share: f64,
    pub slow_start_duration: Ms,
    /// The units that a cold node bears from all hosts together within `overload_window` as it starts.
    pub slow_start_units: f64,
    pub overload_window: Ms,
    /// A cold node falls when sent more than this multiple of what it can do for `overload_window`.
    pub overload_multiple: f64,
    pub ordering_quiet_period: Ms,
    pub budget: Option<RetryBudget>,
    pub max_units: f64,
    pub mean_units: f64,
    /// The most units that leave together, as one request of a node; never less than `max_units`.
    pub max_batch_units: f64,
    /// The part of the priority weight that units beyond the reserve earn within the volume's share.
    pub share_weight: f64,
    /// Answers tell what shards served for a volume through other hosts.
    pub counts_remote_service: bool,
    /// Set where hosts may send each other messages: this host's number, counted from 0.
    pub peer: Option<usize>,
}

/// A request as the host took it. `key` and `shard` are none where the request has none.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub plan: usize,
    pub volume: usize,
    pub key: Option<usize>,
    pub units: f64,
    pub shard: Option<usize>,
    /// How many hosts the volume's requests come through.
    pub hosts: f64,
    /// How long after it was taken the client gives up.
    pub client_timeout: Ms,
    /// 1, or 0 for what is a further piece of a request that was cut: the budget counts the request once.
    pub counts: f64,
    /// Asked with a request that has just been sent: it leaves with it, as one request of the node, or stays.
    pub with: Option<usize>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Error,
    Overloaded,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    DeadlineExceeded,
    /// The node does not hold the request's piece of data any more.
    ShardMoved,
}

impl Outcome {
    /// Whether this outcome is proof that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::DeadlineExceeded | Outcome::ShardMoved
        )
    }
}

/// RouteDecision a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// `latest`: by when it must have left, as a repeat that comes after that may run again.
    Send {
        node: usize,
        timeout: Ms,
        send_by: Ms,
    },
    Queue,
    Finish(FinalStatus),
}

/// A final answer that the host gives itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalStatus {
    /// Trying again is harmless, best after `retry_after` (0: no advice).
    Rejected {
        retry_after: Ms,
    },
    Failed,
}

/// What came with the outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub outcome: Outcome,
    /// From the send until now.
    pub latency: Ms,
    /// The request is over, by this outcome or before it.
    pub over: bool,
    /// What the volume was served everywhere in a finished period, as a part of its plan's rate; late.
    pub used: Option<f64>,
    /// Units that the node's shard served for the volume through other hosts since its last answer here.
    pub others: f64,
}

/// What is to be done after an outcome.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AfterOutcome {
    /// The request is over, or was before.
    Done,
    /// It is held again; ask about it when the module names it.
    Retry,
    Finish(FinalStatus),
}

/// What one host tells others of a node: how many answers it had from there since it last told, and by how much
/// these were over what requests take where nothing waits, in the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipReport {
    pub node: usize,
    /// What it has out there.
    pub out: u32,
    /// Whether requests wait for it there.
    pub waits: bool,
    pub answers: u32,
    pub wait: Ms,
}

/// What is due now, or until when nothing is.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Route(usize),
    CancelAttempt {
        request: usize,
        attempt: u32,
    },
    CheckHealth(usize),
    /// Ask for the endpoint list and its changes from now on.
    PollEndpoints,
    /// Tell these hosts, by their numbers.
    SendGossip {
        to: Vec<usize>,
        told: Vec<GossipReport>,
    },
    WaitUntil(Ms),
}

/// What the list says of a node's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    #[default]
    Ready,
    Draining,
    Removed,
}

/// A line of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    pub node: usize,
    pub zone: usize,
    pub shard: usize,
    pub state: EndpointState,
    /// When its process last started; none: long ago.
    pub started_at: Option<Ms>,
}

/// EndpointUpdate of the list: its changes, all of it, all of it as this host last had it, or that a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    Delta,
    Snapshot,
    Restored,
    PollFailed,
}
