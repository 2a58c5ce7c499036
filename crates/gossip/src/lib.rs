//! The messages that hosts send each other, each a datagram of its own: attempts in flight at nodes, and what their
//! answers showed.
//!
//! A message is the version and entries of four bytes: the tag of a node (see the engine); one byte of attempts in
//! flight (3 bits), whether requests wait (1) and answers (4); and the mean queueing delay in sixteenths of a
//! doubling over a tenth of a millisecond. All of a message counts or none of it. One of another version is not
//! decoded: a host of another build is to this one as a host that sends nothing.

use magpiewick::{GossipReport, Ms};

/// The most bytes of a message.
pub const MAX_MESSAGE_LENGTH: usize = 256;

const VERSION: u8 = 1;
const VERSION_LENGTH: usize = 1;
const ENTRY_LENGTH: usize = 4;
const MAX_ENTRIES: usize = (MAX_MESSAGE_LENGTH - VERSION_LENGTH) / ENTRY_LENGTH;

/// Counts above these are sent as these.
const MAX_IN_FLIGHT: u32 = 7;
const MAX_ANSWERS: u32 = 15;
/// Where the counts stand in their byte; the answers take the bits below.
const IN_FLIGHT_SHIFT: u32 = 5;
const WAITS_SHIFT: u32 = 4;

/// The shortest delay that a message can tell, and the steps in which it doubles.
const DELAY_UNIT: Ms = 0.1;
const STEPS_PER_DOUBLING: f64 = 16.0;

/// Why a message is not decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is of another version.
    #[error("a message of another version")]
    UnknownVersion,
    /// The message is empty, too long, or not a whole number of entries.
    #[error("a message whose length is not that of its entries")]
    InvalidLength,
}

/// Encodes reports, each with its node's tag, into as few messages as possible.
pub fn encode(reports: &[(u16, GossipReport)]) -> impl Iterator<Item = Vec<u8>> + '_ {
    reports.chunks(MAX_ENTRIES).map(|entries| {
        let mut message = vec![VERSION];
        for (tag, report) in entries {
            encode_entry(*tag, report, &mut message);
        }
        message
    })
}

fn encode_entry(tag: u16, report: &GossipReport, message: &mut Vec<u8>) {
    let in_flight = report.in_flight.min(MAX_IN_FLIGHT);
    let answers = report.answers.min(MAX_ANSWERS);
    let counts = in_flight << IN_FLIGHT_SHIFT | u32::from(report.has_queued) << WAITS_SHIFT | answers;
    let doublings = (report.queueing_delay / DELAY_UNIT).max(1.0).log2();
    let delay_steps = (STEPS_PER_DOUBLING * doublings).round().min(f64::from(u8::MAX));
    message.extend_from_slice(&tag.to_le_bytes());
    message.extend_from_slice(&[counts as u8, delay_steps as u8]);
}

/// Decodes a message into reports with their nodes' tags; the nodes' indices are left at 0.
pub fn decode(message: &[u8]) -> Result<Vec<(u16, GossipReport)>, DecodeError> {
    match message {
        [VERSION, entries @ ..] => {
            let (entries, rest) = entries.as_chunks::<ENTRY_LENGTH>();
            if !rest.is_empty() || message.len() > MAX_MESSAGE_LENGTH {
                return Err(DecodeError::InvalidLength);
            }
            Ok(entries.iter().map(decode_entry).collect())
        }
        [] => Err(DecodeError::InvalidLength),
        _ => Err(DecodeError::UnknownVersion),
    }
}

fn decode_entry(&[tag_low, tag_high, counts, delay_steps]: &[u8; ENTRY_LENGTH]) -> (u16, GossipReport) {
    let counts = u32::from(counts);
    let report = GossipReport {
        node: 0,
        in_flight: counts >> IN_FLIGHT_SHIFT,
        has_queued: counts >> WAITS_SHIFT & 1 > 0,
        answers: counts & MAX_ANSWERS,
        queueing_delay: DELAY_UNIT * (f64::from(delay_steps) / STEPS_PER_DOUBLING).exp2(),
    };
    (u16::from_le_bytes([tag_low, tag_high]), report)
}
