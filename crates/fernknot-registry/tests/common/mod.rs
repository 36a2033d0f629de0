//! Facts and times for the stories of this package.

use fernknot::interface::Nanos;
use fernknot_registry::{NodeRecord, NodeState, Registry, RegistryLimits};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const BEAT: Nanos = Nanos(1_000_000_000);

/// A time in beats.
pub fn at(beats: f64) -> Nanos {
    BEAT.times(beats)
}

/// A life at the address `place`.
pub fn fact(id: &str, place: u8, state: NodeState, seq: u64) -> NodeRecord {
    NodeRecord {
        id: id.to_string(),
        service: "gallery".to_string(),
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, place), 8080),
        zone: "north".to_string(),
        state,
        capacity: 3,
        warm_up_left_ms: 0,
        sequence: seq,
    }
}

pub fn registry() -> Registry {
    Registry::new(BEAT, RegistryLimits { max_incarnations: 16, tombstone_retention: at(100.0) })
}
