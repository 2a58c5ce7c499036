//! Migration of one extent from a source shard to a target shard: the states of the map service, the two nodes and
//! the coordinator. Messages between the four processes may be lost, delayed or sent by a coordinator that has
//! been replaced, and each of the four processes may restart at any step.
//!
//! Only the record of the map service decides which shard owns the extent. A node serves the extent only while
//! permitted by its own durable state, which changes only after the record of the service. Between the fence and
//! the switch no shard serves the extent, so that no read is stale and no write is lost.

/// Number of a migration of an extent, from 1; a later migration has a higher number.
pub type MigrationId = u32;

/// Stage of a migration in the record of the map service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// The extent is being copied while the source serves.
    Copying,
    /// The target stores all data that the source accepted; the source is fenced.
    Copied,
    /// The target owns the extent.
    Switched,
    /// The migration was abandoned; the source still owns the extent.
    Abandoned,
}

/// Durable record of an extent at the map service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MigrationRecord {
    /// Version of the extent.
    pub version: u32,
    /// Number of the latest migration; 0 if the extent was never migrated.
    pub id: MigrationId,
    /// Stage of the latest migration.
    pub stage: Stage,
}

/// Error: a step was rejected because the state of the coordinator is out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[error("a migration step was rejected: the coordinator's state is out of date")]
pub struct StaleCoordinator;

impl MigrationRecord {
    /// Returns the record of an extent that was never migrated.
    pub fn idle(version: u32) -> MigrationRecord {
        MigrationRecord { version, id: 0, stage: Stage::Abandoned }
    }

    /// Begins a migration; fails while another migration runs.
    pub fn begin(&mut self) -> Result<MigrationId, StaleCoordinator> {
        if matches!(self.stage, Stage::Copying | Stage::Copied) {
            return Err(StaleCoordinator);
        }
        self.id += 1;
        self.stage = Stage::Copying;
        Ok(self.id)
    }

    /// Records that the target stores all data.
    pub fn record_copied(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        self.transition(id, &[Stage::Copying, Stage::Copied], Stage::Copied)
    }

    /// Makes the target the owner and returns the new version. The migration cannot be abandoned afterwards.
    pub fn switch(&mut self, id: MigrationId) -> Result<u32, StaleCoordinator> {
        let repeated = self.stage == Stage::Switched;
        self.transition(id, &[Stage::Copied, Stage::Switched], Stage::Switched)?;
        self.version += u32::from(!repeated);
        Ok(self.version)
    }

    /// Abandons a migration; the source remains the owner of the extent under its version.
    pub fn abandon(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        self.transition(id, &[Stage::Copying, Stage::Copied, Stage::Abandoned], Stage::Abandoned)
    }

    fn transition(&mut self, id: MigrationId, from: &[Stage], to: Stage) -> Result<(), StaleCoordinator> {
        if id != self.id || !from.contains(&self.stage) {
            return Err(StaleCoordinator);
        }
        self.stage = to;
        Ok(())
    }
}

/// State of the source. The fence is durable; the log of writes since the copy began is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MigrationSource {
    /// Number of restarts of the source's process.
    pub incarnation: u8,
    /// Migration that fenced the source.
    pub fenced_by: Option<MigrationId>,
    /// Latest migration that is over; steps of this migration and of earlier migrations are rejected.
    pub finished: MigrationId,
    /// Set once the source no longer owns the extent.
    pub released: bool,
}

impl MigrationSource {
    /// Creates a source that serves its extent.
    pub fn new() -> MigrationSource {
        MigrationSource { incarnation: 0, fenced_by: None, finished: 0, released: false }
    }

    /// Returns whether the source serves reads and writes.
    pub fn is_serving(&self) -> bool {
        self.fenced_by.is_none() && !self.released
    }

    /// Stops serving until the migration is over; idempotent. The fence of a later migration replaces an earlier
    /// fence, because the service begins no migration before the previous migration is over.
    pub fn fence(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.released || id <= self.finished || self.fenced_by.is_some_and(|fence| fence > id) {
            return Err(StaleCoordinator);
        }
        self.fenced_by = Some(id);
        Ok(())
    }

    /// Returns whether the remainder of a copy is the whole extent, because the log of later writes was lost with
    /// the incarnation in which the copy began. The source must be fenced, so that no further write can follow.
    pub fn needs_full_copy(
        &self,
        id: MigrationId,
        copied_from: Option<u8>,
    ) -> Result<bool, StaleCoordinator> {
        if self.fenced_by != Some(id) {
            return Err(StaleCoordinator);
        }
        Ok(copied_from != Some(self.incarnation))
    }

    /// Resumes serving after the service recorded that the migration was abandoned.
    pub fn unfence(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.released || id < self.finished || self.fenced_by.is_some_and(|fence| fence > id) {
            return Err(StaleCoordinator);
        }
        self.fenced_by = None;
        self.finished = id;
        Ok(())
    }

