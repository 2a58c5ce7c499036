use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// Migrations requested in any order never exceed a limit, and all begin once the others are over.
    fn concurrency_limits_hold_and_every_migration_begins(requested: Vec<(u8, u8)>) -> bool {
        let limits = MigrationLimits { max_concurrent: 3, max_per_shard: 2, max_queue_length: 10 };
        let requested = requested.iter().map(|(a, b)| (u32::from(a % 5), u32::from(b % 5)));
        let mut pending: Vec<(u32, u32)> = requested.filter(|(a, b)| a != b).collect();
        let mut running: Vec<(u32, u32)> = Vec::new();
        for _ in 0..=pending.len() {
            pending.retain(|m| {
                let may = limits.may_begin(&running, *m, 0) && !limits.may_begin(&running, *m, 10);
                running.extend(may.then_some(*m));
                !may
            });
            let at = |s: u32| running.iter().filter(|m| m.0 == s || m.1 == s).count();
            if running.len() > 3 || (0..5).any(|s| at(s) > 2) {
                return false;
            }
            running.pop();
        }
        pending.is_empty()
    }
}
