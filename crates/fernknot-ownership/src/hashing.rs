//! Hash functions with the same results in every process and on every machine.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Hashes a key with FNV-1a (64 bits).
pub fn key_hash(key: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(key.as_bytes());
    hasher.finish()
}

/// Mixes every input bit into all output bits (one step of the splitmix64 generator).
pub fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
