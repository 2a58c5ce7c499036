//! Types of the scheduler's interface, without decisions.
//!
//! Times are milliseconds with fractions on one monotonic clock. Requests, nodes, volumes, keys, classes,
//! QoS policies, shards and zones are small indices that the caller assigns. The index of a request may
//! be reused when the request is finished and none of its attempts is in flight.

/// Point in time or duration, in milliseconds.
pub type Ms = f64;

/// Permission for the requests of a class to run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated runs have no further effect.
    Idempotent,
    /// Repeated runs have no further effect at nodes that recognise the request by its key, see
    /// [`DeduplicationScope`].
    IdempotentWithKey,
    /// A request may run only once.
    NonIdempotent,
}

/// Set of nodes that together recognise a repeated request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
}

/// Class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency within which an answer is of use.
    pub latency_objective: Ms,
    /// Time that a client waits for an answer, including all its retries.
    pub client_timeout: Ms,
    /// Value of an answer in time relative to other classes.
    pub priority_weight: f64,
    /// Permission for requests of the class to run more than once.
    pub idempotency: Idempotency,
    /// Nodes that recognise a repeated request.
    pub deduplication_scope: DeduplicationScope,
    /// Time during which nodes recognise a repeated request, from the first attempt that may have run.
    pub deduplication_window: Ms,
    /// True if requests with the same key run one after the other, in the order of arrival.
    pub ordered: bool,
}

/// QoS policy. Every figure applies to one volume, over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct QosPolicy {
    /// Value of a unit as a factor of the priority weight.
    pub price: f64,
    /// Weight of the volume in the distribution of unreserved capacity.
    pub weight: f64,
    /// Units per second that the volume is sized for.
    pub rate: f64,
    /// Units per second that are reserved for the volume.
    pub reserve: f64,
    /// Refill rate of the volume's token bucket in units per second; 0 means no rate limit.
    pub limit_rate: f64,
    /// Capacity of the volume's token bucket in units.
    pub limit_burst: f64,
}

/// Limit on the retries that a host may send in any `window`: `free` plus `share` times the number of
/// accepted requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Number of retries that are permitted without any request.
    pub free: f64,
    /// Number of further retries per accepted request.
    pub share: f64,
    /// Window in which retries and requests are counted.
    pub window: Ms,
}

/// Settings of a host's scheduler.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// Seed of the host's random decisions.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: f64,
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// QoS policies, by index.
    pub policies: Vec<QosPolicy>,
    /// Longest time until a decision is carried out: the interval at which the caller acts.
    pub action_interval: Ms,
    /// Largest number of attempts per request.
    pub max_attempts: u32,
    /// True if attempts can be cancelled.
    pub can_cancel: bool,
    /// Longest retry-after that a rejected client follows; 0 where rejections carry no retry-after.
    pub max_retry_after: Ms,
    /// Longest time that a host may run without polling the endpoint list; none where no poll is
    /// required.
    pub max_poll_interval: Option<Ms>,
    /// Capacity of a node at its start, as a fraction of that of a warm node.
    pub slow_start_share: f64,
    /// Time from a node's start until the node is warm.
    pub slow_start_duration: Ms,
    /// Units that a starting node can accept from all hosts together within `overload_window`.
    pub slow_start_units: f64,
    /// Window over which the overload of a warming node is measured.
    pub overload_window: Ms,
    /// Multiple of its capacity over `overload_window` above which a warming node fails.
    pub overload_multiple: f64,
    /// Quiet period of a key after an attempt that may still run.
    pub ordering_quiet_period: Ms,
    /// Retry budget; none where retries are not limited.
    pub budget: Option<RetryBudget>,
    /// Units of the largest request.
    pub max_units: f64,
    /// Units of a mean request.
    pub mean_units: f64,
    /// Largest number of units in one batch; never less than `max_units`.
    pub max_batch_units: f64,
    /// Fraction of the priority weight that units beyond the reserve earn within the volume's share.
    pub share_weight: f64,
    /// True if answers report the units that shards served for a volume through other hosts.
    pub counts_remote_service: bool,
    /// Number of this host, counted from 0; none where hosts may not gossip.
    pub host_number: Option<usize>,
}

/// Request as received from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the request class.
    pub class: usize,
    /// Index of the QoS policy.
    pub policy: usize,
    /// Index of the volume.
    pub volume: usize,
    /// Ordering and idempotency key, if any.
    pub key: Option<usize>,
    /// Size in units.
    pub units: f64,
    /// Shard that holds the data of the request; none for a new object, which any shard may store.
    pub shard: Option<usize>,
    /// Number of hosts that receive requests of the volume.
    pub hosts: f64,
    /// Time after its arrival at which the client stops waiting.
    pub client_timeout: Ms,
    /// Weight in the retry budget: 1, or 0 for the further parts of a split request, which the budget
    /// counts once.
    pub budget_weight: f64,
    /// Request that was just sent and whose batch this one may join: this request is then either sent in
    /// that batch or remains queued.
    pub coalesce_with: Option<usize>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node answered with success.
    Succeeded,
    /// The node answered with an error.
    Error,
    /// The node rejected the attempt because of overload.
    Overloaded,
    /// No answer was received in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// The host cancelled the attempt.
    Cancelled,
    /// The deadline of the attempt had passed when the node processed it.
    DeadlineExceeded,
    /// The node no longer holds the request's data.
    ShardMoved,
}

