//! What is encoded is decoded again, and arbitrary bytes are decoded or rejected whole.

use magpiewick::GossipReport;
use magpiewick_gossip::{decode, encode, DecodeError, MAX_MESSAGE_LENGTH};
use quickcheck::quickcheck;

quickcheck! {
    fn decoding_reverses_encoding(reports: Vec<(u16, u8, u16)>) -> bool {
        let reports: Vec<(u16, GossipReport)> = reports
            .into_iter()
            .map(|(id, n, ms)| {
                let (out, waits, answers) = (u32::from(n >> 5), n & 16 > 0, u32::from(n % 16));
                (id, GossipReport { node: 0, in_flight: out, has_queued: waits, answers, queueing_delay: f64::from(ms % 6000) })
            })
            .collect();
        let mut decoded = Vec::new();
        for message in encode(&reports) {
            if message.len() > MAX_MESSAGE_LENGTH {
                return false;
            }
            decoded.extend(decode(&message).unwrap());
        }
        let near = |a: f64, b: f64| a.max(0.1) / b < 1.03 && b / a.max(0.1) < 1.03;
        let same = |(a, b): (&(u16, GossipReport), &(u16, GossipReport))| {
            a.0 == b.0 && (a.1.in_flight, a.1.has_queued, a.1.answers) == (b.1.in_flight, b.1.has_queued, b.1.answers) && near(a.1.queueing_delay, b.1.queueing_delay)
        };
        decoded.len() == reports.len() && reports.iter().zip(&decoded).all(same)
    }

    fn arbitrary_bytes_are_decoded_whole_or_rejected(bytes: Vec<u8>) -> bool {
        match decode(&bytes) {
            Ok(reports) => bytes[0] == 1 && bytes.len() == 1 + 4 * reports.len() && bytes.len() <= MAX_MESSAGE_LENGTH,
            Err(_) => true,
        }
    }
}

#[test]
fn another_version_and_a_wrong_length_are_told_apart() {
    let whole: Vec<u8> = encode(&[(
        7,
        GossipReport { node: 0, in_flight: 1, has_queued: true, answers: 3, queueing_delay: 40.0 },
    )])
    .next()
    .unwrap();
    assert!(decode(&whole).is_ok());
    assert_eq!(decode(&whole[..whole.len() - 1]), Err(DecodeError::InvalidLength));
    assert_eq!(decode(&[&whole[..], &[0]].concat()), Err(DecodeError::InvalidLength));
    assert_eq!(decode(&[]), Err(DecodeError::InvalidLength));
    assert_eq!(decode(&[&[2], &whole[1..]].concat()), Err(DecodeError::UnknownVersion));
}
