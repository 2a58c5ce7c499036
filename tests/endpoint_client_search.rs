//! Search over the outcomes of the endpoint client's calls, against a reference model of the service and
//! of the rule: either the list contains every change that binds the host, or the client reports that the
//! list has expired.

use magpiewick::*;
use std::collections::BTreeSet;

const STEP: Ms = 10.0;
const BINDING_DELAY: Ms = 6000.0;
const BINDING_DELAY_AFTER_RELOAD: Ms = 4000.0;
/// Time that a call spends in the service's queue before the service rejects it.
const QUEUE_TIMEOUT: Ms = 1000.0;

fn timing() -> PollTiming {
    PollTiming {
        hold: 2000.0,
        first_hold: 500.0,
        grace: 900.0,
        first_grace: 2000.0,
        max_calls: 3,
        max_poll_interval: 10_000.0,
    }
}

fn rules() -> FreshnessRules {
    FreshnessRules {
        binding_delay: BINDING_DELAY,
        binding_delay_after_reload: BINDING_DELAY_AFTER_RELOAD,
        max_stall: 150.0,
        unresponsive_when_down: false,
    }
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallOutcome {
    /// Answered with this delay after an answer is available.
    Answered(Ms),
    Unreachable,
    ConnectTimedOut,
    Reset(Ms),
    Rejected(Ms),
    NoAnswer,
    Unusable(Ms),
    Local,
}

const CALL_OUTCOMES: [CallOutcome; 9] = [
    CallOutcome::Answered(1.0),
    CallOutcome::Answered(1800.0),
    CallOutcome::Unreachable,
    CallOutcome::ConnectTimedOut,
    CallOutcome::Reset(300.0),
    CallOutcome::Rejected(2.0),
    CallOutcome::Rejected(QUEUE_TIMEOUT),
    CallOutcome::NoAnswer,
    CallOutcome::Unusable(5.0),
];

struct Call {
    id: u64,
    target: PollTarget,
    started_at: Ms,
    outcome: CallOutcome,
    /// Answer of the service, and the time at which the host receives it.
    answer: Option<(AnswerHead, BTreeSet<u64>, Ms)>,
}

/// Simulation of a host with its client, and of the discovery service.
struct Simulation {
    now: Ms,
    client: EndpointClient,
    calls: Vec<Call>,
    /// Creation time of each generation.
    changes: Vec<Ms>,
    /// Generations that the host has applied.
    applied: BTreeSet<u64>,
    reloads: Vec<Ms>,
    /// Time since which the service has been up; none while the service is down.
    up_since: Option<Ms>,
    calls_started: usize,
    events: Vec<String>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            now: 0.0,
            client: EndpointClient::new(timing(), rules(), seed, 0.0, 0.0, Some(0)),
            calls: Vec::new(),
            changes: vec![0.0],
            applied: BTreeSet::from([0]),
            reloads: Vec::new(),
            up_since: Some(0.0),
            calls_started: 0,
            events: Vec::new(),
        }
    }

    fn log(&mut self, event: String) {
        self.events.push(format!("{:.0}: {event}", self.now));
    }

    fn generation(&self) -> u64 {
        self.changes.len() as u64 - 1
    }

    fn change(&mut self) {
        self.changes.push(self.now);
        self.log(format!("generation {}", self.generation()));
    }

    fn reload(&mut self) {
        self.reloads.push(self.now);
        self.client.reloaded(self.now);
        self.log("reload".to_string());
    }

    fn reload_unreadable(&mut self) {
        self.reloads.push(self.now);
        self.client.reload_rejected(self.now);
        self.log("reload unreadable".to_string());
    }

    /// Returns the time at which a change binds the host, whether or not the host was notified.
    fn binds_at(&self, generation: u64) -> Ms {
        let changed_at = self.changes[generation as usize];
        let up_since = self.up_since.unwrap_or(f64::INFINITY);
        let by_age = changed_at.max(up_since) + BINDING_DELAY;
        let reload = self.reloads.iter().copied().find(|reload| *reload >= changed_at.max(up_since));
        reload.map_or(by_age, |reload| by_age.min(reload + BINDING_DELAY_AFTER_RELOAD))
    }

    /// Runs the service until now.
    fn serve(&mut self) {
        let (now, generation) = (self.now, self.generation());
        for call in self.calls.iter_mut().filter(|call| call.answer.is_none()) {
            let CallOutcome::Answered(delay) = call.outcome else { continue };
            let has_answer = match call.target {
                PollTarget::Snapshot => true,
                PollTarget::Delta { after, hold } => generation > after || now >= call.started_at + hold,
            };
            if !has_answer {
                continue;
            }
            let (is_snapshot, first) = match call.target {
                PollTarget::Delta { after, .. } if after <= generation => (false, after + 1),
                _ => (true, 0),
            };
            let generations: BTreeSet<u64> = (first..=generation).collect();
            let answer = AnswerHead { generation, is_snapshot, endpoint_count: generations.len() };
            call.answer = Some((answer, generations, now + delay));
        }
    }

    /// Delivers the answers and failures that have reached the host by now.
    fn deliver(&mut self) {
        let now = self.now;
        for call in std::mem::take(&mut self.calls) {
            let has_passed = |after: Ms| now >= call.started_at + after;
            let failure = match call.outcome {
                CallOutcome::Unreachable => Some(CallFailure::Unreachable),
                CallOutcome::Local => Some(CallFailure::LocalResources),
                CallOutcome::Reset(after) if has_passed(after) => Some(CallFailure::ConnectionLost),
                CallOutcome::Rejected(after) if has_passed(after) => Some(CallFailure::Rejected),
                CallOutcome::Unusable(after) if has_passed(after) => Some(CallFailure::InvalidAnswer),
                _ => None,
            };
            if let Some(failure) = failure {
                self.client.failed(now, call.id, failure);
                self.log(format!("call {} failed: {failure:?}", call.id));
            } else if call.answer.as_ref().is_some_and(|(.., at)| now >= *at) {
                let Some((answer, generations, _)) = call.answer else { continue };
                let verdict = self.client.answered(now, call.id, answer);
                self.log(format!("call {} answered {answer:?}: {verdict:?}", call.id));
                self.apply(verdict, generations);
            } else {
                self.calls.push(call);
            }
        }
    }

    fn apply(&mut self, verdict: Verdict, generations: BTreeSet<u64>) {
        let previous = self.applied.clone();
        match verdict {
            Verdict::Apply(EndpointUpdate::Snapshot) => self.applied = generations,
            Verdict::Apply(_) => self.applied.extend(generations),
            Verdict::Gap | Verdict::Outdated => return,
        }
        assert!(previous.is_subset(&self.applied), "an older list replaced a newer one: {:#?}", self.events);
    }

    /// Carries out the client's steps; `outcome` determines the outcome of each call.
    fn run_client(&mut self, outcome: &mut dyn FnMut(usize) -> CallOutcome) {
        while let Some(step) = self.client.next_step(self.now) {
            match step {
                PollStep::Call { call, target } => {
                    let outcome = outcome(self.calls_started);
                    self.calls_started += 1;
                    if !matches!(
                        outcome,
                        CallOutcome::ConnectTimedOut | CallOutcome::Unreachable | CallOutcome::Local
                    ) {
                        self.client.connected(call);
                    }
                    self.log(format!("call {call}: {target:?}, {outcome:?}"));
                    self.calls.push(Call { id: call, target, started_at: self.now, outcome, answer: None });
                }
                PollStep::Abort { call } => {
                    self.log(format!("call {call} dropped"));
                    self.calls.retain(|c| c.id != call);
                }
            }
        }
    }

    fn check(&self) {
        let next = self.client.next_call_at();
        assert!(next <= self.now + 2900.0, "no call is in flight and none is due: {:#?}", self.events);
        if self.client.validity(self.now) != Validity::Valid {
            return;
        }
        for generation in (0..=self.generation()).filter(|g| !self.applied.contains(g)) {
            let binds_at = self.binds_at(generation);
            assert!(
                self.now < binds_at,
                "{}: the list counts as valid without generation {generation}, which binds since {binds_at}: {:#?}",
                self.now,
                self.events
            );
        }
    }

    fn step(&mut self, outcome: &mut dyn FnMut(usize) -> CallOutcome) {
        self.now += STEP;
        self.serve();
        // The host makes its decisions by the list that it has before it reads any answer.
        self.check();
        self.deliver();
        self.run_client(outcome);
        self.check();
    }

    /// Runs a service that is up, and asserts that the host receives the complete list and relies on it
    /// before another change could bind.
    fn assert_recovers(&mut self) {
        let until = self.now + BINDING_DELAY;
        while self.now < until {
            self.step(&mut |_| CallOutcome::Answered(1.0));
        }
        assert!(
            self.applied.contains(&self.generation()),
            "not notified of the latest generation: {:#?}",
            self.events
        );
        assert_eq!(self.client.validity(self.now), Validity::Valid, "{:#?}", self.events);
    }
}

