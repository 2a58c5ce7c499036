//! The messages and their fields. Times travel as lengths in microseconds, never as points on a clock, as no
//! two machines share one.

use crate::fields::Fields;
use crate::{Fault, MOST_LINES, MOST_PAYLOAD};

/// The version of the protocol that this package speaks.
pub const VERSION: u16 = 1;
/// Bytes of a line of a list.
pub const LINE: usize = 38;
/// The age of a process that started long ago.
pub const LONG_AGO: u64 = u64::MAX;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Client,
    Host,
    Node,
    List,
}

/// The first message either way on every connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The lowest and highest version spoken; the highest that both speak holds.
    pub lowest: u16,
    pub highest: u16,
    pub role: Role,
    /// Number of the node or host; what a client likes.
    pub number: u32,
    /// Drawn anew at every start of the process.
    pub life: u64,
    /// How long ago the process started; [`LONG_AGO`] where it no longer matters.
    pub age_us: u64,
}

impl Hello {
    /// The greeting of this version.
    pub fn of(role: Role, number: u32, life: u64, age_us: u64) -> Hello {
        Hello { lowest: VERSION, highest: VERSION, role, number, life, age_us }
    }
}

/// A request on its way from a host to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    pub request_id: u64,
    /// Counts a request's attempts from 0.
    pub attempt: u16,
    pub class: u16,
    pub write: bool,
    pub volume: u64,
    /// The piece of data; 0 for none.
    pub key: u64,
    /// The client's mark by which a repeat is known; 0 for none.
    pub mark: u64,
    pub units: f32,
    pub shard: u32,
    /// How long the client still waits: a node does not begin the request after it.
    pub left_us: u32,
    /// The version of the extent as the host knows it; 0 where it follows no map.
    pub version: u32,
    /// How many blocks from the key on; 0 where the key is a piece by itself, of whatever size.
    pub blocks: u32,
    pub payload: &'a [u8],
}

/// How an attempt ended, as it stands on the wire: the module's outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeCode {
    Succeeded,
    Error,
    Overloaded,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    DeadlineExceeded,
    /// The node does not hold the piece of data (any more, or for the moment): nothing ran.
    ShardMoved,
}

/// A node's answer to one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome<'a> {
    pub request_id: u64,
    pub attempt: u16,
    pub code: OutcomeCode,
    /// The volume's service everywhere in a finished period, as a part of its plan's rate; none where unknown.
    pub used: Option<f32>,
    /// Units that the node served the volume through other hosts since its last answer to this one.
    pub others: f32,
    /// Requests that wait at the node, and the part of its cores that is busy.
    pub queue: u32,
    pub busy: f32,
    /// With `ShardMoved`: the shard that owns the extent, where the node knows it, and the extent's version.
    pub owner: Option<u32>,
    pub version: u32,
    pub payload: &'a [u8],
}

/// A request as a client asks it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Take<'a> {
    /// The client's own number for it, not used again on this connection.
    pub request_id: u64,
    pub class: u16,
    pub write: bool,
    pub volume: u64,
    pub key: u64,
    pub mark: u64,
    pub units: f32,
    /// How long the client waits.
    pub limit_us: u32,
    /// How many blocks from the key on; 0 where the key is a piece by itself.
    pub blocks: u32,
    pub payload: &'a [u8],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalCode {
    Succeeded,
    /// Trying again is harmless.
    Rejected,
    /// Nothing is promised.
    Failed,
}

/// The one final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Final<'a> {
    pub request_id: u64,
    pub verdict: FinalCode,
    /// When a rejected client best comes back; 0 for no advice.
    pub back_us: u32,
    /// What a read brought; else the word for the reason.
    pub payload: &'a [u8],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

/// A line of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    pub node: u32,
    pub shard: u32,
    pub zone: u16,
    pub state: State,
    pub life: u64,
    pub age_us: u64,
    /// IPv4 address and port at which the node listens.
    pub address: [u8; 4],
    pub port: u16,
}

