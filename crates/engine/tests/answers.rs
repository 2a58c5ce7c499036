//! The desk beside a plain count of what it owes: whatever comes in whatever order, each command gets one
//! final answer, nothing is sent after it, and nothing is kept once all is over.

use magpiewick::{Answer, Band, Command, Ending, Group, Ms, News, Outcome, Plan, Repeats, Start};
use magpiewick_engine::{Desk, Part, Reason, Taken, World};
use quickcheck::quickcheck;
use std::collections::btree_map::{BTreeMap, Entry};

/// Whoever is in hand and not ended may be offered as company: the module has the last word.
#[derive(Default)]
struct Count {
    taken: u64,
    offered: u64,
    together: u32,
    out: Vec<(u64, u32)>,
    /// Final answers by command; the client's going counts as one.
    ended: BTreeMap<u64, u32>,
    wrong: Option<String>,
}

impl World for Count {
    fn send(&mut self, _: u32, parts: &[Part]) {
        for part in parts {
            if self.ended.contains_key(&part.command) || part.time_out <= 0.0 {
                self.wrong = Some(format!("{} was sent after its end", part.command));
            }
            if self.out.iter().any(|(command, _)| *command == part.command) {
                self.wrong = Some(format!("{} was sent while it is out", part.command));
            }
            self.out.push((part.command, part.hand_off));
        }
        self.offered = 0;
        self.together += u32::from(parts.len() > 1);
    }

    fn beside(&mut self, _: &[Part]) -> Option<u64> {
        self.offered += 1;
        (self.offered <= self.taken).then_some(self.offered)
    }

    fn cancel(&mut self, command: u64, hand_off: u32) {
        if !self.out.contains(&(command, hand_off)) {
            self.wrong = Some(format!("a cancel of {command}, which is not out"));
        }
    }

    fn answer(&mut self, command: u64, _: Ending, _: Reason) {
        *self.ended.entry(command).or_default() += 1;
    }

    fn probe(&mut self, _: u32) {}

    fn watch(&mut self) {}

    fn wake(&mut self, _: Ms) {}
}

fn start() -> Start {
    let band = |repeats, in_order| {
        let (group, memory, payoff) = (Group::Zone, 300.0, 1.0);
        Band { soft_limit: 100.0, time_limit: 400.0, payoff, repeats, group, memory, in_order }
    };
    let (price, weight, rate, reserve, limit_rate, limit_store) = (1.0, 1.0, 50.0, 20.0, 0.0, 0.0);
    Start {
        seed: 3,
        hosts: 1.0,
        bands: vec![band(Repeats::Retriable, false), band(Repeats::Binding, true)],
        plans: vec![Plan { price, weight, rate, reserve, limit_rate, limit_store }],
        round: 2.0,
        max_hand_offs: 3,
        may_cancel: true,
        longest_back: 100.0,
        ask_within: None,
        cold_share: 1.0,
        cold_time: 0.0,
        cold_units: 0.0,
        fall_time: 0.0,
        fall_multiple: 1.0,
        order_rest: 20.0,
        budget: None,
        most_units: 4.0,
        mean_units: 1.0,
        most_together: 8.0,
        share_payoff: 0.3,
        counts_others: true,
        peer: None,
    }
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Settled,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
];

fn outcome(desk: &mut Desk, world: &mut Count, now: Ms, place: usize, outcome: Outcome) {
    let (command, _) = world.out.remove(place);
    let over = outcome == Outcome::Settled;
    if over {
        let ended = world.ended.entry(command).or_default();
        *ended = (*ended).max(1);
    }
    let answer = Answer { outcome, latency: 5.0, over, used: None, others: 0.0 };
    desk.outcome(now, command, answer, world);
}

fn take(desk: &mut Desk, world: &mut Count, now: Ms, id: u64, (a, b): (u8, u8)) {
    let (band, shard) = (usize::from(a % 2), Some(usize::from(b % 2)));
    let (units, hosts, time_limit) = (1.0, 1.0, 400.0);
    let (plan, volume, key, counts, with) = (0, 0, None, 1.0, None);
    let command = Command { band, plan, volume, key, units, shard, hosts, time_limit, counts, with };
    desk.take(now, Taken { id, key: u64::from(a % 5), volume: 9, command }, world);
}

quickcheck! {
    fn each_command_ends_once(steps: Vec<(u8, u8, u8)>) -> Result<(), String> {
        let (mut desk, mut world, mut now) = (Desk::new(start(), 0.0), Count::default(), 0.0);
        let entry = |n: usize| magpiewick::Entry { shard: n, ..Default::default() };
        desk.listed(now, News::Whole, &[(70, entry(0)), (80, entry(1))]);
        let mut taken = 0;
        for (step, a, b) in steps {
            now += f64::from(b % 16);
            match step % 4 {
                0 | 1 => {
                    taken += 1;
                    world.taken = taken;
                    take(&mut desk, &mut world, now, taken, (a, b));
                }
                2 if !world.out.is_empty() => {
                    let place = usize::from(a) % world.out.len();
                    outcome(&mut desk, &mut world, now, place, OUTCOMES[usize::from(b) % OUTCOMES.len()]);
                }
                3 if taken > 0 => {
                    let id = 1 + u64::from(a) % taken;
                    // The client of an ended command has nothing to give up.
                    if let Entry::Vacant(left) = world.ended.entry(id) {
                        desk.abandoned(now, id);
                        left.insert(1);
                    }
                }
                _ => {}
            }
            desk.run(now, &mut world);
        }
        // In the end every hand-off times out, and every client's time is over.
        for _ in 0..100 {
            now += 10.0;
            desk.run(now, &mut world);
            while !world.out.is_empty() {
                outcome(&mut desk, &mut world, now, 0, Outcome::TimedOut);
            }
        }
        let many = world.ended.iter().find(|(_, times)| **times != 1);
        match (world.wrong, many) {
            (Some(wrong), _) => Err(wrong),
            (None, Some((command, times))) => Err(format!("{command} ended {times} times")),
            (None, None) if world.ended.len() as u64 != taken => Err("a command never ended".to_string()),
            (None, None) if desk.in_hand() != 0 => Err("what is over is kept".to_string()),
            _ => Ok(()),
        }
    }
}

/// Kilobytes that this process holds in memory.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn what_is_kept_does_not_grow_with_ids_that_are_always_new() {
    let (mut desk, mut world) = (Desk::new(start(), 0.0), Count::default());
    let entry = magpiewick::Entry::default();
    desk.listed(0.0, News::Whole, &[(1, entry)]);
    let mut serve = |ids: std::ops::Range<u64>| {
        for id in ids {
            let now = id as f64 * 10.0;
            let (time_limit, units) = (400.0, 1.0);
            let (band, plan, volume, key, shard) = ((id % 2) as usize, 0, 0, None, Some(0));
            let (hosts, counts, with) = (1.0, 1.0, None);
            let command = Command { band, plan, volume, key, units, shard, hosts, time_limit, counts, with };
            desk.take(now, Taken { id, key: id, volume: id, command }, &mut world);
            desk.run(now, &mut world);
            while !world.out.is_empty() {
                outcome(&mut desk, &mut world, now, 0, Outcome::Settled);
            }
            world.ended.clear();
        }
        assert_eq!((desk.in_hand(), &world.wrong), (0, &None));
        resident()
    };
    // Until all that is bounded has reached its bound.
    let before = serve(1..250_000);
    let grown = serve(250_000..500_000).saturating_sub(before);
    assert!(grown < 4096, "{grown} kB more after as many commands again");
}