#[test]
fn no_stale_list_is_used_under_any_outcomes_of_the_first_calls() {
    let (reloads, changes) = ([f64::INFINITY, 700.0, 2400.0], [300.0, 1500.0, 3000.0]);
    let mut runs = 0;
    for choices in 0..CALL_OUTCOMES.len().pow(4) {
        let outcome_of = |call: usize| match call {
            0..=3 => CALL_OUTCOMES[choices / CALL_OUTCOMES.len().pow(call as u32) % CALL_OUTCOMES.len()],
            _ => CallOutcome::NoAnswer,
        };
        for (reload, change) in reloads.iter().flat_map(|r| changes.map(|c| (*r, c))) {
            let mut simulation = Simulation::new(7);
            while simulation.now < 8000.0 {
                if simulation.now == reload {
                    simulation.reload();
                }
                if simulation.now == change {
                    simulation.change();
                }
                simulation.step(&mut |call| outcome_of(call));
            }
            runs += 1;
            simulation.assert_recovers();
        }
    }
    assert_eq!(runs, 6561 * 9);
}

/// Returns a simulation with random failures of calls, reloads, the service and the host itself.
fn random_failures(seed: u64) -> Simulation {
    let mut rng = RandomSource::new(seed);
    let mut simulation = Simulation::new(seed);
    let failure_rate = rng.fraction();
    while simulation.now < 60_000.0 {
        match rng.below(4000) {
            0..=7 => simulation.change(),
            8..=11 => simulation.reload(),
            12..=13 => simulation.reload_unreadable(),
            14..=15 => {
                simulation.up_since = simulation.up_since.xor(Some(simulation.now));
                simulation.log(format!("up since {:?}", simulation.up_since));
            }
            16..=17 => {
                // The process stalls while the service and the network continue.
                let stall = 8000.0 * rng.fraction();
                simulation.log(format!("stalls for {stall:.0}"));
                simulation.now += stall;
            }
            _ => {}
        }
        let (is_up, rng) = (simulation.up_since.is_some(), &mut rng);
        simulation.step(&mut |_| match rng.fraction() < failure_rate {
            _ if !is_up => {
                [CallOutcome::Unreachable, CallOutcome::Reset(5.0), CallOutcome::Rejected(QUEUE_TIMEOUT)]
                    [rng.below(3)]
            }
            true if rng.below(10) == 0 => CallOutcome::Local,
            true => CALL_OUTCOMES[rng.below(CALL_OUTCOMES.len())],
            false => CallOutcome::Answered(1.0 + 100.0 * rng.fraction()),
        });
    }
    simulation.up_since = simulation.up_since.or(Some(simulation.now));
    simulation
}

#[test]
fn no_stale_list_is_used_under_random_failures() {
    for seed in 0..1000 {
        random_failures(seed).assert_recovers();
    }
}
