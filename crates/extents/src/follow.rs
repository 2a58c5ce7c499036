//! The map as a host holds it, with what nodes said since: where a piece of data lies now, or that nobody can
//! say for the moment.

use crate::map::{Changes, Fault, Map, VolumeMap};
use std::collections::BTreeMap;

/// How long an extent counts as in flux after a node said that it does not serve it and not who does: about as
/// long as a fence lasts. Trying sooner spends attempts, trying later keeps requests waiting.
const FLUX: f64 = 150.0;

/// Where a piece of data lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    At {
        shard: u32,
        version: u32,
    },
    /// The extent is on its way: nobody serves it for the moment.
    Flux,
    /// The map does not hold it.
    Unknown,
}

/// An extent of a whole map on its way: volume, start, end, shard, version.
pub type Line = (u64, u64, u64, u32, u32);

#[derive(Default)]
pub struct Follower {
    map: Map,
    /// A whole map whose parts are still coming: its epoch and lines.
    coming: Option<(u64, u32, Vec<Line>)>,
    /// Owners that nodes named, of versions that the map does not know yet.
    named: BTreeMap<(u64, u64), (u32, u32)>,
    flux: BTreeMap<(u64, u64), f64>,
}

impl Follower {
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }

    pub fn place(&self, now: f64, volume: u64, offset: u64) -> Place {
        let Some(e) = self.map.find(volume, offset) else { return Place::Unknown };
        if self.flux.get(&(volume, e.start)).is_some_and(|until| now < *until) {
            return Place::Flux;
        }
        let named = self.named.get(&(volume, e.start)).filter(|named| named.1 > e.version);
        let (shard, version) = named.copied().unwrap_or((e.shard, e.version));
        Place::At { shard, version }
    }

    /// Where extents start within a range; none without a map that covers it.
    pub fn edges(&self, volume: u64, start: u64, end: u64) -> Option<Vec<u64>> {
        Some(self.map.span(volume, start, end)?.iter().map(|e| e.start).collect())
    }

    /// A node that was sent a request under `version` does not serve the extent; it may name who does. The time
    /// from which to look again comes back where nobody can say.
    pub fn refused(
        &mut self,
        now: f64,
        (volume, offset): (u64, u64),
        version: u32,
        owner: Option<(u32, u32)>,
    ) -> Option<f64> {
        let e = self.map.find(volume, offset)?;
        let place = (volume, e.start);
        match owner.filter(|owner| owner.1 > version) {
            Some(owner) => {
                let known = self.named.entry(place).or_insert(owner);
                if owner.1 >= known.1 {
                    *known = owner;
                }
                self.flux.remove(&place);
                None
            }
            // Whoever was sent the request under an older version than this host has by now says nothing new.
            None if version < e.version => None,
            None => {
                let until = *self.flux.entry(place).insert_entry(now + FLUX).get();
                Some(until)
            }
        }
    }

    /// A part of a whole map; true once it is whole. A part that does not follow the last one loses them all.
    pub fn part(&mut self, epoch: u64, part: u32, last: bool, lines: &[Line]) -> Result<bool, Fault> {
        if part == 0 {
            self.coming = Some((epoch, 0, Vec::new()));
        }
        let follows = |c: &&mut (u64, u32, Vec<Line>)| (c.0, c.1) == (epoch, part);
        let Some(coming) = self.coming.as_mut().filter(follows) else {
            self.coming = None;
            return Err(Fault::Gap { have: self.epoch(), got: epoch });
        };
        coming.1 += 1;
        coming.2.extend_from_slice(lines);
        if !last {
            return Ok(false);
        }
        let (epoch, _, lines) = self.coming.take().unwrap_or_default();
        let map = Map::whole(epoch, volumes(&lines)?);
        self.keep_newer(&map);
        self.map = map;
        self.told();
        Ok(true)
    }

    /// A version is never given twice, so an extent of a lower one is old news, whoever tells it: what is known of a
    /// higher one goes on to hold beside the map. Guards against a service that went back in time, by a restart or a
    /// copy of its own that lags; it could harm where a service lost a move for good: nodes refuse then, and name the
    /// owner under a version that is higher still.
    fn keep_newer(&mut self, map: &Map) {
        for (volume, e) in self.map.all() {
            let older = map.find(volume, e.start).filter(|told| told.version < e.version);
            if older.is_some_and(|told| (told.start, told.end) == (e.start, e.end)) {
                let known = self.named.entry((volume, e.start)).or_insert((e.shard, e.version));
                if known.1 < e.version {
                    *known = (e.shard, e.version);
                }
            }
        }
    }

    pub fn changes(&mut self, changes: &Changes) -> Result<(), Fault> {
        self.map.apply(changes)?;
        self.told();
        Ok(())
    }

    /// What nodes said is dropped as far as the map says it too; an extent in flux is looked at anew.
    fn told(&mut self) {
        let map = &self.map;
        self.named.retain(|(volume, start), named| {
            map.find(*volume, *start).is_some_and(|e| e.start == *start && e.version < named.1)
        });
        self.flux.clear();
    }
}

fn volumes(lines: &[Line]) -> Result<BTreeMap<u64, VolumeMap>, Fault> {
    let mut volumes = BTreeMap::new();
    for of in lines.chunk_by(|a, b| a.0 == b.0) {
        let volume = of[0].0;
        // Each extent ends where the next one starts, and the last one with the volume.
        if of.windows(2).any(|w| w[0].2 != w[1].1) {
            return Err(Fault::Disorder { volume });
        }
        let rows: Vec<(u64, u32, u32)> = of.iter().map(|l| (l.1, l.3, l.4)).collect();
        let size = of.last().map_or(0, |l| l.2);
        if volumes.insert(volume, VolumeMap::new(volume, size, &rows)?).is_some() {
            return Err(Fault::VolumeExists(volume));
        }
    }
    Ok(volumes)
}

#[cfg(test)]
mod tests;
