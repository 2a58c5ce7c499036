use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// The model is a list of all ids in the order of their last use, each with its index.
    fn recent_ids_keep_distinct_indices(ids: Vec<u8>) -> bool {
        let (mut table, mut used): (RecentIdTable, Vec<(u64, usize)>) = (RecentIdTable::new(5), Vec::new());
        ids.into_iter().all(|id| {
            let id = u64::from(id % 40);
            let index = table.index_of(id);
            let position = used.iter().position(|s| s.0 == id);
            // With at most five other ids used since, the table must still contain the id.
            let stable = position.is_none_or(|at| used.len() - at > 5 || used[at].1 == index);
            used.retain(|s| s.0 != id);
            used.push((id, index));
            let recent = &used[used.len().saturating_sub(5)..];
            let unique = recent.iter().filter(|s| s.1 == index).count() == 1;
            stable && unique && index <= 11
        })
    }
}
