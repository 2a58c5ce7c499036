//! The state of the connection to one node: whether to use it, open one, or replace it, and whose process answers.
//! Free of I/O.
//!
//! The scheduler decides whether and when a node is tried; this state machine only keeps an attempt from being lost on
//! a dead connection, or from reaching another process than the one that it was meant for.

use magpiewick::Ms;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Closed,
    /// From the start of the connect until the node's greeting.
    Connecting,
    Established,
}

/// What to do for an attempt that is to be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendPlan {
    /// Send it on the connection.
    Send,
    /// Wait for the greeting.
    Wait,
    /// Connect first.
    Connect,
    /// Close the connection, which is idle and unresponsive, and connect again.
    Reconnect,
}

/// What a greeting shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum GreetingCheck {
    /// The process that the list names.
    Expected,
    /// A process that started later than the one that the list names: the node restarted, and the list is late.
    /// What waits was meant for the old process and must be routed again.
    Restarted { started_at: Option<Ms> },
    /// Another node, or a process that started before the one that the list names.
    Mismatch,
}

/// A process as the list or a greeting names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Process {
    pub node: u32,
    pub incarnation: u64,
    /// On this host's clock; none: long ago.
    pub started_at: Option<Ms>,
}

impl Process {
    fn started_after(&self, other: &Process) -> bool {
        match (other.started_at, self.started_at) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(other), Some(this)) => this > other,
        }
    }
}

/// The connection to one node.
#[derive(Clone, Debug)]
pub(crate) struct NodeConnection {
    stage: Stage,
    in_flight: u32,
    last_message_at: Ms,
    unresponsive: bool,
}

impl Default for NodeConnection {
    fn default() -> NodeConnection {
        NodeConnection {
            stage: Stage::Closed,
            in_flight: 0,
            last_message_at: f64::NEG_INFINITY,
            unresponsive: false,
        }
    }
}

impl NodeConnection {
    /// Whether the node has sent the expected greeting.
    pub(crate) fn is_established(&self) -> bool {
        self.stage == Stage::Established
    }

    /// Whether the greeting is still to come.
    pub(crate) fn is_connecting(&self) -> bool {
        self.stage == Stage::Connecting
    }

    /// What to do for an attempt. A connection whose other end vanished silently is replaced where the last attempt
    /// got no answer and no other is in flight. A node that merely stalls is greeted again for each attempt, which
    /// costs one small exchange.
    pub(crate) fn plan_send(&self) -> SendPlan {
        match self.stage {
            Stage::Closed => SendPlan::Connect,
            Stage::Connecting => SendPlan::Wait,
            Stage::Established if self.unresponsive && self.in_flight == 0 => SendPlan::Reconnect,
            Stage::Established => SendPlan::Send,
        }
    }

    /// A connect was started.
    pub(crate) fn on_connect_started(&mut self) {
        *self = NodeConnection { stage: Stage::Connecting, ..NodeConnection::default() };
    }

    /// A greeting came.
    pub(crate) fn on_greeting(&mut self, now: Ms, listed: Process, greeting: Process) -> GreetingCheck {
        let same_incarnation = listed.incarnation == greeting.incarnation;
        if listed.node != greeting.node || (!same_incarnation && !greeting.started_after(&listed)) {
            return GreetingCheck::Mismatch;
        }
        self.stage = Stage::Established;
        self.last_message_at = now;
        if same_incarnation {
            return GreetingCheck::Expected;
        }
        GreetingCheck::Restarted { started_at: greeting.started_at }
    }

    /// An attempt was sent.
    pub(crate) fn on_sent(&mut self) {
        self.in_flight += 1;
    }

    /// A message came.
    pub(crate) fn on_message(&mut self, now: Ms) {
        self.last_message_at = now;
        self.unresponsive = false;
    }

    /// An attempt ended; `unanswered` tells when it was sent, where no answer came for it.
    pub(crate) fn on_attempt_ended(&mut self, unanswered: Option<Ms>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unresponsive |= unanswered.is_some_and(|sent_at| self.last_message_at <= sent_at);
    }
}

#[cfg(test)]
mod tests;