    /// Releases the data after the service recorded the target as the owner.
    pub fn release(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.fenced_by != Some(id) && !self.released {
            return Err(StaleCoordinator);
        }
        self.released = true;
        self.fenced_by = None;
        self.finished = id;
        Ok(())
    }

    /// Handles a restart of the source's process.
    pub fn restart(&mut self) {
        self.incarnation += 1;
    }
}

impl Default for MigrationSource {
    fn default() -> MigrationSource {
        MigrationSource::new()
    }
}

/// Durable state of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MigrationTarget {
    /// Migration whose copy the target stores.
    pub copy_of: Option<MigrationId>,
    /// Set once the target serves the extent.
    pub serving: bool,
}

impl MigrationTarget {
    /// Stores a full copy, in addition to earlier data of the same migration; rejects the copy of an earlier
    /// migration.
    pub fn receive_copy(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.serving || self.copy_of.is_some_and(|copy_id| copy_id > id) {
            return Err(StaleCoordinator);
        }
        self.copy_of = Some(id);
        Ok(())
    }

    /// Stores the remainder of a copy; fails if the copy itself was lost.
    pub fn receive_remainder(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.serving || self.copy_of != Some(id) {
            return Err(StaleCoordinator);
        }
        Ok(())
    }

    /// Starts serving after the service recorded the target as the owner.
    pub fn start_serving(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.copy_of != Some(id) {
            return Err(StaleCoordinator);
        }
        self.serving = true;
        Ok(())
    }

    /// Removes the copy of an abandoned migration.
    pub fn drop_copy(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.serving || self.copy_of.is_some_and(|copy_id| copy_id > id) {
            return Err(StaleCoordinator);
        }
        self.copy_of = None;
        Ok(())
    }
}

/// Step of a migration, performed by the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MigrationStep {
    /// Copy the extent from source to target, and record the source's incarnation.
    CopyAll,
    /// Fence the source.
    Fence,
    /// Copy the writes that the source accepted since the copy began, or the whole extent
    /// ([`MigrationSource::needs_full_copy`]).
    CopyRemainder,
    /// Record at the service that the target stores all data.
    RecordCopied,
    /// Record at the service that the target is the owner.
    Switch,
    /// Start serving at the target.
    Serve,
    /// Release the data at the source.
    Release,
    /// Copy the extent again from the fenced source, because the target lost its copy before it served.
    CopyAgain,
    /// Remove the copy of an abandoned migration at the target.
    DropCopy,
    /// Resume serving at the source of an abandoned migration.
    Unfence,
    /// The migration is over.
    Done,
}

/// State of one migration at the coordinator. The state need not be durable: a new coordinator resumes from the
/// record of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Migration {
    /// Number of the migration.
    pub id: MigrationId,
    /// Step that the coordinator performs next.
    pub next_step: MigrationStep,
    /// Incarnation of the source when the copy began.
    pub copied_from: Option<u8>,
}

impl Migration {
    /// Resumes a migration from the record of the service.
    pub fn resume(record: &MigrationRecord) -> Migration {
        let next_step = match record.stage {
            Stage::Copying => MigrationStep::CopyAll,
            Stage::Copied => MigrationStep::Switch,
            Stage::Switched => MigrationStep::Serve,
            Stage::Abandoned if record.id > 0 => MigrationStep::DropCopy,
            Stage::Abandoned => MigrationStep::Done,
        };
        Migration { id: record.id, next_step, copied_from: None }
    }

    /// Advances after a successful step. `incarnation` is the incarnation of the source, if the step reported it.
    pub fn on_success(&mut self, incarnation: Option<u8>) {
        self.next_step = match self.next_step {
            MigrationStep::CopyAll => {
                self.copied_from = incarnation;
                MigrationStep::Fence
            }
            MigrationStep::Fence => MigrationStep::CopyRemainder,
            MigrationStep::CopyRemainder => MigrationStep::RecordCopied,
            MigrationStep::RecordCopied => MigrationStep::Switch,
            MigrationStep::Switch | MigrationStep::CopyAgain => MigrationStep::Serve,
            MigrationStep::Serve => MigrationStep::Release,
            MigrationStep::DropCopy => MigrationStep::Unfence,
            MigrationStep::Release | MigrationStep::Unfence | MigrationStep::Done => MigrationStep::Done,
        };
    }

    /// Resumes from the record of the service after a step was rejected.
    pub fn on_rejected(&mut self, record: &MigrationRecord) {
        let copy_lost =
            self.next_step == MigrationStep::Serve && record.stage == Stage::Switched && record.id == self.id;
        *self = Migration::resume(record);
        if copy_lost {
            self.next_step = MigrationStep::CopyAgain;
        }
    }
}
