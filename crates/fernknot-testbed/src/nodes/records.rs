//! Records in the responses of nodes.

use fernknot_simulator::rng::{SPLITMIX64_INCREMENT, splitmix64};

/// Returns the records of a response, 16 bytes each. All nodes of a service return the same records for a target.
pub fn shard_records(service: &str, target: &str, count: usize) -> Vec<u8> {
    let mut state = [service, "\n", target]
        .iter()
        .flat_map(|text| text.bytes())
        .fold(7u64, |state, byte| (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3).rotate_left(23));
    let mut next = || {
        state = state.wrapping_add(SPLITMIX64_INCREMENT);
        splitmix64(state)
    };
    (0..count).flat_map(|_| [next().to_be_bytes(), next().to_be_bytes()].concat()).collect()
}
