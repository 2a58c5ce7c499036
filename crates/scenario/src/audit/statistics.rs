//! Figures of a run: what each host did, the priority weight earned, and what stale maps cost.

use super::evidence::Run;
use super::verdict::{HostStatistics, Verdict};
use magpiewick_emulator::NodeEvent;
use magpiewick_node_protocol::FinalCode;
use std::collections::HashSet;

/// Reads of more blocks than this count as long.
const LONG_READ_BLOCKS: u32 = 16;

/// Counts attempts that reached a node which did not serve the data, and how their requests ended.
pub(super) fn count_stale_attempts(run: &Run<'_>, verdict: &mut Verdict) {
    let stale = run.evidence.node_events.iter().filter_map(|(_, event)| match *event {
        NodeEvent::Answered { host, request_id, shard_moved: true, .. } => Some((host, request_id)),
        _ => None,
    });
    let stale: Vec<(u64, u64)> = stale.collect();
    verdict.stale_attempts = stale.len() as u64;
    let stale_requests: HashSet<(u64, u64)> = stale.into_iter().collect();
    for tracked in &run.requests {
        let is_stale = run.attempts_of(tracked).any(|a| stale_requests.contains(&(a.host, a.request_id)));
        match tracked.answer.filter(|_| is_stale) {
            Some((_, FinalCode::Succeeded)) => verdict.stale_succeeded += 1,
            Some((_, FinalCode::Rejected)) => verdict.stale_rejected += 1,
            Some((_, FinalCode::Failed)) => verdict.stale_failed += 1,
            None => {}
        }
    }
    let switches =
        run.evidence.node_events.iter().filter(|(_, e)| matches!(e, NodeEvent::ExtentSwitched { .. }));
    verdict.extents_switched = switches.count() as u64;
}

/// What one host's clients saw.
#[derive(Clone, Default)]
struct ClientSide {
    total_weight: f64,
    earned_weight: f64,
    writes: u64,
    long_read_times: Vec<f64>,
}

/// Writes that one host sent to nodes, and the nodes' requests that carried them.
#[derive(Clone, Copy, Default)]
struct NodeSide {
    writes: u64,
    requests: u64,
}

/// Fills in what each host did, and the priority weight of all.
pub(super) fn measure_hosts(run: &Run<'_>, verdict: &mut Verdict) {
    let clients = measure_clients(run);
    let nodes = measure_nodes(run);
    verdict.total_weight = clients.iter().map(|host| host.total_weight).sum();
    verdict.earned_weight = clients.iter().map(|host| host.earned_weight).sum();
    let hosts = clients.into_iter().zip(nodes).enumerate();
    verdict.by_host = hosts
        .map(|(host, (mut clients, nodes))| {
            let times = &mut clients.long_read_times;
            times.sort_by(f64::total_cmp);
            HostStatistics {
                host,
                writes: clients.writes,
                writes_sent: nodes.writes,
                node_requests: nodes.requests,
                earned_share: clients.earned_weight / f64::max(clients.total_weight, 1e-9),
                long_reads: times.len() as u64,
                long_p50_ms: quantile(times, 0.5),
                long_p99_ms: quantile(times, 0.99),
            }
        })
        .collect();
}

fn measure_clients(run: &Run<'_>) -> Vec<ClientSide> {
    let start = &run.evidence.host.scheduler;
    let mut hosts = vec![ClientSide::default(); start.hosts as usize];
    for tracked in &run.requests {
        let request = &tracked.request;
        let class = &start.classes[usize::from(request.class)];
        let host = &mut hosts[request.host_number];
        host.writes += u64::from(request.write && !request.is_retry);
        host.total_weight += if request.is_retry { 0.0 } else { class.priority_weight };
        let Some((at, FinalCode::Succeeded)) = tracked.answer else { continue };
        if at <= request.first_due + class.latency_objective {
            host.earned_weight += class.priority_weight;
        }
        if !request.write && request.blocks > LONG_READ_BLOCKS {
            host.long_read_times.push(at - request.first_due);
        }
    }
    hosts
}

fn measure_nodes(run: &Run<'_>) -> Vec<NodeSide> {
    let mut hosts = vec![NodeSide::default(); run.evidence.host.scheduler.hosts as usize];
    let mut known_batches: HashSet<u64> = HashSet::new();
    let mut known_writes: HashSet<(usize, u64)> = HashSet::new();
    for (_, event) in run.evidence.node_events {
        let NodeEvent::AttemptReceived { host, write: true, batch, request_id, .. } = *event else {
            continue;
        };
        let Some(&host) = run.host_numbers.get(&host) else { continue };
        hosts[host].writes += u64::from(known_writes.insert((host, request_id)));
        hosts[host].requests += u64::from(known_batches.insert(batch));
    }
    hosts
}

/// A quantile of sorted times; 0 where there are none.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    sorted.get((sorted.len() as f64 * part) as usize).copied().unwrap_or(0.0)
}
