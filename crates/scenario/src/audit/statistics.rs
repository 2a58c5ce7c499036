//! Calculates statistics of a run: the work of each host, the earned priority weight, and the effects of stale
//! maps.

use super::evidence::Run;
use super::verdict::{HostStatistics, Verdict};
use magpiewick_emulator::NodeEvent;
use magpiewick_node_protocol::FinalCode;
use std::collections::HashSet;

/// Number of blocks above which a read is classified as long.
const LONG_READ_BLOCKS: u32 = 16;

/// Counts attempts received by a node that did not serve the extent, and the final answers to their requests.
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

/// Statistics of the clients of one host.
#[derive(Clone, Default)]
struct ClientMeasurements {
    total_weight: f64,
    earned_weight: f64,
    writes: u64,
    long_read_times: Vec<f64>,
}

/// Numbers of writes that one host sent to nodes, and of node requests that carried the writes.
#[derive(Clone, Copy, Default)]
struct NodeMeasurements {
    writes: u64,
    requests: u64,
}

/// Fills in the statistics of each host, and the total and earned priority weight.
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

fn measure_clients(run: &Run<'_>) -> Vec<ClientMeasurements> {
    let scheduler = &run.evidence.host.scheduler;
    let mut hosts = vec![ClientMeasurements::default(); scheduler.hosts as usize];
    for tracked in &run.requests {
        let request = &tracked.request;
        let class = &scheduler.classes[usize::from(request.class)];
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

fn measure_nodes(run: &Run<'_>) -> Vec<NodeMeasurements> {
    let mut hosts = vec![NodeMeasurements::default(); run.evidence.host.scheduler.hosts as usize];
    let mut counted_batches: HashSet<u64> = HashSet::new();
    let mut counted_writes: HashSet<(usize, u64)> = HashSet::new();
    for (_, event) in run.evidence.node_events {
        let NodeEvent::AttemptReceived { host, write: true, batch, request_id, .. } = *event else {
            continue;
        };
        let Some(&host) = run.host_numbers.get(&host) else { continue };
        hosts[host].writes += u64::from(counted_writes.insert((host, request_id)));
        hosts[host].requests += u64::from(counted_batches.insert(batch));
    }
    hosts
}

/// Returns a quantile of sorted times; 0 for an empty slice.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    sorted.get((sorted.len() as f64 * fraction) as usize).copied().unwrap_or(0.0)
}
