//! Events of clients: requests sent and answers received, as input of the audit.

use crate::Ms;
use magpiewick_node_protocol::FinalCode;

/// A request as sent by its client. A retry has the idempotency key of the first request and a different number.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Sequence number over all requests of a run.
    pub number: u64,
    /// Identifies the request across its retries. Payloads that the request writes begin with the key.
    pub idempotency_key: u64,
    /// Incarnation of the host that received the request.
    pub host: u64,
    /// Number of the host that received the request.
    pub host_number: usize,
    /// Number of the request class.
    pub class: u16,
    /// Number of the volume.
    pub volume: u64,
    /// Key, or first block.
    pub key: u64,
    /// Number of blocks that start at the key; 0 if the key addresses a single value.
    pub blocks: u32,
    /// Set for a write.
    pub write: bool,
    /// Index of the connection. The host receives requests in the order sent on a connection.
    pub connection: usize,
    /// Number of units of work.
    pub units: f64,
    /// Client timeout of the request.
    pub timeout: Ms,
    /// Time at which the request was first due to be sent.
    pub first_due: Ms,
    /// Set for a retry.
    pub is_retry: bool,
}

/// An action or observation of a client.
#[derive(Clone, Copy, Debug)]
pub enum ClientEvent {
    /// The client sent a request.
    Sent(ClientRequest),
    /// The client received a final answer.
    Answered {
        /// Number of the request.
        number: u64,
        /// Code of the final answer.
        code: FinalCode,
        /// Retry-after time of the answer; 0 if the answer has none.
        retry_after: Ms,
    },
    /// A successful read returned one block.
    BlockRead {
        /// Number of the request.
        number: u64,
        /// Number of the block.
        block: u64,
        /// Idempotency key of the request that wrote the block; 0 for an empty block.
        idempotency_key: u64,
    },
    /// The client timed out.
    TimedOut {
        /// Number of the request.
        number: u64,
    },
    /// The connection of the client ended before an answer.
    ConnectionLost {
        /// Number of the request.
        number: u64,
    },
}
