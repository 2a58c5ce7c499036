//! A search over what may befall the calls of the list client, against a plain model of the service and of the rule:
//! the list is never older than what binds the host, or the client says that it has expired.

use magpiewick::*;
use std::collections::BTreeSet;

const STEP: Ms = 10.0;
const BINDS_AFTER: Ms = 6000.0;
const BINDS_AFTER_RELOAD: Ms = 4000.0;
/// How long a call stands in the service's line before that gives it up.
const LINE: Ms = 1000.0;

fn pace() -> Pace {
    Pace {
        wait: 2000.0,
        first_wait: 500.0,
        late: 900.0,
        first_late: 2000.0,
        most_calls: 3,
        max_poll_interval: 10_000.0,
    }
}

fn rules() -> FreshnessRules {
    FreshnessRules {
        binds_after: BINDS_AFTER,
        binds_after_reload: BINDS_AFTER_RELOAD,
        stall: 150.0,
        silent_when_down: false,
    }
}

/// What befalls a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// Answered so long after there is something to tell.
    Answered(Ms),
    Refused,
    NeverUp,
    Reset(Ms),
    TurnedAway(Ms),
    Silent,
    Unusable(Ms),
    Local,
}

const FATES: [Fate; 9] = [
    Fate::Answered(1.0),
    Fate::Answered(1800.0),
    Fate::Refused,
    Fate::NeverUp,
    Fate::Reset(300.0),
    Fate::TurnedAway(2.0),
    Fate::TurnedAway(LINE),
    Fate::Silent,
    Fate::Unusable(5.0),
];

struct Call {
    id: u64,
    target: Target,
    began: Ms,
    fate: Fate,
    /// What the service has written, and when the host gets it.
    written: Option<(Answered, BTreeSet<u64>, Ms)>,
}

/// A host with its client, and the service.
struct World {
    now: Ms,
    client: EndpointClient,
    calls: Vec<Call>,
    /// When each generation came to be.
    changes: Vec<Ms>,
    /// The generations that the host has taken in.
    has: BTreeSet<u64>,
    reloads: Vec<Ms>,
    /// Since when the service can be reached, none while it is down.
    up_since: Option<Ms>,
    begun: usize,
    log: Vec<String>,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            now: 0.0,
            client: EndpointClient::new(pace(), rules(), seed, 0.0, 0.0, Some(0)),
            calls: Vec::new(),
            changes: vec![0.0],
            has: BTreeSet::from([0]),
            reloads: Vec::new(),
            up_since: Some(0.0),
            begun: 0,
            log: Vec::new(),
        }
    }

    fn note(&mut self, what: String) {
        self.log.push(format!("{:.0}: {what}", self.now));
    }

    fn generation(&self) -> u64 {
        self.changes.len() as u64 - 1
    }

    fn changes(&mut self) {
        self.changes.push(self.now);
        self.note(format!("generation {}", self.generation()));
    }

    fn reloads(&mut self) {
        self.reloads.push(self.now);
        self.client.reloaded(self.now);
        self.note("reload".to_string());
    }

    fn refuses_reload(&mut self) {
        self.reloads.push(self.now);
        self.client.reload_refused(self.now);
        self.note("reload refused".to_string());
    }

    /// When a change binds the host, whether or not it has heard of it.
    fn binds_at(&self, generation: u64) -> Ms {
        let at = self.changes[generation as usize];
        let up_since = self.up_since.unwrap_or(f64::INFINITY);
        let by_age = at.max(up_since) + BINDS_AFTER;
        let reload = self.reloads.iter().copied().find(|reload| *reload >= at.max(up_since));
        reload.map_or(by_age, |reload| by_age.min(reload + BINDS_AFTER_RELOAD))
    }

    /// Lets the service and the network act until now.
    fn serve(&mut self) {
        let (now, generation) = (self.now, self.generation());
        for call in self.calls.iter_mut().filter(|call| call.written.is_none()) {
            let Fate::Answered(delay) = call.fate else { continue };
            let tells = match call.target {
                Target::Whole => true,
                Target::Changes { after, wait } => generation > after || now >= call.began + wait,
            };
            if !tells {
                continue;
            }
            let (whole, first) = match call.target {
                Target::Changes { after, .. } if after <= generation => (false, after + 1),
                _ => (true, 0),
            };
            let lines: BTreeSet<u64> = (first..=generation).collect();
            let answer = Answered { generation, whole, lines: lines.len() };
            call.written = Some((answer, lines, now + delay));
        }
    }

    /// Brings the host what has come to it by now.
    fn deliver(&mut self) {
        let now = self.now;
        for call in std::mem::take(&mut self.calls) {
            let over = |after: Ms| now >= call.began + after;
            let failure = match call.fate {
                Fate::Refused => Some(Failure::Unreachable),
                Fate::Local => Some(Failure::Local),
                Fate::Reset(after) if over(after) => Some(Failure::Broken),
                Fate::TurnedAway(after) if over(after) => Some(Failure::TurnedAway),
                Fate::Unusable(after) if over(after) => Some(Failure::Unusable),
                _ => None,
            };
            if let Some(failure) = failure {
                self.client.failed(now, call.id, failure);
                self.note(format!("call {} failed: {failure:?}", call.id));
            } else if call.written.as_ref().is_some_and(|(.., at)| now >= *at) {
                let Some((answer, lines, _)) = call.written else { continue };
                let verdict = self.client.answered(now, call.id, answer);
                self.note(format!("call {} answered {answer:?}: {verdict:?}", call.id));
                self.take(verdict, lines);
            } else {
                self.calls.push(call);
            }
        }
    }

    fn take(&mut self, verdict: Verdict, lines: BTreeSet<u64>) {
        let before = self.has.clone();
        match verdict {
            Verdict::Take(EndpointUpdate::Snapshot) => self.has = lines,
            Verdict::Take(_) => self.has.extend(lines),
            Verdict::Gap | Verdict::Outdated => return,
        }
        assert!(before.is_subset(&self.has), "an older list took the place of a newer one: {:#?}", self.log);
    }

    /// Does what the client wants; `fate` says what befalls each call.
    fn run_client(&mut self, fate: &mut dyn FnMut(usize) -> Fate) {
        while let Some(step) = self.client.due(self.now) {
            match step {
                Step::Call { call, target } => {
                    let fate = fate(self.begun);
                    self.begun += 1;
                    if !matches!(fate, Fate::NeverUp | Fate::Refused | Fate::Local) {
                        self.client.connected(call);
                    }
                    self.note(format!("call {call}: {target:?}, {fate:?}"));
                    self.calls.push(Call { id: call, target, began: self.now, fate, written: None });
                }
                Step::Drop { call } => {
                    self.note(format!("call {call} dropped"));
                    self.calls.retain(|c| c.id != call);
                }
            }
        }
    }

    fn check(&self) {
        let next = self.client.next_call_at();
        assert!(next <= self.now + 2900.0, "no call is out and none is due: {:#?}", self.log);
        if self.client.validity(self.now) != Validity::Valid {
            return;
        }
        for generation in (0..=self.generation()).filter(|g| !self.has.contains(g)) {
            let binds_at = self.binds_at(generation);
            assert!(
                self.now < binds_at,
                "{}: the list is held to be valid without generation {generation}, which binds since {binds_at}: {:#?}",
                self.now,
                self.log
            );
        }
    }

    fn step(&mut self, fate: &mut dyn FnMut(usize) -> Fate) {
        self.now += STEP;
        self.serve();
        // What the host sends now it sends by the list that it has before it reads anything.
        self.check();
        self.deliver();
        self.run_client(fate);
        self.check();
    }

    /// The service is well from now on: the host has all of it and relies on it before another change could bind.
    fn ends_well(&mut self) {
        let until = self.now + BINDS_AFTER;
        while self.now < until {
            self.step(&mut |_| Fate::Answered(1.0));
        }
        assert!(self.has.contains(&self.generation()), "not heard of: {:#?}", self.log);
        assert_eq!(self.client.validity(self.now), Validity::Valid, "{:#?}", self.log);
    }
}

