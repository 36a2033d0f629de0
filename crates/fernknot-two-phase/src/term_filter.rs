//! The terms that a block holds, as an approximate set.

use xorf::{BinaryFuse8, Filter};
use xxhash_rust::xxh3::xxh3_64;

/// Up to so many fingerprints are kept as they are: a filter's fixed part would outweigh them.
const MAX_PLAIN_FINGERPRINTS: usize = 64;

/// The fingerprint of a term: XXH3, 64 bits, seed 0, over its UTF-8 bytes.
pub fn term_fingerprint(term: &str) -> u64 {
    xxh3_64(term.as_bytes())
}

/// A set of term fingerprints that may claim to contain one that it does not (with a chance of 1 in 256), never the
/// reverse.
///
/// Large sets are binary fuse filters (Graf and Lemire, "Binary Fuse Filters: Fast and Smaller Than Xor Filters",
/// 2022).
#[derive(Clone, Debug)]
pub struct TermFilter(Repr);

#[derive(Clone, Debug)]
enum Repr {
    Sorted(Box<[u64]>),
    Fuse(BinaryFuse8),
}

impl TermFilter {
    /// A set of these fingerprints, in any order.
    pub fn new(mut fingerprints: Vec<u64>) -> TermFilter {
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let is_large = fingerprints.len() > MAX_PLAIN_FINGERPRINTS;
        // The construction of a filter may fail, seldom; the plain set serves then.
        let filter = is_large.then(|| BinaryFuse8::try_from(&fingerprints)).and_then(Result::ok);
        TermFilter(filter.map_or(Repr::Sorted(fingerprints.into_boxed_slice()), Repr::Fuse))
    }

    /// Whether the fingerprint may be in the set; `false` is certain.
    pub fn may_contain(&self, fingerprint: u64) -> bool {
        match &self.0 {
            Repr::Sorted(fingerprints) => fingerprints.binary_search(&fingerprint).is_ok(),
            Repr::Fuse(filter) => filter.contains(&fingerprint),
        }
    }

    /// The bytes that the set takes on the heap.
    pub fn bytes(&self) -> usize {
        match &self.0 {
            Repr::Sorted(fingerprints) => size_of_val(&**fingerprints),
            Repr::Fuse(filter) => filter.fingerprints.len(),
        }
    }
}
