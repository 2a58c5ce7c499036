//! The client of the list's service, as a state machine without I/O: when it is called, which answers are taken in,
//! how long a call may take, and until when the list may be relied on. Nothing else sets a time for any of these.
//!
//! A driver reports what happens and carries out the steps that [`EndpointClient::due`] names, until there is none.
//! At every moment a call is out whose deadline is known, or the time of the next call is set.

use crate::backoff::Backoff;
use crate::freshness::{Failure, Freshness, FreshnessRules, Validity};
use crate::random_source::RandomSource;
use crate::types::{EndpointUpdate, Ms};

/// Waits after a failed call: the first, and the longest as a part of the time that a host may go without asking.
const FIRST_WAIT: Ms = 50.0;
const LONGEST_WAIT: f64 = 0.1;
/// The least part of the longest wait after a call that was turned away at once: the service spends time on that, too.
const BUSY_WAIT: f64 = 0.6;
/// A call that is turned away sooner than this never stood in line.
const AT_ONCE: Ms = 20.0;
/// How soon a call follows an answer that came at once and told nothing: soon enough to go on with the watch.
const EMPTY_PAUSE: Ms = 50.0;
/// Calls to former addresses that are still listened to.
const MOST_FORMER: usize = 4;

/// How calls are paced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// How long a call waits for news, and how long the first one after a failure does.
    pub wait: Ms,
    pub first_wait: Ms,
    /// How long over its wait a call may take before another is made beside it, and how long the first one after a
    /// failure may: others may stand in line before it.
    pub late: Ms,
    pub first_late: Ms,
    /// How many calls may be out at once. RouteDecision it is one, a late call is given up for the next.
    pub most_calls: usize,
    /// How long the host may go without asking.
    pub max_poll_interval: Ms,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// All of the list, at once.
    Whole,
    /// What has changed since a generation, as soon as there is anything, or nothing after `wait`.
    Changes { after: u64, wait: Ms },
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Begin a call to the present address.
    Call { call: u64, target: Target },
    /// End a call: its answer is not wanted any more.
    Drop { call: u64 },
}

/// The head of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answered {
    pub generation: u64,
    /// It is the whole list, not changes to it.
    pub whole: bool,
    /// How many lines it has.
    pub lines: usize,
}

/// What an answer is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its lines are to be taken in, as this kind of news.
    Take(EndpointUpdate),
    /// It does not follow what is known: the whole list is asked for.
    Gap,
    /// What is known is newer, or the call is not known any more.
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: u64,
    /// The number of the address that it went to.
    address: u32,
    began: Ms,
    target: Target,
    late_at: Ms,
    connected: bool,
    late: bool,
}

impl Call {
    /// As of when an answer that comes now told everything, at the least.
    fn tells_as_of(&self, now: Ms, lines: usize) -> Ms {
        match self.target {
            // It told nothing, so the service waited all of that time for news.
            Target::Changes { wait, .. } if lines == 0 && now - self.began >= wait => self.began + wait,
            _ => self.began,
        }
    }
}

/// What the host has of the list: from which address, counted from 0, of which generation, and since when.
#[derive(Clone, Copy, Debug)]
struct Known {
    address: u32,
    generation: u64,
    taken_at: Ms,
}

/// The client.
pub struct EndpointClient {
    pace: Pace,
    rng: RandomSource,
    backoff: Backoff,
    freshness: Freshness,
    address: u32,
    known: Option<Known>,
    /// The generation at the present address that changes are asked after; none asks for the whole list.
    after: Option<u64>,
    /// The last call was answered, so that the next one may wait long.
    answers: bool,
    /// Calls that are out, oldest first, to the present address and to former ones.
    calls: Vec<Call>,
    former: Vec<Call>,
    dropped: Vec<u64>,
    next_at: Option<Ms>,
    last_id: u64,
}

impl EndpointClient {
    /// `as_of`: when what the host starts with counts as complete; `remembered`: the generation of the list that it
    /// starts with.
    pub fn new(
        pace: Pace,
        rules: FreshnessRules,
        seed: u64,
        now: Ms,
        as_of: Ms,
        remembered: Option<u64>,
    ) -> EndpointClient {
        let known = remembered.map(|generation| Known { address: 0, generation, taken_at: now });
        EndpointClient {
            pace,
            rng: RandomSource::new(seed),
            backoff: Backoff::new(FIRST_WAIT, LONGEST_WAIT * pace.max_poll_interval),
            freshness: Freshness::new(rules, as_of),
            address: 0,
            known,
            after: remembered,
            answers: false,
            calls: Vec::new(),
            former: Vec::new(),
            dropped: Vec::new(),
            next_at: Some(now),
            last_id: 0,
        }
    }

