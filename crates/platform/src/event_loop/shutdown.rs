//! Steps of a graceful shutdown.

use super::{AcceptBatch, EventLoop, MAX_ACCEPT_BATCHES_AT_CLOSE};

impl EventLoop {
    pub(super) fn on_sigterm(&mut self) {
        if self.sigterm.take() {
            self.proxy.begin_shutdown();
            tracing::info!(requests_pending = self.engine.pending(), "shutdown_requested");
        }
    }

    /// Stops accepting connections, and closes the connections of all clients without a pending response.
    pub(super) fn close(&mut self) {
        // The operating system has already accepted the waiting connections for this host, so the host serves them.
        for _ in 0..MAX_ACCEPT_BATCHES_AT_CLOSE {
            if self.accept() == AcceptBatch::QueueEmpty {
                break;
            }
        }
        self.listener.close();
        for key in self.proxy.open_clients() {
            // Input that has already arrived is still served; later input is not.
            self.read_arrived_request(key);
            let event = self.proxy.begin_closing_client(key);
            self.on_client_event(key, event);
        }
    }

    /// Answers all pending requests now, because the process is about to be killed.
    pub(super) fn answer_all(&mut self) {
        self.proxy.time_out_all_attempts();
        self.run_engine();
        for request in self.proxy.request_numbers() {
            self.engine.finish(self.proxy.now(), request, &mut self.proxy);
        }
    }
}
