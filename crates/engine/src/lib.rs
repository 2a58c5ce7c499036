//! The desk of one host: the commands in hand, the ids of a wire and the calls on the decision module.
//!
//! The desk is free of I/O and decides nothing. A driver calls it when something happened, with the time in
//! milliseconds on a clock that never runs back; the desk asks the module and calls the driver's [`World`]
//! for what is to be done. The bench's adapter and the gateway are two such drivers, so that the bench
//! measures the very code that serves.
//!
//! Ids of commands, nodes, volumes and keys are the driver's own; a command's id must never be used again.

mod indices;
mod stood;

pub use stood::Stood;

use indices::{Indices, Recent};
use magpiewick::{Answer, Brain, Command, Due, Ending, Entry, Ms, News, Next, Outcome, Start, Told, Where};
use std::collections::HashMap;

/// How many keys and volumes are known at once; more than a host can have in hand. A volume that comes back after so
/// many others finds its stores as another left them, which is as good as its own only where both have rested.
const KEYS: usize = 100_000;
const VOLUMES: usize = 20_000;

/// A command on its way to a node: the number of its hand-off, counted from 0, within what time its outcome is owed
/// to the desk, and by when it must have left the host, if it has not yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    pub command: u64,
    pub hand_off: u32,
    pub time_out: Ms,
    pub latest: Ms,
}

/// What a driver does for the desk. None of these may call the desk back: what comes of them is told to the
/// desk afterwards.
pub trait World {
    /// Hands commands to a node, all of them as one. The outcome of each is owed to the desk by itself.
    fn send(&mut self, node: u32, parts: &[Part]);
    /// A held command that may travel with those that are about to be sent; one that was named and is not the
    /// last of them at the next call was kept back. Nothing is sent together unless a driver says so here.
    fn beside(&mut self, _parts: &[Part]) -> Option<u64> {
        None
    }
    /// Stops the wait for a hand-off. Its outcome is still owed: what is on the way, or `Cancelled`.
    fn cancel(&mut self, command: u64, hand_off: u32);
    /// The one final answer that the host gives itself; a settled answer is the driver's to pass on.
    fn answer(&mut self, command: u64, ending: Ending, reason: Reason);
    fn probe(&mut self, node: u32);
    /// Asks for the list of nodes and its changes from now on.
    fn watch(&mut self);
    /// Tells other hosts, by their numbers, what this one saw of nodes, by their tags. It may get lost.
    fn tell(&mut self, _to: &[usize], _told: &[(u16, Told)]) {}
    /// Calls [`Desk::run`] at this time at the latest. A later call takes the place of an earlier one.
    fn wake(&mut self, at: Ms);
}

/// Why a host ended a command itself: what its last hand-off met, or that no place came free in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    Waited,
    After(Outcome),
}

impl Reason {
    /// The word that stands for it in logs, on the wire and in the operators' page.
    pub fn word(self) -> &'static str {
        match self {
            Reason::Waited => "waited",
            Reason::After(Outcome::Settled) => "settled",
            Reason::After(Outcome::Error) => "error",
            Reason::After(Outcome::Full) => "full",
            Reason::After(Outcome::TimedOut) => "timed-out",
            Reason::After(Outcome::NoConnection) => "no-connection",
            Reason::After(Outcome::Reset) => "reset",
            Reason::After(Outcome::Cancelled) => "cancelled",
            Reason::After(Outcome::Moot) => "moot",
            Reason::After(Outcome::Moved) => "moved",
        }
    }
}

/// A command as it stands on a wire, before its ids are mapped; `key` is 0 where it has none.
pub struct Taken {
    pub id: u64,
    pub key: u64,
    pub volume: u64,
    /// Its volume and key are set by the desk.
    pub command: Command,
}

struct InHand {
    id: u64,
    command: Command,
    sent: u32,
    out: u32,
    over: bool,
    last: Option<Outcome>,
}

