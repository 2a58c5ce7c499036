//! The greeting of a process.

use crate::fields::{FieldReader, FieldWriter};
use crate::DecodeError;

/// Protocol version of this package.
pub const VERSION: u16 = 1;
/// Age of a process that started long ago.
pub const AGE_LONG_RUNNING: u64 = u64::MAX;

/// Role of a process.
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
    /// All values in the order of their wire codes.
    const ALL: [Role; 4] = [Role::Client, Role::Host, Role::Node, Role::EndpointList];
}

/// The first message in each direction on every connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Lowest supported version; the highest version that both peers support is used.
    pub min_version: u16,
    /// Highest supported version.
    pub max_version: u16,
    /// Role of the process.
    pub role: Role,
    /// Number of the node or host; a client may send any number.
    pub number: u32,
    /// Identifier of this start of the process, different from that of every other start.
    pub incarnation: u64,
    /// Time since the start of the process; [`AGE_LONG_RUNNING`] where the age is no longer relevant.
    pub age_us: u64,
}

impl Hello {
    /// Returns a greeting that supports only this version.
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
