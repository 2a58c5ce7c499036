//! Decides about the connection to one node, and about coming back to a service: whether to use a connection,
//! open one, or put a fresh one in its place, and whose process it is that answers. Free of I/O.
//!
//! The module decides whether and when a node is tried; this only keeps a try from dying on a connection
//! that is dead, or from reaching another process than the one that it was meant for.

use magpiewick::{Backoff, Ms, RandomSource};

/// Waits before a service that pushes is connected to again: the first, doubled up to the last.
const FIRST_WAIT: Ms = 50.0;
const LAST_WAIT: Ms = 2000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Apart,
    /// From the first step to connect until the node's greeting.
    Opening,
    Open,
}

/// What to do for an attempt that is to leave now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    Use,
    Wait,
    Open,
    /// Give the old connection up first: nothing is out on it, and it has gone deaf.
    Afresh,
}

/// What a greeting shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Greeted {
    /// The process that the list names.
    Expected,
    /// A process that started later than the one that the list names: the node restarted, and the list is late.
    /// What waits was meant for the old one and must be decided anew.
    Restarted { started: Option<Ms> },
    /// Another node, or a process that started before the one that the list names.
    Wrong,
}

/// A process as the list or a greeting names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Process {
    pub node: u32,
    pub life: u64,
    /// On this host's clock; none: long ago.
    pub started: Option<Ms>,
}

/// The contact with one node.
#[derive(Clone, Debug)]
pub struct Contact {
    stage: Stage,
    out: u32,
    heard: Ms,
    deaf: bool,
}

impl Default for Contact {
    fn default() -> Contact {
        Contact { stage: Stage::Apart, out: 0, heard: f64::NEG_INFINITY, deaf: false }
    }
}

impl Contact {
    pub fn open(&self) -> bool {
        self.stage == Stage::Open
    }

    pub fn opening(&self) -> bool {
        self.stage == Stage::Opening
    }

    /// Guards against connections whose other end went without a word, whatever took it: a fresh one is
    /// opened where the last attempt met silence and no other could be hurt. It could harm where a node
    /// that merely stands still is greeted again for each try: one small exchange.
    pub fn dial(&self) -> Dial {
        match self.stage {
            Stage::Apart => Dial::Open,
            Stage::Opening => Dial::Wait,
            Stage::Open if self.deaf && self.out == 0 => Dial::Afresh,
            Stage::Open => Dial::Use,
        }
    }

    pub fn opened(&mut self) {
        *self = Contact { stage: Stage::Opening, ..Contact::default() };
    }

    pub fn ended(&mut self) {
        *self = Contact::default();
    }

    pub fn greeted(&mut self, now: Ms, listed: Process, met: Process) -> Greeted {
        let later = match (listed.started, met.started) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(listed), Some(met)) => met > listed,
        };
        if listed.node != met.node || (listed.life != met.life && !later) {
            return Greeted::Wrong;
        }
        (self.stage, self.heard) = (Stage::Open, now);
        if listed.life == met.life {
            return Greeted::Expected;
        }
        Greeted::Restarted { started: met.started }
    }

    pub fn sent(&mut self) {
        self.out += 1;
    }

    pub fn heard(&mut self, now: Ms) {
        (self.heard, self.deaf) = (now, false);
    }

    /// An attempt ended; `unanswered` tells when it was sent, where no answer came for it.
    pub fn done(&mut self, unanswered: Option<Ms>) {
        self.out = self.out.saturating_sub(1);
        self.deaf |= unanswered.is_some_and(|sent| self.heard <= sent);
    }
}

/// When to come back to a service that pushes: with doubling waits, spread so that hosts do not come together.
pub struct Return {
    backoff: Backoff,
    rng: RandomSource,
}

impl Return {
    pub fn new(seed: u64) -> Return {
        Return { backoff: Backoff::new(FIRST_WAIT, LAST_WAIT), rng: RandomSource::new(seed) }
    }

    pub fn failed(&mut self, now: Ms) -> Ms {
        now + self.backoff.failed(&mut self.rng)
    }

    pub fn succeeded(&mut self) {
        self.backoff.reset();
    }
}

#[cfg(test)]
mod tests;
