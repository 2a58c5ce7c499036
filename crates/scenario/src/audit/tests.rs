//! Checks each rule with synthetic events: one run that complies with the rule, and one that violates the rule.

use super::*;
use crate::client_event::{ClientEvent, ClientRequest};
use crate::config::{read_config, Config};
use crate::Ms;
use magpiewick_emulator::{NodeEvent, StoredKey};
use magpiewick_hcl_settings::read_text;
use magpiewick_node_protocol::FinalCode;

const SETTINGS: &str = r#"
host {
  order_rest = "100ms"
  most_units = 4
}
budget {
  free   = 1
  share  = 0.1
  window = "2s"
}
band "read" {
  soft_limit = "200ms"
  time_limit = "1s"
  payoff     = 3
  repeats    = "retriable"
}
band "write" {
  soft_limit = "200ms"
  time_limit = "1s"
  repeats    = "fingerprinted"
  group      = "zone"
  memory     = "1.5s"
  in_order   = true
}
band "order" {
  soft_limit = "200ms"
  time_limit = "1s"
  repeats    = "binding"
}
plan "limited" {
  rate        = 100
  limit_rate  = 10
  limit_store = 20
}
volume "v" {
  id     = 1
  plan   = "limited"
  shards = [0, 1]
}
drill {
  noise        = "60ms"
  drain_within = "250ms"
}
traffic {
  rate = 10
  mix "read" {
    share = 1
  }
}
standin {
  node "0" {
    shard = 0
    zone  = 0
  }
  node "1" {
    shard = 1
    zone  = 1
  }
}
"#;

const HOST: u64 = 77;
const READ: u16 = 0;
const WRITE: u16 = 1;
const ORDER: u16 = 2;

/// Events of a run.
#[derive(Default)]
struct Events {
    client: Vec<(Ms, ClientEvent)>,
    node: Vec<(Ms, NodeEvent)>,
    stored: Vec<StoredKey>,
}

impl Events {
    fn sent(mut self, at: Ms, number: u64, class: u16) -> Events {
        let request = ClientRequest {
            number,
            idempotency_key: number,
            host: HOST,
            host_number: 0,
            class,
            volume: 1,
            key: 5,
            blocks: 0,
            write: class != READ,
            connection: 0,
            units: 1.0,
            timeout: 1000.0,
            first_due: at,
            is_retry: false,
        };
        self.client.push((at, ClientEvent::Sent(request)));
        self
    }

    fn answered(mut self, at: Ms, number: u64, code: FinalCode) -> Events {
        self.client.push((at, ClientEvent::Answered { number, code, retry_after: 0.0 }));
        self
    }

    /// Adds an attempt that forms a batch of one request.
    fn attempt(mut self, at: Ms, node: u32, idempotency_key: u64, attempt: u16) -> Events {
        let batch = self.node.len() as u64;
        self.node.push((
            at,
            NodeEvent::AttemptReceived {
                node,
                host: HOST,
                request_id: idempotency_key,
                attempt,
                class: READ,
                volume: 1,
                key: 5,
                idempotency_key,
                units: 1.0,
                write: false,
                version: 1,
                batch,
            },
        ));
        self
    }

    fn outcome(mut self, at: Ms, node: u32, request_id: u64, attempt: u16, executed: bool) -> Events {
        let shard_moved = false;
        let event = NodeEvent::Answered { node, host: HOST, request_id, attempt, executed, shard_moved };
        self.node.push((at, event));
        self
    }

    fn effect(mut self, at: Ms, node: u32, idempotency_key: u64, class: u16) -> Events {
        let (request_id, host, volume, key, write) = (idempotency_key, HOST, 1, 5, class != READ);
        let blocks = 1;
        let event = NodeEvent::EffectApplied {
            node,
            host,
            request_id,
            class,
            volume,
            key,
            idempotency_key,
            write,
            blocks,
        };
        self.node.push((at, event));
        self
    }

    fn event(mut self, at: Ms, event: NodeEvent) -> Events {
        self.node.push((at, event));
        self
    }

