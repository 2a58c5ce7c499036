//! Admits clients' requests to the engine, or rejects them immediately.

use super::Gateway;
use crate::request_log::RequestLog;
use crate::request_registry::{AdmittedRequest, ClientRef, PartRef, Requester};
use crate::split_reads::NewSplitRead;
use magpiewick::{Idempotency, Ms, Request};
use magpiewick_coalescing::split_range;
use magpiewick_engine::IncomingRequest;
use magpiewick_node_protocol::{ClientRequest, FinalAnswer, FinalCode, Message};
use xxhash_rust::xxh3::xxh3_64;

/// Reason why a request is rejected before it reaches the engine. Nothing has run, so a retry is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    UnknownVolume,
    UnknownClass,
    ImpossibleUnits,
    ShuttingDown,
    NumberInUse,
    ImpossibleRange,
    /// Without an extent map, the location of a range is unknown for a volume on several shards.
    UnmappedRange,
    CrossesExtents,
    OutOfMemory,
}

impl Rejection {
    /// Returns the reason as sent to the client.
    fn as_str(self) -> &'static str {
        match self {
            Rejection::UnknownVolume => "unknown-volume",
            Rejection::UnknownClass => "unknown-band",
            Rejection::ImpossibleUnits => "impossible-units",
            Rejection::ShuttingDown => "stopping",
            Rejection::NumberInUse => "number-in-use",
            Rejection::ImpossibleRange => "impossible-range",
            Rejection::UnmappedRange => "unmapped-range",
            Rejection::CrossesExtents => "crosses-extents",
            Rejection::OutOfMemory => "out-of-memory",
        }
    }
}

impl Gateway {
    /// Admits a client's request, or answers it with a rejection.
    pub(super) fn on_client_request(&mut self, key: usize, request: &ClientRequest<'_>) {
        if let Err(rejection) = self.check_and_admit(key, request) {
            let answer = FinalAnswer {
                request_id: request.request_id,
                code: FinalCode::Rejected,
                retry_after_us: 0,
                payload: rejection.as_str().as_bytes(),
            };
            self.connections.send_to_client(key, &Message::FinalAnswer(answer));
        }
    }

    fn check_and_admit(&mut self, key: usize, request: &ClientRequest<'_>) -> Result<(), Rejection> {
        let volume = self.config.volumes.get(&request.volume).ok_or(Rejection::UnknownVolume)?;
        let class = usize::from(request.class);
        if class >= self.config.scheduler.classes.len() {
            return Err(Rejection::UnknownClass);
        }
        let units = f64::from(request.units);
        if units <= 0.0 || units > self.config.scheduler.max_units {
            return Err(Rejection::ImpossibleUnits);
        }
        if self.shutdown.is_requested() {
            return Err(Rejection::ShuttingDown);
        }
        if self.connections.clients().has_request(key, request.request_id) {
            return Err(Rejection::NumberInUse);
        }
        if !self.connections.has_memory_for_request(request.payload.len()) {
            return Err(Rejection::OutOfMemory);
        }
        let now = self.connections.now();
        let paused_for = self.connections.clients().paused_for(now, key);
        let age = self.stall_detector.max_request_age().max(paused_for);
        let client_timeout = f64::from(request.client_timeout_us) / 1000.0 - age;
        let log = RequestLog::open(
            self.config.number,
            request.request_id,
            &volume.name,
            &self.config.classes[class],
        );
        let client = ClientRef { key, request_id: request.request_id };
        match self.split(request)? {
            None => _ = self.admit(Requester::Client(client), request, client_timeout, log),
            Some(parts) => {
                let max_in_flight = self.config.split_reads.max_in_flight;
                let deadline = now + client_timeout;
                self.admit_split_read(NewSplitRead { client, request, parts, max_in_flight, deadline, log });
            }
        }
        Ok(())
    }

