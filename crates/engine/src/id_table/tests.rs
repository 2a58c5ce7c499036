use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// A plain model: all ids in the order in which they were last seen, each with the index that it had.
    fn a_recent_id_keeps_its_index_and_no_two_recent_ids_share_one(ids: Vec<u8>) -> bool {
        let (mut table, mut seen): (RecentIdTable, Vec<(u64, usize)>) = (RecentIdTable::new(5), Vec::new());
        ids.into_iter().all(|id| {
            let id = u64::from(id % 40);
            let index = table.index_of(id);
            let before = seen.iter().position(|s| s.0 == id);
            // At most five other ids were seen since, so the id must still be known.
            let stable = before.is_none_or(|at| seen.len() - at > 5 || seen[at].1 == index);
            seen.retain(|s| s.0 != id);
            seen.push((id, index));
            let recent = &seen[seen.len().saturating_sub(5)..];
            let unique = recent.iter().filter(|s| s.1 == index).count() == 1;
            stable && unique && index <= 11
        })
    }
}
