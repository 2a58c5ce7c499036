//! Schedule of a graceful shutdown; free of I/O.

use magpiewick::Ms;

/// Minimum time after the longest client timeout before the platform kills the process, and the limit of the client
/// timeout that the platform takes into account.
const KILL_DELAY_MS: Ms = 700.0;
const MAX_CLIENT_TIMEOUT_MS: Ms = 3000.0;
/// Time before the kill by which every request must be answered: the process may be stalled for 0.15 s at that point.
const ANSWER_MARGIN_MS: Ms = 180.0;
/// Time before the answer deadline at which the host begins to close connections.
const CLOSE_LEAD_MS: Ms = 200.0;
/// Time before the kill at which the process exits, so that clients can read their last responses until then.
const EXIT_MARGIN_MS: Ms = 20.0;

/// Progress of a host's shutdown. Clients reuse their connections while these are open, so the host accepts requests
/// for as long as it can still answer them, and then closes all connections together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GracefulShutdown {
    begun_at: Option<Ms>,
    duration: Ms,
}

impl GracefulShutdown {
    /// Creates the schedule. `longest_timeout`: longest client timeout of any request class.
    pub(crate) fn new(longest_timeout: Ms) -> GracefulShutdown {
        let duration = longest_timeout.min(MAX_CLIENT_TIMEOUT_MS) + KILL_DELAY_MS - ANSWER_MARGIN_MS;
        GracefulShutdown { begun_at: None, duration }
    }

    /// Begins the shutdown. A repeated call has no effect: an earlier exit would lose responses.
    pub(crate) fn begin(&mut self, now: Ms) {
        self.begun_at.get_or_insert(now);
    }

    /// Returns whether the shutdown has begun; the host is then no longer ready for new clients.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Returns the time at which the host stops accepting connections, closes idle ones, and closes each other one
    /// after its response.
    pub(crate) fn close_at(&self) -> Option<Ms> {
        self.answer_by().map(|at| at - CLOSE_LEAD_MS)
    }

    /// Returns whether the closing time has been reached.
    pub(crate) fn is_closed(&self, now: Ms) -> bool {
        self.close_at().is_some_and(|at| now >= at)
    }

    /// Returns the time by which every request must be answered.
    pub(crate) fn answer_by(&self) -> Option<Ms> {
        self.begun_at.map(|begun_at| begun_at + self.duration)
    }

    /// Returns the time at which the process exits even if clients have not read their responses.
    pub(crate) fn exit_at(&self) -> Option<Ms> {
        self.answer_by().map(|at| at + ANSWER_MARGIN_MS - EXIT_MARGIN_MS)
    }
}

#[cfg(test)]
mod tests;
