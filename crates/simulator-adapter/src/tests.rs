use crate::error::AdapterError;
use crate::frame::{read_frame, HEADER_LENGTH};
use crate::process::Process;
use crate::reply::Reply;
use std::io;

const INSTANCE: u32 = 3;

// The wire's codes are repeated here, so that a changed constant fails these tests.
const REQUEST: u8 = 2;
const TABLE: u8 = 3;
const START: u8 = 6;
const ENDPOINT_UPDATE: u8 = 7;
const KILL: u8 = 10;
const SEND: u8 = 3;

const SETTINGS: &str = "round_ns=2000000\nprofiles.count=1\nprofiles.0.slo_ns=200000000\n\
    profiles.0.hard_limit_ns=1000000000\nprofiles.0.semantics=idempotent\n\
    service_levels.count=1\nlimits.max_attempts=3\nodd.key=x";

fn frame(records: &[&[u8]]) -> Vec<u8> {
    let body = records.concat();
    let mut bytes = 9_000_000_000u64.to_le_bytes().to_vec();
    bytes.extend_from_slice(&((HEADER_LENGTH + body.len()) as u32).to_le_bytes());
    bytes.extend_from_slice(&(records.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&7u32.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

fn start_record(settings: &str) -> Vec<u8> {
    let mut record = Reply::default();
    record.u8(START).u32(INSTANCE).u64(1).u32(settings.len() as u32);
    [record.bytes(), settings.as_bytes()].concat()
}

fn table_record(node: u32) -> Vec<u8> {
    let mut record = Reply::default();
    record.u8(TABLE).u16(0).u32(1).u32(node).u16(0).u8(0).u16(5).u8(0).u32(1f32.to_bits()).u64(0);
    record.bytes().to_vec()
}

fn endpoint_update() -> Vec<u8> {
    let mut record = Reply::default();
    record.u8(ENDPOINT_UPDATE).u32(INSTANCE).u16(0).u64(1).u8(2);
    record.bytes().to_vec()
}

fn request(id: u64) -> Vec<u8> {
    let mut record = Reply::default();
    record.u8(REQUEST).u32(INSTANCE).u64(id).u16(0).u16(0).u64(9).u64(1_000_000_000).u64(4);
    record.u32(2f32.to_bits()).u32(5f32.to_bits()).u32(1f32.to_bits()).u8(0);
    record.bytes().to_vec()
}

fn reply_to(records: &[&[u8]]) -> Result<Vec<u8>, AdapterError> {
    let (mut input, mut frame_read) = (io::Cursor::new(frame(records)), Vec::new());
    let (mut process, mut reply) = (Process::default(), Reply::default());
    read_frame(&mut input, &mut frame_read)?;
    process.apply_batch(&frame_read, &mut reply)?;
    Ok(reply.close()?.to_vec())
}

fn send_action(id: u64, node: u32) -> Vec<u8> {
    let mut action = Reply::default();
    action.u8(SEND).u32(INSTANCE).u64(id).u32(node);
    action.bytes().to_vec()
}

fn contains(bytes: &[u8], pattern: &[u8]) -> bool {
    bytes.windows(pattern.len()).any(|w| w == pattern)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(reply_to(&[]).unwrap(), [8, 0, 0, 0, 7, 0, 0, 0]);
}

#[test]
fn an_endpoint_update_uses_the_table_sent_before_it() {
    let reply = reply_to(&[
        &start_record(SETTINGS),
        &table_record(70),
        &endpoint_update(),
        &request(11),
        &table_record(80),
        &endpoint_update(),
        &request(12),
    ])
    .unwrap();
    assert!(contains(&reply, &send_action(11, 70)) && contains(&reply, &send_action(12, 80)));
}

#[test]
fn an_instance_restarted_in_one_batch_starts_without_state() {
    let kill = [&[KILL][..], &INSTANCE.to_le_bytes()].concat();
    let (start, update) = (start_record(SETTINGS), endpoint_update());
    let reply =
        reply_to(&[&start, &table_record(70), &update, &kill, &start, &update, &request(12)]).unwrap();
    assert!(contains(&reply, &send_action(12, 70)));
    assert!(reply_to(&[&start, &table_record(70), &update, &kill, &request(12)]).is_err());
}

#[test]
fn invalid_input_is_reported_with_its_position() {
    let error = |records: &[&[u8]]| reply_to(records).unwrap_err().to_string();
    assert!(error(&[&[99]]).contains("unknown record code 99"));
    assert!(error(&[&[3, 0, 0, 255, 255, 255, 255]]).contains("a table is cut short at byte 27"));
    assert!(error(&[&start_record(SETTINGS), &[11, 3]]).contains("the instance is cut short"));
    let bad = SETTINGS.replace("slo_ns=200000000", "slo_ns=soon");
    assert!(error(&[&start_record(&bad)]).contains("profiles.0.slo_ns"));
    let missing = SETTINGS.replace("round_ns", "other");
    assert!(error(&[&start_record(&missing)]).contains("round_ns is missing"));
    let mut oversized = frame(&[]);
    oversized[8] = 200;
    assert!(read_frame(&mut io::Cursor::new(&oversized), &mut Vec::new())
        .unwrap_err()
        .to_string()
        .contains("byte 20"));
    assert!(read_frame(&mut io::Cursor::new(&oversized[..5]), &mut Vec::new()).is_err());
}
