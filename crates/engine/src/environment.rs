//! Interface between the engine and its driver.

use magpiewick::{FinalAnswer, GossipReport, Ms, Outcome};
use std::fmt;

/// Attempt of a request at a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRef {
    /// Driver's id of the request.
    pub request_id: u64,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// Time from the send until the outcome is due.
    pub timeout: Ms,
    /// Latest time at which the attempt may leave the host.
    pub send_by: Ms,
}

/// Driver of an engine: sockets, the simulator's wire, or a test. No method may call the engine; the results of a
/// call are reported to the engine afterwards.
pub trait Environment {
    /// Sends attempts to a node, several as one batch. The driver reports the outcome of each attempt separately.
    fn send(&mut self, node: u32, attempts: &[AttemptRef]);

    /// Returns another pending request that may join the batch about to be sent. A returned request that is not the
    /// last of `attempts` at the next call was not admitted to the batch. The default implementation coalesces
    /// nothing.
    fn next_coalesced(&mut self, _attempts: &[AttemptRef]) -> Option<u64> {
        None
    }

    /// Stops waiting for an attempt. The driver still reports its outcome: either the one being received, or
    /// `Cancelled`.
    fn cancel(&mut self, request_id: u64, attempt: u32);

    /// Delivers a final answer that the host itself gives, at most one per request. A successful answer of a node is
    /// not delivered here: the driver forwards it to the client.
    fn answer(&mut self, request_id: u64, answer: FinalAnswer, reason: Reason);

    /// Sends a health check to a node.
    fn check_health(&mut self, node: u32);

    /// Requests the endpoint list and its changes from now on.
    fn poll_endpoints(&mut self);

    /// Sends reports on nodes, named by their tags, to other hosts, named by their numbers. Messages may be lost.
    fn send_gossip(&mut self, _hosts: &[usize], _reports: &[(u16, GossipReport)]) {}

    /// Schedules a call of [`Engine::run`](crate::Engine::run) at this time at the latest. A later call replaces an
    /// earlier one.
    fn schedule_run(&mut self, at: Ms);
}

/// Reason for which a host ended a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request had no attempt: it was rejected, or no slot became free in time.
    NoAttempt,
    /// The last attempt ended with this outcome.
    After(Outcome),
}

impl Reason {
    /// Returns the stable name of the reason in logs, on the wire and on the operators' page.
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