impl Outcome {
    /// Returns whether this outcome proves that the request did not run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::DeadlineExceeded | Outcome::ShardMoved
        )
    }
}

/// Decision on where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// Send the request to a node as an attempt.
    Send {
        /// Index of the node.
        node: usize,
        /// Longest duration of the attempt.
        timeout: Ms,
        /// Latest send time; after it, nodes may not recognise a repeated request.
        send_by: Ms,
    },
    /// Keep the request, which is queued or blocked.
    Queue,
    /// End the request with this final answer.
    Finish(FinalAnswer),
}

/// Final answer that the host itself gives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalStatus {
    /// Rejected; the client may retry without a second effect.
    Rejected {
        /// Recommended time until the retry; 0 is no recommendation.
        retry_after: Ms,
    },
    /// Failed; the request may have run.
    Failed,
}

/// Cause for which a request ends without an answer of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnservedCause {
    /// The client's deadline had passed.
    DeadlineExpired,
    /// The request waits for a list of endpoints that may be relied on.
    EndpointListExpired,
    /// No ready node holds the shard of the request.
    NoEndpoint,
    /// An earlier request of the same key was not over.
    KeyBusy,
    /// The rate limit of the volume was used up.
    RateLimited,
    /// No slot of the node became free in time.
    Overloaded,
    /// No slot of the node was free, and the request's timeout suggests a client's retry that is late.
    RetryGuess,
    /// The last attempt failed, and the request may not or cannot be repeated.
    AttemptFailed,
}

impl UnservedCause {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            UnservedCause::DeadlineExpired => "deadline_expired",
            UnservedCause::EndpointListExpired => "endpoint_list_expired",
            UnservedCause::NoEndpoint => "no_endpoint",
            UnservedCause::KeyBusy => "key_busy",
            UnservedCause::RateLimited => "rate_limited",
            UnservedCause::Overloaded => "overloaded",
            UnservedCause::RetryGuess => "retry_guess",
            UnservedCause::AttemptFailed => "attempt_failed",
        }
    }
}

/// Final answer that the host itself gives, with its cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinalAnswer {
    /// What the client is told.
    pub status: FinalStatus,
    /// Cause, for logs and metrics.
    pub cause: UnservedCause,
}

/// Outcome of an attempt and the data received with it.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Duration of the attempt.
    pub latency: Ms,
    /// True if the request is finished, by this outcome or before.
    pub request_finished: bool,
    /// Service that the volume received in total in a past period, as a fraction of its QoS policy's
    /// rate.
    pub volume_usage: Option<f64>,
    /// Units that the node's shard has served for the volume through other hosts since its last answer to
    /// this host.
    pub remote_units: f64,
}

/// Decision on a request after the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AfterOutcome {
    /// Nothing to do: the request is finished, by this outcome or before.
    Done,
    /// The request is pending again, until [`Action::Route`] names it.
    Retry,
    /// The request gets this final answer.
    Finish(FinalAnswer),
}

/// Report of one host to others on a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipReport {
    /// Index of the node.
    pub node: usize,
    /// Slots that the host's attempts in flight occupy at the node.
    pub in_flight: u32,
    /// True if the host has requests queued for the node.
    pub has_queued: bool,
    /// Number of answers received from the node since the host's last report.
    pub answers: u32,
    /// Mean queueing delay of these answers: the excess of their latency over the unloaded latency.
    pub queueing_delay: Ms,
}

/// Action that is due now, or the time until which none is due.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call [`Scheduler::route`](crate::Scheduler::route) for this request.
    Route(usize),
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Request of the attempt.
        request: usize,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// Check the health of a node.
    CheckHealth(usize),
    /// Poll the endpoint list, and its changes from then on.
    PollEndpoints,
    /// Send reports to other hosts.
    SendGossip {
        /// Numbers of the hosts.
        to: Vec<usize>,
        /// Reports to send.
        reports: Vec<GossipReport>,
    },
    /// Wait until this time or the next event.
    WaitUntil(Ms),
}

/// State of a node's process according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    #[default]
    /// The node accepts requests.
    Ready,
    /// The node completes its requests and accepts no new ones.
    Draining,
    /// The node is removed.
    Removed,
}

/// Entry of the endpoint list for a node.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Index of the node.
    pub node: usize,
    /// Zone of the node.
    pub zone: usize,
    /// Shard that the node holds.
    pub shard: usize,
    /// State of the node's process.
    pub state: EndpointState,
    /// Start time of the node's process; none if it lies so far back that the node is warm.
    pub started_at: Option<Ms>,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changes of the list.
    Delta,
    /// Complete list.
    Snapshot,
    /// Complete list that this host stored before it started.
    Restored,
    /// Failed poll, without any entry.
    PollFailed,
}
