//! Storage of the data of all shards.

use magpiewick_extents::ShardPair;
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// Payload stored under a key of a volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredKey {
    /// Number of the volume.
    pub volume: u64,
    /// Key within the volume.
    pub key: u64,
    /// Most recently written payload.
    pub payload: Vec<u8>,
}

/// Stored payloads, by shard, volume and key.
#[derive(Default)]
pub(crate) struct DataStore {
    volumes: HashMap<(u32, u64), BTreeMap<u64, Vec<u8>>>,
}

impl DataStore {
    pub(crate) fn write(&mut self, shard: u32, volume: u64, key: u64, payload: &[u8]) {
        self.volumes.entry((shard, volume)).or_default().insert(key, payload.to_vec());
    }

    pub(crate) fn read(&self, shard: u32, volume: u64, key: u64) -> Option<&[u8]> {
        self.volumes.get(&(shard, volume))?.get(&key).map(Vec::as_slice)
    }

    /// Copies the selected keys of a range from one shard to another.
    pub(crate) fn copy(
        &mut self,
        volume: u64,
        shards: ShardPair,
        range: Range<u64>,
        selects: impl Fn(u64) -> bool,
    ) {
        let source = self.volumes.get(&(shards.source, volume));
        let copied: Vec<(u64, Vec<u8>)> = source.map_or(Vec::new(), |keys| {
            let selected = keys.range(range).filter(|(key, _)| selects(**key));
            selected.map(|(key, payload)| (*key, payload.clone())).collect()
        });
        self.volumes.entry((shards.target, volume)).or_default().extend(copied);
    }

    /// Removes a range of keys from a shard.
    pub(crate) fn remove(&mut self, shard: u32, volume: u64, range: Range<u64>) {
        if let Some(keys) = self.volumes.get_mut(&(shard, volume)) {
            keys.retain(|key, _| !range.contains(key));
        }
    }

    /// Returns all data as shard, volume, key and payload.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, u64, u64, &[u8])> + '_ {
        self.volumes.iter().flat_map(|((shard, volume), keys)| {
            keys.iter().map(move |(key, payload)| (*shard, *volume, *key, payload.as_slice()))
        })
    }
}
