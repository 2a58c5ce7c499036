//! Handling of reads that are sent as several requests.

use super::Gateway;
use crate::request_registry::{PartRef, Requester};
use crate::split_reads::{FinishedPart, NewSplitRead};
use magpiewick_coalescing::SplitReadProgress;
use magpiewick_node_protocol::FinalCode;

impl Gateway {
    pub(super) fn admit_split_read(&mut self, split_read: NewSplitRead<'_>) {
        if let Some(id) = self.connections.admit_split_read(split_read) {
            self.request_parts(id);
        }
    }

    /// Admits as many parts of a read as may be in flight.
    fn request_parts(&mut self, id: u64) {
        while let Some(part) = self.connections.split_reads_mut().next_part(id) {
            let requester = Requester::SplitRead(PartRef { read: id, index: part.index });
            let client_timeout = part.deadline - self.connections.now();
            let request_id = self.admit(requester, &part.request, client_timeout, part.log);
            self.connections.split_reads_mut().set_request(id, part.index, request_id);
        }
    }

    /// Handles the final answer of a part.
    pub(super) fn on_part_finished(&mut self, part: FinishedPart) {
        let FinishedPart { read: id, index, code, retry_after, payload } = part;
        if !self.connections.split_reads_mut().contains(id) {
            return;
        }
        if code != FinalCode::Succeeded {
            self.cancel_parts(id);
            return self.connections.finish_split_read(id, code, retry_after, &payload);
        }
        match self.connections.split_reads_mut().on_part_read(id, index, payload) {
            None => {}
            Some(SplitReadProgress::Pending) => self.request_parts(id),
            Some(SplitReadProgress::Complete(whole_payload)) => {
                self.connections.finish_split_read(id, FinalCode::Succeeded, 0.0, &whole_payload);
            }
            Some(SplitReadProgress::TooLarge) => {
                self.cancel_parts(id);
                self.connections.finish_split_read(id, FinalCode::Rejected, 0.0, b"too-large");
            }
        }
    }

    /// Cancels the parts of a read that are in flight.
    pub(super) fn cancel_parts(&mut self, id: u64) {
        for request_id in self.connections.split_reads_mut().cancel_parts(id) {
            self.connections.cancel_request(request_id, "piece-not-wanted");
            self.engine.on_client_disconnect(self.connections.now(), request_id);
            self.connections.release(request_id);
        }
    }
}
