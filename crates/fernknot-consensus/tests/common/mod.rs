//! Simulated cluster of replicas with seeded random numbers: delayed, lost and duplicated messages, crashes, wiped
//! disks, replaced machines, links blocked one way, hanging and full disks. Every action is checked against the
//! safety rules; the first violation is recorded.
#![allow(dead_code)]

mod checks;
mod cluster;
mod fault_schedule;
mod machine;

use std::net::{Ipv4Addr, SocketAddrV4};

pub use cluster::Cluster;
#[allow(unused_imports)] // not every test file runs schedules
pub use fault_schedule::Fault;
pub use machine::{Disk, Machine};

/// A millisecond in nanoseconds.
pub const MS: u64 = 1_000_000;
pub const SUSPICION_TIMEOUT: u64 = 500 * MS;
pub const HEARTBEAT_INTERVAL: u64 = 100 * MS;

pub fn addr(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7000)
}

/// Returns the factor by which tests multiply their number of seeds, from FERNKNOT_MORE_SEEDS; 1 by default.
pub fn seed_multiplier() -> u64 {
    std::env::var("FERNKNOT_MORE_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(1)
}

/// Seeded random number generator.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let z = (self.0 ^ (self.0 >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        (z ^ (z >> 33)) % bound.max(1)
    }
}
