//! Encoding of gossip messages between hosts, one message per datagram: attempts in flight at nodes, and
//! observations from the nodes' answers.
//!
//! A message consists of the version and entries of four bytes each: the tag of a node (see the engine) in
//! two bytes; one byte with the attempts in flight (3 bits), a flag for queued requests (1) and the number of
//! answers (4); and one byte with the mean queueing delay, in sixteenths of a doubling above a tenth of a
//! millisecond. A message is decoded as a whole or rejected. A message of another version is not decoded, so
//! a host treats hosts of other versions like hosts that send nothing.

use magpiewick::{GossipReport, Ms};

/// Maximum length of a message in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 256;

const VERSION: u8 = 1;
const VERSION_LENGTH: usize = 1;
const ENTRY_LENGTH: usize = 4;
const MAX_ENTRIES: usize = (MAX_MESSAGE_LENGTH - VERSION_LENGTH) / ENTRY_LENGTH;

/// Upper limits of the counts; larger counts are sent as these values.
const MAX_IN_FLIGHT: u32 = 7;
const MAX_ANSWERS: u32 = 15;
/// Positions of the counts in their byte; the number of answers is in the bits below.
const IN_FLIGHT_SHIFT: u32 = 5;
const HAS_QUEUED_SHIFT: u32 = 4;

/// Shortest delay that a message can express, and the number of steps per doubling.
const DELAY_UNIT: Ms = 0.1;
const STEPS_PER_DOUBLING: f64 = 16.0;

/// Reason why a message is not decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message has another version.
    #[error("unsupported message version")]
    UnknownVersion,
    /// The message is empty, too long, or not a whole number of entries.
    #[error("the message is empty, too long, or not a whole number of entries")]
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
    let counts = in_flight << IN_FLIGHT_SHIFT | u32::from(report.has_queued) << HAS_QUEUED_SHIFT | answers;
    let doublings = (report.queueing_delay / DELAY_UNIT).max(1.0).log2();
    let delay_steps = (STEPS_PER_DOUBLING * doublings).round().min(f64::from(u8::MAX));
    message.extend_from_slice(&tag.to_le_bytes());
    message.extend_from_slice(&[counts as u8, delay_steps as u8]);
}

/// Decodes a message into reports with the tags of their nodes; the nodes' indices are set to 0.
pub fn decode(message: &[u8]) -> Result<Vec<(u16, GossipReport)>, DecodeError> {
    match message {
        [VERSION, entries @ ..] => {
            let (entries, remainder) = entries.as_chunks::<ENTRY_LENGTH>();
            if !remainder.is_empty() || message.len() > MAX_MESSAGE_LENGTH {
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
        has_queued: counts >> HAS_QUEUED_SHIFT & 1 > 0,
        answers: counts & MAX_ANSWERS,
        queueing_delay: DELAY_UNIT * (f64::from(delay_steps) / STEPS_PER_DOUBLING).exp2(),
    };
    (u16::from_le_bytes([tag_low, tag_high]), report)
}