impl InHand {
    fn hands_off(&mut self, time_out: Ms, latest: Ms) -> Part {
        assert!(!self.over, "a hand-off of command {}, which is over", self.id);
        (self.sent, self.out) = (self.sent + 1, self.out + 1);
        Part { command: self.id, hand_off: self.sent - 1, time_out, latest }
    }
}

/// By what hosts name a node to each other: part of its id, scattered, as ids may differ in any bits.
fn tag(id: u32) -> u16 {
    (id.wrapping_mul(0x9e37_79b1) >> 16) as u16
}

pub struct Desk {
    brain: Brain,
    nodes: Indices,
    node_ids: Vec<u32>,
    /// By tag: the node, or none where several have it.
    tags: HashMap<u16, Option<usize>>,
    volumes: Recent,
    keys: Recent,
    by_id: HashMap<u64, usize>,
    in_hand: Vec<Option<InHand>>,
    free: Vec<usize>,
    /// What is about to be sent; empty between calls.
    parts: Vec<Part>,
}

impl Desk {
    pub fn new(start: Start, now: Ms) -> Desk {
        Desk {
            brain: Brain::new(start, now),
            nodes: Indices::default(),
            node_ids: Vec::new(),
            tags: HashMap::new(),
            volumes: Recent::new(VOLUMES),
            keys: Recent::new(KEYS),
            by_id: HashMap::new(),
            in_hand: Vec::new(),
            free: Vec::new(),
            parts: Vec::new(),
        }
    }

    /// Commands without their final answer, and those that are over while a hand-off is still out.
    pub fn in_hand(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the list of nodes may be relied on; while it may not, nothing new is sent.
    pub fn set_list_expired(&mut self, expired: bool) {
        self.brain.set_list_expired(expired);
    }

    /// News of the list; `entries` name nodes by the wire's ids, which are mapped here.
    pub fn listed(&mut self, now: Ms, news: News, entries: &[(u32, Entry)]) {
        let mut mapped = Vec::with_capacity(entries.len());
        for (id, entry) in entries {
            let node = self.nodes.of(*id);
            if node == self.node_ids.len() {
                self.node_ids.push(*id);
                self.tags.entry(tag(*id)).and_modify(|node| *node = None).or_insert(Some(node));
            }
            mapped.push(Entry { node, ..entry.clone() });
        }
        self.brain.listed(now, news, &mapped);
    }

    pub fn take(&mut self, now: Ms, taken: Taken, world: &mut impl World) {
        let mut command = taken.command;
        command.volume = self.volumes.of(taken.volume);
        command.key = (taken.key != 0).then(|| self.keys.of(taken.key));
        let slot = self.free.pop().unwrap_or(self.in_hand.len());
        if slot == self.in_hand.len() {
            self.in_hand.push(None);
        }
        let taken_before = self.by_id.insert(taken.id, slot);
        assert!(taken_before.is_none(), "command {} was taken twice", taken.id);
        self.in_hand[slot] = Some(InHand { id: taken.id, command, sent: 0, out: 0, over: false, last: None });
        self.ask(now, slot, world);
    }

    fn ask(&mut self, now: Ms, slot: usize, world: &mut impl World) {
        let Some(c) = &mut self.in_hand[slot] else { return };
        match self.brain.place(now, slot, &c.command) {
            Where::To { node, time_out, latest } => {
                self.parts.push(c.hands_off(time_out, latest));
                while let Some(other) = world.beside(&self.parts) {
                    self.ask_with(now, slot, other);
                }
                world.send(self.node_ids[node], &self.parts);
                self.parts.clear();
            }
            Where::NotYet => {}
            Where::Never(ending) => self.end(slot, ending, world),
        }
    }

    /// Asks whether a command may leave with the one at `first`, which leaves now.
    fn ask_with(&mut self, now: Ms, first: usize, other: u64) {
        let Some(&slot) = self.by_id.get(&other) else { return };
        let Some(c) = &mut self.in_hand[slot] else { return };
        c.command.with = Some(first);
        if let Where::To { time_out, latest, .. } = self.brain.place(now, slot, &c.command) {
            self.parts.push(c.hands_off(time_out, latest));
        }
        c.command.with = None;
    }

    fn end(&mut self, slot: usize, ending: Ending, world: &mut impl World) {
        let Some(c) = &mut self.in_hand[slot] else { return };
        assert!(!c.over, "a second final answer for command {}", c.id);
        c.over = true;
        world.answer(c.id, ending, c.last.map_or(Reason::Waited, Reason::After));
        self.release(slot);
    }

    fn release(&mut self, slot: usize) {
        if let Some(c) = self.in_hand[slot].take_if(|c| c.over && c.out == 0) {
            self.by_id.remove(&c.id);
            self.free.push(slot);
        }
    }

    /// The outcome of a hand-off; `answer.over` says that the command is over with it. Exactly one is owed
    /// for each [`World::send`].
    pub fn outcome(&mut self, now: Ms, id: u64, mut answer: Answer, world: &mut impl World) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let Some(c) = &mut self.in_hand[slot] else { return };
        assert!(c.out > 0, "an outcome for command {id}, which has no hand-off out");
        c.out -= 1;
        c.over |= answer.over;
        c.last = Some(answer.outcome);
        answer.over = c.over;
        match self.brain.after(now, slot, &answer) {
            Next::End(ending) => self.end(slot, ending, world),
            Next::Nothing | Next::Hold => self.release(slot),
        }
    }

