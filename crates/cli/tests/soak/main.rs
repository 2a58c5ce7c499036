//! A soak of real processes on loopback: hosts under load are reloaded, held up, told to end and killed as early as
//! the platform's page allows, while nodes send late copies, noise and cut answers and clients pipeline, split and
//! abandon requests. Every request is audited from what its client and the nodes saw.
//!
//! A few seeds run by default; `SOAK_SEEDS=1..50` runs others, and tells of each.

mod audit;
mod client;
mod fleet;
mod lateness;
mod node;
mod plan;
mod relay;
#[allow(dead_code)]
#[path = "../platform/rig.rs"]
mod rig;

use audit::Finding;
use plan::{Plan, Plant};

/// The seeds that are run where none are named: few, and unlike each other.
const USUAL: [u64; 5] = [1, 2, 3, 4, 5];

fn seeds() -> Vec<u64> {
    let Ok(named) = std::env::var("SOAK_SEEDS") else { return USUAL.to_vec() };
    let (first, last) = named.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

fn run(seed: u64, plant: Option<Plant>) -> Vec<Finding> {
    let plan = Plan::drawn(seed, plant);
    let (requests, attempts, exits) = fleet::play(&plan);
    let report = audit::audit(&requests, &attempts, &exits);
    let late = requests.lateness.most();
    println!("seed {seed}: {} hosts, {}, the rig late by {late:?} at most", plan.hosts, report.summary());
    for finding in &report.findings {
        println!("seed {seed}: {finding}");
    }
    report.findings
}

#[test]
fn each_request_that_was_read_gets_exactly_one_answer_its_own() {
    let broken: Vec<u64> = seeds().into_iter().filter(|seed| !run(*seed, None).is_empty()).collect();
    assert!(broken.is_empty(), "seeds that broke a rule: {broken:?}");
}

#[test]
fn a_swapped_answer_is_found() {
    let found = run(101, Some(Plant::SwappedAnswer));
    assert!(found.iter().any(|f| matches!(f, Finding::NotItsOwn { .. })), "{found:?}");
}

#[test]
fn a_swallowed_request_is_found() {
    let found = run(102, Some(Plant::SwallowedRequest));
    assert!(found.iter().any(|f| matches!(f, Finding::NoAnswer { .. })), "{found:?}");
}