    pub fn validity(&self, now: Ms) -> Validity {
        self.freshness.validity(now)
    }

    /// How old the list may be.
    pub fn age(&self, now: Ms) -> Ms {
        self.freshness.age(now)
    }

    /// The generation that is known at the present address.
    pub fn generation(&self) -> Option<u64> {
        self.after
    }

    /// When the next call begins if nothing happens before.
    pub fn next_call_at(&self) -> Ms {
        let late_at = self.calls.last().filter(|call| !call.late).map(|call| call.late_at);
        let times = [self.next_at, late_at].into_iter().flatten();
        times.fold(f64::INFINITY, f64::min)
    }

    /// Whether a call went to the present address.
    pub fn is_present(&self, call: u64) -> bool {
        self.calls.iter().any(|c| c.id == call)
    }

    pub fn calls_out(&self) -> usize {
        self.calls.len()
    }

    pub fn former_calls_out(&self) -> usize {
        self.former.len()
    }

    /// When [`EndpointClient::due`] is to be called at the latest, and the validity looked at.
    pub fn wakes_at(&self, now: Ms) -> Ms {
        let expires_at = Some(self.freshness.expires_at()).filter(|at| *at > now);
        self.next_call_at().min(expires_at.unwrap_or(f64::INFINITY))
    }

    /// The next step that is due, until there is none.
    pub fn due(&mut self, now: Ms) -> Option<Step> {
        self.look_for_late_call(now);
        if let Some(call) = self.dropped.pop() {
            return Some(Step::Drop { call });
        }
        if self.next_at.is_none_or(|at| now < at) {
            return None;
        }
        if self.calls.len() >= self.pace.most_calls {
            let oldest = self.calls.remove(0);
            return Some(Step::Drop { call: oldest.id });
        }
        Some(self.begin(now))
    }

    fn begin(&mut self, now: Ms) -> Step {
        let (target, patience) = self.target(now);
        self.last_id += 1;
        let (id, address) = (self.last_id, self.address);
        let late_at = now + patience;
        self.calls.push(Call { id, address, began: now, target, late_at, connected: false, late: false });
        self.next_at = None;
        Step::Call { call: id, target }
    }

    /// What the next call asks for, and how long it may take. A first call does not wait long for news: it shows soon
    /// whether the host is heard.
    fn target(&self, now: Ms) -> (Target, Ms) {
        let Pace { wait, first_wait, late, first_late, .. } = self.pace;
        let first_patience = first_wait + first_late;
        match self.after {
            None => (Target::Whole, first_patience),
            Some(after) if self.answers && self.validity(now) == Validity::Valid => {
                (Target::Changes { after, wait }, wait + late)
            }
            Some(after) => (Target::Changes { after, wait: first_wait }, first_patience),
        }
    }

    /// Makes a call beside one that is late. The late one keeps its place in the service's line: guards against a
    /// slow service, which would never answer anybody who gave up and stood in line anew, as well as against calls
    /// that nobody will answer. It could harm a crowded service by twice the calls.
    fn look_for_late_call(&mut self, now: Ms) {
        let Some(newest) = self.calls.last_mut().filter(|call| !call.late && now >= call.late_at) else {
            return;
        };
        newest.late = true;
        let failure = if newest.connected { Failure::Silent } else { Failure::NeverUp };
        self.answers = false;
        self.freshness.failed(failure);
        if self.pace.most_calls > 1 {
            self.next_at = Some(now);
        } else {
            self.dropped.extend(self.calls.drain(..).map(|call| call.id));
            self.next_at = Some(now + self.backoff.failed(&mut self.rng));
        }
    }

    /// The connection of a call stands.
    pub fn connected(&mut self, call: u64) {
        if let Some(call) = self.calls.iter_mut().find(|c| c.id == call) {
            call.connected = true;
        }
    }

    /// A call ended without an answer that can be used. One to a former address says nothing of the present one.
    pub fn failed(&mut self, now: Ms, call: u64, failure: Failure) {
        self.former.retain(|c| c.id != call);
        let Some(index) = self.calls.iter().position(|c| c.id == call) else { return };
        let ended = self.calls.remove(index);
        let at_once = now - ended.began < AT_ONCE;
        let failure = if failure == Failure::TurnedAway && at_once { Failure::Busy } else { failure };
        self.freshness.failed(failure);
        self.retry(now, failure);
    }

