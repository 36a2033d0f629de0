//! Random numbers from a seed, which several threads may draw.

use fernknot::interface::Nanos;
use std::sync::atomic::{AtomicU64, Ordering};

/// SplitMix64 over an atomic state. Which of several threads gets which number is up to the operating system.
#[derive(Debug)]
pub struct Rng(AtomicU64);

/// The output function of SplitMix64 (public domain): spreads a number over all bits.
pub fn splitmix64(state: u64) -> u64 {
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The step from one state of SplitMix64 to the next.
pub const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

impl Rng {
    /// A sequence that depends on the seed alone.
    pub fn new(seed: u64) -> Rng {
        Rng(AtomicU64::new(splitmix64(seed)))
    }

    /// The next number of the sequence.
    pub fn next_u64(&self) -> u64 {
        splitmix64(
            self.0.fetch_add(SPLITMIX64_INCREMENT, Ordering::Relaxed).wrapping_add(SPLITMIX64_INCREMENT),
        )
    }

    /// A number below `count`; 0 where that is 0.
    pub fn below(&self, count: usize) -> usize {
        (self.next_u64() % count.max(1) as u64) as usize
    }

    /// True once in `times` draws on average.
    pub fn one_in(&self, times: usize) -> bool {
        self.below(times) == 0
    }

    /// A span of at least `from` and less than `to`; `from` where there is nothing between them.
    pub fn between(&self, from: Nanos, to: Nanos) -> Nanos {
        let span = (to - from).0.max(1);
        from + Nanos(self.next_u64() % span)
    }

    /// One of these; none where there are none.
    pub fn choose<T: Copy>(&self, list: &[T]) -> Option<T> {
        list.get(self.below(list.len())).copied()
    }
}
