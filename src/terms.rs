//! The plain types in which the decision module is asked and answers. Nothing here decides.
//!
//! Times are milliseconds with fractions on one clock; commands, nodes, volumes, keys, bands, plans, shards
//! and zones are small indices that the caller hands out. A command's index is free again once the command
//! is over and none of its hand-offs is out.

/// A point in time or a length of it, in milliseconds.
pub type Ms = f64;

/// Whether a band's commands may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Retriable,
    Fingerprinted,
    Binding,
}

/// The nodes that drop repeats of a fingerprinted command among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Shard,
}

/// What the module reads of a band.
#[derive(Clone, Debug)]
pub struct Band {
    pub soft_limit: Ms,
    /// How long a client waits over all its tries.
    pub time_limit: Ms,
    pub payoff: f64,
    pub repeats: Repeats,
    pub group: Group,
    /// How long the group remembers a fingerprint, from the first send that may have run.
    pub memory: Ms,
    pub in_order: bool,
}

/// What the module reads of a plan; every figure counts for one volume over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct Plan {
    pub price: f64,
    pub weight: f64,
    /// Units a second that such a volume is sized for, and those of them that are reserved.
    pub rate: f64,
    pub reserve: f64,
    /// Units a second that fill the limit's store, and how many it holds; a rate of 0 is no limit.
    pub limit_rate: f64,
    pub limit_store: f64,
}

/// How far further hand-offs may go: `free` plus `share` of the commands taken, in any `window`.
#[derive(Clone, Debug)]
pub struct Budget {
    pub free: f64,
    pub share: f64,
    pub window: Ms,
}

/// What a host is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct Start {
    pub seed: u64,
    pub hosts: f64,
    pub bands: Vec<Band>,
    pub plans: Vec<Plan>,
    pub round: Ms,
    pub max_hand_offs: u32,
    pub may_cancel: bool,
    /// The longest wait that a bounced client follows; 0 where it is not told one.
    pub longest_back: Ms,
    /// Set where the list of nodes must be asked for: how long a host may go without asking.
    pub ask_within: Option<Ms>,
    pub cold_share: f64,
    pub cold_time: Ms,
    /// The units that a cold node bears from all hosts together within `fall_time` as it starts.
    pub cold_units: f64,
    pub fall_time: Ms,
    /// A cold node falls when sent more than this multiple of what it can do for `fall_time`.
    pub fall_multiple: f64,
    pub order_rest: Ms,
    pub budget: Option<Budget>,
    pub most_units: f64,
    pub mean_units: f64,
    /// The most units that leave together, as one command of a node; never less than `most_units`.
    pub most_together: f64,
    /// The part of the payoff that units beyond the reserve earn within the volume's share.
    pub share_payoff: f64,
    /// Answers tell what shards served for a volume through other hosts.
    pub counts_others: bool,
    /// Set where hosts may send each other messages: this host's number, counted from 0.
    pub peer: Option<usize>,
}

/// A command as the host took it. `key` and `shard` are none where the command has none.
#[derive(Clone, Debug)]
pub struct Command {
    pub band: usize,
    pub plan: usize,
    pub volume: usize,
    pub key: Option<usize>,
    pub units: f64,
    pub shard: Option<usize>,
    /// How many hosts the volume's commands come through.
    pub hosts: f64,
    /// How long after it was taken the client gives up.
    pub time_limit: Ms,
    /// 1, or 0 for what is a further piece of a command that was cut: the budget counts the command once.
    pub counts: f64,
    /// Asked with a command that has just been sent: it leaves with it, as one command of the node, or stays.
    pub with: Option<usize>,
}

/// How a hand-off ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Settled,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    Moot,
    /// The node does not hold the command's piece of data any more.
    Moved,
}

impl Outcome {
    /// Whether this outcome is proof that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::Moot | Outcome::Moved)
    }
}

/// Where a command goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Where {
    /// `latest`: by when it must have left, as a repeat that comes after that may run again.
    To {
        node: usize,
        time_out: Ms,
        latest: Ms,
    },
    NotYet,
    Never(Ending),
}

/// A final answer that the host gives itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// Trying again is harmless, best after `back` (0: no advice).
    Bounced {
        back: Ms,
    },
    Scrapped,
}

/// What came with the outcome of a hand-off.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub outcome: Outcome,
    /// From the send until now.
    pub latency: Ms,
    /// The command is over, by this outcome or before it.
    pub over: bool,
    /// What the volume was served everywhere in a finished period, as a part of its plan's rate; late.
    pub used: Option<f64>,
    /// Units that the node's shard served for the volume through other hosts since its last answer here.
    pub others: f64,
}

/// What is to be done after an outcome.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// The command is over, or was before.
    Nothing,
    /// It is held again; ask about it when the module names it.
    Hold,
    End(Ending),
}

/// What one host tells others of a node: how many answers it had from there since it last told, and by how much
/// these were over what commands take where nothing waits, in the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    pub node: usize,
    /// What it has out there.
    pub out: u32,
    /// Whether commands wait for it there.
    pub waits: bool,
    pub answers: u32,
    pub wait: Ms,
}

/// What is due now, or until when nothing is.
#[derive(Clone, Debug, PartialEq)]
pub enum Due {
    Ask(usize),
    Cancel {
        command: usize,
        hand_off: u32,
    },
    Probe(usize),
    /// Ask for the list of nodes and its changes from now on.
    Watch,
    /// Tell these hosts, by their numbers.
    Tell {
        to: Vec<usize>,
        told: Vec<Told>,
    },
    Until(Ms),
}

/// What the list says of a node's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// A line of the list of nodes.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub node: usize,
    pub zone: usize,
    pub shard: usize,
    pub condition: Condition,
    /// When its process last started; none: long ago.
    pub started: Option<Ms>,
}

/// News of the list: its changes, all of it, all of it as this host last had it, or that a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    Changes,
    Whole,
    Remembered,
    Failed,
}
