//! The messages that hosts send each other, each a datagram of its own: what a host has out and saw of nodes.
//!
//! A message is the version and entries of four bytes: the tag of a node (see the engine), one byte of attempts
//! out (3 bits), whether requests wait (1) and answers (4), and the mean wait in sixteenths of a doubling over a
//! tenth of a millisecond. All of a message counts or none of it, and one of another version is not read: a
//! host of another build is to this one as a host that says nothing.

use magpiewick::{GossipReport, Ms};
use std::fmt;

/// The most bytes of a message.
pub const MOST: usize = 256;
const VERSION: u8 = 1;
const HEAD: usize = 1;
const ENTRY: usize = 4;
const MOST_ANSWERS: u32 = 15;
const MOST_OUT: u32 = 7;
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
pub fn written(told: &[(u16, GossipReport)]) -> impl Iterator<Item = Vec<u8>> + '_ {
    told.chunks((MOST - HEAD) / ENTRY).map(|part| {
        let mut bytes = vec![VERSION];
        for (tag, t) in part {
            bytes.extend_from_slice(&tag.to_le_bytes());
            bytes.push(
                (t.in_flight.min(MOST_OUT) << 5 | u32::from(t.has_queued) << 4 | t.answers.min(MOST_ANSWERS))
                    as u8,
            );
            bytes.push((STEPS * (t.queueing_delay / FINEST).max(1.0).log2()).round().min(255.0) as u8);
        }
        bytes
    })
}

/// What a message tells, by the nodes' tags; the nodes' indices are left at 0.
pub fn read(bytes: &[u8]) -> Result<Vec<(u16, GossipReport)>, Fault> {
    match bytes {
        [VERSION, entries @ ..] if entries.len().is_multiple_of(ENTRY) && bytes.len() <= MOST => {
            Ok(entries.chunks_exact(ENTRY).map(entry).collect())
        }
        [VERSION, ..] | [] => Err(Fault::Length),
        _ => Err(Fault::Version),
    }
}

fn entry(e: &[u8]) -> (u16, GossipReport) {
    let (counts, wait) = (u32::from(e[2]), FINEST * (f64::from(e[3]) / STEPS).exp2());
    let told = GossipReport {
        node: 0,
        in_flight: counts >> 5,
        has_queued: counts >> 4 & 1 > 0,
        answers: counts & MOST_ANSWERS,
        queueing_delay: wait,
    };
    (u16::from_le_bytes([e[0], e[1]]), told)
}
