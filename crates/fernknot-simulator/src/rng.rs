//! Seeded pseudo-random number generator that several threads may share.

use fernknot::interface::Nanos;
use std::sync::atomic::{AtomicU64, Ordering};

/// SplitMix64 over an atomic state. The assignment of numbers to concurrent threads is not deterministic.
#[derive(Debug)]
pub struct Rng(AtomicU64);

/// Output function of SplitMix64 (public domain): mixes the bits of `state`.
pub fn splitmix64(state: u64) -> u64 {
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Increment between consecutive states of SplitMix64.
pub const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

impl Rng {
    /// Creates a generator whose sequence depends on the seed only.
    pub fn new(seed: u64) -> Rng {
        Rng(AtomicU64::new(splitmix64(seed)))
    }

    /// Returns the next number of the sequence.
    pub fn next_u64(&self) -> u64 {
        splitmix64(
            self.0.fetch_add(SPLITMIX64_INCREMENT, Ordering::Relaxed).wrapping_add(SPLITMIX64_INCREMENT),
        )
    }

    /// Draws a number below `count`; 0 if `count` is 0.
    pub fn below(&self, count: usize) -> usize {
        (self.next_u64() % count.max(1) as u64) as usize
    }

    /// Returns true with probability 1 / `times`.
    pub fn one_in(&self, times: usize) -> bool {
        self.below(times) == 0
    }

    /// Draws a duration of at least `from` and less than `to`; returns `from` if the interval is empty.
    pub fn between(&self, from: Nanos, to: Nanos) -> Nanos {
        let span = (to - from).0.max(1);
        from + Nanos(self.next_u64() % span)
    }

    /// Draws an element of `list`; `None` if it is empty.
    pub fn choose<T: Copy>(&self, list: &[T]) -> Option<T> {
        list.get(self.below(list.len())).copied()
    }
}
