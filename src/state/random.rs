//! The module's seeded random numbers.

/// Multiply-with-carry.
#[derive(Clone, Debug, Default)]
pub struct Mwc(u64);

impl Mwc {
    /// The sequence of this seed.
    pub fn new(seed: u64) -> Mwc {
        let mixed = seed ^ (seed >> 32);
        Mwc((mixed & 0xffff_ffff) | (1 << 32))
    }

    /// A whole number under `bound`.
    pub fn under(&mut self, bound: u32) -> u32 {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * u64::from(bound)) >> 32) as u32
    }

    /// A number from 0 to under 1.
    pub fn share(&mut self) -> f64 {
        f64::from(self.under(1 << 16)) / f64::from(1 << 16)
    }
}
