//! Evidence of a run, and the requests and attempts reconstructed from the evidence.

use super::verdict::{Finding, Rule, Verdict};
use crate::client_event::{ClientEvent, ClientRequest};
use crate::config::ScenarioConfig;
use crate::Ms;
use magpiewick_emulator::{EmulatorConfig, NodeConfig, NodeEvent, StoredKey};
use magpiewick_gateway::config::HostConfig;
use magpiewick_node_protocol::FinalCode;
use std::collections::HashMap;

/// A period during which the script suspended a host process.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Number of the host.
    pub host: usize,
    /// Time at which the host was suspended.
    pub from: Ms,
    /// Time at which the host continued.
    pub to: Ms,
}

/// Everything recorded during a run.
pub struct Evidence<'a> {
    /// Settings of the hosts.
    pub host: &'a HostConfig,
    /// Settings of the emulated services.
    pub emulator: &'a EmulatorConfig,
    /// Settings of the scenario.
    pub scenario: &'a ScenarioConfig,
    /// Events recorded by nodes and the endpoint list service, by time.
    pub node_events: &'a [(Ms, NodeEvent)],
    /// Events recorded by clients, by time.
    pub client_events: &'a [(Ms, ClientEvent)],
    /// Periods during which the script suspended a host process.
    pub stalls: &'a [Stall],
    /// Payload that the owner of each key stores at the end of the run.
    pub stored: &'a [StoredKey],
}

impl Evidence<'_> {
    /// Returns the settings of the node with the given number; `None` if there is no such node.
    pub(super) fn node(&self, number: u32) -> Option<&NodeConfig> {
        self.emulator.nodes.iter().find(|node| node.number == number)
    }

    /// Returns the units of work that a node can execute per millisecond at the given time after its start.
    pub(super) fn units_per_ms(&self, node: &NodeConfig, since_start: Ms) -> f64 {
        let slow_start = self.emulator.slow_start;
        let warmed_up = (1.0 - slow_start.initial_capacity) * since_start / slow_start.duration;
        let capacity = (slow_start.initial_capacity + warmed_up).min(1.0);
        node.cores as f64 * node.speed / self.emulator.unit_work * capacity
    }

    /// Returns the effects of writes, block by block.
    pub(super) fn block_writes(&self) -> impl Iterator<Item = BlockWrite> + '_ {
        self.node_events.iter().flat_map(|(at, event)| {
            let (host, volume, blocks, idempotency_key) = match *event {
                NodeEvent::EffectApplied {
                    host, volume, key, idempotency_key, write: true, blocks, ..
                } => (host, volume, key..key + u64::from(blocks), idempotency_key),
                _ => (0, 0, 0..0, 0),
            };
            blocks.map(move |block| BlockWrite { at: *at, host, block: (volume, block), idempotency_key })
        })
    }
}

/// Effect of a write on one block.
pub(super) struct BlockWrite {
    pub at: Ms,
    /// Incarnation of the host that sent the request.
    pub host: u64,
    /// Number of the volume, and block within the volume.
    pub block: (u64, u64),
    /// Idempotency key of the request.
    pub idempotency_key: u64,
}

/// A request as sent by its client, and its end from the client's point of view.
pub(super) struct TrackedRequest {
    pub request: ClientRequest,
    pub sent_at: Ms,
    pub answer: Option<(Ms, FinalCode)>,
    /// Time at which the client timed out or lost its connection.
    pub gave_up_at: Option<Ms>,
    /// Indexes of the attempts of the request.
    pub attempts: Vec<usize>,
}

impl TrackedRequest {
    /// Returns the time at which the request was over for its client; infinite if the request never ended.
    pub(super) fn ended_at(&self) -> Ms {
        let answered = self.answer.map_or(f64::INFINITY, |answer| answer.0);
        answered.min(self.gave_up_at.unwrap_or(f64::INFINITY))
    }
}

