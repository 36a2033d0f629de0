//! Seeded pseudo-random numbers.

use fernknot::interface::Nanos;

/// A splitmix64 generator: the same seed gives the same numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A random part of a span: uniform, below the span.
    pub fn part_of(&mut self, span: Nanos) -> Nanos {
        span.times((self.next() >> 11) as f64 / (1u64 << 53) as f64)
    }
}
