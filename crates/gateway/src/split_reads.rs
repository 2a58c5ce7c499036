//! Reads that are sent as several requests, as they cross extents or are large.

use crate::request_log::RequestLog;
use crate::request_registry::ClientRef;
use magpiewick::Ms;
use magpiewick_coalescing::{SplitRead, SplitReadProgress};
use magpiewick_node_protocol::{ClientRequest, FinalCode, MAX_PAYLOAD_LENGTH};
use std::collections::HashMap;

/// A split read at its admission.
pub(crate) struct NewSplitRead<'a> {
    pub client: ClientRef,
    pub request: &'a ClientRequest<'a>,
    /// Start and end of each part, in blocks.
    pub parts: Vec<(u64, u64)>,
    /// Maximum number of parts in flight at the same time.
    pub max_in_flight: usize,
    pub deadline: Ms,
    pub log: RequestLog,
}

/// A read that was split, with the fields for the requests of its parts.
struct OpenSplitRead {
    client: ClientRef,
    read: SplitRead,
    parts: Vec<(u64, u64)>,
    /// Request id of each part; none before the part is requested.
    request_ids: Vec<Option<u64>>,
    class: u16,
    volume: u64,
    idempotency_key: u64,
    units_per_block: f32,
    deadline: Ms,
    log: RequestLog,
}

/// A part that is to be requested now.
pub(crate) struct NextPart {
    pub index: usize,
    pub request: ClientRequest<'static>,
    pub deadline: Ms,
    pub log: RequestLog,
}

/// A part that has its final answer.
pub(crate) struct FinishedPart {
    pub read: u64,
    pub index: usize,
    pub code: FinalCode,
    pub retry_after: Ms,
    pub payload: Vec<u8>,
}

/// All split reads by id.
#[derive(Default)]
pub(crate) struct SplitReads {
    reads: HashMap<u64, OpenSplitRead>,
}

impl SplitReads {
    pub(crate) fn insert(&mut self, id: u64, split_read: NewSplitRead<'_>) {
        let NewSplitRead { client, request, parts, max_in_flight, deadline, log } = split_read;
        let blocks = parts.iter().map(|(start, end)| end - start).sum::<u64>().max(1);
        self.reads.insert(
            id,
            OpenSplitRead {
                client,
                read: SplitRead::new(parts.len(), max_in_flight, MAX_PAYLOAD_LENGTH),
                request_ids: vec![None; parts.len()],
                parts,
                class: request.class,
                volume: request.volume,
                idempotency_key: request.idempotency_key,
                units_per_block: request.units / blocks as f32,
                deadline,
                log,
            },
        );
    }

    /// Returns the next part, if another part may be in flight.
    #[must_use]
    pub(crate) fn next_part(&mut self, id: u64) -> Option<NextPart> {
        let split = self.reads.get_mut(&id)?;
        let index = split.read.start_next()?;
        let (start, end) = split.parts[index];
        let request = ClientRequest {
            request_id: 0,
            class: split.class,
            write: false,
            volume: split.volume,
            key: start,
            idempotency_key: split.idempotency_key,
            units: split.units_per_block * (end - start) as f32,
            client_timeout_us: 0,
            blocks: (end - start) as u32,
            payload: &[],
        };
        Some(NextPart { index, request, deadline: split.deadline, log: split.log.for_part() })
    }

    /// Records the request of a part.
    pub(crate) fn set_request(&mut self, id: u64, index: usize, request_id: Option<u64>) {
        if let Some(split) = self.reads.get_mut(&id) {
            split.request_ids[index] = request_id;
        }
    }

    /// Records a succeeded part; returns the progress of the read, or none where the read has ended.
    pub(crate) fn on_part_read(
        &mut self,
        id: u64,
        index: usize,
        payload: Vec<u8>,
    ) -> Option<SplitReadProgress> {
        Some(self.reads.get_mut(&id)?.read.on_received(index, payload))
    }

    pub(crate) fn contains(&self, id: u64) -> bool {
        self.reads.contains_key(&id)
    }

    /// Cancels the parts of a read; returns the requests of those in flight.
    #[must_use]
    pub(crate) fn cancel_parts(&mut self, id: u64) -> Vec<u64> {
        let Some(split) = self.reads.get_mut(&id) else { return Vec::new() };
        let in_flight = split.read.cancel();
        in_flight.into_iter().filter_map(|index| split.request_ids[index]).collect()
    }

    /// Removes a read that has its final answer; returns its client.
    pub(crate) fn finish(&mut self, id: u64, code: FinalCode) -> Option<ClientRef> {
        let split = self.reads.remove(&id)?;
        split.log.split_read_finished(code);
        Some(split.client)
    }

    /// Removes a read that its client no longer waits for.
    pub(crate) fn remove(&mut self, id: u64) {
        self.reads.remove(&id);
    }
}