/// What one line of map news says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mapped {
    /// An extent of a whole map: `at` is its end.
    Extent,
    /// A new volume of one extent: `at` is its size.
    Create,
    Remove,
    /// The extent at `start` has another owner, or the same under a new version.
    Switch,
    /// The extent at `start` is cut at `at`.
    Split,
    /// The extent at `start` and the next one are one.
    Merge,
}

/// A line of map news; what its kind does not use is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapLine {
    pub kind: Mapped,
    pub volume: u64,
    pub start: u64,
    pub at: u64,
    pub shard: u32,
    pub version: u32,
}

/// How far a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStage {
    /// The extent lies still; what was asked could not be done.
    Still,
    Copying,
    Copied,
    Moved,
    Abandoned,
}

/// News of the extent map: all of it, in parts that follow each other from 0 on, or the changes of one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MapNews {
    pub whole: bool,
    pub epoch: u64,
    pub part: u32,
    pub last: bool,
    pub lines: Vec<MapLine>,
}

/// News of the list: all of it, or what changed since the epoch before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    pub whole: bool,
    pub epoch: u64,
    pub lines: Vec<Line>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    Hello(Hello),
    Attempt(Attempt<'a>),
    /// Attempts that travel as one request of the node; each gets its own outcome.
    Batch(Vec<Attempt<'a>>),
    Outcome(Outcome<'a>),
    Cancel {
        request_id: u64,
        attempt: u16,
    },
    Probe {
        number: u32,
    },
    Probed {
        number: u32,
        queue: u32,
        busy: f32,
    },
    Take(Take<'a>),
    Final(Final<'a>),
    GiveUp {
        request_id: u64,
    },
    /// Asks for the list from this epoch on (0: all of it) and for its changes; answered by a list or `Refused`.
    Watch {
        epoch: u64,
    },
    List(List),
    Refused,
    /// Asks for the extent map and for its changes from then on.
    WatchMap,
    Map(MapNews),
    /// Asks the map service to move the extent at `start` to a shard, or to give its move up.
    Move {
        volume: u64,
        start: u64,
        shard: u32,
        abandon: bool,
    },
    /// How far the move of an extent is; the answer to `Move`.
    MoveState {
        volume: u64,
        start: u64,
        from: u32,
        to: u32,
        stage: MoveStage,
    },
}

/// A table of a field's values: the place in it is the number on the wire.
fn pick<T: Copy>(table: &[T], number: u8, field: &'static str) -> Result<T, Fault> {
    table.get(usize::from(number)).copied().ok_or(Fault::Impossible(field))
}

fn place<T: PartialEq>(table: &[T], value: &T) -> u8 {
    table.iter().position(|v| v == value).unwrap_or(0) as u8
}

const ROLES: [Role; 4] = [Role::Client, Role::Host, Role::Node, Role::List];
const STATES: [State; 3] = [State::Ready, State::Draining, State::Gone];
const VERDICTS: [FinalCode; 3] = [FinalCode::Succeeded, FinalCode::Rejected, FinalCode::Failed];
const CODES: [OutcomeCode; 9] = [
    OutcomeCode::Succeeded,
    OutcomeCode::Error,
    OutcomeCode::Overloaded,
    OutcomeCode::TimedOut,
    OutcomeCode::ConnectFailed,
    OutcomeCode::Reset,
    OutcomeCode::Cancelled,
    OutcomeCode::DeadlineExceeded,
    OutcomeCode::ShardMoved,
];
const MAPPED: [Mapped; 6] =
    [Mapped::Extent, Mapped::Create, Mapped::Remove, Mapped::Switch, Mapped::Split, Mapped::Merge];
const STAGES: [MoveStage; 5] =
    [MoveStage::Still, MoveStage::Copying, MoveStage::Copied, MoveStage::Moved, MoveStage::Abandoned];
/// Bytes of a line of map news.
pub const MAP_LINE: usize = 33;
/// Stands for an unknown owner.
const NO_OWNER: u32 = u32::MAX;
/// Stands for an unknown use.
const NO_USE: f32 = f32::MAX;

fn payload_within(payload: &[u8]) -> Result<&[u8], Fault> {
    (payload.len() <= MOST_PAYLOAD).then_some(payload).ok_or(Fault::Impossible("payload"))
}

impl<'a> Message<'a> {
    /// None for a kind that is not known.
    pub(crate) fn decode(kind: u8, f: &mut Fields, payload: &'a [u8]) -> Result<Option<Message<'a>>, Fault> {
        Ok(Some(match kind {
            1 => Message::Hello(Hello {
                lowest: f.u16("lowest version")?,
                highest: f.u16("highest version")?,
                role: pick(&ROLES, f.u8("role")?, "role")?,
                number: f.u32("number")?,
                life: f.u64("life")?,
                age_us: f.u64("age")?,
            }),
            2 => Message::Attempt(attempt(f, payload)?),
            3 => Message::Outcome(Outcome {
                request_id: f.u64("command")?,
                attempt: f.u16("hand-off")?,
                code: pick(&CODES, f.u8("outcome")?, "outcome")?,
                used: Some(f.amount("use")?).filter(|used| *used < NO_USE),
                others: f.amount("units of others")?,
                queue: f.u32("queue")?,
                busy: f.amount("busy part")?,
                owner: Some(f.u32("owner")?).filter(|owner| *owner != NO_OWNER),
                version: f.u32("version")?,
                payload: payload_within(payload)?,
            }),
            4 => Message::Cancel { request_id: f.u64("command")?, attempt: f.u16("hand-off")? },
            5 => Message::Probe { number: f.u32("number")? },
            6 => Message::Probed {
                number: f.u32("number")?,
                queue: f.u32("queue")?,
                busy: f.amount("busy part")?,
            },
            7 => Message::Take(Take {
                request_id: f.u64("command")?,
                class: f.u16("band")?,
                write: f.flag("write mark")?,
                volume: f.u64("volume")?,
                key: f.u64("key")?,
                mark: f.u64("mark")?,
                units: f.amount("units")?,
                limit_us: f.u32("time limit")?,
                blocks: f.u32("blocks")?,
                payload: payload_within(payload)?,
            }),
            8 => Message::Final(Final {
                request_id: f.u64("command")?,
                verdict: pick(&VERDICTS, f.u8("final answer")?, "final answer")?,
                back_us: f.u32("time to come back")?,
                payload: payload_within(payload)?,
            }),
            9 => Message::GiveUp { request_id: f.u64("command")? },
            10 => Message::Watch { epoch: f.u64("epoch")? },
            11 => Message::List(List {
                whole: f.flag("whole mark")?,
                epoch: f.u64("epoch")?,
                lines: lines(payload)?,
            }),
            12 => Message::Refused,
            13 => Message::WatchMap,
            14 => Message::Map(MapNews {
                whole: f.flag("whole mark")?,
                epoch: f.u64("epoch")?,
                part: f.u32("part")?,
                last: f.flag("last mark")?,
                lines: map_lines(payload)?,
            }),
            15 => Message::Move {
                volume: f.u64("volume")?,
                start: f.u64("start")?,
                shard: f.u32("shard")?,
                abandon: f.flag("abandon mark")?,
            },
            16 => Message::MoveState {
                volume: f.u64("volume")?,
                start: f.u64("start")?,
                from: f.u32("source")?,
                to: f.u32("target")?,
                stage: pick(&STAGES, f.u8("stage")?, "stage")?,
            },
            17 => Message::Batch(batch(f.u16("parts")?, payload)?),
            _ => return Ok(None),
        }))
    }

    /// Appends the fields; the kind and what follows the fields come back.
    pub(crate) fn encode<'m>(&'m self, out: &mut Vec<u8>) -> (u8, &'m [u8]) {
        match self {
            Message::Hello(m) => {
                put(out, &[&m.lowest.to_le_bytes(), &m.highest.to_le_bytes(), &[place(&ROLES, &m.role)]]);
                put(out, &[&m.number.to_le_bytes(), &m.life.to_le_bytes(), &m.age_us.to_le_bytes()]);
                (1, &[])
            }
            Message::Attempt(m) => {
                put_hand_off(out, m);
                (2, m.payload)
            }
            Message::Batch(parts) => {
                put(out, &[&(parts.len() as u16).to_le_bytes()]);
                (17, &[])
            }
            Message::Outcome(m) => {
                put(out, &[&m.request_id.to_le_bytes(), &m.attempt.to_le_bytes(), &[place(&CODES, &m.code)]]);
                put(out, &[&m.used.unwrap_or(NO_USE).to_le_bytes(), &m.others.to_le_bytes()]);
                put(out, &[&m.queue.to_le_bytes(), &m.busy.to_le_bytes()]);
                put(out, &[&m.owner.unwrap_or(NO_OWNER).to_le_bytes(), &m.version.to_le_bytes()]);
                (3, m.payload)
            }
            Message::Cancel { request_id, attempt } => {
                put(out, &[&request_id.to_le_bytes(), &attempt.to_le_bytes()]);
                (4, &[])
            }
            Message::Probe { number } => {
                put(out, &[&number.to_le_bytes()]);
                (5, &[])
            }
            Message::Probed { number, queue, busy } => {
                put(out, &[&number.to_le_bytes(), &queue.to_le_bytes(), &busy.to_le_bytes()]);
                (6, &[])
            }
            Message::Take(m) => {
                put(out, &[&m.request_id.to_le_bytes(), &m.class.to_le_bytes(), &[u8::from(m.write)]]);
                put(out, &[&m.volume.to_le_bytes(), &m.key.to_le_bytes(), &m.mark.to_le_bytes()]);
                put(out, &[&m.units.to_le_bytes(), &m.limit_us.to_le_bytes(), &m.blocks.to_le_bytes()]);
                (7, m.payload)
            }
            Message::Final(m) => {
                put(out, &[&m.request_id.to_le_bytes(), &[place(&VERDICTS, &m.verdict)]]);
                put(out, &[&m.back_us.to_le_bytes()]);
                (8, m.payload)
            }
            Message::GiveUp { request_id } => {
                put(out, &[&request_id.to_le_bytes()]);
                (9, &[])
            }
            Message::Watch { epoch } => {
                put(out, &[&epoch.to_le_bytes()]);
                (10, &[])
            }
            Message::List(m) => {
                put(out, &[&[u8::from(m.whole)], &m.epoch.to_le_bytes()]);
                // The lines stand behind the fields, where a payload stands; they are written by `finish`.
                (11, &[])
            }
            Message::Refused => (12, &[]),
            Message::WatchMap => (13, &[]),
            Message::Move { volume, start, shard, abandon } => {
                put(out, &[&volume.to_le_bytes(), &start.to_le_bytes(), &shard.to_le_bytes()]);
                put(out, &[&[u8::from(*abandon)]]);
                (15, &[])
            }
            Message::MoveState { volume, start, from, to, stage } => {
                put(out, &[&volume.to_le_bytes(), &start.to_le_bytes(), &from.to_le_bytes()]);
                put(out, &[&to.to_le_bytes(), &[place(&STAGES, stage)]]);
                (16, &[])
            }
            Message::Map(m) => {
                put(out, &[&[u8::from(m.whole)], &m.epoch.to_le_bytes(), &m.part.to_le_bytes()]);
                put(out, &[&[u8::from(m.last)]]);
                (14, &[])
            }
        }
    }

    /// Appends what stands where a payload would and is not borrowed from the message.
    pub(crate) fn finish(&self, out: &mut Vec<u8>) {
        if let Message::Map(news) = self {
            for l in &news.lines {
                put(out, &[&[place(&MAPPED, &l.kind)], &l.volume.to_le_bytes(), &l.start.to_le_bytes()]);
                put(out, &[&l.at.to_le_bytes(), &l.shard.to_le_bytes(), &l.version.to_le_bytes()]);
            }
        }
        if let Message::Batch(parts) = self {
            for part in parts {
                put_hand_off(out, part);
                put(out, &[&(part.payload.len() as u32).to_le_bytes(), part.payload]);
            }
        }
        let Message::List(list) = self else { return };
        for l in &list.lines {
            put(out, &[&l.node.to_le_bytes(), &l.shard.to_le_bytes(), &l.zone.to_le_bytes()]);
            put(out, &[&[place(&STATES, &l.state), 0], &l.life.to_le_bytes(), &l.age_us.to_le_bytes()]);
            put(out, &[&l.address, &l.port.to_le_bytes(), &[0; 4]]);
        }
    }
}

fn put(out: &mut Vec<u8>, parts: &[&[u8]]) {
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

fn attempt<'a>(f: &mut Fields, payload: &'a [u8]) -> Result<Attempt<'a>, Fault> {
    Ok(Attempt { payload: payload_within(payload)?, ..hand_off_fields(f)? })
}

fn hand_off_fields(f: &mut Fields) -> Result<Attempt<'static>, Fault> {
    Ok(Attempt {
        request_id: f.u64("command")?,
        attempt: f.u16("hand-off")?,
        class: f.u16("band")?,
        write: f.flag("write mark")?,
        volume: f.u64("volume")?,
        key: f.u64("key")?,
        mark: f.u64("mark")?,
        units: f.amount("units")?,
        shard: f.u32("shard")?,
        left_us: f.u32("time left")?,
        version: f.u32("version")?,
        blocks: f.u32("blocks")?,
        payload: &[],
    })
}

fn put_hand_off(out: &mut Vec<u8>, m: &Attempt) {
    put(out, &[&m.request_id.to_le_bytes(), &m.attempt.to_le_bytes(), &m.class.to_le_bytes()]);
    put(out, &[&[u8::from(m.write)], &m.volume.to_le_bytes(), &m.key.to_le_bytes()]);
    put(out, &[&m.mark.to_le_bytes(), &m.units.to_le_bytes(), &m.shard.to_le_bytes()]);
    put(out, &[&m.left_us.to_le_bytes(), &m.version.to_le_bytes(), &m.blocks.to_le_bytes()]);
}

/// Reads the parts of a batch. Nothing is sized by the promised count.
fn batch(parts: u16, payload: &[u8]) -> Result<Vec<Attempt<'_>>, Fault> {
    let mut f = Fields::new(payload);
    let mut all = Vec::new();
    for _ in 0..parts {
        let part = hand_off_fields(&mut f)?;
        let length = f.u32("length of a part")? as usize;
        all.push(Attempt { payload: f.bytes(length, "part")?, ..part });
    }
    (f.is_empty() && !all.is_empty()).then_some(all).ok_or(Fault::Impossible("number of parts"))
}

fn map_lines(bytes: &[u8]) -> Result<Vec<MapLine>, Fault> {
    if !bytes.len().is_multiple_of(MAP_LINE) {
        return Err(Fault::Impossible("length of the map's news"));
    }
    let line = |bytes: &[u8]| {
        let mut f = Fields::new(bytes);
        Ok(MapLine {
            kind: pick(&MAPPED, f.u8("kind")?, "kind")?,
            volume: f.u64("volume")?,
            start: f.u64("start")?,
            at: f.u64("place")?,
            shard: f.u32("shard")?,
            version: f.u32("version")?,
        })
    };
    bytes.chunks_exact(MAP_LINE).map(line).collect()
}

fn lines(bytes: &[u8]) -> Result<Vec<Line>, Fault> {
    if !bytes.len().is_multiple_of(LINE) || bytes.len() / LINE > MOST_LINES {
        return Err(Fault::Impossible("length of the list"));
    }
    bytes.chunks_exact(LINE).map(line).collect()
}

fn line(bytes: &[u8]) -> Result<Line, Fault> {
    let mut f = Fields::new(bytes);
    let (node, shard, zone) = (f.u32("node")?, f.u32("shard")?, f.u16("zone")?);
    let state = pick(&STATES, f.u8("state")?, "state")?;
    f.u8("zero")?;
    let (life, age_us) = (f.u64("life")?, f.u64("age")?);
    let address = f.u32("address")?.to_le_bytes();
    Ok(Line { node, shard, zone, state, life, age_us, address, port: f.u16("port")? })
}
