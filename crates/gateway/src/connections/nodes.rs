//! Connections to storage nodes.

use super::Connections;
use crate::endpoint_list::started_at;
use crate::node_connection::{GreetingCheck, ProcessIdentity};
use crate::poll_key::{index_of, poll_key, Source};
use crate::timer::Timer;
use crate::upstream_pool::{AttemptId, CloseReason};
use magpiewick::Outcome;
use magpiewick_node_protocol::{EntryState, Hello, Message};

impl Connections {
    pub(super) fn upstream_of_node(&mut self, node: u32) -> usize {
        self.upstreams.index_of(node, self.endpoint_list.node(node))
    }

    pub(super) fn connect(&mut self, upstream: usize) {
        match self.upstreams.connect(upstream, &self.poll, &Message::Hello(self.hello)) {
            Ok(connect_attempt) => {
                let timer = Timer::Connect { upstream, connect_attempt };
                self.timers.set(self.now + self.connect_timeout, timer);
                self.note_to_write(poll_key(Source::Node, upstream));
            }
            Err(error) => self.close_upstream(upstream, &error.into()),
        }
    }

    /// Closes a connection whose greeting did not arrive in time.
    pub(crate) fn on_connect_timeout(&mut self, upstream: usize, connect_attempt: u64) {
        if self.upstreams.is_greeting_late(upstream, connect_attempt) {
            self.close_upstream(upstream, &CloseReason::GreetingTimeout);
        }
    }

    /// Closes the connection to a node; reports the attempts that were in flight or waiting there.
    pub(crate) fn close_upstream(&mut self, upstream: usize, reason: &CloseReason) {
        self.memory.on_closed(poll_key(Source::Node, upstream));
        for (request_id, outcome) in self.upstreams.close(upstream, reason) {
            self.detach(request_id, outcome, upstream);
        }
        self.fail_waiting(upstream);
    }

    /// Reports the attempts that wait for a greeting as not sent.
    fn fail_waiting(&mut self, upstream: usize) {
        for (request_id, _) in self.upstreams.take_waiting(upstream) {
            self.detach(request_id, Outcome::ConnectFailed, upstream);
        }
    }

    /// Records a message from a node; returns false where the node has not sent its greeting.
    pub(crate) fn on_node_message(&mut self, key: usize) -> bool {
        self.upstreams.on_message(index_of(key), self.now)
    }

    /// Handles a node's greeting: sends the attempts that waited for it, or reports them as not sent.
    pub(crate) fn on_node_greeting(&mut self, key: usize, hello: &Hello) -> GreetingCheck {
        let upstream = index_of(key);
        let greeting = ProcessIdentity {
            node: hello.number,
            incarnation: hello.incarnation,
            started_at: started_at(self.now, hello.age_us),
        };
        let Some(listed) = self.endpoint_list.process(self.upstreams.node(upstream)) else {
            return GreetingCheck::Mismatch;
        };
        let check = self.upstreams.on_greeting(upstream, self.now, listed, greeting);
        match check {
            GreetingCheck::Expected => {
                for attempt in self.upstreams.take_waiting(upstream) {
                    self.send_attempts(upstream, std::iter::once(attempt));
                }
            }
            GreetingCheck::Restarted { .. } => self.fail_waiting(upstream),
            GreetingCheck::Mismatch => {}
        }
        check
    }

    /// Sends attempts to a node as one frame.
    pub(super) fn send_attempts(&mut self, upstream: usize, attempts: impl Iterator<Item = AttemptId>) {
        let (requests, now) = (&self.requests, self.now);
        let attempts = attempts.filter_map(|(request_id, attempt)| {
            requests.get(request_id).map(|request| request.as_attempt(attempt, now))
        });
        if self.upstreams.send(upstream, attempts) {
            self.note_to_write(poll_key(Source::Node, upstream));
        }
    }

    /// Updates the connections to match the endpoint list: stops sending to nodes that drain or were removed,
    /// and closes connections to processes that are no longer listed.
    pub(crate) fn on_endpoint_list_changed(&mut self) {
        for listed in self.endpoint_list.nodes() {
            self.upstreams.index_of(listed.entry.node, Some(listed));
        }
        for upstream in 0..self.upstreams.len() {
            let listed = self.endpoint_list.node(self.upstreams.node(upstream)).map(|listed| listed.entry);
            let connected = self.upstreams.incarnation(upstream);
            match listed {
                Some(entry) if entry.state == EntryState::Ready => {
                    if connected.is_some_and(|incarnation| incarnation != entry.incarnation) {
                        self.close_upstream(upstream, &CloseReason::LaterProcessListed);
                    }
                }
                _ => self.stop_sending(upstream),
            }
        }
    }

    fn stop_sending(&mut self, upstream: usize) {
        self.fail_waiting(upstream);
        let Some(withdrawn) = self.upstreams.withdraw(upstream) else { return };
        for request_id in withdrawn.tokens {
            self.detach(request_id, Outcome::ConnectFailed, upstream);
        }
        let listed = self.endpoint_list.node(self.upstreams.node(upstream));
        let is_removed = listed.is_none_or(|listed| listed.entry.state == EntryState::Removed);
        if withdrawn.partly_written {
            // The remainder of a partly written frame would reach the node at an unknown time.
            self.close_upstream(upstream, &CloseReason::PartlyWrittenFrame);
        } else if is_removed && self.upstreams.is_idle(upstream) {
            self.close_upstream(upstream, &CloseReason::Removed);
        }
    }
}
