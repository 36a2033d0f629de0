//! Fixtures: gateways, assignments and times.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use fernknot::interface::Nanos;
use fernknot_ownership::{
    Assigner, AssignerSettings, Assignment, FencingToken, GatewayRecord, IncarnationId, OwnedKeys,
    OwnedKeysSettings,
};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEARTBEAT_INTERVAL: Nanos = Nanos(1_000_000_000);

/// Time window over which the spending of a budget is counted.
pub const BUDGET_WINDOW: Nanos = Nanos(10_000_000_000);

/// Converts a time in heartbeat intervals.
pub fn at(heartbeats: f64) -> Nanos {
    HEARTBEAT_INTERVAL.times(heartbeats)
}

pub fn gateway(incarnation: u64) -> GatewayRecord {
    let addr = SocketAddrV4::new(Ipv4Addr::new(10, 0, (incarnation >> 8) as u8, incarnation as u8), 7120);
    GatewayRecord {
        incarnation: IncarnationId(incarnation),
        addr,
        zone: ["north", "south", "east"][incarnation as usize % 3].to_string(),
    }
}

pub fn assignment(view: u32, number: u32, incarnations: impl IntoIterator<Item = u64>) -> Assignment {
    let gateways: Vec<GatewayRecord> = incarnations.into_iter().map(gateway).collect();
    Assignment {
        fencing_token: FencingToken::new(view, number),
        presumed_alive: gateways.len() as u32,
        gateways,
    }
    .sorted()
}

pub fn assigner() -> Assigner {
    Assigner::new(
        HEARTBEAT_INTERVAL,
        AssignerSettings { max_gateways: 5_000, presumed_alive_timeout: at(15.0) },
    )
}

pub fn owned_keys(incarnation: u64) -> OwnedKeys {
    let settings = OwnedKeysSettings {
        max_keys: 500,
        handover_timeout: at(2.0),
        confirmation_timeout: at(5.0),
        budget_window: BUDGET_WINDOW,
    };
    OwnedKeys::new(IncarnationId(incarnation), None, settings)
}
