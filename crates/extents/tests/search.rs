//! Every interleaving of one extent's moves within small bounds: movers that die, come back late or act twice,
//! answers that are lost, nodes that start anew, a target that loses its copy, moves given up at any step.

use magpiewick_extents::*;
use std::collections::{HashMap, VecDeque};

/// Bounds: writes, starts of the source anew, losses of the target's copy, moves.
const WRITES: u8 = 2;
const RESTARTS: u8 = 1;
const LOSSES: u8 = 1;
const MOVES: u32 = 2;

/// What is durable of one extent's moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Machine {
    record: Record,
    source: Source,
    target: Target,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct State {
    m: Machine,
    /// A mover, and another that is late: an older one, or what the first sent twice.
    movers: [Option<Mover>; 2],
    /// Writes as bits: acknowledged, at the source, noted there since a copy began, at the target.
    acked: u8,
    source: u8,
    noted: u8,
    target: u8,
    losses: u8,
}

/// Ways to break the machines, for seeing that the search finds it.
#[derive(Clone, Copy, PartialEq)]
enum Broken {
    Nothing,
    /// A restarted source is not noticed.
    LifeIgnored,
    /// The source goes on serving.
    FenceIgnored,
    /// The rest is taken without what came before.
    RestAlone,
}

fn first() -> State {
    let m = Machine { record: Record::still(1), source: Source::new(), target: Target::default() };
    State { m, movers: [None; 2], acked: 0, source: 0, noted: 0, target: 0, losses: 0 }
}

fn serves(s: &State, broken: Broken) -> (bool, bool) {
    let source = s.m.source.serves() || broken == Broken::FenceIgnored && !s.m.source.released;
    (source, s.m.target.serves)
}

/// Does what a mover asks; the source's life where it is told, or that it was refused.
fn ask(s: &mut State, mover: &Mover, broken: Broken) -> Result<Option<u8>, Refused> {
    let number = mover.number;
    match mover.next {
        Asked::CopyAll | Asked::CopyAgain => {
            if s.m.source.released {
                return Err(Refused);
            }
            let kept = if s.m.target.holds == Some(number) { s.target } else { 0 };
            s.m.target.take(number)?;
            (s.target, s.noted) = (kept | s.source, 0);
            return Ok(Some(s.m.source.life));
        }
        Asked::Fence => s.m.source.fence(number)?,
        Asked::CopyRest => {
            let all = s.m.source.lacks_all(number, mover.life)? && broken != Broken::LifeIgnored;
            match broken {
                Broken::RestAlone => s.m.target.take(number)?,
                _ => s.m.target.take_rest(number)?,
            }
            s.target |= if all { s.source } else { s.noted };
        }
        Asked::RecordCopied => s.m.record.copied(number)?,
        Asked::Switch => _ = s.m.record.switch(number)?,
        Asked::Serve => s.m.target.serve(number)?,
        Asked::Release => s.m.source.release(number)?,
        Asked::DropCopy => {
            s.m.target.drop_copy(number)?;
            s.target = 0;
        }
        Asked::Unfence => s.m.source.unfence(number)?,
        Asked::Nothing => {}
    }
    Ok(None)
}

