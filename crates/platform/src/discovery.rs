//! The list of nodes as discovery tells it, and the watch on it; free of I/O.

use magpiewick::{Condition, Ms, News};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a watch may wait at discovery. What a silent discovery has to tell counts as told 2 s after the wait
/// ends, so the host must notice within that; an answer without changes has no lines and costs next to nothing.
const WAIT: Ms = 2000.0;
/// How long over its wait a call may take before it counts as failed: less than those 2 s by a call made anew.
const LATE: Ms = 900.0;
/// How long the first call after a failure waits: it tells soon whether it was heard. Not at once: a discovery that has
/// other callers turns away who would not wait for them (28 of 30 hosts that started together, 24 times each).
const AGAIN: Ms = 500.0;
/// Where lists are pushed, the parts of the time left after a drain was told in which a watch waits and is late.
const PUSHED_WAIT: f64 = 0.4;
const PUSHED_LATE: f64 = 0.25;
/// A host of pushed lists is never given less time than this, whatever its settings say.
const LEAST_GRACE: Ms = 100.0;

/// How long calls to discovery may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// How long a watch waits for news, and the first call after a failure; how long over that any call may take.
    wait: Ms,
    again: Ms,
    late: Ms,
    /// For how long the host may go without news.
    pub within: Option<Ms>,
}

impl Pace {
    /// `pushed`: set where lists are pushed, for how long a node may still be sent to after its drain was told. There
    /// the host's own agent tells the list, and what it has counts as told whether or not it was read: a watch that
    /// broke unnoticed must be over, and made anew, before that time is. Guards against agents that fall silent, and
    /// that were and are back; it costs a call without lines every so often, to the host's own machine. Where lists
    /// are asked for, a call is a load on the one service of all hosts, and its news count when they are written.
    pub fn new(pushed: Option<Ms>) -> Pace {
        let Some(grace) = pushed.map(|grace| grace.max(LEAST_GRACE)) else {
            return Pace { wait: WAIT, again: AGAIN, late: LATE, within: None };
        };
        Pace {
            wait: (PUSHED_WAIT * grace).min(WAIT).floor(),
            again: 0.0,
            late: (PUSHED_LATE * grace).min(LATE),
            within: Some(grace),
        }
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub id: String,
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub shard: usize,
    pub condition: Condition,
    /// Unix time in milliseconds; none: long ago.
    pub started: Option<u64>,
}

/// An answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub generation: u64,
    pub whole: bool,
    pub lines: Vec<Line>,
}

#[derive(Deserialize)]
struct Told {
    generation: u64,
    reset: bool,
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: Option<u16>,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: Option<f64>,
}

/// The most bytes that a node's id may have; a real one has a few.
const MOST_ID: usize = 128;

fn line(i: Instance) -> Result<Line, String> {
    let condition = match i.lifecycle.as_str() {
        "SERVING" => Condition::Ready,
        "DRAINING" => Condition::Draining,
        "DELETED" => Condition::Gone,
        other => return Err(format!("{}: impossible lifecycle {other:?}", i.instance_id)),
    };
    if i.instance_id.is_empty() || i.instance_id.len() > MOST_ID {
        return Err("an instanceId that is none".to_string());
    }
    let gone = condition == Condition::Gone;
    let address = match &i.host_port {
        Some(text) => match text.parse() {
            Ok(address) => Some(address),
            Err(_) if gone => None,
            Err(_) => return Err(format!("{}: {text:?} is no address", i.instance_id)),
        },
        None if gone => None,
        None => return Err(format!("{}: hostPort is missing", i.instance_id)),
    };
    let shard = match i.cell {
        Some(cell) => usize::from(cell),
        None if gone => 0,
        None => return Err(format!("{}: cell is missing", i.instance_id)),
    };
    let started = match i.started_at_ms {
        Some(at) if !(0.0..1e15).contains(&at) => {
            return Err(format!("{}: impossible startedAtMs {at}", i.instance_id))
        }
        at => at.map(|at| at as u64).filter(|at| *at > 0),
    };
    Ok(Line { id: i.instance_id, address, zone: i.zone, shard, condition, started })
}

/// Reads an answer; one line that cannot be read fails it whole.
pub fn listing(value: &Value) -> Result<Listing, String> {
    let told = Told::deserialize(value).map_err(|e| e.to_string())?;
    let mut lines: BTreeMap<String, Line> = BTreeMap::new();
    for instance in told.instances {
        let line = line(instance)?;
        if lines.insert(line.id.clone(), line).is_some_and(|_| told.reset) {
            return Err("a node is listed twice".to_string());
        }
    }
    Ok(Listing { generation: told.generation, whole: told.reset, lines: lines.into_values().collect() })
}

pub fn parsed(body: &[u8]) -> Result<Listing, String> {
    listing(&serde_json::from_slice(body).map_err(|e| e.to_string())?)
}

/// The watch: what to ask next and by when an answer is late.
#[derive(Clone, Debug)]
pub struct Watch {
    pace: Pace,
    /// The generation that changes are asked after; none asks for the whole list.
    after: Option<u64>,
    /// The last call was answered, so that the next one may wait long for news. One that waits tells for seconds
    /// nothing of whether it was heard: after a failure the first waits less.
    answers: bool,
    /// A call is out until this time.
    out: Option<Ms>,
}

impl Watch {
    pub fn new(pace: Pace) -> Watch {
        Watch { pace, after: None, answers: false, out: None }
    }

    /// Begins with a list that the host remembers: only what has changed since is asked for. Guards a discovery that
    /// hundreds of hosts call as they start from telling each of them all of it.
    pub fn remembers(&mut self, generation: u64) {
        self.after = Some(generation);
    }

    /// Begins anew, as with a discovery at another address: its generations are its own.
    pub fn forget(&mut self) {
        *self = Watch::new(self.pace);
    }

    pub fn is_out(&self) -> bool {
        self.out.is_some()
    }

    /// The generation of the list that is known; none before any, or after a gap.
    pub fn generation(&self) -> Option<u64> {
        self.after
    }

    pub fn late_at(&self) -> Option<Ms> {
        self.out
    }

    /// The target of the next call.
    pub fn call(&mut self, now: Ms) -> String {
        let wait = if self.answers { self.pace.wait } else { self.pace.again };
        let (target, wait) = match self.after {
            None => ("/v1/endpoints".to_string(), self.pace.again),
            Some(after) => (format!("/v1/endpoints?after={after}&wait_ms={wait}"), wait),
        };
        self.out = Some(now + wait + self.pace.late);
        target
    }

    /// What an answer is to the module; none where it cannot follow what is known: the call is to be
    /// counted as failed, and the next one asks for the whole list.
    pub fn answered(&mut self, listing: &Listing) -> Option<News> {
        let follows = self.after.is_some_and(|after| listing.generation >= after);
        if !listing.whole && !follows {
            self.after = None;
            return None;
        }
        (self.out, self.answers) = (None, true);
        self.after = Some(listing.generation);
        Some(if listing.whole { News::Whole } else { News::Changes })
    }

    pub fn failed(&mut self) {
        (self.out, self.answers) = (None, false);
    }
}

#[cfg(test)]
mod tests;
