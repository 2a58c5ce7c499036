//! The greeting.

use crate::fields::{FieldReader, FieldWriter};
use crate::DecodeError;

/// The version of the protocol that this package speaks.
pub const VERSION: u16 = 1;
/// The age of a process that started long ago.
pub const AGE_LONG_RUNNING: u64 = u64::MAX;

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Sends requests to hosts.
    Client,
    /// Sends attempts to nodes.
    Host,
    /// Serves attempts.
    Node,
    /// Serves the endpoint list and the extent map.
    EndpointList,
}

impl Role {
    /// In the order of their numbers on the wire.
    const ALL: [Role; 4] = [Role::Client, Role::Host, Role::Node, Role::EndpointList];
}

/// The first message either way on every connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The lowest version spoken; the highest that both speak is used.
    pub min_version: u16,
    /// The highest version spoken.
    pub max_version: u16,
    /// What the process is.
    pub role: Role,
    /// Number of the node or host; a client may choose any.
    pub number: u32,
    /// Drawn anew at every start of the process.
    pub incarnation: u64,
    /// How long ago the process started; [`AGE_LONG_RUNNING`] where it no longer matters.
    pub age_us: u64,
}

impl Hello {
    /// The greeting of this version.
    pub fn new(role: Role, number: u32, incarnation: u64, age_us: u64) -> Hello {
        Hello { min_version: VERSION, max_version: VERSION, role, number, incarnation, age_us }
    }

    pub(super) fn decode(fields: &mut FieldReader<'_>) -> Result<Hello, DecodeError> {
        Ok(Hello {
            min_version: fields.u16("lowest version")?,
            max_version: fields.u16("highest version")?,
            role: fields.one_of(&Role::ALL, "role")?,
            number: fields.u32("number")?,
            incarnation: fields.u64("incarnation")?,
            age_us: fields.u64("age")?,
        })
    }

    pub(super) fn encode(&self, out: &mut FieldWriter<'_>) {
        out.u16(self.min_version)
            .u16(self.max_version)
            .one_of(&Role::ALL, &self.role)
            .u32(self.number)
            .u64(self.incarnation)
            .u64(self.age_us);
    }
}
