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

/// The source and the target shard of a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardPair {
    /// The shard that gives the extent up.
    pub source: u32,
    /// The shard that takes it over.
    pub target: u32,
}

impl ShardPair {
    fn touches(&self, shard: u32) -> bool {
        self.source == shard || self.target == shard
    }
}

impl MigrationLimits {
    /// Whether a migration may begin, with these running, and so many requests queued at its own two shards. One
    /// that has begun continues: between fence and switch nobody serves the extent, and a copy that pauses only
    /// grows its remainder. Where load never falls below the limit, the migration that would relieve it never
    /// begins; an operator then raises the limit.
    pub fn may_begin(&self, running: &[ShardPair], migration: ShardPair, queue_length: usize) -> bool {
        let at_shard = |shard: u32| running.iter().filter(|other| other.touches(shard)).count();
        running.len() < self.max_concurrent
            && at_shard(migration.source) < self.max_per_shard
            && at_shard(migration.target) < self.max_per_shard
            && queue_length < self.max_queue_length
    }
}

#[cfg(test)]
mod tests;
