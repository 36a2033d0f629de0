//! Gateways and times for the stories of this package.

use fernknot::interface::Nanos;
use fernknot_ownership::{
    Assigner, AssignerSettings, Assignment, FencingToken, GatewayRecord, IncarnationId, OwnedKeys,
    OwnedKeysSettings,
};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const BEAT: Nanos = Nanos(1_000_000_000);

/// The span over which a budget counts what was spent.
pub const WINDOW: Nanos = Nanos(10_000_000_000);

/// A time in beats.
pub fn at(beats: f64) -> Nanos {
    BEAT.times(beats)
}

pub fn gateway(life: u64) -> GatewayRecord {
    let addr = SocketAddrV4::new(Ipv4Addr::new(10, 0, (life >> 8) as u8, life as u8), 7120);
    GatewayRecord {
        life: IncarnationId(life),
        addr,
        zone: ["north", "south", "east"][life as usize % 3].to_string(),
    }
}

pub fn cut(view: u32, count: u32, lives: impl IntoIterator<Item = u64>) -> Assignment {
    let live: Vec<GatewayRecord> = lives.into_iter().map(gateway).collect();
    Assignment { fence: FencingToken::of(view, count), may_be_alive: live.len() as u32, live }.sorted()
}

pub fn keeper() -> Assigner {
    Assigner::new(BEAT, AssignerSettings { most_gateways: 5_000, doubt: at(15.0) })
}

pub fn holder(life: u64) -> OwnedKeys {
    let bounds =
        OwnedKeysSettings { most_keys: 500, hand_over: at(2.0), unconfirmed: at(5.0), window: WINDOW };
    OwnedKeys::new(IncarnationId(life), None, bounds)
}
