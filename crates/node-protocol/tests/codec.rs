//! Tests of the codec with generated messages and corrupt bytes.

use magpiewick_node_protocol::*;
use quickcheck::{quickcheck, Arbitrary, Gen};

/// A generated message that owns its payload, as a message only borrows it.
#[derive(Clone, Debug)]
struct AnyMessage(u8, [u64; 4], f32, Vec<u8>);

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> AnyMessage {
        let n = [(); 4].map(|()| u64::arbitrary(g));
        AnyMessage(u8::arbitrary(g), n, f32::from(u16::arbitrary(g)) / 7.0, Vec::arbitrary(g))
    }
}

impl AnyMessage {
    fn message(&self) -> Message<'_> {
        let AnyMessage(kind, [a, b, c, d], amount, payload) = self;
        let (short_number, write) = (*b as u16, *b % 2 == 0);
        let entry = |n: u64| EndpointEntry {
            node: n as u32,
            shard: *b as u32,
            zone: *c as u16,
            state: [EntryState::Ready, EntryState::Draining, EntryState::Removed][(n % 3) as usize],
            incarnation: *d,
            age_us: *c,
            address: [127, 0, 0, 1],
            port: *a as u16,
        };
        match kind % 16 {
            0 => Message::Hello(Hello {
                min_version: 1,
                max_version: short_number,
                role: [Role::Client, Role::Host, Role::Node, Role::EndpointList][(*a % 4) as usize],
                number: *c as u32,
                incarnation: *d,
                age_us: *a,
            }),
            1 => Message::Attempt(Attempt {
                request_id: *a,
                attempt: short_number,
                class: *c as u16,
                write,
                volume: *d,
                key: *b,
                idempotency_key: *c,
                units: *amount,
                shard: *d as u32,
                remaining_us: *a as u32,
                version: *b as u32,
                blocks: *c as u32,
                payload,
            }),
            2 => Message::Outcome(Outcome {
                request_id: *a,
                attempt: short_number,
                code: [
                    OutcomeCode::Succeeded,
                    OutcomeCode::Error,
                    OutcomeCode::Overloaded,
                    OutcomeCode::DeadlineExceeded,
                ][(*c % 4) as usize],
                used: write.then_some(*amount),
                remote_units: *amount,
                queue: *d as u32,
                busy: *amount,
                owner: write.then_some(*a as u32 / 2),
                version: *b as u32,
                payload,
            }),
            3 => Message::CancelAttempt { request_id: *a, attempt: short_number },
            4 => Message::HealthCheck { number: *a as u32 },
            5 => Message::HealthReport { number: *a as u32, queue: *b as u32, busy: *amount },
            6 => Message::Request(ClientRequest {
                request_id: *a,
                class: short_number,
                write,
                volume: *c,
                key: *d,
                idempotency_key: *b,
                units: *amount,
                client_timeout_us: *c as u32,
                blocks: *a as u32,
                payload,
            }),
            7 => Message::FinalAnswer(FinalAnswer {
                request_id: *a,
                code: [FinalCode::Succeeded, FinalCode::Rejected, FinalCode::Failed][(*b % 3) as usize],
                retry_after_us: *c as u32,
                payload,
            }),
            8 => Message::CancelRequest { request_id: *a },
            9 => Message::WatchEndpoints { epoch: *a },
            10 => Message::EndpointList(EndpointListUpdate {
                snapshot: write,
                epoch: *a,
                entries: (0..*d % 5).map(entry).collect(),
            }),
            13 => Message::Migrate { volume: *a, start: *b, shard: *c as u32, abort: write },
            14 => {
                let stage = if write { MigrationStage::Copied } else { MigrationStage::Aborted };
                Message::MigrationState { volume: *a, start: *b, from: *c as u32, to: *d as u32, stage }
            }
            11 => Message::WatchMap,
            12 => {
                let kinds = [
                    MapEntryKind::Extent,
                    MapEntryKind::Create,
                    MapEntryKind::Switch,
                    MapEntryKind::Split,
                    MapEntryKind::Merge,
                ];
                let entry = |n: u64| MapEntry {
                    kind: kinds[(n % 5) as usize],
                    volume: *a,
                    start: n,
                    position: *b,
                    shard: *c as u32,
                    version: *d as u32,
                };
                let entries = (0..*d % 5).map(entry).collect();
                Message::ExtentMap(MapUpdate {
                    snapshot: write,
                    epoch: *a,
                    part: *b as u32,
                    last: !write,
                    entries,
                })
            }
            _ => Message::WatchRejected,
        }
    }
}

