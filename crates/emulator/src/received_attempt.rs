//! An attempt as a node receives it.

use crate::Ms;

/// Identifies a connection over the life of the emulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// Its index among the open connections, which later ones use again.
    pub index: usize,
    /// Numbers all connections.
    pub serial: u64,
}

/// An attempt as a node received it.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    /// The incarnation of the host that sent it.
    pub host: u64,
    /// The connection it came on.
    pub connection: ConnectionId,
    /// The node's incarnation that it was sent to.
    pub node_incarnation: u64,
    /// When its client stops waiting.
    pub deadline: Ms,
    /// The host's number of the request.
    pub request_id: u64,
    /// Which attempt of the request it is, from 0.
    pub attempt: u16,
    /// The number of the request class.
    pub class: u16,
    /// Whether it writes.
    pub write: bool,
    /// The volume.
    pub volume: u64,
    /// The key, or the first block.
    pub key: u64,
    /// The client's mark of the request.
    pub idempotency_key: u64,
    /// Units of work.
    pub units: f64,
    /// Blocks from the key on; 0 where a key is a piece of data by itself.
    pub blocks: u32,
    /// The extent's version that the host knew; 0 without a map.
    pub version: u32,
    /// Numbers the node's request that carried it.
    pub batch: u64,
    /// How many parts that request had.
    pub parts: usize,
    /// What it writes.
    pub payload: Vec<u8>,
    /// Whether a client sent it to the node directly, to measure what a host adds.
    pub direct: bool,
}

/// Stands between the sockets and a node, to seed a defect: each attempt is passed on as often and as late as the
/// interceptor returns it.
pub trait AttemptInterceptor: Send {
    /// The attempts that a node receives in place of this one, each with its delay.
    fn intercept(&mut self, now: Ms, node: u32, attempt: ReceivedAttempt) -> Vec<(Ms, ReceivedAttempt)>;
}
