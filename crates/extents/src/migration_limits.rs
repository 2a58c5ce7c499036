//! Limits on concurrent migrations: a budget over all shards and for one shard, and precedence for client load.

/// Limits on concurrent migrations.
#[derive(Clone, Copy, Debug)]
pub struct MigrationLimits {
    /// Migrations that may run at once.
    pub max_concurrent: usize,
    /// Migrations from or to one shard that may run at once.
    pub max_per_shard: usize,
    /// Queued requests at a node from which on no migration begins there.
    pub max_queue_length: usize,
}

impl MigrationLimits {
    /// Whether a migration may begin, with these running as pairs of source and target shard, and so many requests
    /// queued at its own two. One that has begun continues: between fence and switch nobody serves the extent, and
    /// a copy that pauses only grows its remainder. Where load never falls below the limit, the migration that
    /// would relieve it never begins; an operator then raises the limit.
    pub fn may_begin(
        &self,
        running: &[(u32, u32)],
        (source, target): (u32, u32),
        queue_length: usize,
    ) -> bool {
        let at_shard = |shard: u32| running.iter().filter(|m| m.0 == shard || m.1 == shard).count();
        running.len() < self.max_concurrent
            && at_shard(source) < self.max_per_shard
            && at_shard(target) < self.max_per_shard
            && queue_length < self.max_queue_length
    }
}

#[cfg(test)]
mod tests;
