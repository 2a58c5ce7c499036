//! A node's work: what waits, what runs, what is stored, and how fast it is at the moment.

use crate::config::{Cold, NodeConfig};
use crate::fleet::Arrived;
use crate::Ms;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// What a script does to a node.
#[derive(Clone, Copy, Debug)]
pub struct Ailing {
    /// Takes work, does it, answers nothing.
    pub silent: bool,
    /// The part of its answers that are lost.
    pub losing: f64,
    /// Its work takes this many times as long.
    pub slow: f64,
    /// Turns everything away.
    pub full: bool,
    /// Greets nobody, begins nothing and answers nothing; what comes is noted when it comes, for the record.
    pub deaf: bool,
    /// The part of requests that it turns away, fails or answers in vain, each a third.
    pub partly: f64,
    /// Breaks the next answer off in its middle, and the connection with it.
    pub breaking: bool,
    /// Tells nothing of what it served through other hosts.
    pub mute_meter: bool,
}

pub const WELL: Ailing = Ailing {
    silent: false,
    losing: 0.0,
    slow: 1.0,
    full: false,
    deaf: false,
    partly: 0.0,
    breaking: false,
    mute_meter: false,
};

pub struct Node {
    pub config: NodeConfig,
    /// Where it listens once it has started; the same over restarts.
    pub address: SocketAddr,
    pub up: bool,
    pub listed: bool,
    pub draining: bool,
    pub life: u64,
    /// None: long ago.
    pub started: Option<Ms>,
    pub ailing: Ailing,
    /// What came together is one request of the node.
    pub waiting: VecDeque<Vec<Arrived>>,
    pub running: usize,
    /// Until when it stands still, and the work that it has put off.
    pub still_until: Ms,
    pub put_off: Ms,
    /// What was sent to it lately while it was cold.
    sent: VecDeque<(Ms, f64)>,
    /// Units served by volume, in all and through each host; and those of others as each host was last told.
    served: HashMap<u64, f64>,
    through: HashMap<(u64, u64), f64>,
    told: HashMap<(u64, u64), f64>,
}

impl Node {
    pub fn new(config: NodeConfig) -> Node {
        Node {
            address: config.listen,
            config,
            up: false,
            listed: false,
            draining: false,
            life: 0,
            started: None,
            ailing: WELL,
            waiting: VecDeque::new(),
            running: 0,
            still_until: 0.0,
            put_off: 0.0,
            sent: VecDeque::new(),
            served: HashMap::new(),
            through: HashMap::new(),
            told: HashMap::new(),
        }
    }

    /// A new process: what waited and ran is lost; what was stored is its shard's.
    pub fn begin(&mut self, life: u64, started: Option<Ms>) {
        (self.up, self.life, self.started, self.draining) = (true, life, started, false);
        self.waiting.clear();
        self.sent.clear();
        (self.running, self.put_off, self.still_until) = (0, 0.0, 0.0);
        self.ailing = WELL;
    }

    /// The part of its work that it can do now.
    pub fn warmth(&self, now: Ms, cold: &Cold) -> f64 {
        let age = self.started.map_or(f64::INFINITY, |at| now - at);
        if age >= cold.time {
            1.0
        } else {
            cold.share + (1.0 - cold.share) * (age / cold.time).max(0.0)
        }
    }

    /// How long a request's work takes from now on.
    pub fn work(&self, now: Ms, units: f64, unit_work: Ms, cold: &Cold) -> Ms {
        units * unit_work * self.ailing.slow / (self.config.speed * self.warmth(now, cold))
    }

    /// Counts what was sent to it; true where that pushes it over.
    pub fn pushed_over(&mut self, now: Ms, units: f64, unit_work: Ms, cold: &Cold) -> bool {
        let Some(started) = self.started.filter(|at| now - at < cold.time + cold.fall_time) else {
            return false;
        };
        self.sent.push_back((now, units));
        while self.sent.front().is_some_and(|s| s.0 < now - cold.fall_time) {
            self.sent.pop_front();
        }
        let sum: f64 = self.sent.iter().map(|s| s.1).sum();
        let a_second = self.config.cores as f64 * self.config.speed / unit_work;
        let could = cold.fall_multiple * a_second * self.warmth(now, cold) * cold.fall_time;
        let first = now - started <= cold.fall_time;
        sum > could.max(if first { cold.units } else { 0.0 })
    }

    /// Counts what a host's volume was served; what others were served since this host was last told.
    pub fn served(&mut self, volume: u64, host: u64, units: f64) -> f64 {
        let all = self.served.entry(volume).or_default();
        *all += units;
        let own = self.through.entry((volume, host)).or_default();
        *own += units;
        if self.ailing.mute_meter {
            return 0.0;
        }
        let others = *all - *own;
        others - self.told.insert((volume, host), others).unwrap_or(0.0)
    }
}
