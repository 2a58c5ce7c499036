use super::*;

const FACTS: &str = "round_ns=2000000\nprofiles.count=1\nprofiles.0.slo_ns=200000000\n\
    profiles.0.hard_limit_ns=1000000000\nprofiles.0.semantics=idempotent\n\
    service_levels.count=1\nlimits.max_attempts=3\nodd.key=x";

fn frame(records: &[&[u8]]) -> Vec<u8> {
    let body = records.concat();
    let mut bytes = 9_000_000_000u64.to_le_bytes().to_vec();
    bytes.extend_from_slice(&((HEADER + body.len()) as u32).to_le_bytes());
    bytes.extend_from_slice(&(records.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&7u32.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

fn begun(settings: &str) -> Vec<u8> {
    let mut record = Reply::default();
    record.u8(6).u32(3).u64(1).u32(settings.len() as u32);
    [&record.bytes, settings.as_bytes()].concat()
}

fn table(node: u32) -> Vec<u8> {
    let mut record = Reply::default();
    record.u8(3).u16(0).u32(1).u32(node).u16(0).u8(0).u16(5).u8(0).u32(1f32.to_bits()).u64(0);
    record.bytes
}

fn listed() -> Vec<u8> {
    let mut record = Reply::default();
    record.u8(7).u32(3).u16(0).u64(1).u8(2);
    record.bytes
}

fn taken(id: u64) -> Vec<u8> {
    let mut record = Reply::default();
    record.u8(2).u32(3).u64(id).u16(0).u16(0).u64(9).u64(1_000_000_000).u64(4);
    record.u32(2f32.to_bits()).u32(5f32.to_bits()).u32(1f32.to_bits()).u8(0);
    record.bytes
}

fn answer(records: &[&[u8]]) -> Result<Vec<u8>, Fault> {
    let (mut input, mut frame_read) = (io::Cursor::new(frame(records)), Vec::new());
    let (mut process, mut reply) = (Process::default(), Reply::default());
    read_frame(&mut input, &mut frame_read)?;
    process.batch(&frame_read, &mut reply)?;
    Ok(reply.close()?.to_vec())
}

fn call_out(id: u64, node: u32) -> Vec<u8> {
    let mut action = Reply::default();
    action.u8(3).u32(3).u64(id).u32(node);
    action.bytes
}

fn holds(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|w| w == part)
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(answer(&[]).unwrap(), [8, 0, 0, 0, 7, 0, 0, 0]);
}

#[test]
fn tables_count_in_the_order_of_events() {
    let reply =
        answer(&[&begun(FACTS), &table(70), &listed(), &taken(11), &table(80), &listed(), &taken(12)])
            .unwrap();
    assert!(holds(&reply, &call_out(11, 70)) && holds(&reply, &call_out(12, 80)));
}

#[test]
fn a_new_start_in_the_same_batch_forgets_what_was_held() {
    let killed = [&[10u8][..], &3u32.to_le_bytes()].concat();
    let (start, list) = (begun(FACTS), listed());
    let reply = answer(&[&start, &table(70), &list, &killed, &start, &list, &taken(12)]).unwrap();
    assert!(holds(&reply, &call_out(12, 70)));
    assert!(answer(&[&start, &table(70), &list, &killed, &taken(12)]).is_err());
}

#[test]
fn bad_input_is_named_with_its_place() {
    let fault = |records: &[&[u8]]| answer(records).unwrap_err();
    assert!(fault(&[&[99]]).contains("unknown record code 99"));
    assert!(fault(&[&[3, 0, 0, 255, 255, 255, 255]]).contains("a table is cut short at byte 27"));
    assert!(fault(&[&begun(FACTS), &[11, 3]]).contains("the instance is cut short"));
    let bad = FACTS.replace("slo_ns=200000000", "slo_ns=soon");
    assert!(fault(&[&begun(&bad)]).contains("profiles.0.slo_ns"));
    let missing = FACTS.replace("round_ns", "other");
    assert!(fault(&[&begun(&missing)]).contains("round_ns is missing"));
    let mut long = frame(&[]);
    long[8] = 200;
    assert!(read_frame(&mut io::Cursor::new(&long), &mut Vec::new()).unwrap_err().contains("byte 20"));
    assert!(read_frame(&mut io::Cursor::new(&long[..5]), &mut Vec::new()).is_err());
}
