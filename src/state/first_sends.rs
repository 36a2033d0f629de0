//! First attempts of parts, by time and shard.

use super::budget::SlidingCount;
use crate::interface::{Nanos, ShardId};
use std::collections::BTreeMap;

/// First attempts over all shards and, if the router keeps to subsets of replicas, of each shard.
#[derive(Clone, Debug, Default)]
pub struct FirstSends {
    all: SlidingCount,
    by_shard: Option<BTreeMap<ShardId, SlidingCount>>,
}

impl FirstSends {
    /// Creates an empty count. `counts_shards` tells whether attempts are counted by shard, too.
    pub fn new(counts_shards: bool) -> FirstSends {
        FirstSends { all: SlidingCount::default(), by_shard: counts_shards.then(BTreeMap::new) }
    }

    /// Whether attempts are counted by shard.
    pub fn counts_shards(&self) -> bool {
        self.by_shard.is_some()
    }

    /// Counts a first attempt; times must not decrease.
    pub fn add(&mut self, now: Nanos, shard: ShardId) {
        self.all.add(now, 1.0);
        self.by_shard.iter_mut().for_each(|by_shard| by_shard.entry(shard).or_default().add(now, 1.0));
    }

    /// Returns the number of first attempts less than `span` ago over all shards.
    pub fn within(&self, now: Nanos, span: Nanos) -> f64 {
        self.all.within(now, span)
    }

    /// Returns the number of first attempts at a shard less than `span` ago; `None` if they are not counted by shard.
    pub fn of_shard_within(&self, now: Nanos, shard: ShardId, span: Nanos) -> Option<f64> {
        let by_shard = self.by_shard.as_ref()?;
        Some(by_shard.get(&shard).map_or(0.0, |sends| sends.within(now, span)))
    }

    /// Drops attempts older than `span`.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        self.all.forget(now, span);
        if let Some(by_shard) = &mut self.by_shard {
            by_shard.retain(|_, sends| {
                sends.forget(now, span);
                !sends.is_empty()
            });
        }
    }
}
