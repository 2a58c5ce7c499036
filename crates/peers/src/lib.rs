//! The messages that hosts send each other, each a datagram of its own: what a host saw of nodes lately.
//!
//! A message is the version, the number of its entries and the entries: a node's id on the wire, how many
//! answers came and the mean wait, in sixteenths of a doubling over a tenth of a millisecond. All of a
//! message counts or none of it, and one of another version is not read: a host of another build is to
//! this one as a host that says nothing.

use magpiewick::{Ms, Told};
use std::fmt;

/// The most bytes of a message.
pub const MOST: usize = 256;
const VERSION: u8 = 1;
const HEAD: usize = 2;
const ENTRY: usize = 6;
/// Answers and hand-offs out share a byte.
const COUNT: u32 = 15;
const FINEST: Ms = 0.1;
const STEPS: f64 = 16.0;

/// Why a message is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Version,
    Length,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Fault::Version => "a message of another version",
            Fault::Length => "a message whose length is not that of its entries",
        })
    }
}

/// The messages that hold what is to be told, as few as can be.
pub fn written(told: &[(u32, Told)]) -> impl Iterator<Item = Vec<u8>> + '_ {
    told.chunks((MOST - HEAD) / ENTRY).map(|part| {
        let mut bytes = vec![VERSION, part.len() as u8];
        for (node, t) in part {
            bytes.extend_from_slice(&node.to_le_bytes());
            bytes.push((t.out.min(COUNT) << 4 | t.answers.min(COUNT)) as u8);
            bytes.push((STEPS * (t.wait / FINEST).max(1.0).log2()).round().min(255.0) as u8);
        }
        bytes
    })
}

/// What a message tells, by the nodes' ids on the wire; the nodes' indices are left at 0.
pub fn read(bytes: &[u8]) -> Result<Vec<(u32, Told)>, Fault> {
    match bytes {
        [VERSION, count, entries @ ..] if entries.len() == usize::from(*count) * ENTRY => {
            Ok(entries.chunks_exact(ENTRY).map(entry).collect())
        }
        [VERSION, ..] | [] => Err(Fault::Length),
        _ => Err(Fault::Version),
    }
}

fn entry(e: &[u8]) -> (u32, Told) {
    let wait = FINEST * (f64::from(e[5]) / STEPS).exp2();
    let told = Told { node: 0, out: u32::from(e[4] >> 4), answers: u32::from(e[4]) & COUNT, wait };
    (u32::from_le_bytes([e[0], e[1], e[2], e[3]]), told)
}
