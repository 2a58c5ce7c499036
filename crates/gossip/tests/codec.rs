//! Encoded messages are decoded again, and arbitrary bytes are decoded or rejected as a whole.

use magpiewick::GossipReport;
use magpiewick_gossip::{decode, encode, DecodeError, MAX_MESSAGE_LENGTH};
use quickcheck::quickcheck;

quickcheck! {
    fn decoding_reverses_encoding(reports: Vec<(u16, u8, u16)>) -> bool {
        let reports: Vec<(u16, GossipReport)> = reports
            .into_iter()
            .map(|(id, n, ms)| {
                let (attempts, queued, answers) = (u32::from(n >> 5), n & 16 > 0, u32::from(n % 16));
                (id, GossipReport { node: 0, in_flight: attempts, has_queued: queued, answers, queueing_delay: f64::from(ms % 6000) })
            })
            .collect();
        let mut decoded = Vec::new();
        for message in encode(&reports) {
            if message.len() > MAX_MESSAGE_LENGTH {
                return false;
            }
            decoded.extend(decode(&message).unwrap());
        }
        let is_close = |a: f64, b: f64| a.max(0.1) / b < 1.03 && b / a.max(0.1) < 1.03;
        let is_same = |(a, b): (&(u16, GossipReport), &(u16, GossipReport))| {
            a.0 == b.0 && (a.1.in_flight, a.1.has_queued, a.1.answers) == (b.1.in_flight, b.1.has_queued, b.1.answers) && is_close(a.1.queueing_delay, b.1.queueing_delay)
        };
        decoded.len() == reports.len() && reports.iter().zip(&decoded).all(is_same)
    }

    fn arbitrary_bytes_are_decoded_or_rejected_as_a_whole(bytes: Vec<u8>) -> bool {
        match decode(&bytes) {
            Ok(reports) => bytes[0] == 1 && bytes.len() == 1 + 4 * reports.len() && bytes.len() <= MAX_MESSAGE_LENGTH,
            Err(_) => true,
        }
    }
}

#[test]
fn unknown_version_and_invalid_length_give_different_errors() {
    let message: Vec<u8> = encode(&[(
        7,
        GossipReport { node: 0, in_flight: 1, has_queued: true, answers: 3, queueing_delay: 40.0 },
    )])
    .next()
    .unwrap();
    assert!(decode(&message).is_ok());
    assert_eq!(decode(&message[..message.len() - 1]), Err(DecodeError::InvalidLength));
    assert_eq!(decode(&[&message[..], &[0]].concat()), Err(DecodeError::InvalidLength));
    assert_eq!(decode(&[]), Err(DecodeError::InvalidLength));
    assert_eq!(decode(&[&[2], &message[1..]].concat()), Err(DecodeError::UnknownVersion));
}
