//! Attempts as received by a node, and their interceptor.

use crate::Ms;

/// Identifier of a connection, unique during a run of the emulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// Index among the open connections, reused by later connections.
    pub index: usize,
    /// Sequence number over all connections.
    pub serial: u64,
}

/// An attempt as received by a node.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    /// Incarnation of the host that sent the attempt.
    pub host: u64,
    /// Connection on which the attempt was received.
    pub connection: ConnectionId,
    /// Incarnation of the node to which the attempt was sent.
    pub node_incarnation: u64,
    /// Time at which the client stops waiting.
    pub deadline: Ms,
    /// Request identifier assigned by the host.
    pub request_id: u64,
    /// Number of the attempt within the request, from 0.
    pub attempt: u16,
    /// Number of the request class.
    pub class: u16,
    /// Set for a write.
    pub write: bool,
    /// Number of the volume.
    pub volume: u64,
    /// Key, or first block.
    pub key: u64,
    /// Idempotency key assigned by the client.
    pub idempotency_key: u64,
    /// Number of units of work.
    pub units: f64,
    /// Number of blocks that start at the key; 0 if the key addresses a single value.
    pub blocks: u32,
    /// Extent version in the map of the host; 0 without a map.
    pub version: u32,
    /// Number of the node request that carried the attempt.
    pub batch: u64,
    /// Number of parts of the node request.
    pub parts: usize,
    /// Payload of a write.
    pub payload: Vec<u8>,
    /// Set if a client sent the request directly to the node, to measure the overhead of a host.
    pub direct: bool,
}

/// Interceptor between the sockets and a node that seeds a defect: each attempt is replaced with the attempts that
/// the interceptor returns, each after its delay.
pub trait AttemptInterceptor: Send {
    /// Returns the attempts that a node receives in place of `attempt`, each with its delay.
    fn intercept(&mut self, now: Ms, node: u32, attempt: ReceivedAttempt) -> Vec<(Ms, ReceivedAttempt)>;
}