/// An attempt as received by a node.
pub(super) struct TrackedAttempt {
    pub at: Ms,
    pub node: u32,
    /// Incarnation of the node that received the attempt.
    pub incarnation: u64,
    /// Incarnation of the host that sent the request.
    pub host: u64,
    pub request_id: u64,
    pub attempt: u16,
    pub volume: u64,
    pub units: f64,
    pub idempotency_key: u64,
    /// Time of the node's answer, and whether the node executed the attempt.
    pub answered: Option<(Ms, bool)>,
    /// Time at which the host stopped waiting: it sent a cancel or closed the connection.
    pub abandoned_at: Option<Ms>,
}

impl TrackedAttempt {
    /// Returns whether the node had answered by the given time that it did not execute the attempt.
    pub(super) fn reported_not_executed(&self, by: Ms) -> bool {
        self.answered.is_some_and(|(at, executed)| !executed && at <= by)
    }
}

/// Evidence of a run, and the requests and attempts reconstructed from the evidence.
pub(super) struct Run<'a> {
    pub evidence: &'a Evidence<'a>,
    pub requests: Vec<TrackedRequest>,
    pub attempts: Vec<TrackedAttempt>,
    /// Numbers of hosts by incarnation.
    pub host_numbers: HashMap<u64, usize>,
}

impl<'a> Run<'a> {
    /// Reconstructs a run; an event that belongs to no request becomes a finding.
    pub(super) fn reconstruct(evidence: &'a Evidence<'a>, verdict: &mut Verdict) -> Run<'a> {
        let requests = reconstruct_requests(evidence, verdict);
        let attempts = reconstruct_attempts(evidence);
        let host_numbers = requests.iter().map(|r| (r.request.host, r.request.host_number)).collect();
        let mut run = Run { evidence, requests, attempts, host_numbers };
        run.assign_attempts(verdict);
        verdict.attempts = run.attempts.len() as u64;
        verdict.retries = run.attempts.iter().filter(|attempt| attempt.attempt > 0).count() as u64;
        run
    }

    /// Returns the attempts of a request.
    pub(super) fn attempts_of<'b>(
        &'b self,
        request: &'b TrackedRequest,
    ) -> impl Iterator<Item = &'b TrackedAttempt> + 'b {
        request.attempts.iter().map(|index| &self.attempts[*index])
    }

    /// Returns whether a host process was suspended at some time within a period.
    pub(super) fn is_stalled(&self, host: usize, from: Ms, to: Ms) -> bool {
        self.evidence.stalls.iter().any(|stall| stall.host == host && stall.from <= to && stall.to >= from)
    }

    /// Returns the time at which a host could read a message: the time of sending, or the end of a stall.
    pub(super) fn received_at(&self, host: u64, sent_at: Ms) -> Ms {
        let number = self.host_numbers.get(&host);
        let stalls = self.evidence.stalls.iter();
        let stalls = stalls.filter(|s| Some(&s.host) == number && s.from <= sent_at && sent_at < s.to);
        stalls.map(|stall| stall.to).fold(sent_at, f64::max)
    }

    /// Assigns each attempt to the latest request with its idempotency key that a client had sent to its host
    /// before the attempt.
    fn assign_attempts(&mut self, verdict: &mut Verdict) {
        let mut by_idempotency_key: HashMap<(u64, u64), Vec<usize>> = HashMap::new();
        for (index, tracked) in self.requests.iter().enumerate() {
            by_idempotency_key
                .entry((tracked.request.host, tracked.request.idempotency_key))
                .or_default()
                .push(index);
        }
        let mut by_request_id: HashMap<(u64, u64), Option<usize>> = HashMap::new();
        for (index, attempt) in self.attempts.iter().enumerate() {
            let candidates = by_idempotency_key.get(&(attempt.host, attempt.idempotency_key));
            let latest = || {
                let mut sent_earlier = candidates?.iter().rev();
                sent_earlier.find(|request| self.requests[**request].sent_at <= attempt.at).copied()
            };
            match *by_request_id.entry((attempt.host, attempt.request_id)).or_insert_with(latest) {
                Some(request) => self.requests[request].attempts.push(index),
                None => {
                    let description = "an attempt of a request that no client sent";
                    verdict.add_attempt(Rule::FinalAnswer, attempt.at, attempt, description);
                }
            }
        }
    }
}

