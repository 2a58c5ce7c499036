//! Client of the discovery service as a state machine without I/O: the times of calls, the answers to
//! apply, the duration of calls, and the expiry of the endpoint list. No other module decides on these.
//!
//! A driver reports events and carries out the steps that [`EndpointClient::next_step`] returns, until
//! there is none. At any time either a call with a known deadline is in flight, or the time of the next
//! call is set.

use crate::backoff::Backoff;
use crate::freshness::{CallFailure, Freshness, FreshnessRules, Validity};
use crate::random_source::RandomSource;
use crate::types::{EndpointUpdate, Ms};

/// Backoff after a failed call: the first, and the longest as a fraction of the longest poll interval.
const FIRST_BACKOFF: Ms = 50.0;
const LONGEST_BACKOFF: f64 = 0.1;
/// Least backoff from an overloaded service, as a fraction of the longest: a rejection also costs the
/// service time.
const OVERLOADED_BACKOFF: f64 = 0.6;
/// Time within which a rejected call cannot have been queued by the service.
const IMMEDIATE_REJECTION: Ms = 20.0;
/// Delay of the next call after an immediate answer without changes; short enough to continue the watch.
const EMPTY_ANSWER_DELAY: Ms = 50.0;
/// Number of calls to former addresses whose answers are still accepted.
const MAX_FORMER_CALLS: usize = 4;

/// Timing of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollTiming {
    /// Longest time that the service may hold a call until there are changes.
    pub hold: Ms,
    /// Longest hold of the first call after a failure.
    pub first_hold: Ms,
    /// Time beyond the hold after which a call is late and another one is started concurrently.
    pub grace: Ms,
    /// Grace period of the first call after a failure, which the service may have queued behind others.
    pub first_grace: Ms,
    /// Largest number of concurrent calls. With a limit of one, a late call is aborted in favour of the
    /// next.
    pub max_calls: usize,
    /// Longest time that the host may run without a poll.
    pub max_poll_interval: Ms,
}

/// Data that a call requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollTarget {
    /// Complete list, immediately.
    Snapshot,
    /// Changes since a generation, as soon as there are any.
    Delta {
        /// Generation that the client has.
        after: u64,
        /// Time after which the service answers without changes.
        hold: Ms,
    },
}

/// Step for the driver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollStep {
    /// Start a call to the current address.
    Call {
        /// Number assigned to the call.
        call: u64,
        /// Data that the call requests.
        target: PollTarget,
    },
    /// Abort a call, whose answer is no longer needed.
    Abort {
        /// Number of the call.
        call: u64,
    },
}

/// Metadata of an answer, without its endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerHead {
    /// Generation of the list after the answer is applied.
    pub generation: u64,
    /// True if the answer is the complete list, false if it is changes.
    pub is_snapshot: bool,
    /// Number of endpoints in the answer.
    pub endpoint_count: usize,
}

/// Verdict on an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Apply the answer as this kind of update.
    Apply(EndpointUpdate),
    /// The answer does not follow the known generation; the complete list is requested next.
    Gap,
    /// The known list is newer, or the call is no longer known.
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: u64,
    /// Number of the address that the call went to.
    address: u32,
    started_at: Ms,
    target: PollTarget,
    late_at: Ms,
    connected: bool,
    late: bool,
}

impl Call {
    /// Returns a time as of which an answer received now contains all changes.
    fn complete_as_of(&self, now: Ms, endpoint_count: usize) -> Ms {
        match self.target {
            // Without changes, the service has held the call for the whole time.
            PollTarget::Delta { hold, .. } if endpoint_count == 0 && now - self.started_at >= hold => {
                self.started_at + hold
            }
            _ => self.started_at,
        }
    }
}

/// List that the host has: the number of its address, counted from 0, its generation, and the time at
/// which it was applied.
#[derive(Clone, Copy, Debug)]
struct KnownList {
    address: u32,
    generation: u64,
    applied_at: Ms,
}

/// Client of the discovery service.
pub struct EndpointClient {
    timing: PollTiming,
    rng: RandomSource,
    backoff: Backoff,
    freshness: Freshness,
    address: u32,
    known: Option<KnownList>,
    /// Generation at the current address whose successors are requested; without one the complete list is
    /// requested.
    after: Option<u64>,
    /// True if the last call was answered, so that the next one requests the full hold.
    last_call_answered: bool,
    /// Calls in flight to the current address, the oldest first.
    calls: Vec<Call>,
    /// Calls in flight to former addresses, the oldest first.
    former: Vec<Call>,
    /// Calls that the driver has to abort.
    to_abort: Vec<u64>,
    next_call_due_at: Option<Ms>,
    last_id: u64,
}

