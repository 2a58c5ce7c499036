//! Limits on concurrent migrations: a budget for all shards and for each shard, and precedence for client load.

/// Limits on concurrent migrations.
#[derive(Clone, Copy, Debug)]
pub struct MigrationLimits {
    /// Number of migrations that may run concurrently.
    pub max_concurrent: usize,
    /// Number of migrations from or to one shard that may run concurrently.
    pub max_per_shard: usize,
    /// Number of queued requests at a node at which no migration from or to the node begins.
    pub max_queue_length: usize,
}

/// Source and target shard of a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardPair {
    /// Shard that owns the extent before the migration.
    pub source: u32,
    /// Shard that owns the extent after the migration.
    pub target: u32,
}

impl ShardPair {
    fn touches(&self, shard: u32) -> bool {
        self.source == shard || self.target == shard
    }
}

impl MigrationLimits {
    /// Returns whether a migration may begin, given the running migrations and the number of requests queued at
    /// its two shards. A migration that has begun always continues: between fence and switch no shard serves the
    /// extent, and pausing a copy only increases its remainder. If the load never falls below the limit, a
    /// migration that would reduce the load never begins; an operator must then raise the limit.
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
