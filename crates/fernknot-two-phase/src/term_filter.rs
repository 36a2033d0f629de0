//! Approximate set of the terms that a block contains.

use xorf::{BinaryFuse8, Filter};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of fingerprints in a sorted list. For so few, the fixed part of a fuse filter takes more memory.
const MAX_PLAIN_FINGERPRINTS: usize = 64;

/// Returns the fingerprint of a term: XXH3, 64 bits, seed 0, over its UTF-8 bytes.
pub fn term_fingerprint(term: &str) -> u64 {
    xxh3_64(term.as_bytes())
}

/// Set of term fingerprints without false negatives. Large sets have false positives, about 1 in 256.
///
/// They are binary fuse filters (Graf and Lemire, "Binary Fuse Filters: Fast and Smaller Than Xor Filters", 2022).
#[derive(Clone, Debug)]
pub struct TermFilter(Representation);

#[derive(Clone, Debug)]
enum Representation {
    Sorted(Box<[u64]>),
    Fuse(BinaryFuse8),
}

impl TermFilter {
    /// Returns the set of these fingerprints, which may be in any order and repeat.
    pub fn new(mut fingerprints: Vec<u64>) -> TermFilter {
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let is_large = fingerprints.len() > MAX_PLAIN_FINGERPRINTS;
        // The construction of a fuse filter fails in rare cases; the sorted list is used then.
        let filter = is_large.then(|| BinaryFuse8::try_from(&fingerprints)).and_then(Result::ok);
        TermFilter(
            filter.map_or(Representation::Sorted(fingerprints.into_boxed_slice()), Representation::Fuse),
        )
    }

    /// Whether the fingerprint may be in the set; `false` means that it is not.
    pub fn may_contain(&self, fingerprint: u64) -> bool {
        match &self.0 {
            Representation::Sorted(fingerprints) => fingerprints.binary_search(&fingerprint).is_ok(),
            Representation::Fuse(filter) => filter.contains(&fingerprint),
        }
    }

    /// Returns the heap memory of the set, in bytes.
    pub fn bytes(&self) -> usize {
        match &self.0 {
            Representation::Sorted(fingerprints) => size_of_val(&**fingerprints),
            Representation::Fuse(filter) => filter.fingerprints.len(),
        }
    }
}
