//! The extent map against a reference model: an owner for every offset.

use magpiewick_extents::*;
use quickcheck::quickcheck;
use std::collections::BTreeMap;

const SIZE: u64 = 24;

/// Each offset's shard, version and whether an extent starts there.
type ReferenceMap = BTreeMap<u64, Vec<(u32, u32, bool)>>;

/// Applies a change to the reference model; `None` where the change must be rejected.
fn apply_to_reference(reference: &ReferenceMap, change: &Change) -> Option<ReferenceMap> {
    let mut after = reference.clone();
    let starts = |row: &Vec<(u32, u32, bool)>, at: u64| row.get(at as usize).is_some_and(|o| o.2);
    let end = |row: &Vec<(u32, u32, bool)>, start: u64| {
        (start + 1..row.len() as u64).find(|at| row[*at as usize].2).unwrap_or(row.len() as u64)
    };
    match *change {
        Change::Create { volume, size, shard } => {
            if size == 0 || after.contains_key(&volume) {
                return None;
            }
            after.insert(volume, (0..size).map(|at| (shard, 1, at == 0)).collect());
        }
        Change::Remove { volume } => _ = after.remove(&volume)?,
        Change::Switch { volume, start, shard, version } => {
            let row = after.get_mut(&volume).filter(|row| starts(row, start))?;
            if version <= row[start as usize].1 {
                return None;
            }
            for at in start..end(row, start) {
                (row[at as usize].0, row[at as usize].1) = (shard, version);
            }
        }
        Change::Split { volume, start, at } => {
            let row = after.get_mut(&volume).filter(|row| starts(row, start))?;
            if at <= start || at >= end(row, start) {
                return None;
            }
            row[at as usize].2 = true;
        }
        Change::Merge { volume, start } => {
            let row = after.get_mut(&volume).filter(|row| starts(row, start))?;
            let next = end(row, start);
            if next >= row.len() as u64 || row[next as usize].0 != row[start as usize].0 {
                return None;
            }
            let version = row[start as usize].1.max(row[next as usize].1);
            row[next as usize].2 = false;
            for at in start..end(row, start) {
                row[at as usize].1 = version;
            }
        }
    }
    Some(after)
}

fn change((kind, volume, a, b): (u8, u8, u8, u8)) -> Change {
    let (volume, start, at) = (u64::from(volume % 2), u64::from(a) % SIZE, u64::from(b) % SIZE);
    match kind % 8 {
        0 => Change::Create { volume, size: SIZE, shard: u32::from(a % 3) },
        1 if b % 8 == 0 => Change::Remove { volume },
        2 | 3 => Change::Switch { volume, start, shard: u32::from(b % 3), version: u32::from(b) },
        4 => Change::Merge { volume, start },
        _ => Change::Split { volume, start, at },
    }
}

quickcheck! {
    fn every_offset_has_the_owner_of_the_reference_map(steps: Vec<Vec<(u8, u8, u8, u8)>>) -> bool {
        let (mut map, mut reference) = (ExtentMap::default(), ReferenceMap::new());
        for step in steps {
            let changes: Vec<Change> = step.into_iter().map(change).collect();
            let before = map.clone();
            let after = changes.iter().try_fold(reference.clone(), |p, change| apply_to_reference(&p, change));
            let applied = map.apply(&Changes { epoch: map.epoch() + 1, changes });
            match (applied, after) {
                (Ok(()), Some(after)) => reference = after,
                // An error changes nothing, not even what stood before the fault.
                (Err(_), None) if map == before => {}
                _ => return false,
            }
            for (volume, row) in &reference {
                let mut spanned = map.overlapping(*volume, 0, SIZE).unwrap_or_default().into_iter();
                for (at, (shard, version, starts)) in row.iter().enumerate() {
                    let Some(e) = map.find(*volume, at as u64) else { return false };
                    let here = e.start <= at as u64 && (at as u64) < e.end;
                    if !here || (e.shard, e.version, e.start == at as u64) != (*shard, *version, *starts) {
                        return false;
                    }
                    if *starts && spanned.next() != Some(e) {
                        return false;
                    }
                }
                if spanned.next().is_some() || map.find(*volume, SIZE).is_some() {
                    return false;
                }
            }
        }
        true
    }
}

#[test]
fn missing_and_repeated_changes_are_distinguished() {
    let mut map = ExtentMap::default();
    let create =
        |epoch| Changes { epoch, changes: vec![Change::Create { volume: epoch, size: 9, shard: 0 }] };
    assert_eq!(map.apply(&create(2)), Err(MapError::EpochGap { current: 0, received: 2 }));
    assert_eq!(map.apply(&create(1)), Ok(()));
    assert_eq!(map.apply(&create(1)), Err(MapError::AlreadyApplied));
    assert_eq!((map.epoch(), map.extent_count()), (1, 1));
}

#[test]
fn a_million_extents_take_sixteen_bytes_each() {
    let rows: Vec<(u64, u32, u32)> = (0..1_000_000).map(|i| (i * 4096, (i % 60) as u32, 1)).collect();
    let volume = VolumeMap::new(1, 4096 * 1_000_000, &rows).unwrap();
    let map = ExtentMap::new(7, BTreeMap::from([(1, volume)]));
    assert_eq!((map.extent_count(), map.memory_bytes()), (1_000_000, 16_000_000));
    assert_eq!(map.find(1, 4096 * 77 + 5).map(|e| (e.start, e.shard)), Some((4096 * 77, 17)));
    assert_eq!(VolumeMap::new(1, 10, &[(0, 0, 1), (0, 1, 1)]), Err(MapError::NotContiguous { volume: 1 }));
    assert_eq!(VolumeMap::new(1, 10, &[(3, 0, 1)]), Err(MapError::NotContiguous { volume: 1 }));
}
