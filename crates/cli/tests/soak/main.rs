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
use run_config::{Defect, RunConfig};

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
    println!("seed {seed}: {} hosts, {}, the test late by {delay:?} at most", config.hosts, report.summary());
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

#[test]
fn a_lost_request_is_found() {
    let found = run_and_audit(102, Some(Defect::LostRequest));
    assert!(found.iter().any(|f| matches!(f, Finding::NoResponse { .. })), "{found:?}");
}
