//! Audits the seven rules from the events recorded by nodes and clients. The audit is a pure function from events
//! to a verdict.
//!
//! The audit is a model of the rules written for correctness, not speed. It is independent of the scheduler: the
//! two share only the types of the settings.

mod at_most_once;
mod data_integrity;
mod draining;
mod evidence;
mod final_answers;
mod ordering;
mod rate_limits;
mod retry_budget;
mod retry_storm;
mod slow_start;
mod statistics;
mod verdict;

pub use evidence::{Evidence, Stall};
pub use retry_storm::{NodeReturn, RetryStormReport};
pub use verdict::{Finding, HostStatistics, Rule, Verdict};

use evidence::Run;

/// Audits the evidence of a run and returns the verdict.
pub fn audit(evidence: &Evidence<'_>) -> Verdict {
    let expectation = &evidence.scenario.retry_storm;
    let mut verdict = Verdict::default();
    let rules = Rule::ALL.into_iter().filter(|rule| *rule != Rule::RetryStorm || expectation.is_some());
    rules.for_each(|rule| verdict.add_checked(rule, 0));
    let run = Run::reconstruct(evidence, &mut verdict);
    final_answers::check(&run, &mut verdict);
    at_most_once::check(&run, &mut verdict);
    draining::check(&run, &mut verdict);
    slow_start::check(&run, &mut verdict);
    ordering::check_keys(&run, &mut verdict);
    retry_budget::check(&run, &mut verdict);
    rate_limits::check(&run, &mut verdict);
    data_integrity::check_stored(&run, &mut verdict);
    data_integrity::check_reads(&run, &mut verdict);
    ordering::check_overlapping_writes(&run, &mut verdict);
    data_integrity::check_versions(&run, &mut verdict);
    statistics::count_stale_attempts(&run, &mut verdict);
    statistics::measure_hosts(&run, &mut verdict);
    if let Some(expectation) = expectation {
        retry_storm::check(evidence, expectation, &mut verdict);
    }
    verdict.findings.sort_by(|a, b| a.at.total_cmp(&b.at));
    verdict
}

#[cfg(test)]
mod tests;
