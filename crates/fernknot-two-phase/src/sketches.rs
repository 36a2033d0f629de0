//! What blocks are said to hold: a small summary for each, kept within a bound. A summary is hearsay. It
//! may order and size a first phase; it rules a block out only in the version that the block's own store
//! has confirmed in the very query.

use fernknot::interface::ShardId;
use lru::LruCache;
use xorf::{BinaryFuse8, Filter};
use xxhash_rust::xxh3::xxh3_64;

/// Summaries of fewer prints are kept as they are: a filter has a fixed part that outweighs them.
const FEW: usize = 64;
/// What an entry costs beside its summary: its key, version, links and place in the index.
const ENTRY: usize = 96;

/// The print of a term: XXH3, 64 bits, seed 0, over its UTF-8 bytes.
pub fn print_of(term: &str) -> u64 {
    xxh3_64(term.as_bytes())
}

/// A set of prints that may claim to hold what it does not (one in 256), never the reverse.
#[derive(Clone, Debug)]
pub enum Sketch {
    Sorted(Box<[u64]>),
    Fuse(BinaryFuse8),
}

impl Sketch {
    pub fn new(mut prints: Vec<u64>) -> Sketch {
        prints.sort_unstable();
        prints.dedup();
        // The filter's construction may fail for a set of prints, seldom; the plain set serves then.
        let fuse = (prints.len() > FEW).then(|| BinaryFuse8::try_from(&prints)).and_then(Result::ok);
        fuse.map_or(Sketch::Sorted(prints.into_boxed_slice()), Sketch::Fuse)
    }

    pub fn may_hold(&self, print: u64) -> bool {
        match self {
            Sketch::Sorted(prints) => prints.binary_search(&print).is_ok(),
            Sketch::Fuse(filter) => filter.contains(&print),
        }
    }

    pub fn bytes(&self) -> usize {
        match self {
            Sketch::Sorted(prints) => prints.len() * 8,
            Sketch::Fuse(filter) => filter.fingerprints.len(),
        }
    }
}

/// What a summary says of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    /// There is none, or the query names no terms.
    Nothing,
    /// The block may hold all of the query's terms.
    May,
    /// It lacks one of them.
    Lacks,
}

struct Kept {
    version: u64,
    sketch: Sketch,
}

/// The summaries that were asked for or brought last, within a bound in bytes.
pub struct Sketches {
    kept: LruCache<ShardId, Kept>,
    bytes: usize,
    most: usize,
    /// Summaries that made room for others.
    pub dropped: u64,
}

impl Sketches {
    pub fn new(most: usize) -> Sketches {
        Sketches { kept: LruCache::unbounded(), bytes: 0, most, dropped: 0 }
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes a summary unless a later version is known. Guards against an answer that was overtaken.
    pub fn put(&mut self, shard: ShardId, version: u64, prints: Vec<u64>) {
        if self.kept.peek(&shard).is_some_and(|kept| kept.version > version) {
            return;
        }
        let sketch = Sketch::new(prints);
        let size = sketch.bytes() + ENTRY;
        if let Some(old) = self.kept.pop(&shard) {
            self.bytes -= old.sketch.bytes() + ENTRY;
        }
        if size > self.most {
            self.dropped += 1;
            return;
        }
        while self.bytes + size > self.most {
            let Some((_, old)) = self.kept.pop_lru() else { break };
            self.bytes -= old.sketch.bytes() + ENTRY;
            self.dropped += 1;
        }
        self.bytes += size;
        self.kept.put(shard, Kept { version, sketch });
    }

    /// The version that is kept of a block.
    pub fn version(&self, shard: ShardId) -> Option<u64> {
        self.kept.peek(&shard).map(|kept| kept.version)
    }

    /// What the summary of a block says of a query for all of these prints.
    pub fn says(&mut self, shard: ShardId, terms: &[u64]) -> Says {
        match self.kept.get(&shard) {
            Some(kept) if !terms.is_empty() => {
                let holds = terms.iter().all(|print| kept.sketch.may_hold(*print));
                if holds { Says::May } else { Says::Lacks }
            }
            _ => Says::Nothing,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

        /// Guards rule 5: a summary that forgot what it holds would rule out a block that matches.
        #[test]
        fn what_a_sketch_was_made_of_it_may_hold(prints in prop::collection::vec(any::<u64>(), 0..400)) {
            let sketch = Sketch::new(prints.clone());
            prop_assert!(prints.iter().all(|print| sketch.may_hold(*print)));
        }

        /// Guards the stated bound of memory, whatever comes in whatever order.
        #[test]
        fn all_that_is_kept_stays_within_the_bound(
            puts in prop::collection::vec((0u32..40, 0u64..5, 0usize..300), 1..120),
        ) {
            let most = 4096;
            let mut sketches = Sketches::new(most);
            for (shard, version, count) in puts {
                let prints = (0..count as u64).map(|index| index * 7919 + u64::from(shard)).collect();
                let before = sketches.version(ShardId(shard));
                sketches.put(ShardId(shard), version, prints);
                prop_assert!(sketches.bytes() <= most);
                prop_assert!(sketches.version(ShardId(shard)) >= before.filter(|kept| *kept > version));
            }
            let counted: usize = sketches.kept.iter().map(|(_, kept)| kept.sketch.bytes() + ENTRY).sum();
            prop_assert_eq!(counted, sketches.bytes());
        }
    }

    #[test]
    fn one_term_that_is_lacking_is_enough_and_none_says_nothing() {
        let mut sketches = Sketches::new(10_000);
        sketches.put(ShardId(1), 4, vec![print_of("beach"), print_of("2024")]);
        let terms = |words: &[&str]| words.iter().map(|word| print_of(word)).collect::<Vec<_>>();
        assert_eq!(sketches.says(ShardId(1), &terms(&["beach", "2024"])), Says::May);
        assert_eq!(sketches.says(ShardId(1), &terms(&["beach", "2025"])), Says::Lacks);
        assert_eq!(sketches.says(ShardId(1), &[]), Says::Nothing);
        assert_eq!(sketches.says(ShardId(2), &terms(&["beach"])), Says::Nothing);
    }
}
