//! The client of the discovery service, as a state machine without I/O: when the service is called, which
//! answers are applied, how long a call may take, and until when the endpoint list may be relied on.
//! Nothing else decides on these.
//!
//! A driver reports events and carries out the steps that [`EndpointClient::next_step`] names, until there is
//! none. At every moment a call with a known deadline is in flight, or the time of the next call is set.

use crate::backoff::Backoff;
use crate::freshness::{CallFailure, Freshness, FreshnessRules, Validity};
use crate::random_source::RandomSource;
use crate::types::{EndpointUpdate, Ms};

/// Backoff after a failed call: the first, and the longest as a part of the longest poll interval.
const FIRST_BACKOFF: Ms = 50.0;
const LONGEST_BACKOFF: f64 = 0.1;
/// The least backoff from an overloaded service, as a part of the longest: a rejection costs it time, too.
const BUSY_BACKOFF: f64 = 0.6;
/// A call that is rejected sooner than this was never queued by the service.
const IMMEDIATE_REJECTION: Ms = 20.0;
/// How soon a call follows an answer that came at once and had no changes: soon enough to go on with the
/// watch.
const EMPTY_ANSWER_DELAY: Ms = 50.0;
/// Calls to former addresses whose answers are still accepted.
const MAX_FORMER_CALLS: usize = 4;

/// How calls are paced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollTiming {
    /// How long the service may hold a call until there are changes.
    pub hold: Ms,
    /// The same for the first call after a failure.
    pub first_hold: Ms,
    /// How much longer than that a call may take before another one is made beside it.
    pub grace: Ms,
    /// The same for the first call after a failure, which the service may have queued behind others.
    pub first_grace: Ms,
    /// How many calls may be in flight at once. Where it is one, a late call is given up for the next.
    pub max_calls: usize,
    /// How long the host may go without a poll.
    pub max_poll_interval: Ms,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollTarget {
    /// All of the list, at once.
    Snapshot,
    /// The changes since a generation, as soon as there are any.
    Delta {
        /// The generation.
        after: u64,
        /// How long the service holds the call until it answers without changes.
        hold: Ms,
    },
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollStep {
    /// Begin a call to the present address.
    Call {
        /// The number that the call has from now on.
        call: u64,
        /// What it asks for.
        target: PollTarget,
    },
    /// Abort a call: its answer is of no use any more.
    Abort {
        /// The call.
        call: u64,
    },
}

/// The head of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerHead {
    /// The generation of the list that it leads to.
    pub generation: u64,
    /// It is the whole list, not changes to it.
    pub is_snapshot: bool,
    /// How many endpoints it names.
    pub endpoint_count: usize,
}

/// What an answer is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is to be applied, as this kind of update.
    Apply(EndpointUpdate),
    /// It does not follow what is known: the whole list is requested next.
    Gap,
    /// What is known is newer, or the call is not known any more.
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: u64,
    /// The number of the address that it went to.
    address: u32,
    started_at: Ms,
    target: PollTarget,
    late_at: Ms,
    connected: bool,
    late: bool,
}

impl Call {
    /// As of when an answer that comes now has all changes, at the least.
    fn complete_as_of(&self, now: Ms, lines: usize) -> Ms {
        match self.target {
            // Without changes: the service held the call for all of that time.
            PollTarget::Delta { hold, .. } if lines == 0 && now - self.started_at >= hold => {
                self.started_at + hold
            }
            _ => self.started_at,
        }
    }
}

/// The list that the host has: from which address, counted from 0, of which generation, and since when.
#[derive(Clone, Copy, Debug)]
struct Known {
    address: u32,
    generation: u64,
    applied_at: Ms,
}

/// The client of the discovery service.
pub struct EndpointClient {
    pace: PollTiming,
    rng: RandomSource,
    backoff: Backoff,
    freshness: Freshness,
    address: u32,
    known: Option<Known>,
    /// The generation at the present address whose successors are requested; without one the whole list is.
    after: Option<u64>,
    /// The last call was answered, so that the service may hold the next one for long.
    last_call_answered: bool,
    /// Calls in flight to the present address, the oldest first.
    calls: Vec<Call>,
    /// Calls in flight to former addresses, the oldest first.
    former: Vec<Call>,
    /// Calls that the driver has to abort.
    dropped: Vec<u64>,
    next_at: Option<Ms>,
    last_id: u64,
}