fn next(s: &State, broken: Broken) -> Vec<State> {
    let mut all = Vec::new();
    let (source, target) = serves(s, broken);
    for write in (0..WRITES).map(|w| 1 << w).filter(|w| s.acked & w == 0) {
        if source {
            let (acked, source, noted) = (s.acked | write, s.source | write, s.noted | write);
            all.push(State { acked, source, noted, ..*s });
        }
        if target {
            all.push(State { acked: s.acked | write, target: s.target | write, ..*s });
        }
    }
    for slot in 0..2 {
        // A new mover starts from the record; the first one's twin comes late with what it was at.
        let fresh = Mover::from(&s.m.record);
        let mut to = *s;
        to.movers[slot] = Some(fresh);
        all.push(to);
        let Some(mover) = s.movers[slot].filter(|m| m.next != Asked::Nothing) else { continue };
        let mut twin = *s;
        twin.movers[1 - slot] = Some(mover);
        all.push(twin);
        let mut done = *s;
        match ask(&mut done, &mover, broken) {
            Ok(life) => {
                // The answer may be lost.
                all.push(done);
                let mut on = mover;
                on.done(life);
                done.movers[slot] = Some(on);
            }
            Err(Refused) => {
                done = *s;
                let mut back = mover;
                back.refused(&s.m.record);
                done.movers[slot] = Some(back);
            }
        }
        all.push(done);
    }
    let mut planned = *s;
    if s.m.record.number < MOVES && s.m.record.stage == Stage::Abandoned && planned.m.record.plan().is_ok() {
        all.push(planned);
    }
    let mut given_up = *s;
    if s.m.record.number > 0 && given_up.m.record.abandon(s.m.record.number).is_ok() {
        all.push(given_up);
    }
    if s.m.source.life < RESTARTS {
        let mut anew = State { noted: 0, ..*s };
        anew.m.source.restart();
        all.push(anew);
    }
    if s.losses < LOSSES && !s.m.target.serves {
        let m = Machine { target: Target::default(), ..s.m };
        all.push(State { m, target: 0, losses: s.losses + 1, ..*s });
    }
    all.retain(|to| to != s);
    all
}

fn wrong(s: &State, broken: Broken) -> Option<&'static str> {
    match serves(s, broken) {
        (true, true) => Some("two owners serve"),
        (true, false) if s.acked & !s.source != 0 => Some("a write is lost at the source"),
        (false, true) if s.acked & !s.target != 0 => Some("a write is lost at the target"),
        _ => None,
    }
}

/// Prints the shortest way to a state.
fn tell(states: &[State], before: &[Vec<usize>], mut at: usize) {
    let mut way = vec![at];
    while let Some(from) = before[at].first() {
        at = *from;
        way.push(at);
    }
    way.iter().rev().for_each(|at| println!("{:?}", states[*at]));
}

/// Visits all states; how many, and the first thing found wrong.
fn search(broken: Broken) -> (usize, Option<&'static str>) {
    let mut numbers: HashMap<State, usize> = HashMap::from([(first(), 0)]);
    let mut before: Vec<Vec<usize>> = vec![Vec::new()];
    let mut states = vec![first()];
    let mut queue = VecDeque::from([0]);
    while let Some(at) = queue.pop_front() {
        let s = states[at];
        if let Some(wrong) = wrong(&s, broken) {
            if broken == Broken::Nothing {
                tell(&states, &before, at);
            }
            return (states.len(), Some(wrong));
        }
        for to in next(&s, broken) {
            let number = *numbers.entry(to).or_insert_with(|| {
                states.push(to);
                before.push(Vec::new());
                queue.push_back(states.len() - 1);
                states.len() - 1
            });
            before[number].push(at);
        }
    }
    // From every state there is a way to one in which the move is over and somebody serves.
    let settled = |s: &State| {
        let over = !matches!(s.m.record.stage, Stage::Copying | Stage::Copied);
        over && (s.m.source.serves() || s.m.target.serves)
    };
    let mut good: Vec<bool> = states.iter().map(settled).collect();
    let mut queue: VecDeque<usize> = (0..states.len()).filter(|at| good[*at]).collect();
    while let Some(at) = queue.pop_front() {
        for from in std::mem::take(&mut before[at]) {
            if !std::mem::replace(&mut good[from], true) {
                queue.push_back(from);
            }
        }
    }
    (states.len(), good.contains(&false).then_some("nobody can ever serve again"))
}

#[test]
fn no_interleaving_loses_a_write_or_has_two_owners_or_ends_with_none() {
    let (states, found) = search(Broken::Nothing);
    assert_eq!(found, None);
    assert!(states > 10_000, "only {states} states");
    println!("{states} states");
}

#[test]
fn the_search_finds_what_is_broken() {
    let found = |broken| search(broken).1;
    assert_eq!(found(Broken::LifeIgnored), Some("a write is lost at the target"));
    assert_eq!(found(Broken::RestAlone), Some("a write is lost at the target"));
    assert_eq!(found(Broken::FenceIgnored), Some("two owners serve"));
}
