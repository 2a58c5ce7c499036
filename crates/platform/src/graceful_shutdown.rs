//! The steps of a graceful shutdown; free of I/O.

use magpiewick::Ms;

/// The process is killed no sooner than so long after the longest client timeout that the platform takes into account.
const KILL_DELAY_MS: Ms = 700.0;
const MAX_CLIENT_TIMEOUT_MS: Ms = 3000.0;
/// How long before it is killed everything must be answered: the process may be stalled for 0.15 s just then.
const ANSWER_MARGIN_MS: Ms = 180.0;
/// How long before everything must be answered connections begin to be closed.
const CLOSE_LEAD_MS: Ms = 200.0;
/// How long before it is killed the process exits, so that clients can read their last response until then.
const EXIT_MARGIN_MS: Ms = 20.0;

/// How far a host has come with its shutdown. Clients keep using the connections that they have for as long as these
/// stay open, so it accepts requests for as long as it can still answer them, and then closes everything at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GracefulShutdown {
    begun_at: Option<Ms>,
    duration: Ms,
}

impl GracefulShutdown {
    /// `longest`: the longest client timeout of any request class.
    pub(crate) fn new(longest: Ms) -> GracefulShutdown {
        let duration = longest.min(MAX_CLIENT_TIMEOUT_MS) + KILL_DELAY_MS - ANSWER_MARGIN_MS;
        GracefulShutdown { begun_at: None, duration }
    }

    /// The host was asked to stop. Asking again changes nothing: an early exit would take responses away.
    pub(crate) fn begin(&mut self, now: Ms) {
        self.begun_at.get_or_insert(now);
    }

    /// Whether the host is no longer ready for clients that have not found it yet.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// When the host stops to accept connections, closes idle ones, and others with their response.
    pub(crate) fn close_at(&self) -> Option<Ms> {
        self.answer_by().map(|at| at - CLOSE_LEAD_MS)
    }

    /// Whether that time has come.
    pub(crate) fn is_closed(&self, now: Ms) -> bool {
        self.close_at().is_some_and(|at| now >= at)
    }

    /// By when every request must be answered.
    pub(crate) fn answer_by(&self) -> Option<Ms> {
        self.begun_at.map(|begun_at| begun_at + self.duration)
    }

    /// When the process exits even where clients have not read their responses.
    pub(crate) fn exit_at(&self) -> Option<Ms> {
        self.answer_by().map(|at| at + ANSWER_MARGIN_MS - EXIT_MARGIN_MS)
    }
}

#[cfg(test)]
mod tests;