    /// The host ends: a command that is held gets its final answer now. One with a hand-off out waits for the outcome.
    pub fn finish(&mut self, now: Ms, id: u64, world: &mut impl World) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        if self.in_hand[slot].as_ref().is_some_and(|c| !c.over && c.out == 0) {
            let ending = self.brain.end(now, slot);
            self.end(slot, ending, world);
        }
    }

    /// The client has gone or gave up: nothing is owed any more, but hand-offs that are out go on.
    pub fn abandoned(&mut self, now: Ms, id: u64) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let Some(c) = &mut self.in_hand[slot] else { return };
        if !c.over {
            c.over = true;
            self.brain.given_up(now, slot);
            self.release(slot);
        }
    }

    /// What another host told. Nodes that the list has not named to this host are passed over.
    pub fn heard(&mut self, now: Ms, from: usize, told: &[(u16, Told)]) {
        let known = |(tag, t): &(u16, Told)| Some(Told { node: (*self.tags.get(tag)?)?, ..*t });
        let told: Vec<Told> = told.iter().filter_map(known).collect();
        self.brain.heard(now, from, &told);
    }

    /// The data of a command lies on another shard now.
    pub fn moved(&mut self, now: Ms, id: u64, shard: usize) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let Some(c) = &mut self.in_hand[slot] else { return };
        c.command.shard = Some(shard);
        self.brain.moved(now, slot, shard);
    }

    /// Does all that is due and says when to come again.
    pub fn run(&mut self, now: Ms, world: &mut impl World) {
        loop {
            match self.brain.wait(now) {
                Due::Ask(slot) => self.ask(now, slot, world),
                Due::Cancel { command, hand_off } => {
                    if let Some(c) = self.in_hand[command].as_ref().filter(|c| hand_off < c.sent) {
                        world.cancel(c.id, hand_off);
                    }
                }
                Due::Probe(node) => world.probe(self.node_ids[node]),
                Due::Watch => world.watch(),
                Due::Tell { to, told } => {
                    let told: Vec<(u16, Told)> =
                        told.iter().map(|t| (tag(self.node_ids[t.node]), *t)).collect();
                    world.tell(&to, &told);
                }
                Due::Until(until) => return world.wake(until),
            }
        }
    }
}