impl EndpointClient {
    /// Creates a client. `as_of` is the time at which the initial list counts as complete, `restored` the
    /// generation of that list.
    pub fn new(
        timing: PollTiming,
        rules: FreshnessRules,
        seed: u64,
        now: Ms,
        as_of: Ms,
        restored: Option<u64>,
    ) -> EndpointClient {
        let known = restored.map(|generation| KnownList { address: 0, generation, applied_at: now });
        EndpointClient {
            timing,
            rng: RandomSource::new(seed),
            backoff: Backoff::new(FIRST_BACKOFF, LONGEST_BACKOFF * timing.max_poll_interval),
            freshness: Freshness::new(rules, as_of),
            address: 0,
            known,
            after: restored,
            last_call_answered: false,
            calls: Vec::new(),
            former: Vec::new(),
            to_abort: Vec::new(),
            next_call_due_at: Some(now),
            last_id: 0,
        }
    }

    /// Returns the validity of the list.
    pub fn validity(&self, now: Ms) -> Validity {
        self.freshness.validity(now)
    }

    /// Returns the greatest possible age of the list.
    pub fn age(&self, now: Ms) -> Ms {
        self.freshness.age(now)
    }

    /// Returns the known generation at the current address.
    pub fn generation(&self) -> Option<u64> {
        self.after
    }

    /// Returns the time of the next call if no event is reported before.
    pub fn next_call_at(&self) -> Ms {
        let late_at = self.calls.last().filter(|call| !call.late).map(|call| call.late_at);
        let times = [self.next_call_due_at, late_at].into_iter().flatten();
        times.fold(f64::INFINITY, f64::min)
    }

    /// Returns whether a call in flight went to the current address.
    pub fn is_to_current_address(&self, call: u64) -> bool {
        self.calls.iter().any(|c| c.id == call)
    }

    /// Returns the number of calls in flight to the current address.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of calls in flight to former addresses.
    pub fn former_calls_in_flight(&self) -> usize {
        self.former.len()
    }

    /// Returns the time by which the caller must call [`EndpointClient::next_step`] and check the
    /// validity.
    pub fn next_wakeup_at(&self, now: Ms) -> Ms {
        let expires_at = Some(self.freshness.expires_at()).filter(|at| *at > now);
        self.next_call_at().min(expires_at.unwrap_or(f64::INFINITY))
    }