    fn stored(mut self, idempotency_key: u64) -> Events {
        self.stored = vec![StoredKey { volume: 1, key: 5, payload: idempotency_key.to_le_bytes().to_vec() }];
        self
    }

    fn audit(self) -> Verdict {
        let config = read_text("test", SETTINGS, |root| read_config(root, 1));
        let config = config.unwrap_or_else(|errors| panic!("{errors}"));
        let Some(Config { host, emulator: Some(emulator), scenario: Some(scenario) }) = config else {
            panic!("a block is missing");
        };
        audit(&Evidence {
            host: &host,
            emulator: &emulator,
            scenario: &scenario,
            node_events: &self.node,
            client_events: &self.client,
            stalls: &[],
            stored: &self.stored,
        })
    }

    /// Returns the violated rules and the times of the violations.
    fn violations(self) -> Vec<(Rule, Ms)> {
        self.audit().findings.iter().map(|finding| (finding.rule, finding.at)).collect()
    }
}

/// Returns the events of a request that succeeds at its first attempt.
fn success(class: u16) -> Events {
    let events = Events::default().sent(0.0, 1, class).attempt(10.0, 0, 1, 0).effect(20.0, 0, 1, class);
    let events = events.outcome(20.0, 0, 1, 0, true).answered(30.0, 1, FinalCode::Succeeded);
    if class == READ {
        events
    } else {
        events.stored(1)
    }
}

#[test]
fn a_successful_request_violates_no_rule_and_earns_its_weight() {
    let verdict = success(READ).audit();
    assert!(verdict.findings.is_empty(), "{:?}", verdict.findings);
    assert_eq!((verdict.total_weight, verdict.earned_weight), (3.0, 3.0));
    assert_eq!((verdict.attempts, verdict.retries, verdict.checked["lost"]), (1, 0, 1));
}

#[test]
fn missing_late_and_duplicate_answers_and_attempts_after_the_end_are_findings() {
    assert_eq!(Events::default().sent(0.0, 1, READ).violations(), [(Rule::FinalAnswer, 1060.0)]);
    let late = Events::default().sent(0.0, 1, READ).answered(1061.0, 1, FinalCode::Rejected);
    assert_eq!(late.violations(), [(Rule::FinalAnswer, 1061.0)]);
    let second = success(READ).answered(40.0, 1, FinalCode::Rejected);
    assert_eq!(second.violations(), [(Rule::FinalAnswer, 40.0)]);
    assert_eq!(success(READ).attempt(90.0, 0, 1, 1).violations(), []);
    assert_eq!(success(READ).attempt(91.0, 0, 1, 1).violations(), [(Rule::FinalAnswer, 91.0)]);
    assert_eq!(Events::default().attempt(5.0, 0, 9, 0).violations(), [(Rule::FinalAnswer, 5.0)]);
}

#[test]
fn second_effects_and_unsafe_retries_and_rejections_are_findings() {
    let order = || Events::default().sent(0.0, 1, ORDER).attempt(10.0, 0, 1, 0);
    let repeated = order().attempt(20.0, 0, 1, 1).answered(30.0, 1, FinalCode::Failed);
    assert_eq!(repeated.violations(), [(Rule::AtMostOnce, 20.0)]);
    let not_executed = order().outcome(15.0, 0, 1, 0, false).attempt(20.0, 0, 1, 1);
    assert_eq!(not_executed.answered(30.0, 1, FinalCode::Failed).violations(), []);
    assert_eq!(order().answered(30.0, 1, FinalCode::Rejected).violations(), [(Rule::AtMostOnce, 30.0)]);
    assert_eq!(success(ORDER).effect(25.0, 0, 1, ORDER).violations(), [(Rule::AtMostOnce, 25.0)]);
    let write = || Events::default().sent(0.0, 1, WRITE).attempt(10.0, 0, 1, 0);
    assert_eq!(write().attempt(20.0, 0, 1, 1).answered(30.0, 1, FinalCode::Failed).violations(), []);
    let other_zone = write().attempt(20.0, 1, 1, 1).answered(30.0, 1, FinalCode::Failed);
    assert_eq!(other_zone.violations(), [(Rule::AtMostOnce, 20.0)]);
}

