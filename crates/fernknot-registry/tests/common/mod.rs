//! Fixtures: registries, records and times.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use fernknot::interface::Nanos;
use fernknot_registry::{NodeRecord, NodeState, Registry, RegistryLimits};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEARTBEAT_INTERVAL: Nanos = Nanos(1_000_000_000);

/// Returns the time after this number of heartbeat intervals.
pub fn after_intervals(intervals: f64) -> Nanos {
    HEARTBEAT_INTERVAL.times(intervals)
}

/// Returns the record of an incarnation at the address with last byte `host`.
pub fn record(id: &str, host: u8, state: NodeState, sequence: u64) -> NodeRecord {
    NodeRecord {
        id: id.to_string(),
        service: "gallery".to_string(),
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 8080),
        zone: "north".to_string(),
        state,
        capacity: 3,
        warm_up_left_ms: 0,
        sequence,
    }
}

pub fn registry() -> Registry {
    Registry::new(
        HEARTBEAT_INTERVAL,
        RegistryLimits { max_incarnations: 16, tombstone_retention: after_intervals(100.0) },
    )
}
