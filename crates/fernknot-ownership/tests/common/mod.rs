//! Gateways and times for the stories of this package.

use fernknot::interface::Nanos;
use fernknot_ownership::{Cut, Fence, Gateway, Holder, HolderBounds, Keeper, KeeperBounds, LifeId};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const BEAT: Nanos = Nanos(1_000_000_000);

/// The span over which a budget counts what was spent.
pub const WINDOW: Nanos = Nanos(10_000_000_000);

/// A time in beats.
pub fn at(beats: f64) -> Nanos {
    BEAT.times(beats)
}

pub fn gateway(life: u64) -> Gateway {
    let addr = SocketAddrV4::new(Ipv4Addr::new(10, 0, (life >> 8) as u8, life as u8), 7120);
    Gateway { life: LifeId(life), addr, zone: ["north", "south", "east"][life as usize % 3].to_string() }
}

pub fn cut(view: u32, count: u32, lives: impl IntoIterator<Item = u64>) -> Cut {
    let live: Vec<Gateway> = lives.into_iter().map(gateway).collect();
    Cut { fence: Fence::of(view, count), may_be_alive: live.len() as u32, live }.sorted()
}

pub fn keeper() -> Keeper {
    Keeper::new(BEAT, KeeperBounds { most_gateways: 5_000, doubt: at(15.0) })
}

pub fn holder(life: u64) -> Holder {
    let bounds = HolderBounds { most_keys: 500, hand_over: at(2.0), unconfirmed: at(5.0), window: WINDOW };
    Holder::new(LifeId(life), None, bounds)
}
