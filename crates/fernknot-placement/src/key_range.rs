//! Ranges of block keys.

use serde::{Deserialize, Serialize};

/// Keys from the first to the last, both included.
///
/// A key has 64 bits. A block is the range of the keys that begin with its number: `block << 32` to
/// `block << 32 | 0xffff_ffff`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The lowest key.
    pub first: u64,
    /// The highest key.
    pub last: u64,
}

impl KeyRange {
    /// `None` if the last key comes before the first.
    pub fn new(first: u64, last: u64) -> Option<KeyRange> {
        (first <= last).then_some(KeyRange { first, last })
    }

    /// All keys of a block.
    pub fn of_block(number: u32) -> KeyRange {
        let first = u64::from(number) << 32;
        KeyRange { first, last: first | u64::from(u32::MAX) }
    }

    /// Whether the key is in the range.
    pub fn contains(&self, key: u64) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// The keys in both ranges.
    pub fn intersection(&self, other: &KeyRange) -> Option<KeyRange> {
        KeyRange::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// What share of this range's keys, from 0 to 1, is in the other one. The weight of a part that is split goes by
    /// it.
    pub fn overlap_share(&self, other: &KeyRange) -> f64 {
        self.intersection(other).map_or(0.0, |both| both.size() / self.size())
    }

    fn size(&self) -> f64 {
        (self.last - self.first) as f64 + 1.0
    }
}
