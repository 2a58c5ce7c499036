//! What the engine asks of its driver.

use magpiewick::{FinalStatus, GossipReport, Ms, Outcome};
use std::fmt;

/// One attempt of a request at a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRef {
    /// The driver's id of the request.
    pub request_id: u64,
    /// The number of the attempt, counted from 0.
    pub attempt: u32,
    /// How long after the send the outcome is due.
    pub timeout: Ms,
    /// When the attempt must have left the host, if it has not yet.
    pub send_by: Ms,
}

/// The driver of an engine: sockets, the simulator's wire, or a test. No method may call the engine back; what
/// results from a call is reported to the engine afterwards.
pub trait Environment {
    /// Sends attempts to a node, several as one batch. The outcome of each is reported by itself.
    fn send(&mut self, node: u32, attempts: &[AttemptRef]);

    /// Another pending request that may join the attempts that are about to be sent. A request that was returned
    /// and is not the last of `attempts` at the next call was not admitted to the batch. Nothing is coalesced by
    /// default.
    fn next_coalesced(&mut self, _attempts: &[AttemptRef]) -> Option<u64> {
        None
    }

    /// Stops waiting for an attempt. Its outcome is still to be reported: the one on the way, or `Cancelled`.
    fn cancel(&mut self, request_id: u64, attempt: u32);

    /// Delivers the one final answer that the host gives itself; the driver passes on a succeeded one.
    fn answer(&mut self, request_id: u64, status: FinalStatus, reason: Reason);

    /// Sends a health check to a node.
    fn check_health(&mut self, node: u32);

    /// Requests the endpoint list and its changes from now on.
    fn poll_endpoints(&mut self);

    /// Sends reports on nodes, named by their tags, to other hosts, named by their numbers. Messages may get lost.
    fn send_gossip(&mut self, _hosts: &[usize], _reports: &[(u16, GossipReport)]) {}

    /// Schedules a call of [`Engine::run`](crate::Engine::run) at this time at the latest. A later call replaces an
    /// earlier one.
    fn schedule_run(&mut self, at: Ms);
}

/// Why a host ended a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It had no attempt: it was rejected, or no slot came free in time.
    NoAttempt,
    /// Its last attempt ended with this outcome.
    After(Outcome),
}

impl Reason {
    /// The stable word for it in logs, on the wire and on the operators' page.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoAttempt => "waited",
            Reason::After(Outcome::Succeeded) => "settled",
            Reason::After(Outcome::Error) => "error",
            Reason::After(Outcome::Overloaded) => "full",
            Reason::After(Outcome::TimedOut) => "timed-out",
            Reason::After(Outcome::ConnectFailed) => "no-connection",
            Reason::After(Outcome::Reset) => "reset",
            Reason::After(Outcome::Cancelled) => "cancelled",
            Reason::After(Outcome::DeadlineExceeded) => "moot",
            Reason::After(Outcome::ShardMoved) => "moved",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
