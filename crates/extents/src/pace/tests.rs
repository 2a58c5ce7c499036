use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// Moves that are asked in any order never pass a bound, and all begin once the others are over.
    fn the_budget_holds_and_starves_nobody(asked: Vec<(u8, u8)>) -> bool {
        let pace = Pace { at_once: 3, a_shard: 2, queue: 10 };
        let asked = asked.iter().map(|(a, b)| (u32::from(a % 5), u32::from(b % 5)));
        let mut left: Vec<(u32, u32)> = asked.filter(|(a, b)| a != b).collect();
        let mut under_way: Vec<(u32, u32)> = Vec::new();
        for _ in 0..=left.len() {
            left.retain(|m| {
                let may = pace.may_begin(&under_way, *m, 0) && !pace.may_begin(&under_way, *m, 10);
                under_way.extend(may.then_some(*m));
                !may
            });
            let at = |s: u32| under_way.iter().filter(|m| m.0 == s || m.1 == s).count();
            if under_way.len() > 3 || (0..5).any(|s| at(s) > 2) {
                return false;
            }
            under_way.pop();
        }
        left.is_empty()
    }
}