/// Decodes a stream that arrives in pieces of one length.
fn decode_in_pieces(bytes: &[u8], piece: usize) -> Result<Vec<Message<'_>>, DecodeError> {
    let (mut messages, mut position) = (Vec::new(), 0);
    for end in (0..bytes.len()).step_by(piece).chain([bytes.len()]) {
        loop {
            match decode(&bytes[position..end])? {
                Decoded::Incomplete => break,
                Decoded::Skipped(n) => position += n,
                Decoded::Frame(message, n) => {
                    messages.push(message);
                    position += n;
                }
            }
        }
    }
    Ok(messages)
}

quickcheck! {
    fn messages_decode_from_a_stream_split_anywhere(generated: Vec<AnyMessage>, piece: u8) -> bool {
        let mut bytes = Vec::new();
        generated.iter().for_each(|any| encode(&any.message(), &mut bytes));
        let expected: Vec<Message<'_>> = generated.iter().map(AnyMessage::message).collect();
        decode_in_pieces(&bytes, usize::from(piece) + 1) == Ok(expected)
    }

    fn changed_byte_is_detected(any: AnyMessage, position: usize, change: u8) -> bool {
        let mut bytes = Vec::new();
        encode(&any.message(), &mut bytes);
        let position = position % bytes.len();
        bytes[position] ^= change.max(1);
        !matches!(decode(&bytes), Ok(Decoded::Frame(..)))
    }

    fn decoding_arbitrary_bytes_never_panics(bytes: Vec<u8>, kind: u8) -> bool {
        // Frames of every kind with arbitrary fields and a valid checksum, so that only the fields may be
        // invalid.
        let mut frame = Vec::new();
        encode(&Message::WatchRejected, &mut frame);
        _ = decode(&bytes);
        let fields_length = bytes.len().min(usize::from(u16::MAX)) as u16;
        for fields_length in [fields_length, fields_length / 2, fields_length.saturating_add(1)] {
            let mut header = (bytes.len() as u32).to_le_bytes().to_vec();
            header.extend_from_slice(&[kind % 18, 0]);
            header.extend_from_slice(&fields_length.to_le_bytes());
            let sum = crc32c::crc32c_append(crc32c::crc32c(&header), &bytes);
            header.extend_from_slice(&sum.to_le_bytes());
            header.extend_from_slice(&bytes);
            _ = decode(&header);
        }
        true
    }
}

/// Guards against a part of a message that is taken for the whole because the stated length is too small.
#[test]
fn frame_with_a_wrong_length_is_rejected() {
    let any = AnyMessage(1, [7, 8, 9, 10], 2.0, b"payload of the frame".to_vec());
    let mut bytes = Vec::new();
    encode(&any.message(), &mut bytes);
    let stated = bytes.len() - HEADER_LENGTH;
    for wrong in (0..stated).chain([stated + 1]) {
        let mut changed = bytes.clone();
        changed[..4].copy_from_slice(&(wrong as u32).to_le_bytes());
        changed.push(0);
        assert_eq!(decode(&changed), Err(DecodeError::ChecksumMismatch), "{wrong} in place of {stated}");
    }
}

#[test]
fn oversized_frame_is_rejected_by_its_header() {
    let mut header = [0; HEADER_LENGTH];
    header[..4].copy_from_slice(&(MAX_BODY_LENGTH as u32 + 1).to_le_bytes());
    assert_eq!(decode(&header), Err(DecodeError::BodyTooLong(MAX_BODY_LENGTH + 1)));
}

/// Later versions may append fields to known kinds, and add kinds from 128 on.
#[test]
fn fields_and_kinds_of_later_versions_are_skipped() {
    let mut bytes = Vec::new();
    encode(&Message::CancelRequest { request_id: 5 }, &mut bytes);
    let frame = |kind: u8, body: &[u8]| {
        let mut f = (body.len() as u32).to_le_bytes().to_vec();
        f.extend_from_slice(&[kind, 0, body.len() as u8, 0]);
        let sum = crc32c::crc32c_append(crc32c::crc32c(&f), body);
        f.extend_from_slice(&sum.to_le_bytes());
        f.extend_from_slice(body);
        f
    };
    let longer = frame(9, &[5, 0, 0, 0, 0, 0, 0, 0, 77, 78]);
    assert_eq!(decode(&longer), Ok(Decoded::Frame(Message::CancelRequest { request_id: 5 }, longer.len())));
    assert_eq!(decode(&frame(200, &[1])), Ok(Decoded::Skipped(HEADER_LENGTH + 1)));
    assert_eq!(decode(&frame(100, &[1])), Err(DecodeError::UnknownKind(100)));
}
