//! State of the connection to one node: whether to use it, open a new one or replace it, and whether the
//! expected process responds on it. Free of I/O.
//!
//! The scheduler decides whether and when a node is used. This state machine only prevents attempts from
//! being lost on a broken connection, or from reaching a process other than the intended one.

use magpiewick::Ms;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Closed,
    /// Connect started; the node's greeting has not arrived.
    Connecting,
    Established,
}

/// Action for an attempt that is to be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendAction {
    /// Send the attempt on the connection.
    Send,
    /// Wait for the greeting.
    Wait,
    /// Connect first.
    Connect,
    /// Close the connection, which is idle and unresponsive, and connect again.
    Reconnect,
}

/// Result of checking a greeting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum GreetingCheck {
    /// The greeting is from the listed process.
    Expected,
    /// The greeting is from a process that started later than the listed one: the node restarted, and the
    /// list is out of date. Waiting attempts were intended for the old process and must be routed again.
    Restarted { started_at: Option<Ms> },
    /// The greeting is from another node, or from a process that started before the listed one.
    Mismatch,
}

/// A node's process according to the list or a greeting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ProcessIdentity {
    pub node: u32,
    pub incarnation: u64,
    /// Start time on this host's clock; none for a process that started long ago.
    pub started_at: Option<Ms>,
}

impl ProcessIdentity {
    fn started_after(&self, other: &ProcessIdentity) -> bool {
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
    /// Returns whether the node has sent the expected greeting.
    pub(crate) fn is_established(&self) -> bool {
        self.stage == Stage::Established
    }

    /// Returns whether the greeting has not arrived yet.
    pub(crate) fn is_connecting(&self) -> bool {
        self.stage == Stage::Connecting
    }

    /// Returns the action for an attempt. A connection is replaced where the last attempt received no answer
    /// and no other is in flight, as the peer may have vanished without closing the connection. A node that
    /// only stalls is reconnected for each attempt, which costs one exchange of greetings.
    pub(crate) fn send_action(&self) -> SendAction {
        match self.stage {
            Stage::Closed => SendAction::Connect,
            Stage::Connecting => SendAction::Wait,
            Stage::Established if self.unresponsive && self.in_flight == 0 => SendAction::Reconnect,
            Stage::Established => SendAction::Send,
        }
    }

    /// Records the start of a connect.
    pub(crate) fn on_connect_started(&mut self) {
        *self = NodeConnection { stage: Stage::Connecting, ..NodeConnection::default() };
    }

    /// Checks a greeting against the listed process.
    pub(crate) fn on_greeting(
        &mut self,
        now: Ms,
        listed: ProcessIdentity,
        greeting: ProcessIdentity,
    ) -> GreetingCheck {
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

    /// Records that an attempt was sent.
    pub(crate) fn on_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records a message from the node.
    pub(crate) fn on_message(&mut self, now: Ms) {
        self.last_message_at = now;
        self.unresponsive = false;
    }

    /// Records the end of an attempt; `unanswered` is the time at which it was sent, where it received no
    /// answer.
    pub(crate) fn on_attempt_ended(&mut self, unanswered: Option<Ms>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unresponsive |= unanswered.is_some_and(|sent_at| self.last_message_at <= sent_at);
    }
}

#[cfg(test)]
mod tests;
