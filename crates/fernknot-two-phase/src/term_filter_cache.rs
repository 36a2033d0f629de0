//! Cache of the term filters of blocks, with a bound on its memory. A block's term filter is the approximate set of
//! the terms in the block at one version, a number that the block's store (the node that answers for it) gives it.
//!
//! A cached filter may be stale, as the block may have changed since. The filter alone only affects the order of the
//! parts of a first phase and its estimates; it rules a block out only if the block's store confirms the filter's
//! version in the same query.

use crate::term_filter::TermFilter;
use fernknot::interface::ShardId;
use lru::LruCache;

/// Memory overhead of a cache entry beyond its filter, in bytes: key, version, list links and hash table slot.
pub const ENTRY_OVERHEAD_BYTES: usize = 96;

/// Answer of a block's filter to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FilterAnswer {
    /// No filter is cached, or the query has no terms.
    Unknown,
    /// The block may contain all terms of the query.
    MayMatch,
    /// The block did not contain at least one of the terms at the filter's version.
    CannotMatch,
}

struct Entry {
    version: u64,
    filter: TermFilter,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.filter.bytes() + ENTRY_OVERHEAD_BYTES
    }
}

/// Least-recently-used cache of term filters, with a bound in bytes.
pub struct TermFilterCache {
    entries: LruCache<ShardId, Entry>,
    bytes: usize,
    max_bytes: usize,
}

impl TermFilterCache {
    /// Returns an empty cache whose entries take at most `max_bytes`.
    pub fn new(max_bytes: usize) -> TermFilterCache {
        TermFilterCache { entries: LruCache::unbounded(), bytes: 0, max_bytes }
    }

    /// Returns the memory of all entries, in bytes, including their overhead.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the memory of each entry, in bytes, including its overhead.
    pub fn entry_bytes(&self) -> impl Iterator<Item = usize> {
        self.entries.iter().map(|(_, entry)| entry.bytes())
    }

    /// Caches the filter of a block's version, unless a later version is cached: answers may arrive out of order.
    /// Evicts the least recently used entries to make room. A filter that exceeds the bound by itself is not cached.
    pub fn insert(&mut self, shard: ShardId, version: u64, fingerprints: Vec<u64>) {
        if self.version(shard).is_some_and(|known| known > version) {
            return;
        }
        let entry = Entry { version, filter: TermFilter::new(fingerprints) };
        if let Some(replaced) = self.entries.pop(&shard) {
            self.bytes -= replaced.bytes();
        }
        let needed = entry.bytes();
        if needed > self.max_bytes {
            return;
        }
        while self.bytes + needed > self.max_bytes {
            let Some((_, evicted)) = self.entries.pop_lru() else { break };
            self.bytes -= evicted.bytes();
        }
        self.bytes += needed;
        self.entries.put(shard, entry);
    }

    /// Returns the version of a block's cached filter; `None` if none is cached.
    pub fn version(&self, shard: ShardId) -> Option<u64> {
        self.entries.peek(&shard).map(|entry| entry.version)
    }

    /// Checks a block's filter for the fingerprints of all terms of a query.
    pub fn check(&mut self, shard: ShardId, terms: &[u64]) -> FilterAnswer {
        match self.entries.get(&shard) {
            Some(entry) if !terms.is_empty() => {
                let may_match = terms.iter().all(|term| entry.filter.may_contain(*term));
                if may_match { FilterAnswer::MayMatch } else { FilterAnswer::CannotMatch }
            }
            _ => FilterAnswer::Unknown,
        }
    }
}
