//! Follows the list of nodes: applies its news in order, finds gaps, and keeps the time at which each process
//! started on this host's clock. Free of I/O.

use crate::contact::Process;
use magpiewick::{Condition, Entry, Ms, News};
use magpiewick_nodewire::{Line, List, State, LONG_AGO};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// A node as this host knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    pub line: Line,
    /// When its process started, fixed when this life was first heard of: an age told twice would make two
    /// starts of one.
    pub started: Option<Ms>,
}

/// The list as this host has it.
#[derive(Default)]
pub struct Follower {
    epoch: u64,
    nodes: BTreeMap<u32, Known>,
}

/// What news came to.
#[derive(Debug)]
pub enum Heard {
    /// For the module: its kind and the entries.
    News(News, Vec<(u32, Entry)>),
    /// News is missing before this one: the whole list must be asked for.
    Gap,
    /// The same news again.
    Old,
}

pub fn started(now: Ms, age_us: u64) -> Option<Ms> {
    (age_us != LONG_AGO).then(|| now - age_us as f64 / 1000.0)
}

pub fn address(line: &Line) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(line.address).into(), line.port)
}

impl Follower {
    /// The last epoch whose news this host has; 0 before any.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn nodes(&self) -> impl Iterator<Item = &Known> {
        self.nodes.values()
    }

    pub fn node(&self, node: u32) -> Option<&Known> {
        self.nodes.get(&node)
    }

    pub fn process(&self, node: u32) -> Option<Process> {
        self.nodes.get(&node).map(|k| Process { node, life: k.line.life, started: k.started })
    }

    pub fn heard(&mut self, now: Ms, list: &List) -> Heard {
        // A service that started anew counts its epochs anew; only a whole list can tell.
        if !list.whole {
            if list.epoch <= self.epoch {
                return Heard::Old;
            }
            if list.epoch != self.epoch + 1 {
                return Heard::Gap;
            }
        } else {
            let named: Vec<u32> = list.lines.iter().map(|l| l.node).collect();
            self.nodes.retain(|node, _| named.contains(node));
        }
        self.epoch = list.epoch;
        let news = if list.whole { News::Whole } else { News::Changes };
        let entries = list.lines.iter().map(|line| (line.node, self.note(now, line))).collect();
        if !list.whole {
            // What has gone needs no memory; the module keeps what is still out there.
            self.nodes.retain(|_, k| k.line.state != State::Gone);
        }
        Heard::News(news, entries)
    }

    fn note(&mut self, now: Ms, line: &Line) -> Entry {
        let before = self.nodes.get(&line.node).filter(|k| k.line.life == line.life);
        let started = before.map_or_else(|| started(now, line.age_us), |k| k.started);
        self.nodes.insert(line.node, Known { line: *line, started });
        entry(line, started)
    }

    /// A greeting showed that a node's process is a later one than the list says.
    pub fn restarted(&mut self, node: u32, life: u64, started: Option<Ms>) -> Option<(u32, Entry)> {
        let known = self.nodes.get_mut(&node)?;
        (known.line.life, known.started) = (life, started);
        Some((node, entry(&known.line, started)))
    }

    /// The list to keep over a restart of this host, with the ages as of now.
    pub fn remembered(&self, now: Ms) -> List {
        let age = |k: &Known| k.started.map_or(LONG_AGO, |at| ((now - at).max(0.0) * 1000.0) as u64);
        let lines = self.nodes.values().map(|k| Line { age_us: age(k), ..k.line }).collect();
        List { whole: true, epoch: self.epoch, lines }
    }

    /// What this host kept when it last ran. How long it did not run is not known, so nodes count as younger
    /// than they are: the safe side. The epoch is not taken over, so that the whole list is asked for.
    pub fn recall(&mut self, now: Ms, list: &List) -> Vec<(u32, Entry)> {
        list.lines.iter().map(|line| (line.node, self.note(now, line))).collect()
    }
}

fn entry(line: &Line, started: Option<Ms>) -> Entry {
    let condition = match line.state {
        State::Ready => Condition::Ready,
        State::Draining => Condition::Draining,
        State::Gone => Condition::Gone,
    };
    Entry { node: 0, zone: usize::from(line.zone), shard: line.shard as usize, condition, started }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    fn line(node: u32, state: State, life: u64, age_us: u64) -> Line {
        Line { node, shard: node % 2, zone: 0, state, life, age_us, address: [127, 0, 0, 1], port: 1 }
    }

    fn list(whole: bool, epoch: u64, lines: &[Line]) -> List {
        List { whole, epoch, lines: lines.to_vec() }
    }

    #[test]
    fn an_age_told_twice_is_one_start() {
        let mut f = Follower::default();
        f.heard(1000.0, &list(true, 1, &[line(1, State::Ready, 7, 500_000)]));
        f.heard(1300.7, &list(true, 2, &[line(1, State::Ready, 7, 800_000)]));
        assert_eq!(f.node(1).unwrap().started, Some(500.0));
        f.heard(1400.0, &list(false, 3, &[line(1, State::Ready, 8, 0)]));
        assert_eq!(f.node(1).unwrap().started, Some(1400.0));
    }

    #[test]
    fn gaps_and_repeats_are_found() {
        let mut f = Follower::default();
        f.heard(0.0, &list(true, 4, &[line(1, State::Ready, 7, 0)]));
        let drains = [line(1, State::Draining, 7, 0)];
        assert!(matches!(f.heard(1.0, &list(false, 6, &drains)), Heard::Gap));
        assert!(matches!(f.heard(1.0, &list(false, 4, &drains)), Heard::Old));
        assert!(matches!(f.heard(1.0, &list(false, 5, &drains)), Heard::News(News::Changes, _)));
        assert_eq!(f.epoch(), 5);
    }

    #[test]
    fn a_remembered_list_makes_no_node_older() {
        let mut f = Follower::default();
        f.heard(
            0.0,
            &list(true, 4, &[line(1, State::Ready, 7, 250_000), line(2, State::Ready, 9, LONG_AGO)]),
        );
        let kept = f.remembered(1000.0);
        let mut again = Follower::default();
        let entries = again.recall(10.0, &kept);
        assert_eq!(entries[0].1.started, Some(10.0 - 1250.0));
        assert_eq!((entries[1].1.started, again.epoch()), (None, 0));
    }

    quickcheck! {
        /// A plain model: the states as a map, news applied one by one, wholes replacing all.
        fn the_list_is_what_its_news_make_it(news: Vec<(bool, Vec<(u8, u8)>)>) -> bool {
            let (mut f, mut plain) = (Follower::default(), BTreeMap::new());
            for (epoch, (whole, lines)) in (1..).zip(news) {
                let state = |s: u8| [State::Ready, State::Draining, State::Gone][usize::from(s % 3)];
                let lines: Vec<Line> =
                    lines.iter().map(|(n, s)| line(u32::from(n % 8), state(*s), u64::from(*s), 0)).collect();
                if whole {
                    plain.clear();
                }
                plain.extend(lines.iter().map(|l| (l.node, l.state)));
                if !whole {
                    plain.retain(|_, state| *state != State::Gone);
                }
                f.heard(0.0, &list(whole, epoch, &lines));
            }
            let found: BTreeMap<u32, State> = f.nodes().map(|k| (k.line.node, k.line.state)).collect();
            found == plain
        }
    }
}
