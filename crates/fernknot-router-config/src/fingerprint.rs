//! Fingerprints: short identifiers of texts, such as names and addresses, that every router computes alike.

const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Returns the 32-bit FNV-1a hash of a text, which is the same at every router. Two texts may have the same hash.
pub fn fingerprint(text: &str) -> u32 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
}
