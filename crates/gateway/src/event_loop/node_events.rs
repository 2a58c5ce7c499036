//! Handling of messages from storage nodes.

use super::{Gateway, OutcomeDetails};
use crate::node_connection::GreetingCheck;
use crate::poll_key::index_of;
use crate::protocol_error::{for_each_frame, ProtocolError};
use crate::upstream_pool::CloseReason;
use magpiewick::{EndpointUpdate, Outcome};
use magpiewick_node_protocol::{self as wire, Hello, Message, OutcomeCode, Role, VERSION};

/// Returns the outcome that a node reports. The other outcomes are determined by the host, so a node cannot
/// report them.
fn reported_outcome(code: OutcomeCode) -> Result<Outcome, ProtocolError> {
    match code {
        OutcomeCode::Succeeded => Ok(Outcome::Succeeded),
        OutcomeCode::Error => Ok(Outcome::Error),
        OutcomeCode::Overloaded => Ok(Outcome::Overloaded),
        OutcomeCode::DeadlineExceeded => Ok(Outcome::DeadlineExceeded),
        OutcomeCode::ShardMoved => Ok(Outcome::ShardMoved),
        OutcomeCode::TimedOut | OutcomeCode::ConnectFailed | OutcomeCode::Reset | OutcomeCode::Cancelled => {
            Err(ProtocolError::ImpossibleOutcome)
        }
    }
}

impl Gateway {
    pub(super) fn on_node_readable(&mut self, key: usize) {
        let Some((input, stream_end)) = self.connections.read(key) else { return };
        let (consumed, error) = for_each_frame(&input, |message| self.on_node_message(key, message));
        self.connections.return_input(key, input, consumed);
        let reason = error.map(CloseReason::from).or_else(|| stream_end.map(CloseReason::from));
        if let Some(reason) = reason {
            self.connections.close_upstream(index_of(key), &reason);
        }
        self.handle_events();
    }

    fn on_node_message(&mut self, key: usize, message: Message<'_>) -> Result<(), ProtocolError> {
        if let Message::Hello(hello) = message {
            return self.on_node_hello(key, &hello);
        }
        if !self.connections.on_node_message(key) {
            return Err(ProtocolError::MessageBeforeGreeting);
        }
        match message {
            Message::Outcome(report) => self.on_outcome_report(key, &report),
            Message::HealthReport { .. } => Ok(()),
            _ => Err(ProtocolError::UnexpectedFromNode),
        }
    }

    fn on_outcome_report(&mut self, key: usize, report: &wire::Outcome<'_>) -> Result<(), ProtocolError> {
        let outcome = reported_outcome(report.code)?;
        let (request_id, attempt) = (report.request_id, u32::from(report.attempt));
        // An attempt can be ended only by the node that it was sent to.
        if !self.connections.is_in_flight_at(request_id, attempt, key) {
            tracing::debug!(request_id, attempt, "late_outcome_ignored");
            return Ok(());
        }
        if outcome == Outcome::ShardMoved {
            let owner = report.owner.map(|owner| (owner, report.version));
            self.on_shard_moved(request_id, attempt, owner);
        }
        let details = OutcomeDetails {
            used: report.used.map(f64::from),
            remote_units: f64::from(report.remote_units),
            payload: report.payload,
        };
        self.on_outcome(request_id, attempt, outcome, details);
        Ok(())
    }

    fn on_node_hello(&mut self, key: usize, hello: &Hello) -> Result<(), ProtocolError> {
        let Hello { min_version, max_version, number: endpoint, incarnation, .. } = *hello;
        if min_version > VERSION || max_version < VERSION {
            return Err(ProtocolError::UnsupportedVersion { min_version, max_version });
        }
        if hello.role != Role::Node {
            return Err(ProtocolError::NotANode);
        }
        match self.connections.on_node_greeting(key, hello) {
            GreetingCheck::Expected => Ok(()),
            GreetingCheck::Mismatch => Err(ProtocolError::WrongProcess),
            GreetingCheck::Restarted { started_at } => {
                tracing::info!(endpoint, "endpoint_restarted");
                let list = self.connections.endpoint_list_mut();
                if let Some(updated) = list.on_restart(endpoint, incarnation, started_at) {
                    let now = self.connections.now();
                    self.engine.on_endpoint_update(now, EndpointUpdate::Delta, &[updated]);
                }
                Ok(())
            }
        }
    }
}