    /// Returns the parts into which a request must be split; none where it is sent as a whole.
    fn split(&self, request: &ClientRequest<'_>) -> Result<Option<Vec<(u64, u64)>>, Rejection> {
        let start = request.key;
        let end = start.saturating_add(u64::from(request.blocks.max(1)));
        if end - start == 1 {
            return Ok(None);
        }
        if start == 0 || end == u64::MAX {
            return Err(Rejection::ImpossibleRange);
        }
        let Some(extent_starts) = self.connections.extent_map().extent_starts(request.volume, start, end)
        else {
            let shards = self.config.volumes.get(&request.volume).map_or(0, |volume| volume.shards.len());
            return if shards > 1 { Err(Rejection::UnmappedRange) } else { Ok(None) };
        };
        let class = &self.config.scheduler.classes[usize::from(request.class)];
        // Half of a write cannot be undone, and parts of an ordered request, or of one with an idempotency
        // key, would be taken for repetitions of each other.
        let may_split = !request.write && class.idempotency == Idempotency::Idempotent && !class.ordered;
        let max_blocks = if may_split { self.config.split_reads.max_blocks } else { u64::MAX };
        let parts = split_range(start, end, extent_starts.into_iter(), max_blocks);
        if parts.len() > 1 && !may_split {
            return Err(Rejection::CrossesExtents);
        }
        Ok(Some(parts).filter(|parts| parts.len() > 1))
    }

    /// Passes a request, or a part of one, to the engine once no earlier write overlaps it; returns its id.
    pub(super) fn admit(
        &mut self,
        requester: Requester,
        request: &ClientRequest<'_>,
        client_timeout: Ms,
        log: RequestLog,
    ) -> Option<u64> {
        let volume = self.config.volumes.get(&request.volume)?;
        let (policy_index, hosts, class) = (volume.policy, volume.host_count, usize::from(request.class));
        let location = self.locate(request.volume, request.key);
        let admitted = AdmittedRequest { requester, request, location, client_timeout, log };
        let id = self.connections.admit(admitted)?;
        // The parts of a split read count as one request.
        let counts_as_request =
            !matches!(requester, Requester::SplitRead(PartRef { index, .. }) if index > 0);
        let engine_request = Request {
            class,
            policy: policy_index,
            volume: 0,
            key: None,
            units: f64::from(request.units),
            shard: location.shard,
            hosts,
            client_timeout,
            budget_weight: f64::from(counts_as_request),
            coalesce_with: None,
        };
        let key = engine_key(request.volume, request.key);
        let queue_key = Some(key).filter(|_| self.config.scheduler.classes[class].ordered);
        let incoming = IncomingRequest { id, key, volume: request.volume, request: engine_request };
        // After its latency objective the request would not be sent, so ending it then loses nothing; its
        // answer must reach the client before its deadline.
        let max_wait = client_timeout - 2.0 * self.config.scheduler.action_interval;
        let latency_objective = self.config.scheduler.classes[class].latency_objective;
        let waits_until = self.connections.now() + latency_objective.min(max_wait);
        if let Some(incoming) = self.connections.acquire_overlap_lock(incoming, queue_key, waits_until) {
            self.engine.submit(self.connections.now(), incoming, &mut self.connections);
            self.connections.release(id);
        }
        Some(id)
    }

    /// Passes a write that is still blocked to the scheduler without remaining time; the scheduler then ends
    /// the write.
    pub(super) fn on_overlap_timeout(&mut self, request_id: u64) {
        if let Some(mut incoming) = self.connections.unblock_on_timeout(request_id) {
            incoming.request.client_timeout = 0.0;
            self.engine.submit(self.connections.now(), incoming, &mut self.connections);
        }
    }
}

/// Returns the engine's key of a piece of data, as a client's key is unique only within its volume. 0 means
/// no key.
fn engine_key(volume: u64, key: u64) -> u64 {
    if key == 0 {
        return 0;
    }
    xxh3_64(&[volume.to_le_bytes(), key.to_le_bytes()].concat()).max(1)
}
