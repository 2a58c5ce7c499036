//! One instance: the module, and what maps the wire's ids to small indices and back.

use crate::facts::NS_PER_MS;
use crate::wire::Reply;
use magpiewick::{Answer, Brain, Command, Due, Ending, Entry, Ms, News, Next, Start, Where};
use std::collections::HashMap;
use std::hash::Hash;

/// Wire ids in the order in which they were first met; only looked up, never walked in hash order.
pub struct Indices<K>(HashMap<K, usize>);

impl<K: Eq + Hash> Indices<K> {
    fn of(&mut self, id: K) -> usize {
        let next = self.0.len();
        *self.0.entry(id).or_insert(next)
    }
}

/// How many keys are kept at least; more than a host can have in hand at once.
const KEYS: usize = 100_000;

/// Indices of keys, of which there is no end: those not met among the latest are forgotten.
#[derive(Default)]
struct Keys {
    latest: HashMap<u64, usize>,
    before: HashMap<u64, usize>,
    next: usize,
}

impl Keys {
    fn of(&mut self, key: u64) -> usize {
        if self.latest.len() >= KEYS {
            self.before = std::mem::take(&mut self.latest);
        }
        let met = self.latest.get(&key).or_else(|| self.before.get(&key)).copied();
        let index = met.unwrap_or_else(|| {
            self.next += 1;
            self.next
        });
        *self.latest.entry(key).or_insert(index)
    }
}

struct InHand {
    id: u64,
    command: Command,
    sent: u32,
    out: u32,
    over: bool,
}

pub struct Host {
    number: u32,
    brain: Brain,
    nodes: Indices<u32>,
    node_ids: Vec<u32>,
    volumes: Indices<u64>,
    keys: Keys,
    by_id: HashMap<u64, usize>,
    in_hand: Vec<Option<InHand>>,
    free: Vec<usize>,
    armed: Option<u64>,
    label: u32,
}

/// A command as it stands on the wire, before its ids are mapped.
pub struct Taken {
    pub id: u64,
    pub key: u64,
    pub volume: u64,
    pub command: Command,
}

pub fn ms(ns: u64) -> Ms {
    ns as f64 / NS_PER_MS
}

fn ns(ms: Ms) -> u64 {
    (ms * NS_PER_MS).max(0.0) as u64
}

impl Host {
    pub fn new(number: u32, start: Start, now: u64) -> Host {
        Host {
            number,
            brain: Brain::new(start, ms(now)),
            nodes: Indices(HashMap::new()),
            node_ids: Vec::new(),
            volumes: Indices(HashMap::new()),
            keys: Keys::default(),
            by_id: HashMap::new(),
            in_hand: Vec::new(),
            free: Vec::new(),
            armed: None,
            label: 0,
        }
    }

    /// `entries` name nodes by their wire ids, which are mapped here.
    pub fn listed(&mut self, now: u64, news: News, entries: &[(u32, Entry)]) {
        let mut mapped = Vec::with_capacity(entries.len());
        for (id, entry) in entries {
            let node = self.nodes.of(*id);
            if node == self.node_ids.len() {
                self.node_ids.push(*id);
            }
            mapped.push(Entry { node, ..entry.clone() });
        }
        self.brain.listed(ms(now), news, &mapped);
    }

    pub fn take(&mut self, now: u64, taken: Taken, reply: &mut Reply) {
        let mut command = taken.command;
        command.volume = self.volumes.of(taken.volume);
        command.key = (taken.key != 0).then(|| self.keys.of(taken.key));
        let slot = self.free.pop().unwrap_or(self.in_hand.len());
        if slot == self.in_hand.len() {
            self.in_hand.push(None);
        }
        self.by_id.insert(taken.id, slot);
        self.in_hand[slot] = Some(InHand { id: taken.id, command, sent: 0, out: 0, over: false });
        self.ask(now, slot, reply);
    }

    fn ask(&mut self, now: u64, slot: usize, reply: &mut Reply) {
        let Some(c) = &mut self.in_hand[slot] else { return };
        match self.brain.place(ms(now), slot, &c.command) {
            Where::To { node, time_out } => {
                (c.sent, c.out) = (c.sent + 1, c.out + 1);
                let limit = ns(time_out).max(1);
                reply.u8(3).u32(self.number).u64(c.id).u32(self.node_ids[node]).u64(limit);
            }
            Where::NotYet => {}
            Where::Never(ending) => self.end(slot, ending, reply),
        }
    }

    fn end(&mut self, slot: usize, ending: Ending, reply: &mut Reply) {
        let Some(c) = &mut self.in_hand[slot] else { return };
        c.over = true;
        match ending {
            Ending::Bounced { back } => reply.u8(4).u32(self.number).u64(c.id).u64(ns(back)),
            Ending::Scrapped => reply.u8(10).u32(self.number).u64(c.id),
        };
        self.release(slot);
    }

    fn release(&mut self, slot: usize) {
        if let Some(c) = self.in_hand[slot].take_if(|c| c.over && c.out == 0) {
            self.by_id.remove(&c.id);
            self.free.push(slot);
        }
    }

    pub fn verdict(&mut self, now: u64, id: u64, mut answer: Answer, reply: &mut Reply) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let Some(c) = &mut self.in_hand[slot] else { return };
        c.out = c.out.saturating_sub(1);
        c.over |= answer.over;
        answer.over = c.over;
        match self.brain.after(ms(now), slot, &answer) {
            Next::End(ending) => self.end(slot, ending, reply),
            Next::Nothing | Next::Hold => self.release(slot),
        }
    }

    pub fn abandoned(&mut self, now: u64, id: u64) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let Some(c) = &mut self.in_hand[slot] else { return };
        if !c.over {
            c.over = true;
            self.brain.given_up(ms(now), slot);
            self.release(slot);
        }
    }

    pub fn reminded(&mut self, label: u32) {
        if label == self.label {
            self.armed = None;
        }
    }

    /// Does what is due and sets the timer for what comes next.
    pub fn run(&mut self, now: u64, reply: &mut Reply) {
        loop {
            match self.brain.wait(ms(now)) {
                Due::Ask(slot) => self.ask(now, slot, reply),
                Due::Cancel { command, hand_off } => {
                    if let Some(c) = self.in_hand[command].as_ref().filter(|c| hand_off < c.sent) {
                        reply.u8(7).u32(self.number).u64(c.id).u16(hand_off as u16);
                    }
                }
                Due::Probe(node) => {
                    reply.u8(1).u32(self.number).u32(self.node_ids[node]);
                }
                Due::Watch => {
                    reply.u8(6).u32(self.number).u8(1);
                }
                Due::Until(until) => return self.arm(now, ns(until - ms(now)).max(1), reply),
            }
        }
    }

    fn arm(&mut self, now: u64, wait: u64, reply: &mut Reply) {
        let at = now.saturating_add(wait);
        if self.armed.is_none_or(|armed| at < armed) {
            self.label = self.label.wrapping_add(1);
            self.armed = Some(at);
            reply.u8(12).u32(self.number).u64(wait).u32(self.label);
        }
    }
}
