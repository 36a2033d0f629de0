//! Short names that are the same at every router.

const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// The 32-bit FNV-1a hash of a text: a short name that is the same at every router. Two texts may share it.
pub fn fingerprint(text: &str) -> u32 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
}
