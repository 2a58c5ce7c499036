//! Storage nodes, with one connection to each.

use crate::endpoint_list::ListedNode;
use crate::node_connection::{GreetingCheck, NodeConnection, ProcessIdentity, SendAction};
use crate::poll_key::{poll_key, Source};
use crate::protocol_error::ProtocolError;
use magpiewick::{Ms, Outcome};
use magpiewick_node_protocol::{Attempt, Message};
use magpiewick_transport::{Connection, Poll, StreamEnd, Withdrawn, UNTRACKED};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

/// Reason why the connection to a node is closed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CloseReason {
    #[error(transparent)]
    Transport(#[from] StreamEnd),
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    #[error("no greeting within the connect timeout")]
    GreetingTimeout,
    #[error("the endpoint list contains a later process of this node")]
    LaterProcessListed,
    #[error("the node accepts no more requests, and a frame is partly written")]
    PartlyWrittenFrame,
    #[error("the node was removed from the endpoint list")]
    Removed,
    #[error("it is unresponsive; connecting again")]
    Unresponsive,
}

/// Request id and number of an attempt.
pub(crate) type AttemptId = (u64, u32);

/// A node and the connection to it.
struct Upstream {
    node: u32,
    address: SocketAddr,
    state: NodeConnection,
    connection: Option<Connection>,
    /// Incarnation stated by the greeting on this connection.
    incarnation: Option<u64>,
    /// Attempts that wait for the greeting.
    waiting: Vec<AttemptId>,
    /// Requests with an attempt in flight on the connection.
    in_flight: Vec<u64>,
    connect_attempts: u64,
}

/// All nodes that have ever been addressed, by index.
#[derive(Default)]
pub(crate) struct UpstreamPool {
    upstreams: Vec<Upstream>,
    index_of_node: HashMap<u32, usize>,
}

impl UpstreamPool {
    /// Returns the index of a node, and updates its address where the list contains the node.
    pub(crate) fn index_of(&mut self, node: u32, listed: Option<&ListedNode>) -> usize {
        let address = listed.map(ListedNode::address);
        let next = self.upstreams.len();
        let index = *self.index_of_node.entry(node).or_insert(next);
        if index == next {
            self.upstreams.push(Upstream {
                node,
                address: address.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
                state: NodeConnection::default(),
                connection: None,
                incarnation: None,
                waiting: Vec::new(),
                in_flight: Vec::new(),
                connect_attempts: 0,
            });
        }
        let upstream = &mut self.upstreams[index];
        upstream.address = address.unwrap_or(upstream.address);
        index
    }

    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    pub(crate) fn node(&self, index: usize) -> u32 {
        self.upstreams[index].node
    }

    pub(crate) fn incarnation(&self, index: usize) -> Option<u64> {
        self.upstreams[index].incarnation
    }

    pub(crate) fn connection_mut(&mut self, index: usize) -> Option<&mut Connection> {
        self.upstreams.get_mut(index)?.connection.as_mut()
    }

    /// Returns the action for an attempt that is to be sent now.
    pub(crate) fn send_action(&self, index: usize) -> SendAction {
        self.upstreams[index].state.send_action()
    }

    /// Starts to connect; returns the serial number of this connect, for its timer.
    pub(crate) fn connect(&mut self, index: usize, poll: &Poll, hello: &Message<'_>) -> io::Result<u64> {
        let upstream = &mut self.upstreams[index];
        upstream.connect_attempts += 1;
        upstream.state.on_connect_started();
        let mut connection = Connection::connect(poll, upstream.address, poll_key(Source::Node, index))?;
        connection.queue(hello, UNTRACKED);
        upstream.connection = Some(connection);
        Ok(upstream.connect_attempts)
    }

    /// Returns whether this connect is the latest one and its greeting has not arrived.
    pub(crate) fn is_greeting_late(&self, index: usize, connect_attempt: u64) -> bool {
        let upstream = &self.upstreams[index];
        upstream.connect_attempts == connect_attempt && upstream.state.is_connecting()
    }

    /// Adds attempts to those that wait for the greeting.
    pub(crate) fn wait_for_greeting(&mut self, index: usize, attempts: impl Iterator<Item = AttemptId>) {
        self.upstreams[index].waiting.extend(attempts);
    }

    /// Removes and returns the attempts that wait for the greeting.
    #[must_use]
    pub(crate) fn take_waiting(&mut self, index: usize) -> Vec<AttemptId> {
        std::mem::take(&mut self.upstreams[index].waiting)
    }

    /// Returns whether an attempt waits for the greeting of any node.
    pub(crate) fn is_waiting(&self, attempt: AttemptId) -> bool {
        self.upstreams.iter().any(|upstream| upstream.waiting.contains(&attempt))
    }