fn reconstruct_requests(evidence: &Evidence<'_>, verdict: &mut Verdict) -> Vec<TrackedRequest> {
    let mut requests: Vec<TrackedRequest> = Vec::new();
    let mut by_number: HashMap<u64, usize> = HashMap::new();
    for (at, event) in evidence.client_events {
        match *event {
            ClientEvent::Sent(request) => {
                by_number.insert(request.number, requests.len());
                let (answer, gave_up_at, attempts) = (None, None, Vec::new());
                requests.push(TrackedRequest { request, sent_at: *at, answer, gave_up_at, attempts });
            }
            ClientEvent::Answered { number, code, .. } => {
                let Some(&index) = by_number.get(&number) else {
                    let description = format!("an answer to {number}, which was never sent");
                    let (rule, at) = (Rule::FinalAnswer, *at);
                    let finding = Finding { rule, at, host: None, node: None, request_id: None, description };
                    verdict.findings.push(finding);
                    continue;
                };
                let tracked = &mut requests[index];
                if tracked.answer.is_some() {
                    let idempotency_key = tracked.request.idempotency_key;
                    verdict.add_request(Rule::FinalAnswer, *at, idempotency_key, "a second final answer");
                }
                tracked.answer.get_or_insert((*at, code));
            }
            ClientEvent::BlockRead { .. } => {}
            ClientEvent::TimedOut { number } | ClientEvent::ConnectionLost { number } => {
                if let Some(&index) = by_number.get(&number) {
                    requests[index].gave_up_at = Some(*at);
                }
            }
        }
    }
    requests
}

/// Number of most recent attempts that are searched for the outstanding attempts of a closed connection.
const CLOSED_CONNECTION_SEARCH: usize = 10_000;

fn reconstruct_attempts(evidence: &Evidence<'_>) -> Vec<TrackedAttempt> {
    let mut attempts: Vec<TrackedAttempt> = Vec::new();
    let mut incarnations: HashMap<u32, u64> = HashMap::new();
    let mut by_id: HashMap<(u64, u64, u16), usize> = HashMap::new();
    for (at, event) in evidence.node_events {
        match *event {
            NodeEvent::Started { node, incarnation, .. } => _ = incarnations.insert(node, incarnation),
            NodeEvent::AttemptReceived {
                node,
                host,
                request_id,
                attempt,
                volume,
                units,
                idempotency_key,
                ..
            } => {
                by_id.insert((host, request_id, attempt), attempts.len());
                attempts.push(TrackedAttempt {
                    at: *at,
                    node,
                    incarnation: incarnations.get(&node).copied().unwrap_or(0),
                    host,
                    request_id,
                    attempt,
                    volume,
                    units,
                    idempotency_key,
                    answered: None,
                    abandoned_at: None,
                });
            }
            NodeEvent::Answered { host, request_id, attempt, executed, .. } => {
                if let Some(&index) = by_id.get(&(host, request_id, attempt)) {
                    attempts[index].answered.get_or_insert((*at, executed));
                }
            }
            NodeEvent::AttemptCancelled { host, request_id, attempt, .. } => {
                if let Some(&index) = by_id.get(&(host, request_id, attempt)) {
                    attempts[index].abandoned_at.get_or_insert(*at);
                }
            }
            NodeEvent::ConnectionClosed { node, host } => {
                let recent = attempts.iter_mut().rev().take(CLOSED_CONNECTION_SEARCH);
                let outstanding = recent.filter(|a| a.node == node && a.host == host && a.answered.is_none());
                outstanding.for_each(|attempt| _ = attempt.abandoned_at.get_or_insert(*at));
            }
            _ => {}
        }
    }
    attempts
}
