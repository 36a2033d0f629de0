//! Ranges of block keys.

use serde::{Deserialize, Serialize};

/// Range of keys, with both ends included.
///
/// A key has 64 bits. A block is the range of all keys whose upper 32 bits are the block's number: `block << 32` to
/// `block << 32 | 0xffff_ffff`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// Lowest key.
    pub first: u64,
    /// Highest key.
    pub last: u64,
}

impl KeyRange {
    /// Creates a range; `None` if `last` is below `first`.
    pub fn new(first: u64, last: u64) -> Option<KeyRange> {
        (first <= last).then_some(KeyRange { first, last })
    }

    /// Returns the range of all keys of a block.
    pub fn of_block(number: u32) -> KeyRange {
        let first = u64::from(number) << 32;
        KeyRange { first, last: first | u64::from(u32::MAX) }
    }

    /// Whether the key is in the range.
    pub fn contains(&self, key: u64) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Keys that are in both ranges.
    pub fn intersection(&self, other: &KeyRange) -> Option<KeyRange> {
        KeyRange::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// Share of this range's keys that are also in `other`, from 0 to 1. It scales the weight of a part that is split.
    pub fn overlap_share(&self, other: &KeyRange) -> f64 {
        self.intersection(other).map_or(0.0, |overlap| overlap.size() / self.size())
    }

    fn size(&self) -> f64 {
        (self.last - self.first) as f64 + 1.0
    }
}
