//! Requests at a node: how they are received, executed and answered.

use crate::config::DeduplicationScope;
use crate::emulator::{Emulator, Timer};
use crate::map_service::KeyRange;
use crate::node::Batch;
use crate::node_event::NodeEvent;
use crate::received_attempt::ReceivedAttempt;
use magpiewick_node_protocol::{
    self as wire, Attempt, ClientRequest, FinalAnswer, FinalCode, Message, Outcome, OutcomeCode,
};
use magpiewick_transport::UNTRACKED;

fn key_range(attempt: &ReceivedAttempt) -> KeyRange {
    KeyRange { volume: attempt.volume, key: attempt.key, blocks: attempt.blocks }
}

impl Emulator {
    /// A host sent the parts of one request of a node.
    pub(crate) fn on_attempts(&mut self, index: usize, node: usize, parts: &[Attempt<'_>]) {
        self.last_batch += 1;
        let mut immediate = Vec::new();
        for part in parts {
            let attempt = self.received(index, node, part, parts.len());
            let Some(interceptor) = &mut self.interceptor else {
                immediate.push(attempt);
                continue;
            };
            let number = self.nodes[node].config.number;
            for (delay, attempt) in interceptor.intercept(self.now, number, attempt) {
                if delay > 0.0 {
                    let timer = Timer::DelayedAttempt { node, attempt: Box::new(attempt) };
                    self.timers.set(self.now + delay, timer);
                } else {
                    immediate.push(attempt);
                }
            }
        }
        self.enqueue(node, immediate);
    }

    /// A client sent a request to a node directly.
    pub(crate) fn on_direct_request(&mut self, index: usize, node: usize, request: &ClientRequest<'_>) {
        let attempt = Attempt {
            request_id: request.request_id,
            attempt: 0,
            class: request.class,
            write: request.write,
            volume: request.volume,
            key: request.key,
            idempotency_key: request.idempotency_key,
            units: request.units,
            shard: self.nodes[node].config.shard,
            remaining_us: request.client_timeout_us,
            version: 0,
            blocks: request.blocks,
            payload: request.payload,
        };
        let attempt = ReceivedAttempt { direct: true, ..self.received(index, node, &attempt, 1) };
        self.enqueue(node, vec![attempt]);
    }

    fn received(
        &mut self,
        index: usize,
        node: usize,
        attempt: &Attempt<'_>,
        parts: usize,
    ) -> ReceivedAttempt {
        let peer = self.connections.at(index);
        ReceivedAttempt {
            host: peer.host,
            connection: peer.id,
            node_incarnation: self.nodes[node].incarnation,
            deadline: self.now + f64::from(attempt.remaining_us) / 1000.0,
            request_id: attempt.request_id,
            attempt: attempt.attempt,
            class: attempt.class,
            write: attempt.write,
            volume: attempt.volume,
            key: attempt.key,
            idempotency_key: attempt.idempotency_key,
            units: f64::from(attempt.units),
            blocks: attempt.blocks,
            version: attempt.version,
            batch: self.last_batch,
            parts,
            payload: attempt.payload.to_vec(),
            direct: false,
        }
    }

    /// A host cancelled an attempt: it is not executed where it has not begun.
    pub(crate) fn on_cancel(&mut self, node: usize, host: u64, request_id: u64, attempt: u16) {
        let node = &mut self.nodes[node];
        let number = node.config.number;
        self.events.record(NodeEvent::AttemptCancelled { node: number, host, request_id, attempt });
        let is_cancelled =
            |a: &ReceivedAttempt| (a.host, a.request_id, a.attempt) == (host, request_id, attempt);
        node.queue.iter_mut().for_each(|batch| batch.retain(|part| !is_cancelled(part)));
        node.queue.retain(|batch| !batch.is_empty());
    }

    /// Queues the parts of a request, but for those that are rejected. What was sent to an earlier incarnation is
    /// lost.
    pub(crate) fn enqueue(&mut self, node: usize, parts: Vec<ReceivedAttempt>) {
        let mut batch = Vec::with_capacity(parts.len());
        for attempt in parts {
            let target = &mut self.nodes[node];
            if !target.is_up || target.incarnation != attempt.node_incarnation {
                return;
            }
            let (number, shard) = (target.config.number, target.config.shard);
            self.events.record(received_event(number, &attempt));
            if target.is_overloaded_by(self.now, attempt.units, &self.config) {
                self.events.record(NodeEvent::Overloaded { node: number });
                return self.stop_node(node);
            }
            let is_full = target.faults.queue_full || target.queue.len() >= self.config.queue_capacity;
            if self.map.check_range_owner(shard, key_range(&attempt)).is_err() {
                self.answer(node, &attempt, OutcomeCode::ShardMoved, &[]);
            } else if is_full || self.draw_partial_failure(node) {
                self.answer(node, &attempt, OutcomeCode::Overloaded, &[]);
            } else {
                batch.push(attempt);
            }
        }
        if !batch.is_empty() {
            self.nodes[node].queue.push_back(batch);
            self.begin_batches(node);
        }
    }

    /// Whether a node that fails partially does so now, in one of its three ways.
    fn draw_partial_failure(&mut self, node: usize) -> bool {
        let probability = self.nodes[node].faults.partial_failure / 3.0;
        probability > 0.0 && self.draw() < probability
    }

    /// Begins queued batches while the node has free cores.
    pub(crate) fn begin_batches(&mut self, node: usize) {
        while self.nodes[node].can_begin() {
            let target = &mut self.nodes[node];
            if self.now < target.paused_until {
                let resume_at = target.paused_until;
                return self.timers.set(resume_at, Timer::Resume { node });
            }
            let Some(mut batch) = target.queue.pop_front() else { return };
            batch.retain(|part| self.now < part.deadline);
            if batch.is_empty() {
                continue;
            }
            let time = target.begin(self.now, &batch, &self.config);
            if time <= 0.0 {
                self.finish_batch(node, batch);
            } else {
                self.timers.set(self.now + time, Timer::BatchDone { node, batch });
            }
        }
    }

    pub(crate) fn finish_batch(&mut self, node: usize, batch: Batch) {
        if !self.nodes[node].is_up || self.nodes[node].incarnation != batch[0].node_incarnation {
            return;
        }
        self.nodes[node].running -= 1;
        for part in &batch {
            self.execute(node, part);
        }
        self.begin_batches(node);
    }

    fn execute(&mut self, node: usize, attempt: &ReceivedAttempt) {
        let (number, shard) = (self.nodes[node].config.number, self.nodes[node].config.shard);
        let range = key_range(attempt);
        // What began before the extent was fenced has had no effect yet, and must have none any more.
        if self.map.check_range_owner(shard, range).is_err() {
            return self.answer(node, attempt, OutcomeCode::ShardMoved, &[]);
        }
        if self.draw_partial_failure(node) {
            return self.answer(node, attempt, OutcomeCode::Error, &[]);
        }
        if !self.is_repeat(node, attempt) {
            self.events.record(effect_event(number, attempt));
            if attempt.write {
                self.map.write(shard, range, &attempt.payload);
            }
        }
        let payload = if attempt.write { Vec::new() } else { self.read(shard, range) };
        if !self.draw_partial_failure(node) {
            self.answer(node, attempt, OutcomeCode::Succeeded, &payload);
        }
    }

    fn read(&self, shard: u32, range: KeyRange) -> Vec<u8> {
        let block_size = self.config.block_size;
        let mut payload = self.map.read(shard, range, block_size);
        if self.defects.swapped_blocks && range.blocks > 0 {
            payload.rotate_left(block_size);
        }
        payload
    }

    /// Whether a node of the same deduplication scope has executed the request within the window.
    fn is_repeat(&mut self, node: usize, attempt: &ReceivedAttempt) -> bool {
        if attempt.idempotency_key == 0 || !self.config.deduplicated_classes.contains(&attempt.class) {
            return false;
        }
        let config = &self.nodes[node].config;
        let scope = match self.config.deduplication_scope {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => u64::from(config.zone),
            DeduplicationScope::Shard => u64::from(config.shard),
        };
        self.deduplication.is_repeat(self.now, scope, attempt.idempotency_key)
    }

    fn answer(&mut self, node: usize, attempt: &ReceivedAttempt, code: OutcomeCode, payload: &[u8]) {
        let moved_as_success = code == OutcomeCode::ShardMoved && self.defects.moved_as_success;
        let code = if moved_as_success { OutcomeCode::Succeeded } else { code };
        let served_through_others = match code {
            OutcomeCode::Succeeded => {
                self.nodes[node].record_usage(attempt.volume, attempt.host, attempt.units)
            }
            _ => 0.0,
        };
        let faults = self.nodes[node].faults;
        let is_lost = faults.answer_loss > 0.0 && self.draw() < faults.answer_loss;
        if faults.unresponsive || is_lost || self.connections.get(attempt.connection).is_none() {
            return;
        }
        if attempt.direct {
            return self.answer_client(attempt, code, payload);
        }
        let message = self.outcome(node, attempt, code, served_through_others, payload);
        if faults.reset_mid_frame {
            self.nodes[node].faults.reset_mid_frame = false;
            return self.reset_mid_frame(attempt, &message);
        }
        let Some(peer) = self.connections.get(attempt.connection) else { return };
        peer.connection.queue(&message, UNTRACKED);
        self.events.record(NodeEvent::Answered {
            node: self.nodes[node].config.number,
            host: attempt.host,
            request_id: attempt.request_id,
            attempt: attempt.attempt,
            executed: code == OutcomeCode::Succeeded,
            shard_moved: code == OutcomeCode::ShardMoved,
        });
    }

    fn answer_client(&mut self, attempt: &ReceivedAttempt, outcome: OutcomeCode, payload: &[u8]) {
        let Some(peer) = self.connections.get(attempt.connection) else { return };
        let succeeded = outcome == OutcomeCode::Succeeded;
        let code = if succeeded { FinalCode::Succeeded } else { FinalCode::Rejected };
        let answer = FinalAnswer { request_id: attempt.request_id, code, retry_after_us: 0, payload };
        peer.connection.queue(&Message::FinalAnswer(answer), UNTRACKED);
    }

    fn outcome<'a>(
        &self,
        node: usize,
        attempt: &ReceivedAttempt,
        code: OutcomeCode,
        served_through_others: f64,
        payload: &'a [u8],
    ) -> Message<'a> {
        let node = &self.nodes[node];
        let wrong_shard = self.map.check_owner(node.config.shard, attempt.volume, attempt.key).err();
        let owner = wrong_shard.and_then(|wrong_shard| wrong_shard.owner);
        let owner = owner.filter(|_| code == OutcomeCode::ShardMoved);
        Message::Outcome(Outcome {
            owner: owner.map(|owner| owner.shard),
            version: owner.map_or(0, |owner| owner.version),
            request_id: attempt.request_id,
            attempt: attempt.attempt,
            code,
            used: None,
            remote_units: served_through_others as f32,
            queue: node.queue.len() as u32,
            busy: node.busy(),
            payload,
        })
    }

    /// Sends the first half of a message and closes the connection.
    fn reset_mid_frame(&mut self, attempt: &ReceivedAttempt, message: &Message<'_>) {
        let mut frame = Vec::new();
        wire::encode(message, &mut frame);
        let Some(peer) = self.connections.get(attempt.connection) else { return };
        peer.connection.queue_bytes(&frame[..frame.len() / 2]);
        // A connection that broke already is closed all the same.
        _ = peer.connection.flush();
        self.close_connection(attempt.connection.index);
    }
}

fn received_event(node: u32, attempt: &ReceivedAttempt) -> NodeEvent {
    NodeEvent::AttemptReceived {
        node,
        host: attempt.host,
        request_id: attempt.request_id,
        attempt: attempt.attempt,
        class: attempt.class,
        volume: attempt.volume,
        key: attempt.key,
        idempotency_key: attempt.idempotency_key,
        units: attempt.units,
        write: attempt.write,
        version: attempt.version,
        batch: attempt.batch,
    }
}

fn effect_event(node: u32, attempt: &ReceivedAttempt) -> NodeEvent {
    NodeEvent::EffectApplied {
        node,
        host: attempt.host,
        request_id: attempt.request_id,
        class: attempt.class,
        volume: attempt.volume,
        key: attempt.key,
        idempotency_key: attempt.idempotency_key,
        write: attempt.write,
        blocks: attempt.blocks.max(1),
    }
}