impl EndpointClient {
    /// `as_of`: when the list that the host starts with counts as complete; `restored`: the generation of
    /// that list.
    pub fn new(
        pace: PollTiming,
        rules: FreshnessRules,
        seed: u64,
        now: Ms,
        as_of: Ms,
        restored: Option<u64>,
    ) -> EndpointClient {
        let known = restored.map(|generation| Known { address: 0, generation, applied_at: now });
        EndpointClient {
            pace,
            rng: RandomSource::new(seed),
            backoff: Backoff::new(FIRST_BACKOFF, LONGEST_BACKOFF * pace.max_poll_interval),
            freshness: Freshness::new(rules, as_of),
            address: 0,
            known,
            after: restored,
            last_call_answered: false,
            calls: Vec::new(),
            former: Vec::new(),
            dropped: Vec::new(),
            next_at: Some(now),
            last_id: 0,
        }
    }

    /// Whether the list may be relied on now.
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

    /// When the next call begins unless something happens before.
    pub fn next_call_at(&self) -> Ms {
        let late_at = self.calls.last().filter(|call| !call.late).map(|call| call.late_at);
        let times = [self.next_at, late_at].into_iter().flatten();
        times.fold(f64::INFINITY, f64::min)
    }

    /// Whether a call went to the present address.
    pub fn is_to_current_address(&self, call: u64) -> bool {
        self.calls.iter().any(|c| c.id == call)
    }

    /// How many calls are in flight to the present address.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// How many calls are in flight to former addresses.
    pub fn former_calls_in_flight(&self) -> usize {
        self.former.len()
    }

    /// By when [`EndpointClient::next_step`] is to be called and the validity to be checked.
    pub fn next_wakeup_at(&self, now: Ms) -> Ms {
        let expires_at = Some(self.freshness.expires_at()).filter(|at| *at > now);
        self.next_call_at().min(expires_at.unwrap_or(f64::INFINITY))
    }

    /// The next step that is due, until there is none.
    pub fn next_step(&mut self, now: Ms) -> Option<PollStep> {
        self.replace_late_call(now);
        if let Some(call) = self.dropped.pop() {
            return Some(PollStep::Abort { call });
        }
        if self.next_at.is_none_or(|at| now < at) {
            return None;
        }
        if self.calls.len() >= self.pace.max_calls {
            let oldest = self.calls.remove(0);
            return Some(PollStep::Abort { call: oldest.id });
        }
        Some(self.begin(now))
    }

    fn begin(&mut self, now: Ms) -> PollStep {
        let (target, timeout) = self.target(now);
        self.last_id += 1;
        let (id, address) = (self.last_id, self.address);
        let late_at = now + timeout;
        self.calls.push(Call {
            id,
            address,
            started_at: now,
            target,
            late_at,
            connected: false,
            late: false,
        });
        self.next_at = None;
        PollStep::Call { call: id, target }
    }

    /// What the next call asks for, and how long it may take. The service does not hold a first call for
    /// long, so that it shows soon whether the service responds.
    fn target(&self, now: Ms) -> (PollTarget, Ms) {
        let PollTiming { hold, first_hold, grace, first_grace, .. } = self.pace;
        let first_timeout = first_hold + first_grace;
        match self.after {
            None => (PollTarget::Snapshot, first_timeout),
            Some(after) if self.last_call_answered && self.validity(now) == Validity::Valid => {
                (PollTarget::Delta { after, hold }, hold + grace)
            }
            Some(after) => (PollTarget::Delta { after, hold: first_hold }, first_timeout),
        }
    }

    /// Makes a call beside one that is late. The late one keeps its place in the service's queue: guards
    /// against a slow service, which would never answer hosts that give up and queue again, as well as
    /// against calls that nobody will answer. It may hurt an overloaded service by twice the calls.
    fn replace_late_call(&mut self, now: Ms) {
        let Some(newest) = self.calls.last_mut().filter(|call| !call.late && now >= call.late_at) else {
            return;
        };
        newest.late = true;
        let failure = if newest.connected { CallFailure::NoAnswer } else { CallFailure::ConnectTimedOut };
        self.last_call_answered = false;
        self.freshness.failed(failure);
        if self.pace.max_calls > 1 {
            self.next_at = Some(now);
        } else {
            self.dropped.extend(self.calls.drain(..).map(|call| call.id));
            self.next_at = Some(now + self.backoff.failed(&mut self.rng));
        }
    }

    /// The connection of a call is established.
    pub fn connected(&mut self, call: u64) {
        if let Some(call) = self.calls.iter_mut().find(|c| c.id == call) {
            call.connected = true;
        }
    }

    /// A call ended without an answer. One to a former address says nothing of the present one.
    pub fn failed(&mut self, now: Ms, call: u64, failure: CallFailure) {
        self.former.retain(|c| c.id != call);
        let Some(index) = self.calls.iter().position(|c| c.id == call) else { return };
        let ended = self.calls.remove(index);
        let immediate = now - ended.started_at < IMMEDIATE_REJECTION;
        let failure =
            if failure == CallFailure::Rejected && immediate { CallFailure::Overloaded } else { failure };
        self.freshness.failed(failure);
        self.retry(now, failure);
    }

