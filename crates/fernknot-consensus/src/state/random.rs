//! Deterministic pseudo-random numbers.

use fernknot::interface::Nanos;

/// SplitMix64 generator; the same seed gives the same sequence.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    /// Returns the next number of the sequence.
    pub fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random duration, uniformly distributed from 0 to below `span`.
    pub fn fraction_of(&mut self, span: Nanos) -> Nanos {
        span.times((self.next() >> 11) as f64 / (1u64 << 53) as f64)
    }
}
