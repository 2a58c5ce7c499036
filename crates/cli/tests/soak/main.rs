//! A soak of real processes on loopback: hosts under load are reloaded, stopped, shut down and killed as early as the
//! platform's page allows, while nodes send late duplicates, garbage and truncated responses and clients pipeline, split
//! and cancel requests. Every request is audited from what its client and the nodes saw.
//!
//! A few seeds run by default; `SOAK_SEEDS=1..50` runs others and reports each.

mod audit;
mod client;
mod defect_relay;
mod node;
mod run;
mod run_config;
#[path = "../support/mod.rs"]
mod support;
mod test_delays;

use audit::Finding;
use client::{Request, RequestEnd, RequestKind};
use node::Attempt;
use run::Evidence;
use run_config::{Defect, RunConfig};
use std::time::{Duration, Instant};
use test_delays::TestDelays;

/// The seeds of a run without `SOAK_SEEDS`: few, and unlike each other.
const DEFAULT_SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS.to_vec() };
    let (first, last) = range.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

fn run_and_audit(seed: u64, defect: Option<Defect>) -> Vec<Finding> {
    let config = RunConfig::from_seed(seed, defect);
    let evidence = run::run(&config);
    let report = audit::audit(&evidence);
    let delay = evidence.test_delays.longest();
    let faults = config.syscall_faults.unwrap_or("no call fails");
    println!(
        "seed {seed}: {} hosts, {}% alike, {faults}, {}, the test late by {delay:?} at most",
        config.hosts,
        config.alike_percent,
        report.summary()
    );
    for finding in &report.findings {
        println!("seed {seed}: {finding}");
    }
    report.findings
}

#[test]
fn each_request_read_gets_exactly_its_own_response() {
    let broken: Vec<u64> =
        seeds().into_iter().filter(|seed| !run_and_audit(*seed, None).is_empty()).collect();
    assert!(broken.is_empty(), "seeds that broke a rule: {broken:?}");
}

#[test]
fn a_swapped_response_is_found() {
    let found = run_and_audit(101, Some(Defect::SwappedResponse));
    assert!(found.iter().any(|f| matches!(f, Finding::ForeignResponse { .. })), "{found:?}");
}

/// A request that was served with the body that many have, and its node's attempt, which responded at `responded`.
fn evidence_of_alike_response(served: Instant, responded: Instant) -> Evidence {
    let (id, alike_percent) = ("h0c0-1".to_string(), 100);
    let body = node::expected_body(&id, alike_percent);
    let (deadline, sent) = (Duration::from_secs(1), served - Duration::from_millis(20));
    let attempt = Attempt {
        id: id.clone(),
        class: "once".to_string(),
        at: sent,
        timeout: deadline,
        ran: true,
        responded: Some(responded),
    };
    let end = RequestEnd::Answered { status: 200, body, at: served };
    let kind = RequestKind::Forwarded;
    let request = Request { id, kind, host: 0, sent, deadline, due: deadline, read: true, end };
    Evidence {
        alike_percent,
        requests: vec![request],
        unsolicited_count: 0,
        test_delays: TestDelays::default(),
        attempts: vec![attempt],
        exits: Vec::new(),
    }
}

#[test]
fn an_alike_response_that_no_node_has_given_yet_is_found() {
    let served = Instant::now() + Duration::from_secs(1);
    let millisecond = Duration::from_millis(1);
    let own = audit::audit(&evidence_of_alike_response(served, served - millisecond));
    assert!(own.findings.is_empty(), "{:?}", own.findings);
    let copy = audit::audit(&evidence_of_alike_response(served, served + millisecond));
    assert!(matches!(copy.findings[..], [Finding::ForeignResponse { .. }]), "{:?}", copy.findings);
}

#[test]
fn a_lost_request_is_found() {
    let found = run_and_audit(102, Some(Defect::LostRequest));
    assert!(found.iter().any(|f| matches!(f, Finding::NoResponse { .. })), "{found:?}");
}
