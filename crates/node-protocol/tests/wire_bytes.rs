//! Exact bytes of every kind of message, compared by the kind, length and checksum of its frame. No other
//! test detects a change that affects encoding and decoding alike.

use magpiewick_node_protocol::*;

const PAYLOAD: [u8; 77] = {
    let mut bytes = [0; 77];
    let mut index = 0;
    while index < bytes.len() {
        bytes[index] = index as u8;
        index += 1;
    }
    bytes
};

fn attempt(n: u64) -> Attempt<'static> {
    Attempt {
        request_id: 0x0102030405060708 + n,
        attempt: 0x1112,
        class: 0x2122,
        write: n.is_multiple_of(2),
        volume: 0x31 + n,
        key: 0x41 + n,
        idempotency_key: 0x51 + n,
        units: 1.25,
        shard: 0x61,
        remaining_us: 0x71,
        version: 0x81,
        blocks: 0x91,
        payload: &PAYLOAD,
    }
}

fn hello(role: Role) -> Message<'static> {
    let (incarnation, age_us) = (0xb1b2b3, 0xc1c2c3);
    Message::Hello(Hello { min_version: 1, max_version: 3, role, number: 0xa1a2, incarnation, age_us })
}

fn outcomes(code: OutcomeCode) -> [Message<'static>; 2] {
    let known = Outcome {
        request_id: 0xd1,
        attempt: 0xd2,
        code,
        used: Some(0.5),
        remote_units: 2.5,
        queue: 0xd3,
        busy: 0.75,
        owner: Some(0xd4),
        version: 0xd5,
        payload: &PAYLOAD,
    };
    let unknown = Outcome { used: None, owner: None, payload: &[], ..known };
    [Message::Outcome(known), Message::Outcome(unknown)]
}

fn endpoint_list(snapshot: bool) -> Message<'static> {
    let entry = |node, state| EndpointEntry {
        node,
        shard: 0x55,
        zone: 0x66,
        state,
        incarnation: 0x77,
        age_us: 0x88,
        address: [1, 2, 3, 4],
        port: 0x99aa,
    };
    let entries =
        vec![entry(1, EntryState::Ready), entry(2, EntryState::Draining), entry(3, EntryState::Removed)];
    Message::EndpointList(EndpointListUpdate { snapshot, epoch: 0xbb, entries })
}

fn extent_map(snapshot: bool) -> Message<'static> {
    let kinds = [
        MapEntryKind::Extent,
        MapEntryKind::Create,
        MapEntryKind::Remove,
        MapEntryKind::Switch,
        MapEntryKind::Split,
        MapEntryKind::Merge,
    ];
    let entry =
        |kind| MapEntry { kind, volume: 0x12, start: 0x23, position: 0x34, shard: 0x45, version: 0x56 };
    let entries = kinds.map(entry).to_vec();
    Message::ExtentMap(MapUpdate { snapshot, epoch: 0x67, part: 0x78, last: !snapshot, entries })
}

