//! The protocol between clients, hosts, storage nodes and the endpoint list service; `docs/wire.md` specifies
//! it byte by byte. This package only converts bytes to messages and back, without I/O.
//!
//! The decoder never panics and never allocates memory according to a stated length. It rejects a frame by
//! its header alone when the stated body length exceeds [`MAX_BODY_LENGTH`] bytes.

mod error;
mod fields;
mod frame;
mod message;

pub use error::DecodeError;
pub use frame::{decode, encode, Decoded, Frames};
pub use frame::{HEADER_LENGTH, MAX_BODY_LENGTH, MAX_LIST_ENTRIES, MAX_MAP_ENTRIES, MAX_PAYLOAD_LENGTH};
pub use message::{
    Attempt, ClientRequest, EndpointEntry, EndpointListUpdate, EntryState, FinalAnswer, FinalCode, Hello,
    MapEntry, MapEntryKind, MapUpdate, Message, MigrationStage, Outcome, OutcomeCode, Role, AGE_LONG_RUNNING,
    VERSION,
};
