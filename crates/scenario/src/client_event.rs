//! What clients send and see, as the audit gets it.

use crate::Ms;
use magpiewick_node_protocol::FinalCode;

/// A request as its client sent it. A retry has the mark of the first request and a number of its own.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Counts what clients sent over the run.
    pub number: u64,
    /// Identifies the request over its retries; what it writes begins with it.
    pub idempotency_key: u64,
    /// The incarnation of the host that took it.
    pub host: u64,
    /// The number of that host.
    pub host_number: usize,
    /// The number of its request class.
    pub class: u16,
    /// The volume.
    pub volume: u64,
    /// The key, or the first block.
    pub key: u64,
    /// Blocks from the key on; 0 where the key is a piece of data by itself.
    pub blocks: u32,
    /// Whether it writes.
    pub write: bool,
    /// The connection it was sent on; what is sent on one is taken in that order.
    pub connection: usize,
    /// Units of work.
    pub units: f64,
    /// How long its client waits.
    pub timeout: Ms,
    /// When it was due to be sent for the first time.
    pub first_due: Ms,
    /// Whether it was sent before.
    pub is_retry: bool,
}

/// What a client did or saw.
#[derive(Clone, Copy, Debug)]
pub enum ClientEvent {
    /// It sent a request.
    Sent(ClientRequest),
    /// It got a final answer.
    Answered {
        /// The number of the request.
        number: u64,
        /// The answer.
        code: FinalCode,
        /// When to retry, where the answer said so.
        retry_after: Ms,
    },
    /// A successful read found this mark in a block, 0 for nothing.
    BlockRead {
        /// The number of the request.
        number: u64,
        /// The block.
        block: u64,
        /// The mark of the request that wrote it.
        idempotency_key: u64,
    },
    /// It stopped waiting.
    TimedOut {
        /// The number of the request.
        number: u64,
    },
    /// Its connection ended, and with it the wait.
    ConnectionLost {
        /// The number of the request.
        number: u64,
    },
}