    /// Handles a greeting; `listed` is the process according to the list.
    pub(crate) fn on_greeting(
        &mut self,
        index: usize,
        now: Ms,
        listed: ProcessIdentity,
        greeting: ProcessIdentity,
    ) -> GreetingCheck {
        let upstream = &mut self.upstreams[index];
        let check = upstream.state.on_greeting(now, listed, greeting);
        if check != GreetingCheck::Mismatch {
            upstream.incarnation = Some(greeting.incarnation);
        }
        check
    }

    /// Records a message; returns false where the node has not sent the expected greeting.
    pub(crate) fn on_message(&mut self, index: usize, now: Ms) -> bool {
        let state = &mut self.upstreams[index].state;
        state.on_message(now);
        state.is_established()
    }

    /// Sends attempts as one frame; returns false where nothing was queued.
    pub(crate) fn send<'a>(&mut self, index: usize, mut attempts: impl Iterator<Item = Attempt<'a>>) -> bool {
        let Upstream { connection, state, in_flight, .. } = &mut self.upstreams[index];
        let Some(connection) = connection else { return false };
        let Some(first) = attempts.next() else { return false };
        let first_id = first.request_id;
        let mut record_sent = |request_id| {
            in_flight.push(request_id);
            state.on_sent();
        };
        record_sent(first_id);
        match attempts.next() {
            None => connection.queue(&Message::Attempt(first), first_id),
            Some(second) => {
                let batch: Vec<Attempt<'_>> = [first, second].into_iter().chain(attempts).collect();
                let other_ids: Vec<u64> = batch[1..].iter().map(|attempt| attempt.request_id).collect();
                other_ids.iter().for_each(|request_id| record_sent(*request_id));
                connection.queue_with_tokens(&Message::Batch(batch), first_id, other_ids);
            }
        }
        true
    }

    /// Notifies a node that an attempt was cancelled; returns false where nothing was queued.
    pub(crate) fn send_cancel(&mut self, index: usize, (request_id, attempt): AttemptId) -> bool {
        let upstream = &mut self.upstreams[index];
        let was_sent = upstream.in_flight.contains(&request_id);
        let Some(connection) = upstream.connection.as_mut().filter(|_| was_sent) else { return false };
        connection.queue(&Message::CancelAttempt { request_id, attempt: attempt as u16 }, UNTRACKED);
        true
    }

    /// Requests a health report from a node on an established connection; returns false where there is none.
    pub(crate) fn send_health_check(&mut self, index: usize) -> bool {
        let upstream = &mut self.upstreams[index];
        let is_established = upstream.state.is_established();
        let Some(connection) = upstream.connection.as_mut().filter(|_| is_established) else { return false };
        connection.queue(&Message::HealthCheck { number: upstream.node }, UNTRACKED);
        true
    }

    /// Records the end of an attempt; `unanswered` is the time at which it was sent, where it received no
    /// answer.
    pub(crate) fn on_attempt_ended(&mut self, index: usize, ended: AttemptId, unanswered: Option<Ms>) {
        let upstream = &mut self.upstreams[index];
        let waiting_before = upstream.waiting.len();
        upstream.waiting.retain(|attempt| *attempt != ended);
        if upstream.waiting.len() == waiting_before {
            upstream.in_flight.retain(|request_id| *request_id != ended.0);
            upstream.state.on_attempt_ended(unanswered);
        }
    }

    /// Closes the connection; returns the requests whose attempts were in flight, each with its outcome. An
    /// attempt that was not written completely did not run, as a partial frame fails its checksum. An attempt
    /// that was written may have run.
    #[must_use]
    pub(crate) fn close(&mut self, index: usize, reason: &CloseReason) -> Vec<(u64, Outcome)> {
        let upstream = &mut self.upstreams[index];
        let unwritten = upstream.connection.take().map_or(Vec::new(), |connection| connection.unwritten());
        let (endpoint, in_flight) = (upstream.node, upstream.in_flight.len());
        tracing::info!(endpoint, %reason, in_flight, "upstream_closed");
        upstream.incarnation = None;
        upstream.state = NodeConnection::default();
        let outcome = |request_id: u64| match unwritten.contains(&request_id) {
            true => Outcome::ConnectFailed,
            false => Outcome::Reset,
        };
        std::mem::take(&mut upstream.in_flight).into_iter().map(|id| (id, outcome(id))).collect()
    }

    /// Withdraws the attempts of which no byte was written; none where there is no connection.
    #[must_use]
    pub(crate) fn withdraw(&mut self, index: usize) -> Option<Withdrawn> {
        let upstream = &mut self.upstreams[index];
        let withdrawn = upstream.connection.as_mut()?.withdraw_unwritten();
        upstream.in_flight.retain(|request_id| !withdrawn.tokens.contains(request_id));
        withdrawn.tokens.iter().for_each(|_| upstream.state.on_attempt_ended(None));
        Some(withdrawn)
    }

    /// Returns whether no attempt is in flight on the connection.
    pub(crate) fn is_idle(&self, index: usize) -> bool {
        self.upstreams[index].in_flight.is_empty()
    }
}
