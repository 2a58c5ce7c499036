//! The migration of one extent from a source shard to a target shard: the state that the map service, the two
//! nodes and the coordinator each keep. Messages between the four may be lost, delayed or sent by a coordinator
//! that has been replaced, and each of the four may restart at any step.
//!
//! Only the map service's record decides who owns the extent. A node serves it only while its own durable state
//! says so, and that state changes only after the service's. Between the fence and the switch nobody serves the
//! extent, so that no read is stale and no write is lost.

/// Numbers the migrations of one extent, from 1; a later migration has a higher number.
pub type MigrationId = u32;

/// How far a migration is, as the map service records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// Copying, while the source serves.
    Copying,
    /// The target holds all that the source took; the source is fenced.
    Copied,
    /// The target owns the extent.
    Switched,
    /// Cancelled: the source owns the extent as before.
    Abandoned,
}

/// The map service's durable record of an extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MigrationRecord {
    /// The extent's version.
    pub version: u32,
    /// The latest migration, 0 where there was none.
    pub id: MigrationId,
    /// How far the latest migration is.
    pub stage: Stage,
}

/// A step was rejected because the coordinator's state is out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[error("a migration step was rejected: the coordinator's state is out of date")]
pub struct StaleCoordinator;

impl MigrationRecord {
    /// The record of an extent that was never migrated.
    pub fn idle(version: u32) -> MigrationRecord {
        MigrationRecord { version, id: 0, stage: Stage::Abandoned }
    }

    /// Begins a migration; rejected while another one runs.
    pub fn begin(&mut self) -> Result<MigrationId, StaleCoordinator> {
        if matches!(self.stage, Stage::Copying | Stage::Copied) {
            return Err(StaleCoordinator);
        }
        self.id += 1;
        self.stage = Stage::Copying;
        Ok(self.id)
    }

    /// Records that the target holds all data.
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

    /// Abandons a migration; the source keeps the extent under its version.
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

/// The source's state. The fence is durable; the log of writes since the copy began is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MigrationSource {
    /// Counts the restarts of its process.
    pub incarnation: u8,
    /// The migration that fenced it.
    pub fenced_by: Option<MigrationId>,
    /// The latest migration that is over; steps of it and of earlier ones are rejected.
    pub finished: MigrationId,
    /// Set once it no longer owns the extent.
    pub released: bool,
}

impl MigrationSource {
    /// A source that serves its extent.
    pub fn new() -> MigrationSource {
        MigrationSource { incarnation: 0, fenced_by: None, finished: 0, released: false }
    }

    /// Whether it serves reads and writes.
    pub fn is_serving(&self) -> bool {
        self.fenced_by.is_none() && !self.released
    }

    /// Stops serving until the migration is over; idempotent. A later migration's fence replaces an earlier one's,
    /// as the service begins no migration before the last one is over.
    pub fn fence(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.released || id <= self.finished || self.fenced_by.is_some_and(|fence| fence > id) {
            return Err(StaleCoordinator);
        }
        self.fenced_by = Some(id);
        Ok(())
    }

    /// Whether the remainder of a copy is the whole extent again, as the log of later writes was lost with the
    /// incarnation in which the copy began. Only a fenced source can tell: no write may follow.
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

    /// Serves again, after the service recorded that the migration was abandoned.
    pub fn unfence(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.released || id < self.finished || self.fenced_by.is_some_and(|fence| fence > id) {
            return Err(StaleCoordinator);
        }
        self.fenced_by = None;
        self.finished = id;
        Ok(())
    }

    /// Gives up the data, after the service recorded the target as the owner.
    pub fn release(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.fenced_by != Some(id) && !self.released {
            return Err(StaleCoordinator);
        }
        self.released = true;
        self.fenced_by = None;
        self.finished = id;
        Ok(())
    }

    /// Its process started anew.
    pub fn restart(&mut self) {
        self.incarnation += 1;
    }
}

impl Default for MigrationSource {
    fn default() -> MigrationSource {
        MigrationSource::new()
    }
}

/// The target's durable state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MigrationTarget {
    /// The migration whose copy it holds.
    pub copy_of: Option<MigrationId>,
    /// Whether it serves the extent.
    pub serving: bool,
}

impl MigrationTarget {
    /// Stores a full copy, in addition to what it holds of the same migration; rejects an earlier migration's.
    pub fn receive_copy(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.serving || self.copy_of.is_some_and(|held| held > id) {
            return Err(StaleCoordinator);
        }
        self.copy_of = Some(id);
        Ok(())
    }

    /// Stores the remainder of a copy; rejected where the copy itself was lost.
    pub fn receive_remainder(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.serving || self.copy_of != Some(id) {
            return Err(StaleCoordinator);
        }
        Ok(())
    }

    /// Serves, after the service recorded it as the owner.
    pub fn start_serving(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.copy_of != Some(id) {
            return Err(StaleCoordinator);
        }
        self.serving = true;
        Ok(())
    }

    /// Drops the copy of an abandoned migration.
    pub fn drop_copy(&mut self, id: MigrationId) -> Result<(), StaleCoordinator> {
        if self.serving || self.copy_of.is_some_and(|held| held > id) {
            return Err(StaleCoordinator);
        }
        self.copy_of = None;
        Ok(())
    }
}

/// The next step of a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MigrationStep {
    /// Copy the extent from source to target, and note the source's incarnation.
    CopyAll,
    /// Fence the source.
    Fence,
    /// Copy what the source took since the copy began, or all ([`MigrationSource::needs_full_copy`]).
    CopyRemainder,
    /// Have the service record that the target holds all data.
    RecordCopied,
    /// Have the service make the target the owner.
    Switch,
    /// Have the target serve.
    Serve,
    /// Have the source release its data.
    Release,
    /// The target lost its copy before it served: copy the extent again from the fenced source.
    CopyAgain,
    /// Have the target drop the copy of an abandoned migration.
    DropCopy,
    /// Have the source of an abandoned migration serve again.
    Unfence,
    /// The migration is over.
    Done,
}

/// The coordinator's state of one migration. It need not survive: a new coordinator resumes from the service's
/// record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Migration {
    /// Which migration of the extent this is.
    pub id: MigrationId,
    /// The step to take next.
    pub next_step: MigrationStep,
    /// The source's incarnation when the copy began.
    pub copied_from: Option<u8>,
}

impl Migration {
    /// Resumes from the service's record.
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

    /// The step succeeded. `incarnation` is the source's, where the step reported it.
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

    /// The step was rejected: resumes from the service's record.
    pub fn on_rejected(&mut self, record: &MigrationRecord) {
        let copy_lost =
            self.next_step == MigrationStep::Serve && record.stage == Stage::Switched && record.id == self.id;
        *self = Migration::resume(record);
        if copy_lost {
            self.next_step = MigrationStep::CopyAgain;
        }
    }
}
