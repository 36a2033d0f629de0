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
        incarnation: IncarnationId(life),
        addr,
        zone: ["north", "south", "east"][life as usize % 3].to_string(),
    }
}

pub fn cut(view: u32, count: u32, lives: impl IntoIterator<Item = u64>) -> Assignment {
    let live: Vec<GatewayRecord> = lives.into_iter().map(gateway).collect();
    Assignment {
        fencing_token: FencingToken::new(view, count),
        presumed_alive: live.len() as u32,
        gateways: live,
    }
    .sorted()
}

pub fn keeper() -> Assigner {
    Assigner::new(BEAT, AssignerSettings { max_gateways: 5_000, presumed_alive_timeout: at(15.0) })
}

pub fn holder(life: u64) -> OwnedKeys {
    let bounds = OwnedKeysSettings {
        max_keys: 500,
        handover_timeout: at(2.0),
        confirmation_timeout: at(5.0),
        budget_window: WINDOW,
    };
    OwnedKeys::new(IncarnationId(life), None, bounds)
}