fn messages() -> Vec<Message<'static>> {
    let request = ClientRequest {
        request_id: 0xf1,
        class: 0xf2,
        write: true,
        volume: 0xf3,
        key: 0xf4,
        idempotency_key: 0xf5,
        units: 3.5,
        client_timeout_us: 0xf6,
        blocks: 0xf7,
        payload: &PAYLOAD,
    };
    let answer = |code| {
        Message::FinalAnswer(FinalAnswer { request_id: 0x11, code, retry_after_us: 0x22, payload: &PAYLOAD })
    };
    let migrate = |abort| Message::Migrate { volume: 0x89, start: 0x9a, shard: 0xab, abort };
    let state = |stage| Message::MigrationState { volume: 0xbc, start: 0xcd, from: 0xde, to: 0xef, stage };
    let codes = [
        OutcomeCode::Succeeded,
        OutcomeCode::Error,
        OutcomeCode::Overloaded,
        OutcomeCode::TimedOut,
        OutcomeCode::ConnectFailed,
        OutcomeCode::Reset,
        OutcomeCode::Cancelled,
        OutcomeCode::DeadlineExceeded,
        OutcomeCode::ShardMoved,
    ];
    let stages = [
        MigrationStage::Idle,
        MigrationStage::Copying,
        MigrationStage::Copied,
        MigrationStage::Completed,
        MigrationStage::Aborted,
    ];
    let mut messages = vec![Message::Attempt(attempt(0)), Message::Attempt(attempt(1))];
    messages.push(Message::Batch(vec![attempt(0), attempt(1), attempt(2)]));
    messages.extend([Role::Client, Role::Host, Role::Node, Role::EndpointList].map(hello));
    messages.push(Message::Hello(Hello::new(Role::Node, 7, 8, AGE_LONG_RUNNING)));
    messages.extend(codes.into_iter().flat_map(outcomes));
    messages.push(Message::CancelAttempt { request_id: 0xe1, attempt: 0xe2 });
    messages.push(Message::HealthCheck { number: 0xe3 });
    messages.push(Message::HealthReport { number: 0xe4, queue: 0xe5, busy: 0.125 });
    messages.push(Message::Request(request));
    messages.extend([FinalCode::Succeeded, FinalCode::Rejected, FinalCode::Failed].map(answer));
    messages.push(Message::CancelRequest { request_id: 0x33 });
    messages.push(Message::WatchEndpoints { epoch: 0x44 });
    messages.extend([true, false].map(endpoint_list));
    messages.push(Message::WatchRejected);
    messages.push(Message::WatchMap);
    messages.extend([true, false].map(extent_map));
    messages.extend([true, false].map(migrate));
    messages.extend(stages.map(state));
    messages
}

/// Kind, length and checksum of each message's frame.
const EXPECTED: [(u8, usize, u32); 48] = [
    (2, 146, 0x57885354),
    (2, 146, 0xb1c5ed36),
    (17, 428, 0x0aa2af5e),
    (1, 37, 0xd2ff7fd0),
    (1, 37, 0x3e09f474),
    (1, 37, 0x0efe1e69),
    (1, 37, 0xe20895cd),
    (1, 37, 0x83b65702),
    (3, 124, 0xb4ff067d),
    (3, 47, 0xe8a93d5e),
    (3, 124, 0x0a3eea8d),
    (3, 47, 0xb29319c1),
    (3, 124, 0xcc90a96c),
    (3, 47, 0x5cdd7460),
    (3, 124, 0x7251459c),
    (3, 47, 0x06e750ff),
    (3, 124, 0x4420585f),
    (3, 47, 0x85add9d3),
    (3, 124, 0xfae1b4af),
    (3, 47, 0xdf97fd4c),
    (3, 124, 0x3c4ff74e),
    (3, 47, 0x31d990ed),
    (3, 124, 0x828e1bbe),
    (3, 47, 0x6be3b472),
    (3, 124, 0x50adccc8),
    (3, 47, 0x32a0f444),
    (4, 22, 0x921d456f),
    (5, 16, 0x5f9d1802),
    (6, 24, 0x8553226d),
    (7, 136, 0x0a119c0c),
    (8, 102, 0x9cfb8cc5),
    (8, 102, 0x0854207f),
    (8, 102, 0xb048a340),
    (9, 20, 0x19944fc2),
    (10, 20, 0x4f6baec2),
    (11, 135, 0x9d5639e0),
    (11, 135, 0x2b72916b),
    (12, 12, 0x48674bc7),
    (13, 12, 0x48674bc7),
    (14, 224, 0xf466ab1e),
    (14, 224, 0x96165dc3),
    (15, 33, 0x492875a0),
    (15, 33, 0x96ed72ac),
    (16, 37, 0xa500681c),
    (16, 37, 0x42d0aa16),
    (16, 37, 0x6f4d9af9),
    (16, 37, 0x889d58f3),
    (16, 37, 0x3477fb27),
];

#[test]
fn encoded_bytes_of_every_message_are_unchanged() {
    let frame = |message: &Message<'_>| {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        (bytes[4], bytes.len(), crc32c::crc32c(&bytes))
    };
    assert_eq!(messages().iter().map(frame).collect::<Vec<_>>(), EXPECTED);
}
