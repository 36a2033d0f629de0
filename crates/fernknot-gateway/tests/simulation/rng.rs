//! Random numbers of a simulation run.

use fernknot::interface::Nanos;

/// SplitMix64 generator: a seed determines the whole run.
pub struct Rng(pub u64);

impl Rng {
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.next_u64() % bound.max(1) as u64) as usize
    }

    /// Returns true with a probability of `per_mille` thousandths.
    pub fn chance_per_mille(&mut self, per_mille: usize) -> bool {
        self.below(1000) < per_mille
    }

    pub fn duration_ms(&mut self, from: f64, to: f64) -> Nanos {
        let share = self.below(1 << 20) as f64 / f64::from(1 << 20);
        Nanos::from_millis(from + (to - from) * share)
    }
}
