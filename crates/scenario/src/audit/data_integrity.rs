//! Checks data integrity: each key stores the payload written last, reads return payloads stored during the read,
//! and no attempt is sent under an older extent version than the host has received.

use super::evidence::{BlockWrite, Run};
use super::verdict::{Finding, Rule, Verdict};
use crate::client_event::ClientEvent;
use crate::Ms;
use magpiewick_emulator::NodeEvent;
use magpiewick_node_protocol::FinalCode;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Checks that the owner of each key stores the payload written last, and that no request succeeded without being
/// executed.
pub(super) fn check_stored(run: &Run<'_>, verdict: &mut Verdict) {
    check_successes(run, verdict);
    let mut last_writes: BTreeMap<(u64, u64), BlockWrite> = BTreeMap::new();
    for write in run.evidence.block_writes() {
        last_writes.insert(write.block, write);
    }
    let stored = run.evidence.stored.iter();
    let stored: HashMap<(u64, u64), u64> =
        stored.map(|key| ((key.volume, key.key), idempotency_key_of(&key.payload))).collect();
    verdict.add_checked(Rule::DataIntegrity, last_writes.len());
    for ((volume, key), write) in last_writes {
        let stored_key = stored.get(&(volume, key));
        if stored_key != Some(&write.idempotency_key) {
            let description = format!("key {key} of volume {volume} stores {stored_key:?}");
            verdict.add_request(Rule::DataIntegrity, write.at, write.idempotency_key, description);
        }
    }
}

fn check_successes(run: &Run<'_>, verdict: &mut Verdict) {
    let executed: HashSet<u64> = run
        .evidence
        .node_events
        .iter()
        .filter_map(|(_, event)| match *event {
            NodeEvent::EffectApplied { idempotency_key, .. } => Some(idempotency_key),
            _ => None,
        })
        .collect();
    for tracked in &run.requests {
        let idempotency_key = tracked.request.idempotency_key;
        if let Some((at, FinalCode::Succeeded)) =
            tracked.answer.filter(|_| !executed.contains(&idempotency_key))
        {
            verdict.add_request(
                Rule::DataIntegrity,
                at,
                idempotency_key,
                "succeeded though it was never executed",
            );
        }
    }
}

/// Returns the idempotency key of the request that wrote a payload, which begins with the key; 0 for a shorter
/// payload.
fn idempotency_key_of(payload: &[u8]) -> u64 {
    payload.first_chunk::<8>().map_or(0, |idempotency_key| u64::from_le_bytes(*idempotency_key))
}

/// Checks that each block of a successful read contains the payload stored there at some time during the read.
pub(super) fn check_reads(run: &Run<'_>, verdict: &mut Verdict) {
    let tolerance = run.evidence.scenario.clock_tolerance;
    let mut writes: HashMap<(u64, u64), Vec<(Ms, u64)>> = HashMap::new();
    for write in run.evidence.block_writes() {
        writes.entry(write.block).or_default().push((write.at, write.idempotency_key));
    }
    let by_number: HashMap<u64, usize> =
        run.requests.iter().enumerate().map(|(index, tracked)| (tracked.request.number, index)).collect();
    let mut checked = 0;
    for (at, event) in run.evidence.client_events {
        let ClientEvent::BlockRead { number, block, idempotency_key } = *event else { continue };
        let Some(tracked) = by_number.get(&number).map(|index| &run.requests[*index]) else { continue };
        let (from, to, volume) = (tracked.sent_at - tolerance, at + tolerance, tracked.request.volume);
        let block_writes = writes.get(&(volume, block)).map_or(&[][..], |all| all);
        let first = block_writes.partition_point(|write| write.0 <= from);
        let last = block_writes.partition_point(|write| write.0 <= to);
        let was_stored =
            block_writes[first.saturating_sub(1)..last].iter().any(|write| write.1 == idempotency_key);
        let was_empty = first == 0 && idempotency_key == 0;
        checked += 1;
        if !was_stored && !was_empty {
            let description = format!("block {block} of volume {volume} was read as {idempotency_key}");
            verdict.add_request(Rule::DataIntegrity, *at, tracked.request.idempotency_key, description);
        }
    }
    verdict.add_checked(Rule::DataIntegrity, checked);
}

/// A version of an extent that was sent to a host.
struct ReceivedVersion {
    start: u64,
    end: u64,
    received_at: Ms,
    version: u32,
}

/// Checks that no attempt is sent under an older extent version than the host has received.
pub(super) fn check_versions(run: &Run<'_>, verdict: &mut Verdict) {
    let tolerance = run.evidence.scenario.clock_tolerance;
    let mut received_versions: HashMap<(u64, u64), Vec<ReceivedVersion>> = HashMap::new();
    let mut checked = 0;
    for (at, event) in run.evidence.node_events {
        match *event {
            NodeEvent::MapUpdateSent { host, volume, start, end, version } => {
                let received_at = run.received_at(host, *at);
                let update = ReceivedVersion { start, end, received_at, version };
                received_versions.entry((host, volume)).or_default().push(update);
            }
            NodeEvent::AttemptReceived { node, host, volume, key, idempotency_key, version, .. }
                if version > 0 =>
            {
                let versions_of_volume = received_versions.get(&(host, volume)).map_or(&[][..], |all| all);
                let versions_of_extent = versions_of_volume.iter().filter(|update| {
                    update.start <= key && key < update.end && at - update.received_at > tolerance
                });
                checked += usize::from(versions_of_extent.clone().next().is_some());
                if let Some(newer) = versions_of_extent.clone().find(|received| received.version > version) {
                    verdict.findings.push(Finding {
                        rule: Rule::DataIntegrity,
                        at: *at,
                        host: Some(host),
                        node: Some(node),
                        request_id: Some(idempotency_key),
                        description: format!(
                            "sent under version {version} after the host had received version {}",
                            newer.version
                        ),
                    });
                }
            }
            _ => {}
        }
    }
    verdict.add_checked(Rule::DataIntegrity, checked);
}
