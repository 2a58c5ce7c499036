//! What is written is read again, and bytes from anywhere are refused or read, never worse.

use magpiewick::GossipReport;
use magpiewick_gossip::{read, written, Fault, MOST};
use quickcheck::quickcheck;

quickcheck! {
    fn what_is_written_is_read(told: Vec<(u16, u8, u16)>) -> bool {
        let told: Vec<(u16, GossipReport)> = told
            .into_iter()
            .map(|(id, n, ms)| {
                let (out, waits, answers) = (u32::from(n >> 5), n & 16 > 0, u32::from(n % 16));
                (id, GossipReport { node: 0, in_flight: out, has_queued: waits, answers, queueing_delay: f64::from(ms % 6000) })
            })
            .collect();
        let mut again = Vec::new();
        for message in written(&told) {
            if message.len() > MOST {
                return false;
            }
            again.extend(read(&message).unwrap());
        }
        let near = |a: f64, b: f64| a.max(0.1) / b < 1.03 && b / a.max(0.1) < 1.03;
        let same = |(a, b): (&(u16, GossipReport), &(u16, GossipReport))| {
            a.0 == b.0 && (a.1.in_flight, a.1.has_queued, a.1.answers) == (b.1.in_flight, b.1.has_queued, b.1.answers) && near(a.1.queueing_delay, b.1.queueing_delay)
        };
        again.len() == told.len() && told.iter().zip(&again).all(same)
    }

    fn hostile_bytes_are_refused_whole(bytes: Vec<u8>) -> bool {
        match read(&bytes) {
            Ok(told) => bytes[0] == 1 && bytes.len() == 1 + 4 * told.len() && bytes.len() <= MOST,
            Err(_) => true,
        }
    }
}

#[test]
fn another_version_and_a_cut_or_grown_message_are_named() {
    let whole: Vec<u8> = written(&[(
        7,
        GossipReport { node: 0, in_flight: 1, has_queued: true, answers: 3, queueing_delay: 40.0 },
    )])
    .next()
    .unwrap();
    assert!(read(&whole).is_ok());
    assert_eq!(read(&whole[..whole.len() - 1]), Err(Fault::Length));
    assert_eq!(read(&[&whole[..], &[0]].concat()), Err(Fault::Length));
    assert_eq!(read(&[]), Err(Fault::Length));
    assert_eq!(read(&[&[2], &whole[1..]].concat()), Err(Fault::Version));
}
