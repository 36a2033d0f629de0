//! Hash functions with the same results in every process and on every machine.

pub use fernknot::state::splitmix64;
use fnv::FnvHasher;
use std::hash::Hasher;

/// Hashes a key with FNV-1a (64 bits).
pub fn key_hash(key: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(key.as_bytes());
    hasher.finish()
}