    /// Sets the next call after a failure, unless another call is out that is not late.
    fn retry(&mut self, now: Ms, failure: Failure) {
        self.answers = false;
        let mut wait = self.backoff.failed(&mut self.rng);
        if failure == Failure::Busy {
            let least = BUSY_WAIT * LONGEST_WAIT * self.pace.max_poll_interval;
            wait = wait.max(least * (0.5 + self.rng.fraction()));
        }
        if self.next_at.is_none() && self.calls.iter().all(|call| call.late) {
            self.next_at = Some(now + wait);
        }
    }

    /// A call was answered.
    pub fn answered(&mut self, now: Ms, call: u64, answer: Answered) -> Verdict {
        if let Some(index) = self.calls.iter().position(|c| c.id == call) {
            let call = self.calls.remove(index);
            return self.answered_by_present(now, call, answer);
        }
        let Some(index) = self.former.iter().position(|c| c.id == call) else { return Verdict::Outdated };
        let call = self.former.remove(index);
        let verdict = self.judge(&call, answer);
        if let Verdict::Take(_) = verdict {
            // It is news as any other, and says nothing of the present address: the next call stays as it is.
            self.take(now, &call, answer);
        }
        verdict
    }

    fn answered_by_present(&mut self, now: Ms, call: Call, answer: Answered) -> Verdict {
        let verdict = self.judge(&call, answer);
        let Verdict::Take(_) = verdict else {
            if verdict == Verdict::Gap {
                self.after = None;
            }
            self.freshness.failed(Failure::Unusable);
            self.retry(now, Failure::Unusable);
            return verdict;
        };
        self.take(now, &call, answer);
        self.after = Some(answer.generation);
        self.answers = true;
        self.backoff.reset();
        // Whoever is called first is answered first: older calls, and those to former addresses, are broken or moot.
        let (older, newer): (Vec<Call>, Vec<Call>) = self.calls.drain(..).partition(|c| c.id < call.id);
        self.calls = newer;
        self.dropped.extend(older.iter().chain(&self.former).map(|c| c.id));
        self.former.clear();
        let told_at_once = answer.lines == 0 && now - call.began < EMPTY_PAUSE.min(call.late_at - call.began);
        let pause = if told_at_once { EMPTY_PAUSE } else { 0.0 };
        let another = self.calls.iter().any(|c| !c.late);
        self.next_at = (!another).then_some(now + pause);
        verdict
    }

    fn judge(&self, call: &Call, answer: Answered) -> Verdict {
        let follows = matches!(call.target, Target::Changes { after, .. } if answer.generation >= after);
        if !answer.whole && !follows {
            return Verdict::Gap;
        }
        if let Some(known) = self.known {
            // A service that started anew, or another one, counts from the beginning: only what was asked for since
            // the last list can tell. Of two addresses of one service the slower may answer with an older list.
            let older = answer.generation < known.generation && call.began < known.taken_at;
            if call.address < known.address || older {
                return Verdict::Outdated;
            }
        }
        Verdict::Take(if answer.whole { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta })
    }

    fn take(&mut self, now: Ms, call: &Call, answer: Answered) {
        self.known = Some(Known { address: call.address, generation: answer.generation, taken_at: now });
        let as_of = call.tells_as_of(now, answer.lines);
        match call.address == self.address {
            true => self.freshness.confirmed(as_of),
            false => self.freshness.confirmed_by_former(as_of),
        }
    }

    /// The service is at another address from now on. It is called at once, whatever failed before; calls that are
    /// out are listened to until it is heard.
    pub fn reloaded(&mut self, now: Ms) {
        self.freshness.reloaded(now);
        self.backoff.reset();
        self.former.append(&mut self.calls);
        let surplus = self.former.len().saturating_sub(MOST_FORMER);
        self.dropped.extend(self.former.drain(..surplus).map(|call| call.id));
        self.address += 1;
        (self.after, self.answers) = (None, false);
        self.next_at = Some(now);
    }

    /// A new configuration is there and could not be read: the service may be at another address.
    pub fn reload_refused(&mut self, now: Ms) {
        self.freshness.reloaded(now);
    }
}