    /// Returns the next due step, or none.
    pub fn next_step(&mut self, now: Ms) -> Option<PollStep> {
        self.replace_late_call(now);
        if let Some(call) = self.to_abort.pop() {
            return Some(PollStep::Abort { call });
        }
        if self.next_call_due_at.is_none_or(|due_at| now < due_at) {
            return None;
        }
        if self.calls.len() >= self.timing.max_calls {
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
        self.next_call_due_at = None;
        PollStep::Call { call: id, target }
    }

    /// Returns the target and the timeout of the next call. The hold of a first call is short, which soon
    /// shows whether the service responds.
    fn target(&self, now: Ms) -> (PollTarget, Ms) {
        let PollTiming { hold, first_hold, grace, first_grace, .. } = self.timing;
        let first_timeout = first_hold + first_grace;
        match self.after {
            None => (PollTarget::Snapshot, first_timeout),
            Some(after) if self.last_call_answered && self.validity(now) == Validity::Valid => {
                (PollTarget::Delta { after, hold }, hold + grace)
            }
            Some(after) => (PollTarget::Delta { after, hold: first_hold }, first_timeout),
        }
    }

    /// Starts another call concurrently with a late one. The late call keeps its place in the service's
    /// queue: guards against a slow service, which would never answer hosts that abort and queue again,
    /// and against calls that are never answered. May send twice the calls to an overloaded service.
    fn replace_late_call(&mut self, now: Ms) {
        let Some(newest) = self.calls.last_mut().filter(|call| !call.late && now >= call.late_at) else {
            return;
        };
        newest.late = true;
        let failure = if newest.connected { CallFailure::NoAnswer } else { CallFailure::ConnectTimedOut };
        self.last_call_answered = false;
        self.freshness.failed(failure);
        if self.timing.max_calls > 1 {
            self.next_call_due_at = Some(now);
        } else {
            self.to_abort.extend(self.calls.drain(..).map(|call| call.id));
            self.next_call_due_at = Some(now + self.backoff.failed(&mut self.rng));
        }
    }

    /// Records that the connection of a call is established.
    pub fn connected(&mut self, call: u64) {
        if let Some(call) = self.calls.iter_mut().find(|c| c.id == call) {
            call.connected = true;
        }
    }

    /// Records that a call ended without an answer. The failure of a call to a former address does not
    /// indicate the state of the current one.
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

    /// Schedules the next call after a failure, unless a call is in flight that is not late.
    fn retry(&mut self, now: Ms, failure: CallFailure) {
        self.last_call_answered = false;
        let mut delay = self.backoff.failed(&mut self.rng);
        if failure == CallFailure::Overloaded {
            let min_delay = OVERLOADED_BACKOFF * LONGEST_BACKOFF * self.timing.max_poll_interval;
            delay = delay.max(min_delay * (0.5 + self.rng.fraction()));
        }
        if self.next_call_due_at.is_none() && self.calls.iter().all(|call| call.late) {
            self.next_call_due_at = Some(now + delay);
        }
    }

    /// Records the answer to a call and returns the verdict on it.
    pub fn answered(&mut self, now: Ms, call: u64, answer: AnswerHead) -> Verdict {
        if let Some(index) = self.calls.iter().position(|c| c.id == call) {
            let call = self.calls.remove(index);
            return self.answered_by_current(now, call, answer);
        }
        let Some(index) = self.former.iter().position(|c| c.id == call) else { return Verdict::Outdated };
        let call = self.former.remove(index);
        let verdict = self.verdict_on(&call, answer);
        if let Verdict::Apply(_) = verdict {
            // The answer does not indicate the state of the current address: the next call stays as it
            // is.
            self.apply(now, &call, answer);
        }
        verdict
    }

    fn answered_by_current(&mut self, now: Ms, call: Call, answer: AnswerHead) -> Verdict {
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
        // Calls are answered in order: older calls are broken, and calls to former addresses are no
        // longer needed.
        let (older, newer): (Vec<Call>, Vec<Call>) = self.calls.drain(..).partition(|c| c.id < call.id);
        self.calls = newer;
        self.to_abort.extend(older.iter().chain(&self.former).map(|c| c.id));
        self.former.clear();
        let is_immediate_and_empty = answer.endpoint_count == 0
            && now - call.started_at < EMPTY_ANSWER_DELAY.min(call.late_at - call.started_at);
        let delay = if is_immediate_and_empty { EMPTY_ANSWER_DELAY } else { 0.0 };
        let has_timely_call = self.calls.iter().any(|c| !c.late);
        self.next_call_due_at = (!has_timely_call).then_some(now + delay);
        verdict
    }

    fn verdict_on(&self, call: &Call, answer: AnswerHead) -> Verdict {
        let follows = matches!(call.target, PollTarget::Delta { after, .. } if answer.generation >= after);
        if !answer.is_snapshot && !follows {
            return Verdict::Gap;
        }
        if let Some(known) = self.known {
            // A restarted or replaced service counts generations from the beginning, so that only an
            // answer to a call started after the last list is known to be newer. Of two addresses of one
            // service the slower may be behind.
            let older = answer.generation < known.generation && call.started_at < known.applied_at;
            if call.address < known.address || older {
                return Verdict::Outdated;
            }
        }
        Verdict::Apply(if answer.is_snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta })
    }

    fn apply(&mut self, now: Ms, call: &Call, answer: AnswerHead) {
        self.known =
            Some(KnownList { address: call.address, generation: answer.generation, applied_at: now });
        let as_of = call.complete_as_of(now, answer.endpoint_count);
        match call.address == self.address {
            true => self.freshness.confirmed(as_of),
            false => self.freshness.confirmed_by_former(as_of),
        }
    }

    /// Records that the address of the service has changed. The new address is called immediately,
    /// regardless of earlier failures; answers to calls in flight are accepted until the new address
    /// responds.
    pub fn reloaded(&mut self, now: Ms) {
        self.freshness.reloaded(now);
        self.backoff.reset();
        self.former.append(&mut self.calls);
        let surplus = self.former.len().saturating_sub(MAX_FORMER_CALLS);
        self.to_abort.extend(self.former.drain(..surplus).map(|call| call.id));
        self.address += 1;
        (self.after, self.last_call_answered) = (None, false);
        self.next_call_due_at = Some(now);
    }

    /// Records that a new configuration could not be read: the address of the service may have changed.
    pub fn reload_rejected(&mut self, now: Ms) {
        self.freshness.reloaded(now);
    }
}
