//! The map service of a fleet, the data of its shards, and the moves of extents between them. The steps of a
//! move are `crates/extents`' machines; this does what they ask.

use magpiewick_extents::{
    Change, Changes, Extent, ExtentMap, Migration, MigrationLimits, MigrationRecord, MigrationSource,
    MigrationStep, MigrationTarget, Stage, StaleCoordinator, VolumeMap,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// One extent on its way.
struct Moving {
    from: u32,
    to: u32,
    record: MigrationRecord,
    source: MigrationSource,
    target: MigrationTarget,
    mover: Option<Migration>,
    /// Keys that the source took since a copy began.
    noted: BTreeSet<u64>,
}

/// What a step of a move came to.
pub enum Stepped {
    Again,
    /// The map changed, and the move goes on.
    Changed(Changes),
    Over(Option<Changes>),
}

pub struct Service {
    pub map: ExtentMap,
    /// What is stored, by shard, volume and key.
    stores: HashMap<(u32, u64), BTreeMap<u64, Vec<u8>>>,
    moves: BTreeMap<(u64, u64), Moving>,
    /// Movers are dead, or the service records nothing.
    pub movers_dead: bool,
    pub down: bool,
    /// A fault of the rig: a source goes on taking requests after its fence.
    pub leaky: bool,
    /// Others: who does not serve an extent answers as if it had; reads of several blocks are answered with the
    /// first of them last; hosts are told only half of the lines of the map's news.
    pub denied: bool,
    pub swapped: bool,
    pub halved: bool,
    pace: MigrationLimits,
}

impl Service {
    pub fn new(volumes: &[(u64, Vec<u32>)], extents: u64, keys: u64, pace: MigrationLimits) -> Service {
        let mut all = BTreeMap::new();
        for (id, shards) in volumes.iter().filter(|(_, shards)| extents > 0 && !shards.is_empty()) {
            let cut = |i: u64| (i * keys / extents, shards[i as usize % shards.len()], 1);
            let rows: Vec<(u64, u32, u32)> = (0..extents).map(cut).collect();
            // More extents than keys are no map; the volume goes without one.
            if let Ok(volume) = VolumeMap::new(*id, keys, &rows) {
                all.insert(*id, volume);
            }
        }
        let map = ExtentMap::new(1, all);
        Service {
            map,
            stores: HashMap::new(),
            moves: BTreeMap::new(),
            movers_dead: false,
            down: false,
            leaky: false,
            denied: false,
            swapped: false,
            halved: false,
            pace,
        }
    }

    /// Whether a shard serves a piece of data now; where not, the owner that its nodes know of.
    pub fn serves(&self, shard: u32, volume: u64, key: u64) -> Result<(), Option<(u32, u32)>> {
        let Some(e) = self.map.find(volume, key) else { return Ok(()) };
        match self.moves.get(&(volume, e.start)) {
            None if e.shard == shard => Ok(()),
            None => Err(Some((e.shard, e.version))),
            Some(m) if m.from == shard && (m.source.is_serving() || self.leaky) => Ok(()),
            Some(m) if m.to == shard && m.target.serving => Ok(()),
            Some(m) if m.target.serving => Err(Some((m.to, e.version))),
            Some(m) if m.from != shard && m.source.is_serving() => Err(Some((m.from, e.version))),
            Some(_) => Err(None),
        }
    }

    /// As [`Service::serves`], for the first and the last block of a range.
    pub fn serves_all(
        &self,
        shard: u32,
        volume: u64,
        key: u64,
        blocks: u32,
    ) -> Result<(), Option<(u32, u32)>> {
        self.serves(shard, volume, key)?;
        self.serves(shard, volume, key + u64::from(blocks.max(1)) - 1)
    }

    /// Writes a range whose blocks are parts of the payload of one size.
    pub fn write_all(&mut self, shard: u32, volume: u64, key: u64, blocks: u32, payload: &[u8]) {
        let size = payload.len().div_ceil(blocks.max(1) as usize).max(1);
        for (key, block) in (key..key + u64::from(blocks.max(1))).zip(payload.chunks(size)) {
            self.write(shard, volume, key, block);
        }
    }

    /// A piece as it is, or a range in blocks of one size.
    pub fn read_all(&self, shard: u32, volume: u64, key: u64, blocks: u32, block: usize) -> Vec<u8> {
        if blocks == 0 {
            return self.read(shard, volume, key).cloned().unwrap_or_default();
        }
        let mut all = Vec::with_capacity(blocks as usize * block);
        for (n, key) in (key..key + u64::from(blocks)).enumerate() {
            let held = self.read(shard, volume, key).map_or(&[][..], |held| &held[..held.len().min(block)]);
            all.extend_from_slice(held);
            all.resize((n + 1) * block, 0);
        }
        if self.swapped {
            all.rotate_left(block);
        }
        all
    }

    pub fn write(&mut self, shard: u32, volume: u64, key: u64, payload: &[u8]) {
        self.stores.entry((shard, volume)).or_default().insert(key, payload.to_vec());
        if let Some(e) = self.map.find(volume, key) {
            if let Some(m) = self.moves.get_mut(&(volume, e.start)).filter(|m| m.from == shard) {
                m.noted.insert(key);
            }
        }
    }

    pub fn read(&self, shard: u32, volume: u64, key: u64) -> Option<&Vec<u8>> {
        self.stores.get(&(shard, volume))?.get(&key)
    }

    /// What the owner of each piece holds; without a map whoever holds it.
    pub fn stored(&self) -> Vec<(u64, u64, Vec<u8>)> {
        let mut all = Vec::new();
        for ((shard, volume), store) in &self.stores {
            for (key, payload) in store {
                if self.map.find(*volume, *key).is_none_or(|e| e.shard == *shard) {
                    all.push((*volume, *key, payload.clone()));
                }
            }
        }
        all
    }

    /// The extent of this place in a volume, by its number.
    pub fn extent(&self, volume: u64, number: usize) -> Option<Extent> {
        self.map.extents().filter(|(v, _)| *v == volume).nth(number).map(|(_, e)| e)
    }

    /// Begins a move; false where there is nothing to move.
    pub fn plan(&mut self, volume: u64, e: Extent, to: u32) -> bool {
        if e.shard == to || self.moves.contains_key(&(volume, e.start)) {
            return false;
        }
        let mut record = MigrationRecord::idle(e.version);
        if record.begin().is_err() {
            return false;
        }
        let (source, target, mover) =
            (MigrationSource::new(), MigrationTarget::default(), Some(Migration::resume(&record)));
        let moving = Moving { from: e.shard, to, record, source, target, mover, noted: BTreeSet::new() };
        self.moves.insert((volume, e.start), moving);
        true
    }

    /// MigrationSource, target and stage of an extent's move; none where it lies still.
    pub fn stage(&self, volume: u64, start: u64) -> Option<(u32, u32, Stage)> {
        self.moves.get(&(volume, start)).map(|m| (m.from, m.to, m.record.stage))
    }

    /// Gives a move up, if it still can be.
    pub fn abandon(&mut self, volume: u64, start: u64) {
        if let Some(m) = self.moves.get_mut(&(volume, start)) {
            if m.record.abandon(m.record.id).is_ok() {
                m.mover = Some(Migration::resume(&m.record));
            }
        }
    }

    /// A shard's process started anew.
    pub fn restarted(&mut self, shard: u32) {
        for m in self.moves.values_mut().filter(|m| m.from == shard) {
            m.source.restart();
            m.noted.clear();
        }
    }

    /// One step of a move. `waiting` tells how many requests wait at a shard, none where no process runs.
    pub fn step(&mut self, place: (u64, u64), waiting: impl Fn(u32) -> Option<usize>) -> Stepped {
        let begun = |m: &&Moving| m.target.copy_of.is_some() || m.record.stage != Stage::Copying;
        let under_way: Vec<(u32, u32)> = self.moves.values().filter(begun).map(|m| (m.from, m.to)).collect();
        let up = |shard: u32| waiting(shard).is_some();
        let Some(m) = self.moves.get_mut(&place) else { return Stepped::Over(None) };
        if self.movers_dead {
            m.mover = None;
            return Stepped::Again;
        }
        let busy = waiting(m.from).max(waiting(m.to)).unwrap_or(0);
        if !begun(&&*m) && !self.pace.may_begin(&under_way, (m.from, m.to), busy) {
            return Stepped::Again;
        }
        // A mover that died has a successor, which starts from the record.
        let mover = *m.mover.get_or_insert_with(|| Migration::resume(&m.record));
        let needs_source = matches!(
            mover.next_step,
            MigrationStep::CopyAll
                | MigrationStep::CopyAgain
                | MigrationStep::Fence
                | MigrationStep::CopyRemainder
                | MigrationStep::Release
                | MigrationStep::Unfence
        );
        let needs_target = matches!(
            mover.next_step,
            MigrationStep::CopyAll
                | MigrationStep::CopyAgain
                | MigrationStep::CopyRemainder
                | MigrationStep::Serve
                | MigrationStep::DropCopy
        );
        let recorded = matches!(mover.next_step, MigrationStep::RecordCopied | MigrationStep::Switch);
        if needs_source && !up(m.from) || needs_target && !up(m.to) || recorded && self.down {
            return Stepped::Again;
        }
        let switched = m.record.stage;
        let done = Service::ask(m, &mover, place, &self.map, &mut self.stores);
        let record = m.record;
        let Some(next) = &mut m.mover else { return Stepped::Again };
        match done {
            Ok(life) => next.on_success(life),
            Err(StaleCoordinator) => next.on_rejected(&record),
        }
        let (over, to, number) = (next.next_step == MigrationStep::Done, m.to, record.stage);
        let (volume, start) = place;
        let now_moved = switched != Stage::Switched && number == Stage::Switched;
        let gave_up = over && number == Stage::Abandoned;
        let change = match self.map.find(volume, start) {
            Some(_) if now_moved => {
                Some(Change::Switch { volume, start, shard: to, version: record.version })
            }
            // A new version tells hosts that the extent is served again.
            Some(e) if gave_up => {
                Some(Change::Switch { volume, start, shard: e.shard, version: e.version + 1 })
            }
            _ => None,
        };
        let changes = change.map(|c| Changes { epoch: self.map.epoch() + 1, changes: vec![c] });
        if let Some(changes) = &changes {
            // The service makes its own changes one after the other: none can be old or leave a gap.
            if let Err(fault) = self.map.apply(changes) {
                tracing::error!(%fault, "the map service made a wrong change");
            }
        }
        if over {
            self.moves.remove(&place);
            return Stepped::Over(changes);
        }
        changes.map_or(Stepped::Again, Stepped::Changed)
    }

    fn ask(
        m: &mut Moving,
        mover: &Migration,
        (volume, start): (u64, u64),
        map: &ExtentMap,
        stores: &mut HashMap<(u32, u64), BTreeMap<u64, Vec<u8>>>,
    ) -> Result<Option<u8>, StaleCoordinator> {
        let number = mover.id;
        let range = map.find(volume, start).map_or(start..start, |e| e.start..e.end);
        let mut copy = |keys: &dyn Fn(u64) -> bool| {
            let from = stores.get(&(m.from, volume));
            let held: Vec<(u64, Vec<u8>)> = from
                .map(|s| {
                    s.range(range.clone()).filter(|(k, _)| keys(**k)).map(|(k, v)| (*k, v.clone())).collect()
                })
                .unwrap_or_default();
            stores.entry((m.to, volume)).or_default().extend(held);
        };
        match mover.next_step {
            MigrationStep::CopyAll | MigrationStep::CopyAgain => {
                m.target.receive_copy(number)?;
                copy(&|_| true);
                m.noted.clear();
                return Ok(Some(m.source.incarnation));
            }
            MigrationStep::Fence => m.source.fence(number)?,
            MigrationStep::CopyRemainder => {
                let all = m.source.needs_full_copy(number, mover.copied_from)?;
                m.target.receive_remainder(number)?;
                let noted = std::mem::take(&mut m.noted);
                copy(&|key| all || noted.contains(&key));
                m.noted = noted;
            }
            MigrationStep::RecordCopied => m.record.record_copied(number)?,
            MigrationStep::Switch => _ = m.record.switch(number)?,
            MigrationStep::Serve => m.target.start_serving(number)?,
            MigrationStep::Release => {
                m.source.release(number)?;
                if let Some(store) = stores.get_mut(&(m.from, volume)) {
                    store.retain(|key, _| !range.contains(key));
                }
            }
            MigrationStep::DropCopy => {
                m.target.drop_copy(number)?;
                if let Some(store) = stores.get_mut(&(m.to, volume)) {
                    store.retain(|key, _| !range.contains(key));
                }
            }
            MigrationStep::Unfence => m.source.unfence(number)?,
            MigrationStep::Done => {}
        }
        Ok(None)
    }
}
