//! The random numbers of a run.

use fernknot::interface::Nanos;

/// SplitMix64, so that a seed replays its run.
pub struct Rng(pub u64);

impl Rng {
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }

    pub fn under(&mut self, bound: usize) -> usize {
        (self.draw() % bound.max(1) as u64) as usize
    }

    /// True with a probability of so many in a thousand.
    pub fn odds(&mut self, of_1000: usize) -> bool {
        self.under(1000) < of_1000
    }

    pub fn millis(&mut self, from: f64, to: f64) -> Nanos {
        let share = self.under(1 << 20) as f64 / f64::from(1 << 20);
        Nanos::from_millis(from + (to - from) * share)
    }
}
