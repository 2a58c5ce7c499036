//! Migration of one extent: execution of each step on the data of the shards.

use crate::data_store::DataStore;
use magpiewick_extents::{
    Migration, MigrationRecord, MigrationSource, MigrationStep, MigrationTarget, ShardPair, Stage,
    StaleCoordinator,
};
use std::collections::BTreeSet;
use std::ops::Range;

/// State of one extent that is being migrated.
pub(crate) struct ExtentMigration {
    pub shards: ShardPair,
    pub record: MigrationRecord,
    pub source: MigrationSource,
    pub target: MigrationTarget,
    /// `None` while the coordinator is down.
    pub coordinator: Option<Migration>,
    /// Keys written at the source since the copy began.
    pub written_keys: BTreeSet<u64>,
}

impl ExtentMigration {
    /// Returns whether the migration has begun: the target has received a copy, or the migration is past
    /// the copying stage.
    pub(crate) fn has_begun(&self) -> bool {
        self.target.copy_of.is_some() || self.record.stage != Stage::Copying
    }

    /// Performs a step on the key range of the extent; returns the incarnation of the source if the step reports
    /// it.
    pub(crate) fn perform(
        &mut self,
        coordinator: &Migration,
        volume: u64,
        range: Range<u64>,
        store: &mut DataStore,
    ) -> Result<Option<u8>, StaleCoordinator> {
        let id = coordinator.id;
        match coordinator.next_step {
            MigrationStep::CopyAll | MigrationStep::CopyAgain => {
                self.target.receive_copy(id)?;
                store.copy(volume, self.shards, range, |_| true);
                self.written_keys.clear();
                return Ok(Some(self.source.incarnation));
            }
            MigrationStep::Fence => self.source.fence(id)?,
            MigrationStep::CopyRemainder => {
                let copy_all = self.source.needs_full_copy(id, coordinator.copied_from)?;
                self.target.receive_remainder(id)?;
                store.copy(volume, self.shards, range, |key| copy_all || self.written_keys.contains(&key));
            }
            MigrationStep::RecordCopied => self.record.record_copied(id)?,
            MigrationStep::Switch => _ = self.record.switch(id)?,
            MigrationStep::Serve => self.target.start_serving(id)?,
            MigrationStep::Release => {
                self.source.release(id)?;
                store.remove(self.shards.source, volume, range);
            }
            MigrationStep::DropCopy => {
                self.target.drop_copy(id)?;
                store.remove(self.shards.target, volume, range);
            }
            MigrationStep::Unfence => self.source.unfence(id)?,
            MigrationStep::Done => {}
        }
        Ok(None)
    }
}

/// Returns whether a step needs a process of the source shard.
pub(crate) fn needs_source(step: MigrationStep) -> bool {
    matches!(
        step,
        MigrationStep::CopyAll
            | MigrationStep::CopyAgain
            | MigrationStep::Fence
            | MigrationStep::CopyRemainder
            | MigrationStep::Release
            | MigrationStep::Unfence
    )
}

/// Returns whether a step needs a process of the target shard.
pub(crate) fn needs_target(step: MigrationStep) -> bool {
    matches!(
        step,
        MigrationStep::CopyAll
            | MigrationStep::CopyAgain
            | MigrationStep::CopyRemainder
            | MigrationStep::Serve
            | MigrationStep::DropCopy
    )
}

/// Returns whether a step changes the record of the map service.
pub(crate) fn needs_service(step: MigrationStep) -> bool {
    matches!(step, MigrationStep::RecordCopied | MigrationStep::Switch)
}
