//! Stand-ins for storage nodes and the endpoint list service, written from `docs/wire.md`: a fleet on loopback that
//! stores what is written, works at a stated speed, fails on a script, and keeps a record of all that it saw
//! on its sockets. It holds to no rule by itself; what hosts do to it is what a scenario audits.

mod config;
mod fleet;
mod moves;
mod node;
mod script;

pub use config::{fleet as read_fleet, Cold, EmulatorConfig, NodeConfig};
pub use fleet::{Arrived, Fleet, Handle, Tamper};
pub use script::{play, read_troubles, Step, Trouble};

/// Milliseconds on the clock that all records of a run share.
pub type Ms = f64;

/// What a node or the endpoint list service saw or did, in the order in which it did. A host is its number and life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// A node's process started; `cold` where it cannot do all of its work yet.
    Started {
        node: u32,
        life: u64,
        cold: bool,
    },
    Stopped {
        node: u32,
        life: u64,
    },
    /// A cold node was pushed over.
    Fell {
        node: u32,
    },
    Attempt {
        node: u32,
        host: u64,
        request_id: u64,
        attempt: u16,
        class: u16,
        volume: u64,
        key: u64,
        mark: u64,
        units: f64,
        write: bool,
        version: u32,
        /// Numbers the node's request that it came with.
        batch: u64,
    },
    /// A request's effect took place.
    Ran {
        node: u32,
        host: u64,
        request_id: u64,
        class: u16,
        volume: u64,
        key: u64,
        mark: u64,
        write: bool,
        blocks: u32,
    },
    /// An extent has a new owner, or is served again under a new version.
    Switched {
        volume: u64,
        start: u64,
        shard: u32,
        version: u32,
    },
    /// An answer left; `ran` is false where it is proof that nothing ran, `moved` where the data lies elsewhere.
    Answered {
        node: u32,
        host: u64,
        request_id: u64,
        attempt: u16,
        ran: bool,
        moved: bool,
    },
    Cancelled {
        node: u32,
        host: u64,
        request_id: u64,
        attempt: u16,
    },
    /// The connection of a host ended, and with it the wait for all that was out on it.
    Ended {
        node: u32,
        host: u64,
    },
    /// A host was told that an extent has another version.
    MapTold {
        host: u64,
        volume: u64,
        start: u64,
        end: u64,
        version: u32,
    },
    /// A host was told that a node takes nothing new any more.
    Told {
        host: u64,
        node: u32,
        life: u64,
    },
}
