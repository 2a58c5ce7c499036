//! Memory of the process: its report, the release of free memory, and the last resort at the limit.

use super::EventLoop;
use crate::attempt_end::AttemptEnd;
use crate::reactor::{ConnectionKey, ConnectionKind};
use crate::request_log::ClientCloseReason;
use magpiewick_transport::release_free_memory;

impl EventLoop {
    /// Releases free memory that the allocator retains, and logs the memory by owner at a new peak.
    pub(super) fn observe_memory(&mut self) {
        let now = self.proxy.now();
        let Some(resident) = self.memory_reporter.sample(now) else { return };
        if self.memory_reporter.is_new_peak(resident) {
            self.report_memory(Some(resident));
        }
        let others = self.discovery.memory_bytes() + self.engine.table_bytes();
        let retains_too_much = self.proxy.retains_too_much(resident, others);
        if retains_too_much && self.memory_reporter.begin_release(now) {
            release_free_memory();
        }
    }

    pub(super) fn report_memory(&mut self, resident: Option<usize>) {
        let owners = self.proxy.memory_by_owner(self.discovery.memory_bytes(), self.engine.table_bytes());
        self.memory_reporter.report(&owners, resident);
    }

    /// Closes connections whose buffers exceed the memory limit.
    pub(super) fn enforce_memory_limit(&mut self) {
        if !self.proxy.exceeds_memory_limit(self.discovery.memory_bytes()) {
            return;
        }
        // Responses queued in this iteration have not been written yet.
        self.flush_clients();
        for key in self.connections_over_memory_limit() {
            self.proxy.count_closed_over_memory();
            match self.proxy.reactor().kind(key) {
                Some(ConnectionKind::Client) => self.close_client(key, ClientCloseReason::MemoryLimit),
                Some(ConnectionKind::Upstream) => {
                    self.proxy.fail_upstream(key, AttemptEnd::MalformedResponse);
                }
                Some(ConnectionKind::Discovery) => {
                    self.discovery.close_over_memory(self.proxy.reactor_mut(), key);
                }
                None => {}
            }
        }
    }

    fn connections_over_memory_limit(&self) -> Vec<ConnectionKey> {
        self.proxy.connections_over_memory_limit(self.discovery.buffers())
    }
}
