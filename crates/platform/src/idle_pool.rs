//! Which connection to a node an attempt takes, and which give way; free of I/O.
//!
//! A connection is labels by the loop's key. It rests here from the end of an answer that was whole until it is
//! taken or retired; all others are the loop's.

use magpiewick::Ms;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A connection is retired when it has rested for this part of the time after which its node closes it: a
/// process that stood still meanwhile would else write into one that is about to end.
const MAX_IDLE_SHARE: f64 = 0.7;

/// An answer that has begun and of which nothing came for so long does not come whole any more: nodes write an answer
/// at once, and 50 ms is what the platform's protocol allows the network in every limit of time. Of 5,000 pieces of
/// answers in pieces none came more than 2.2 ms after the one before it, and with 1 s to wait none came later. Guards against answers that stop short on a
/// connection that stays open, which would else be waited for as long as for a node's work; it could harm where the
/// network loses packets or a node stops in the middle of an answer: an attempt that would have been answered.
pub const RESPONSE_STALL_MS: Ms = 50.0;

pub struct IdlePool {
    /// By node: the keys of its resting connections, each with since when; the last one came last.
    resting: BTreeMap<u32, VecDeque<(usize, Ms)>>,
    idle: Option<Ms>,
}

impl IdlePool {
    /// `idle`: after how long a node closes a resting connection; none: never.
    pub fn new(idle: Option<Ms>) -> IdlePool {
        IdlePool { resting: BTreeMap::new(), idle: idle.map(|idle| idle * MAX_IDLE_SHARE) }
    }

    pub fn rests(&mut self, now: Ms, node: u32, key: usize) {
        self.resting.entry(node).or_default().push_back((key, now));
    }

    /// The connection that rested last of those that have rested for `quiet`: the others come to their end unused,
    /// where there are more than needed. One that has rested for less is not taken, even where no other is there: what
    /// is left of its last exchange may still be on the way, and would be taken for the answer to what is asked next.
    pub fn take(&mut self, now: Ms, node: u32, quiet: Ms) -> Option<usize> {
        let resting = self.resting.get_mut(&node)?;
        let succeeded = resting.iter().rposition(|r| now - r.1 >= quiet)?;
        let taken = resting.remove(succeeded).map(|(key, _)| key);
        if resting.is_empty() {
            self.resting.remove(&node);
        }
        taken
    }

    /// Takes a connection out that ended while it rested.
    pub fn ended(&mut self, node: u32, key: usize) {
        let Some(resting) = self.resting.get_mut(&node) else { return };
        resting.retain(|r| r.0 != key);
        if resting.is_empty() {
            self.resting.remove(&node);
        }
    }

    /// All that rest at a node, which is not sent to any more.
    pub fn leaves(&mut self, node: u32) -> Vec<usize> {
        self.resting.remove(&node).into_iter().flatten().map(|r| r.0).collect()
    }

    /// The one that rested longest of all: it gives way where there are no more descriptors.
    pub fn gives_way(&mut self) -> Option<usize> {
        let oldest = self.resting.iter().filter_map(|(node, r)| Some((r.front()?.1, *node)));
        let (_, node) = oldest.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let key = self.resting.get_mut(&node)?.pop_front().map(|r| r.0);
        if self.resting.get(&node).is_some_and(VecDeque::is_empty) {
            self.resting.remove(&node);
        }
        key
    }

    /// Those that have rested for too long.
    pub fn retired(&mut self, now: Ms) -> Vec<usize> {
        let Some(idle) = self.idle else { return Vec::new() };
        let mut retired = Vec::new();
        for resting in self.resting.values_mut() {
            while let Some((key, _)) = resting.pop_front_if(|r| now - r.1 >= idle) {
                retired.push(key);
            }
        }
        self.resting.retain(|_, resting| !resting.is_empty());
        retired
    }
}

/// A number is given out again when its node has been gone for so long: longer than any attempt there is out, and
/// than it takes until the module, which forgets a node with the next news of the list, has forgotten it.
const NUMBER_REUSE_DELAY_MS: Ms = 60_000.0;

/// EndpointNumbers of nodes by their ids. Guards against a list that names new nodes day after day: all that is kept by
/// number stays as large as the fleet. A number that comes back is a node that was never met.
#[derive(Default)]
pub struct EndpointNumbers {
    by_id: HashMap<String, u32>,
    gone: VecDeque<(Ms, u32)>,
    next: u32,
}

impl EndpointNumbers {
    pub fn known(&self, id: &str) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    pub fn of(&mut self, now: Ms, id: &str) -> u32 {
        if let Some(number) = self.known(id) {
            return number;
        }
        let free = self.gone.pop_front_if(|g| now - g.0 >= NUMBER_REUSE_DELAY_MS).map(|g| g.1);
        let number = free.unwrap_or_else(|| {
            self.next += 1;
            self.next
        });
        self.by_id.insert(id.to_string(), number);
        number
    }

    pub fn forget(&mut self, now: Ms, id: &str) {
        self.gone.extend(self.by_id.remove(id).map(|number| (now, number)));
    }
}

#[cfg(test)]
mod tests;