#[test]
fn an_attempt_after_the_drain_grace_period_is_a_finding() {
    let notified = |at: Ms| {
        let (host, node, incarnation) = (HOST, 0, 4);
        let started = NodeEvent::Started { node, incarnation, warming_up: false };
        let notice = NodeEvent::DrainNotified { host, node, incarnation };
        let events = Events::default().event(0.0, started).event(10.0, notice).sent(0.0, 1, READ);
        events.attempt(at, 0, 1, 0).answered(500.0, 1, FinalCode::Failed).violations()
    };
    assert_eq!(notified(320.0), []);
    assert_eq!(notified(321.0), [(Rule::Draining, 321.0)]);
}

#[test]
fn the_next_request_for_a_key_waits_for_the_earlier_request_and_the_quiet_period() {
    let second = |at: Ms| {
        let first = Events::default().sent(0.0, 1, WRITE).sent(1.0, 2, WRITE).attempt(10.0, 0, 1, 0);
        let first = first.answered(100.0, 1, FinalCode::Failed);
        first.attempt(at, 0, 2, 0).answered(400.0, 2, FinalCode::Failed).violations()
    };
    // The unanswered first attempt may run until the client's answer; a quiet period of 100 ms follows.
    assert_eq!(second(140.0), []);
    assert_eq!(second(139.0), [(Rule::Ordering, 139.0)]);
    assert_eq!(second(39.0), [(Rule::Ordering, 39.0); 2]);
}

#[test]
fn retries_beyond_the_budget_are_findings() {
    let retried = |attempts: u16| {
        let events = Events::default().sent(0.0, 1, READ);
        let events = (0..attempts)
            .fold(events, |events, attempt| events.attempt(10.0 + 100.0 * f64::from(attempt), 0, 1, attempt));
        events.answered(900.0, 1, FinalCode::Failed).violations()
    };
    // The budget is 1.1 retries; retries within the clock tolerance of a retry are not counted against the same
    // window.
    assert_eq!(retried(3), []);
    assert_eq!(retried(4), [(Rule::RetryBudget, 310.0)]);
}

#[test]
fn requests_beyond_the_rate_limit_of_a_volume_are_findings() {
    // The bucket of 20 units may be overdrawn by the 4 units of the largest request.
    let flooded = |count: u64| {
        let events = (1..=count).fold(Events::default(), |events, n| {
            events.sent(0.0, n, READ).attempt(10.0, 0, n, 0).answered(30.0, n, FinalCode::Failed)
        });
        events.violations()
    };
    assert_eq!(flooded(24), []);
    assert_eq!(flooded(25), [(Rule::RateLimits, 10.0)]);
}

#[test]
fn lost_data_and_success_without_execution_are_findings() {
    assert_eq!(success(WRITE).violations(), []);
    assert_eq!(success(WRITE).stored(8).violations(), [(Rule::DataIntegrity, 20.0)]);
    let unexecuted = Events::default().sent(0.0, 1, READ).attempt(10.0, 0, 1, 0);
    assert_eq!(
        unexecuted.answered(30.0, 1, FinalCode::Succeeded).violations(),
        [(Rule::DataIntegrity, 30.0)]
    );
}

#[test]
fn an_attempt_under_an_outdated_extent_version_is_a_finding() {
    let sent_at = |at: Ms| {
        let (host, volume, start, end, version) = (HOST, 1, 0, 10, 2);
        let update = NodeEvent::MapUpdateSent { host, volume, start, end, version };
        let events = Events::default().event(10.0, update).sent(0.0, 1, READ).attempt(at, 0, 1, 0);
        events.answered(500.0, 1, FinalCode::Failed).violations()
    };
    assert_eq!(sent_at(70.0), []);
    assert_eq!(sent_at(71.0), [(Rule::DataIntegrity, 71.0)]);
}
