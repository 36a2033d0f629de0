//! Seeded random numbers.

/// Mixes every input bit into all output bits (one step of the splitmix64 generator).
pub fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

/// Multiply-with-carry generator.
#[derive(Clone, Debug, Default)]
pub struct Mwc(u64);

impl Mwc {
    /// Creates the generator of a seed.
    pub fn new(seed: u64) -> Mwc {
        let mixed = seed ^ (seed >> 32);
        Mwc((mixed & 0xffff_ffff) | (1 << 32))
    }

    /// Returns an integer from 0 to below `bound`.
    pub fn below(&mut self, bound: u32) -> u32 {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * u64::from(bound)) >> 32) as u32
    }

    /// Returns a number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.below(1 << 16)) / f64::from(1 << 16)
    }
}
