//! The types of the scheduler's interface. Nothing here decides.
//!
//! Times are milliseconds with fractions on one monotonic clock. Requests, nodes, volumes, keys, classes,
//! QoS policies, shards and zones are small indices that the caller assigns. A request's index is free
//! again once the request is over and none of its attempts is in flight.

/// A point in time or a duration, in milliseconds.
pub type Ms = f64;

/// Whether the requests of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running again does no harm.
    Idempotent,
    /// Running again does no harm where nodes recognise the request by its key, see [`DeduplicationScope`].
    IdempotentWithKey,
    /// It may run once only.
    NonIdempotent,
}

/// The nodes that recognise a repeated request with an idempotency key among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The latency within which an answer is of use.
    pub latency_objective: Ms,
    /// How long a client waits over all its retries.
    pub client_timeout: Ms,
    /// What an answer in time is worth in relation to other classes.
    pub priority_weight: f64,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Which nodes recognise a repeat.
    pub deduplication_scope: DeduplicationScope,
    /// How long they do, from the first attempt that may have run.
    pub deduplication_window: Ms,
    /// Requests of one key run one after the other, in the order of arrival.
    pub ordered: bool,
}

/// A QoS policy. Every figure holds for one volume, over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct QosPolicy {
    /// What a unit earns, as a factor of the priority weight.
    pub price: f64,
    /// The volume's weight in what is not reserved.
    pub weight: f64,
    /// Units a second that such a volume is sized for.
    pub rate: f64,
    /// Units a second that are reserved for it.
    pub reserve: f64,
    /// Units a second at which its token bucket refills; 0 is no rate limit.
    pub limit_rate: f64,
    /// How many units its token bucket holds.
    pub limit_burst: f64,
}

/// How many retries a host may send in any `window`: `free` plus `share` of the requests that it accepted.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that need no requests.
    pub free: f64,
    /// Retries for each request.
    pub share: f64,
    /// The window in which both are counted.
    pub window: Ms,
}

/// The settings that a host starts with.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// The seed of its random decisions.
    pub seed: u64,
    /// How many hosts there are.
    pub hosts: f64,
    /// The classes, by index.
    pub classes: Vec<RequestClass>,
    /// The QoS policies, by index.
    pub policies: Vec<QosPolicy>,
    /// How long a decision may take to be carried out: the interval at which the caller acts.
    pub action_interval: Ms,
    /// How many attempts a request has at most.
    pub max_attempts: u32,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// The longest retry-after that a rejected client follows; 0 where it gets none.
    pub max_retry_after: Ms,
    /// Set where the endpoint list must be polled: how long a host may go without a poll.
    pub max_poll_interval: Option<Ms>,
    /// The part of a warm node's work that one can do as it starts.
    pub slow_start_share: f64,
    /// How long it takes a node until it is warm.
    pub slow_start_duration: Ms,
    /// The units that a starting node can take from all hosts together within `overload_window`.
    pub slow_start_units: f64,
    /// The window over which the overload of a warming node is measured.
    pub overload_window: Ms,
    /// A warming node fails when it is sent more than this multiple of what it can do for `overload_window`.
    pub overload_multiple: f64,
    /// How long a key stays quiet after an attempt that may still run.
    pub ordering_quiet_period: Ms,
    /// The retry budget, where there is one.
    pub budget: Option<RetryBudget>,
    /// The units of the largest request.
    pub max_units: f64,
    /// The units of a mean request.
    pub mean_units: f64,
    /// The most units that leave as one batch; never less than `max_units`.
    pub max_batch_units: f64,
    /// The part of the priority weight that units beyond the reserve earn within the volume's share.
    pub share_weight: f64,
    /// Answers say what shards served for a volume through other hosts.
    pub counts_remote_service: bool,
    /// Set where hosts may gossip: this host's number, counted from 0.
    pub host_number: Option<usize>,
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its class, an index.
    pub class: usize,
    /// Its QoS policy, an index.
    pub policy: usize,
    /// Its volume.
    pub volume: usize,
    /// The key by which it is ordered, if any.
    pub key: Option<usize>,
    /// Its size.
    pub units: f64,
    /// The shard that holds its data; none for a new object, which may go anywhere.
    pub shard: Option<usize>,
    /// How many hosts the volume's requests come through.
    pub hosts: f64,
    /// How long after its arrival the client gives up.
    pub client_timeout: Ms,
    /// 1, or 0 for a further part of a request that was split: the retry budget counts the request once.
    pub budget_weight: f64,
    /// A request that was just sent and that this one may be coalesced with: it leaves in the same batch,
    /// or stays.
    pub coalesce_with: Option<usize>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Succeeded,
    /// The node answered that it failed.
    Error,
    /// The node had no room for it.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The host cancelled it.
    Cancelled,
    /// Its deadline had passed when the node came to it.
    DeadlineExceeded,
    /// The node does not hold the request's data any more.
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

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// To a node, as an attempt.
    Send {
        /// The node.
        node: usize,
        /// How long the attempt may take.
        timeout: Ms,
        /// By when it must have left, as nodes may not recognise a repeat after that.
        send_by: Ms,
    },
    /// Nowhere yet: it is queued or blocked.
    Queue,
    /// Nowhere: it gets this final answer.
    Finish(FinalStatus),
}

/// A final answer that the host gives itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalStatus {
    /// A retry of the client is harmless.
    Rejected {
        /// After how long it is best made; 0 is no advice.
        retry_after: Ms,
    },
    /// It may have run.
    Failed,
}

/// What came with the outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// How long it took.
    pub latency: Ms,
    /// The request is over, by this outcome or before it.
    pub request_finished: bool,
    /// What the volume was served everywhere in a past period, as a part of its QoS policy's rate.
    pub volume_usage: Option<f64>,
    /// Units that the node's shard served for the volume through other hosts since its last answer here.
    pub remote_units: f64,
}

/// What is to be done after an outcome.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AfterOutcome {
    /// The request is over, or was before.
    Done,
    /// It is pending again, until [`Action::Route`] names it.
    Retry,
    /// It gets this final answer.
    Finish(FinalStatus),
}

/// What one host reports to others of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipReport {
    /// The node.
    pub node: usize,
    /// The slots that its attempts in flight take there.
    pub in_flight: u32,
    /// Whether it has requests queued there.
    pub has_queued: bool,
    /// The answers that it had from there since its last report.
    pub answers: u32,
    /// Their mean queueing delay: by how much they were over the latency without load.
    pub queueing_delay: Ms,
}

/// What is due now, or until when nothing is.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask where this request goes.
    Route(usize),
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Its request.
        request: usize,
        /// Its number, counted from 0.
        attempt: u32,
    },
    /// Check the health of a node.
    CheckHealth(usize),
    /// Poll the endpoint list and its changes from now on.
    PollEndpoints,
    /// Report to other hosts.
    SendGossip {
        /// The hosts, by their numbers.
        to: Vec<usize>,
        /// The reports.
        reports: Vec<GossipReport>,
    },
    /// Nothing until this time or the next event.
    WaitUntil(Ms),
}

/// The state of a node's process by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    #[default]
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// A node by the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The node.
    pub node: usize,
    /// The zone that it is in.
    pub zone: usize,
    /// The shard that it holds.
    pub shard: usize,
    /// The state of its process.
    pub state: EndpointState,
    /// When its process started; none where that is long ago.
    pub started_at: Option<Ms>,
}

/// What is known of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Its changes.
    Delta,
    /// All of it.
    Snapshot,
    /// All of it, as this host had it before it started.
    Restored,
    /// That it could not be polled.
    PollFailed,
}
