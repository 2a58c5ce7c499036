use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// Migrations requested in any order never exceed a limit, and each migration begins after the others are
    /// over.
    fn concurrency_limits_are_observed_and_every_migration_begins(requested: Vec<(u8, u8)>) -> bool {
        let limits = MigrationLimits { max_concurrent: 3, max_per_shard: 2, max_queue_length: 10 };
        let pair = |(a, b): &(u8, u8)| ShardPair { source: u32::from(a % 5), target: u32::from(b % 5) };
        let requested = requested.iter().map(pair);
        let mut pending: Vec<ShardPair> = requested.filter(|pair| pair.source != pair.target).collect();
        let mut running: Vec<ShardPair> = Vec::new();
        for _ in 0..=pending.len() {
            pending.retain(|m| {
                let may = limits.may_begin(&running, *m, 0) && !limits.may_begin(&running, *m, 10);
                running.extend(may.then_some(*m));
                !may
            });
            let running_at_shard = |s: u32| running.iter().filter(|m| m.source == s || m.target == s).count();
            if running.len() > 3 || (0..5).any(|s| running_at_shard(s) > 2) {
                return false;
            }
            running.pop();
        }
        pending.is_empty()
    }
}
