use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// A plain model: all ids in the order in which they were last met, each with the index that it had.
    fn an_id_keeps_its_index_while_it_is_among_the_latest_and_no_two_share_one(ids: Vec<u8>) -> bool {
        let (mut recent, mut met): (Recent, Vec<(u64, usize)>) = (Recent::new(5), Vec::new());
        ids.into_iter().all(|id| {
            let id = u64::from(id % 40);
            let index = recent.of(id);
            let before = met.iter().position(|m| m.0 == id);
            // Five others at most have been met since, so it must still be known.
            let kept = before.is_none_or(|at| met.len() - at > 5 || met[at].1 == index);
            met.retain(|m| m.0 != id);
            met.push((id, index));
            let latest = &met[met.len().saturating_sub(5)..];
            let alone = latest.iter().filter(|m| m.1 == index).count() == 1;
            kept && alone && index <= 11
        })
    }
}
