//! Prints the report of a scenario as text or JSON.

use crate::arguments::ReportFormat;
use magpiewick_scenario::{Finding, Rule, ScenarioReport};
use std::io;

/// Findings of one rule that the text shows; the rest is counted.
const FINDINGS_SHOWN: usize = 5;

/// Prints the report on standard output.
pub(super) fn print(report: &ScenarioReport, format: ReportFormat) -> io::Result<()> {
    match format {
        ReportFormat::Json => println!("{}", serde_json::to_string_pretty(report)?),
        ReportFormat::Text => print_text(report),
    }
    Ok(())
}

fn print_text(report: &ScenarioReport) {
    print_totals(report);
    print_hosts(report);
    print_migrations(report);
    print_storms(report, "");
    if let Some(undamped) = &report.without_overload_protection {
        print_storms(undamped, "undamped: ");
    }
    for rule in Rule::ALL {
        print_rule(report, rule);
    }
}

fn print_totals(report: &ScenarioReport) {
    println!("{} hosts, {} nodes, {} s, seed {}", report.hosts, report.nodes, report.seconds, report.seed);
    println!(
        "taken {}: settled {}, bounced {}, scrapped {}, host died {}, unanswered {}",
        report.sent, report.succeeded, report.rejected, report.failed, report.host_died, report.unanswered
    );
    println!(
        "payoff within the soft limit {:.3}; p50 {:.1} ms, p99 {:.1} ms",
        report.earned_share, report.p50_ms, report.p99_ms
    );
    println!(
        "longest delay of the clients {:.1} ms, of the emulated services {:.1} ms",
        report.client_delay_ms, report.emulator_delay_ms
    );
    println!(
        "hand-offs {}, further {}; hosts ended with {:?}",
        report.verdict.attempts, report.verdict.retries, report.exit_codes
    );
}

/// What coalescing and split reads came to, for each host that was sent writes.
fn print_hosts(report: &ScenarioReport) {
    for host in report.verdict.by_host.iter().filter(|host| host.writes > 0) {
        let node_requests_per_write = host.node_requests as f64 / host.writes_sent.max(1) as f64;
        println!(
            "host {}: {} of {} writes sent in {} commands of nodes ({node_requests_per_write:.2} each), payoff {:.3}; \
             {} long reads, p50 {:.1} ms, p99 {:.1} ms",
            host.host,
            host.writes_sent,
            host.writes,
            host.node_requests,
            host.earned_share,
            host.long_reads,
            host.long_p50_ms,
            host.long_p99_ms
        );
    }
}

fn print_migrations(report: &ScenarioReport) {
    let verdict = &report.verdict;
    if verdict.extents_switched > 0 {
        println!(
            "extents switched {}; stale hand-offs {}, their commands settled {}, bounced {}, scrapped {}",
            verdict.extents_switched,
            verdict.stale_attempts,
            verdict.stale_succeeded,
            verdict.stale_rejected,
            verdict.stale_failed
        );
    }
}

/// What each return of nodes after an outage came to.
fn print_storms(report: &ScenarioReport, prefix: &str) {
    let Some(storms) = &report.verdict.retry_storms else { return };
    println!(
        "{prefix}quiet payoff {:.3}, {:.2} tries a command",
        storms.quiet_earned_share, storms.sends_per_request
    );
    for r in &storms.returns {
        let recovered =
            r.recovered_ms.map_or("never".to_string(), |after| format!("after {:.1} s", after / 1000.0));
        println!(
            "{prefix}nodes {:?} back at {:.1} s: at most {:.2} times what one can do in 100 ms, {:.0}% of it later tries, \
             fell {} times; payoff back {recovered}",
            r.nodes,
            r.at_ms / 1000.0,
            r.peak_load,
            r.retry_share * 100.0,
            r.overloads
        );
    }
}

fn print_rule(report: &ScenarioReport, rule: Rule) {
    let Some(checked) = report.verdict.checked.get(rule.name()) else { return };
    let findings: Vec<_> = report.verdict.findings.iter().filter(|finding| finding.rule == rule).collect();
    let verdict = if findings.is_empty() { "kept" } else { "BROKEN" };
    println!("  {:7} {verdict:6} checked {checked}", rule.name());
    for finding in findings.iter().take(FINDINGS_SHOWN) {
        print_finding(finding);
    }
    if findings.len() > FINDINGS_SHOWN {
        println!("    and {} more", findings.len() - FINDINGS_SHOWN);
    }
}

fn print_finding(finding: &Finding) {
    println!(
        "    at {:.0} ms host {:x} node {:?} command {:?}: {}",
        finding.at,
        finding.host.unwrap_or(0),
        finding.node,
        finding.request_id,
        finding.description
    );
}
