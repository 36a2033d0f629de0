//! The term filters of blocks, within a bound on memory.
//!
//! A cached filter is unconfirmed. It may order and size a first phase; it rules a block out only at the version that
//! the block's own store confirms in the very query.

use crate::term_filter::TermFilter;
use fernknot::interface::ShardId;
use lru::LruCache;

/// What an entry costs beside its filter, in bytes: its key, version, links and position in the index.
pub const ENTRY_OVERHEAD_BYTES: usize = 96;

/// The answer of a block's filter to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FilterAnswer {
    /// There is no filter, or the query names no terms.
    Unknown,
    /// The block may hold all of the query's terms.
    MayMatch,
    /// The block lacks one of them, at the filter's version.
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

/// The filters used or received last, within a bound in bytes.
pub struct TermFilterCache {
    entries: LruCache<ShardId, Entry>,
    bytes: usize,
    max_bytes: usize,
}

impl TermFilterCache {
    /// An empty cache whose entries take at most `max_bytes`.
    pub fn new(max_bytes: usize) -> TermFilterCache {
        TermFilterCache { entries: LruCache::unbounded(), bytes: 0, max_bytes }
    }

    /// The bytes that all entries take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The bytes of each entry, its overhead included.
    pub fn entry_bytes(&self) -> impl Iterator<Item = usize> {
        self.entries.iter().map(|(_, entry)| entry.bytes())
    }

    /// Takes the filter of a block's version, unless a later version is known: an answer may have been overtaken.
    /// Entries that were not used for longest make room for it.
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

    /// The version of a block's filter.
    pub fn version(&self, shard: ShardId) -> Option<u64> {
        self.entries.peek(&shard).map(|entry| entry.version)
    }

    /// The answer of a block's filter to a query for all of these terms, by their fingerprints.
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
