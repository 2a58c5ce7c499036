//! How one extent moves from a source to a target: what the map service, the two nodes and the mover each keep
//! and answer. Four plain machines; what passes between them may be lost, come late or come from a mover that
//! is long dead, and each of them may stop and start anew at any step.
//!
//! Only the service's record decides who owns the extent. A node takes writes or reads only while its own
//! durable state says so, and that state changes only after the service's. Between the fence and the switch
//! nobody serves: short, and the only way in which no read is old and no write is lost.

/// Numbers the moves of an extent, from 1; a later move has a higher number.
pub type Number = u32;

/// How far a move is, as the service records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// Copying, while the source serves.
    Copying,
    /// The target has all that the source took, which serves no more.
    Copied,
    /// The target owns the extent.
    Moved,
    /// Given up: the source owns it as before.
    Abandoned,
}

/// The service's durable record of an extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Record {
    pub version: u32,
    pub number: Number,
    pub stage: Stage,
}

/// Why a machine does not do what it is asked: the asker's knowledge is old.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Refused;

impl Record {
    /// An extent that lies still.
    pub fn still(version: u32) -> Record {
        Record { version, number: 0, stage: Stage::Abandoned }
    }

    /// Begins a move; refused while another is under way.
    pub fn plan(&mut self) -> Result<Number, Refused> {
        if matches!(self.stage, Stage::Copying | Stage::Copied) {
            return Err(Refused);
        }
        (self.number, self.stage) = (self.number + 1, Stage::Copying);
        Ok(self.number)
    }

    /// Notes that the target holds all.
    pub fn copied(&mut self, number: Number) -> Result<(), Refused> {
        self.step(number, &[Stage::Copying, Stage::Copied], Stage::Copied)
    }

    /// Makes the target the owner, under the next version. From here on there is no way back.
    pub fn switch(&mut self, number: Number) -> Result<u32, Refused> {
        let again = self.stage == Stage::Moved;
        self.step(number, &[Stage::Copied, Stage::Moved], Stage::Moved)?;
        self.version += u32::from(!again);
        Ok(self.version)
    }

    /// Gives a move up; the source goes on under the version that it has.
    pub fn abandon(&mut self, number: Number) -> Result<(), Refused> {
        self.step(number, &[Stage::Copying, Stage::Copied, Stage::Abandoned], Stage::Abandoned)
    }

    fn step(&mut self, number: Number, from: &[Stage], to: Stage) -> Result<(), Refused> {
        if number != self.number || !from.contains(&self.stage) {
            return Err(Refused);
        }
        self.stage = to;
        Ok(())
    }
}

/// The source's state. The fence is durable, the note of what was written since a copy began is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Source {
    /// Counts the starts of its process.
    pub life: u8,
    /// The move that fenced it.
    pub fence: Option<Number>,
    /// Moves up to this one are over for it: what still comes of them is refused.
    pub over: Number,
    /// Set once it gave the extent away.
    pub released: bool,
}

impl Source {
    pub fn new() -> Source {
        Source { life: 0, fence: None, over: 0, released: false }
    }

    /// Whether it takes reads and writes.
    pub fn serves(&self) -> bool {
        self.fence.is_none() && !self.released
    }

    /// Serves no more until the move is over; asked twice it is fenced once. A later move's fence takes the place
    /// of an earlier one's, as the service plans no move before the last one is over.
    pub fn fence(&mut self, number: Number) -> Result<(), Refused> {
        if self.released || number <= self.over || self.fence.is_some_and(|f| f > number) {
            return Err(Refused);
        }
        self.fence = Some(number);
        Ok(())
    }

    /// What a copy that began in a life of the source still lacks, now that nothing new can come: true where that
    /// is all, as the note of later writes died with that life; else what was noted since.
    pub fn lacks_all(&self, number: Number, began: Option<u8>) -> Result<bool, Refused> {
        if self.fence != Some(number) {
            return Err(Refused);
        }
        Ok(began != Some(self.life))
    }