#[test]
fn whatever_befalls_the_first_calls_around_a_reload_and_a_change() {
    let (reloads, changes) = ([f64::INFINITY, 700.0, 2400.0], [300.0, 1500.0, 3000.0]);
    let mut runs = 0;
    for fates in 0..FATES.len().pow(4) {
        let fate_of = |call: usize| match call {
            0..=3 => FATES[fates / FATES.len().pow(call as u32) % FATES.len()],
            _ => Fate::Silent,
        };
        for (reload, change) in reloads.iter().flat_map(|r| changes.map(|c| (*r, c))) {
            let mut world = World::new(7);
            while world.now < 8000.0 {
                if world.now == reload {
                    world.reloads();
                }
                if world.now == change {
                    world.changes();
                }
                world.step(&mut |call| fate_of(call));
            }
            runs += 1;
            world.ends_well();
        }
    }
    assert_eq!(runs, 6561 * 9);
}

/// A world in which everything fails at random: calls, reloads, the service, and the host's own turns.
fn by_chance(seed: u64) -> World {
    let mut rng = RandomSource::new(seed);
    let mut world = World::new(seed);
    let badness = rng.fraction();
    while world.now < 60_000.0 {
        match rng.below(4000) {
            0..=7 => world.changes(),
            8..=11 => world.reloads(),
            12..=13 => world.refuses_reload(),
            14..=15 => {
                world.up_since = world.up_since.xor(Some(world.now));
                world.note(format!("up since {:?}", world.up_since));
            }
            16..=17 => {
                // The process stands still; the service and the network go on.
                let stall = 8000.0 * rng.fraction();
                world.note(format!("stands still for {stall:.0}"));
                world.now += stall;
            }
            _ => {}
        }
        let (up, fates) = (world.up_since.is_some(), &mut rng);
        world.step(&mut |_| match fates.fraction() < badness {
            _ if !up => [Fate::Refused, Fate::Reset(5.0), Fate::TurnedAway(LINE)][fates.below(3)],
            true if fates.below(10) == 0 => Fate::Local,
            true => FATES[fates.below(FATES.len())],
            false => Fate::Answered(1.0 + 100.0 * fates.fraction()),
        });
    }
    world.up_since = world.up_since.or(Some(world.now));
    world
}

#[test]
fn whatever_fails_by_chance_and_however_often() {
    for seed in 0..1000 {
        by_chance(seed).ends_well();
    }
}
