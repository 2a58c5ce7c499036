//! The codec on generated messages and on bytes that lie.

use magpiewick_node_protocol::*;
use quickcheck::{quickcheck, Arbitrary, Gen};

/// A generated message with its payload apart, as a message borrows it.
#[derive(Clone, Debug)]
struct Any(u8, [u64; 4], f32, Vec<u8>);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Any {
        let n = [(); 4].map(|()| u64::arbitrary(g));
        Any(u8::arbitrary(g), n, f32::from(u16::arbitrary(g)) / 7.0, Vec::arbitrary(g))
    }
}

impl Any {
    fn message(&self) -> Message<'_> {
        let Any(kind, [a, b, c, d], x, payload) = self;
        let (short, write) = (*b as u16, *b % 2 == 0);
        let line = |n: u64| Line {
            node: n as u32,
            shard: *b as u32,
            zone: *c as u16,
            state: [State::Ready, State::Draining, State::Gone][(n % 3) as usize],
            life: *d,
            age_us: *c,
            address: [127, 0, 0, 1],
            port: *a as u16,
        };
        match kind % 16 {
            0 => Message::Hello(Hello {
                lowest: 1,
                highest: short,
                role: [Role::Client, Role::Host, Role::Node, Role::List][(*a % 4) as usize],
                number: *c as u32,
                life: *d,
                age_us: *a,
            }),
            1 => Message::Attempt(Attempt {
                request_id: *a,
                attempt: short,
                class: *c as u16,
                write,
                volume: *d,
                key: *b,
                mark: *c,
                units: *x,
                shard: *d as u32,
                left_us: *a as u32,
                version: *b as u32,
                blocks: *c as u32,
                payload,
            }),
            2 => Message::Outcome(Outcome {
                request_id: *a,
                attempt: short,
                code: [
                    OutcomeCode::Succeeded,
                    OutcomeCode::Error,
                    OutcomeCode::Overloaded,
                    OutcomeCode::DeadlineExceeded,
                ][(*c % 4) as usize],
                used: write.then_some(*x),
                others: *x,
                queue: *d as u32,
                busy: *x,
                owner: write.then_some(*a as u32 / 2),
                version: *b as u32,
                payload,
            }),
            3 => Message::Cancel { request_id: *a, attempt: short },
            4 => Message::Probe { number: *a as u32 },
            5 => Message::Probed { number: *a as u32, queue: *b as u32, busy: *x },
            6 => Message::Take(Take {
                request_id: *a,
                class: short,
                write,
                volume: *c,
                key: *d,
                mark: *b,
                units: *x,
                limit_us: *c as u32,
                blocks: *a as u32,
                payload,
            }),
            7 => Message::Final(Final {
                request_id: *a,
                verdict: [FinalCode::Succeeded, FinalCode::Rejected, FinalCode::Failed][(*b % 3) as usize],
                back_us: *c as u32,
                payload,
            }),
            8 => Message::GiveUp { request_id: *a },
            9 => Message::Watch { epoch: *a },
            10 => Message::List(List { whole: write, epoch: *a, lines: (0..*d % 5).map(line).collect() }),
            13 => Message::Move { volume: *a, start: *b, shard: *c as u32, abandon: write },
            14 => {
                let stage = if write { MoveStage::Copied } else { MoveStage::Abandoned };
                Message::MoveState { volume: *a, start: *b, from: *c as u32, to: *d as u32, stage }
            }
            11 => Message::WatchMap,
            12 => {
                let kinds = [Mapped::Extent, Mapped::Create, Mapped::Switch, Mapped::Split, Mapped::Merge];
                let line = |n: u64| MapLine {
                    kind: kinds[(n % 5) as usize],
                    volume: *a,
                    start: n,
                    at: *b,
                    shard: *c as u32,
                    version: *d as u32,
                };
                let lines = (0..*d % 5).map(line).collect();
                Message::Map(MapNews { whole: write, epoch: *a, part: *b as u32, last: !write, lines })
            }
            _ => Message::Refused,
        }
    }
}

/// Reads a stream that comes in pieces of one length.
fn messages(bytes: &[u8], piece: usize) -> Result<Vec<Message<'_>>, Fault> {
    let (mut found, mut at) = (Vec::new(), 0);
    for end in (0..bytes.len()).step_by(piece).chain([bytes.len()]) {
        loop {
            match read(&bytes[at..end])? {
                Read::Partial => break,
                Read::Skip(n) => at += n,
                Read::Whole(message, n) => {
                    found.push(message);
                    at += n;
                }
            }
        }
    }
    Ok(found)
}

quickcheck! {
    fn what_is_written_is_read_in_whatever_pieces(all: Vec<Any>, piece: u8) -> bool {
        let mut bytes = Vec::new();
        all.iter().for_each(|any| write(&any.message(), &mut bytes));
        let expected: Vec<Message> = all.iter().map(Any::message).collect();
        messages(&bytes, usize::from(piece) + 1) == Ok(expected)
    }

    fn any_changed_byte_is_found(any: Any, place: usize, change: u8) -> bool {
        let mut bytes = Vec::new();
        write(&any.message(), &mut bytes);
        let place = place % bytes.len();
        bytes[place] ^= change.max(1);
        !matches!(read(&bytes), Ok(Read::Whole(..)))
    }

    fn no_bytes_make_it_panic(bytes: Vec<u8>, kind: u8) -> bool {
        // Frames of every kind with any fields and a checksum that holds: only the fields are left to lie.
        let mut frame = Vec::new();
        write(&Message::Refused, &mut frame);
        _ = read(&bytes);
        let fixed = bytes.len().min(usize::from(u16::MAX)) as u16;
        for fixed in [fixed, fixed / 2, fixed.saturating_add(1)] {
            let mut header = (bytes.len() as u32).to_le_bytes().to_vec();
            header.extend_from_slice(&[kind % 18, 0]);
            header.extend_from_slice(&fixed.to_le_bytes());
            let sum = crc32c::crc32c_append(crc32c::crc32c(&header), &bytes);
            header.extend_from_slice(&sum.to_le_bytes());
            header.extend_from_slice(&bytes);
            _ = read(&header);
        }
        true
    }
}

#[test]
fn an_oversized_frame_is_refused_by_its_header() {
    let mut header = [0; HEADER];
    header[..4].copy_from_slice(&(MOST_BODY as u32 + 1).to_le_bytes());
    assert_eq!(read(&header), Err(Fault::TooLong(MOST_BODY + 1)));
}

/// What a later version may do: more fields behind the known ones, and kinds from 128 on.
#[test]
fn later_fields_and_kinds_are_passed_over() {
    let mut bytes = Vec::new();
    write(&Message::GiveUp { request_id: 5 }, &mut bytes);
    let frame = |kind: u8, body: &[u8]| {
        let mut f = (body.len() as u32).to_le_bytes().to_vec();
        f.extend_from_slice(&[kind, 0, body.len() as u8, 0]);
        let sum = crc32c::crc32c_append(crc32c::crc32c(&f), body);
        f.extend_from_slice(&sum.to_le_bytes());
        f.extend_from_slice(body);
        f
    };
    let longer = frame(9, &[5, 0, 0, 0, 0, 0, 0, 0, 77, 78]);
    assert_eq!(read(&longer), Ok(Read::Whole(Message::GiveUp { request_id: 5 }, longer.len())));
    assert_eq!(read(&frame(200, &[1])), Ok(Read::Skip(HEADER + 1)));
    assert_eq!(read(&frame(100, &[1])), Err(Fault::UnknownKind(100)));
}