    /// The service recorded that the move was given up.
    pub fn unfence(&mut self, number: Number) -> Result<(), Refused> {
        if self.released || number < self.over || self.fence.is_some_and(|f| f > number) {
            return Err(Refused);
        }
        (self.fence, self.over) = (None, number);
        Ok(())
    }

    /// The service recorded that the target owns the extent: the data may go.
    pub fn release(&mut self, number: Number) -> Result<(), Refused> {
        if self.fence != Some(number) && !self.released {
            return Err(Refused);
        }
        (self.released, self.fence, self.over) = (true, None, number);
        Ok(())
    }

    pub fn restart(&mut self) {
        self.life += 1;
    }
}

impl Default for Source {
    fn default() -> Source {
        Source::new()
    }
}

/// The target's durable state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Target {
    /// The move whose copy it holds; one of an earlier move is dropped.
    pub holds: Option<Number>,
    pub serves: bool,
}

impl Target {
    /// Has received a whole copy, beside what it has of the same move; one of an earlier move is refused.
    pub fn take(&mut self, number: Number) -> Result<(), Refused> {
        if self.serves || self.holds.is_some_and(|held| held > number) {
            return Err(Refused);
        }
        self.holds = Some(number);
        Ok(())
    }

    /// Has received the rest of a copy; refused where it lost what came before.
    pub fn take_rest(&mut self, number: Number) -> Result<(), Refused> {
        if self.serves || self.holds != Some(number) {
            return Err(Refused);
        }
        Ok(())
    }

    /// The service recorded it as the owner.
    pub fn serve(&mut self, number: Number) -> Result<(), Refused> {
        if self.holds != Some(number) {
            return Err(Refused);
        }
        self.serves = true;
        Ok(())
    }

    /// The move was given up: the copy goes.
    pub fn drop_copy(&mut self, number: Number) -> Result<(), Refused> {
        if self.serves || self.holds.is_some_and(|held| held > number) {
            return Err(Refused);
        }
        self.holds = None;
        Ok(())
    }
}

/// What a mover asks next, and of whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Asked {
    /// Of the source and the target: copy all; the source's life at that time is noted.
    CopyAll,
    Fence,
    /// What the source took since the copy began, or all again ([`Source::lacks_all`]).
    CopyRest,
    RecordCopied,
    Switch,
    Serve,
    Release,
    /// The target lost its copy before it served: all again, of the source, which is fenced and has it still.
    CopyAgain,
    /// After a record of abandonment.
    DropCopy,
    Unfence,
    Nothing,
}

/// The mover of one move. It keeps nothing that must survive: a new one starts from the service's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Mover {
    pub number: Number,
    pub next: Asked,
    /// The source's life when the copy began.
    pub life: Option<u8>,
}

impl Mover {
    /// Goes on with what the service's record says.
    pub fn from(record: &Record) -> Mover {
        let next = match record.stage {
            Stage::Copying => Asked::CopyAll,
            Stage::Copied => Asked::Switch,
            Stage::Moved => Asked::Serve,
            Stage::Abandoned if record.number > 0 => Asked::DropCopy,
            Stage::Abandoned => Asked::Nothing,
        };
        Mover { number: record.number, next, life: None }
    }

    /// What it asked was done. `life` is the source's, where it told it.
    pub fn done(&mut self, life: Option<u8>) {
        self.next = match self.next {
            Asked::CopyAll => {
                self.life = life;
                Asked::Fence
            }
            Asked::Fence => Asked::CopyRest,
            Asked::CopyRest => Asked::RecordCopied,
            Asked::RecordCopied => Asked::Switch,
            Asked::Switch | Asked::CopyAgain => Asked::Serve,
            Asked::Serve => Asked::Release,
            Asked::DropCopy => Asked::Unfence,
            Asked::Release | Asked::Unfence | Asked::Nothing => Asked::Nothing,
        };
    }

    /// It was refused: its knowledge is old, and the service's record says how to go on.
    pub fn refused(&mut self, record: &Record) {
        let lost = self.next == Asked::Serve && record.stage == Stage::Moved && record.number == self.number;
        *self = Mover::from(record);
        if lost {
            self.next = Asked::CopyAgain;
        }
    }
}