    /// Schedules the next call after a failure, unless one is in flight that is not late.
    fn retry(&mut self, now: Ms, failure: CallFailure) {
        self.last_call_answered = false;
        let mut delay = self.backoff.failed(&mut self.rng);
        if failure == CallFailure::Overloaded {
            let least = BUSY_BACKOFF * LONGEST_BACKOFF * self.pace.max_poll_interval;
            delay = delay.max(least * (0.5 + self.rng.fraction()));
        }
        if self.next_at.is_none() && self.calls.iter().all(|call| call.late) {
            self.next_at = Some(now + delay);
        }
    }

    /// A call was answered.
    pub fn answered(&mut self, now: Ms, call: u64, answer: AnswerHead) -> Verdict {
        if let Some(index) = self.calls.iter().position(|c| c.id == call) {
            let call = self.calls.remove(index);
            return self.answered_by_present(now, call, answer);
        }
        let Some(index) = self.former.iter().position(|c| c.id == call) else { return Verdict::Outdated };
        let call = self.former.remove(index);
        let verdict = self.verdict_on(&call, answer);
        if let Verdict::Apply(_) = verdict {
            // It says nothing of the present address: the next call stays as it is.
            self.apply(now, &call, answer);
        }
        verdict
    }

    fn answered_by_present(&mut self, now: Ms, call: Call, answer: AnswerHead) -> Verdict {
        let verdict = self.verdict_on(&call, answer);
        let Verdict::Apply(_) = verdict else {
            if verdict == Verdict::Gap {
                self.after = None;
            }
            self.freshness.failed(CallFailure::InvalidAnswer);
            self.retry(now, CallFailure::InvalidAnswer);
            return verdict;
        };
        self.apply(now, &call, answer);
        self.after = Some(answer.generation);
        self.last_call_answered = true;
        self.backoff.reset();
        // Calls are answered in order: older ones are broken, and those to former addresses of no use any
        // more.
        let (older, newer): (Vec<Call>, Vec<Call>) = self.calls.drain(..).partition(|c| c.id < call.id);
        self.calls = newer;
        self.dropped.extend(older.iter().chain(&self.former).map(|c| c.id));
        self.former.clear();
        let empty_at_once = answer.endpoint_count == 0
            && now - call.started_at < EMPTY_ANSWER_DELAY.min(call.late_at - call.started_at);
        let pause = if empty_at_once { EMPTY_ANSWER_DELAY } else { 0.0 };
        let another = self.calls.iter().any(|c| !c.late);
        self.next_at = (!another).then_some(now + pause);
        verdict
    }

    fn verdict_on(&self, call: &Call, answer: AnswerHead) -> Verdict {
        let follows = matches!(call.target, PollTarget::Delta { after, .. } if answer.generation >= after);
        if !answer.is_snapshot && !follows {
            return Verdict::Gap;
        }
        if let Some(known) = self.known {
            // A service that was restarted or replaced counts from the beginning, so that only an answer to
            // a call since the last list is known to be newer. Of two addresses of one service the slower
            // may be behind.
            let older = answer.generation < known.generation && call.started_at < known.applied_at;
            if call.address < known.address || older {
                return Verdict::Outdated;
            }
        }
        Verdict::Apply(if answer.is_snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta })
    }

    fn apply(&mut self, now: Ms, call: &Call, answer: AnswerHead) {
        self.known = Some(Known { address: call.address, generation: answer.generation, applied_at: now });
        let as_of = call.complete_as_of(now, answer.endpoint_count);
        match call.address == self.address {
            true => self.freshness.confirmed(as_of),
            false => self.freshness.confirmed_by_former(as_of),
        }
    }

    /// The service is at another address from now on. It is called at once, whatever failed before; answers
    /// to calls in flight are accepted until it responds.
    pub fn reloaded(&mut self, now: Ms) {
        self.freshness.reloaded(now);
        self.backoff.reset();
        self.former.append(&mut self.calls);
        let surplus = self.former.len().saturating_sub(MAX_FORMER_CALLS);
        self.dropped.extend(self.former.drain(..surplus).map(|call| call.id));
        self.address += 1;
        (self.after, self.last_call_answered) = (None, false);
        self.next_at = Some(now);
    }

    /// A new configuration could not be read: the service may be at another address.
    pub fn reload_rejected(&mut self, now: Ms) {
        self.freshness.reloaded(now);
    }
}
