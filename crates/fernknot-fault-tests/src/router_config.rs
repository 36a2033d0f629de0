//! Configuration file of a router.

use crate::schedule::Schedule;
use fernknot_stand_in::CONFIG;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Maximum mean number of membership datagrams that a router may send in one probe period.
const DATAGRAMS_PER_PERIOD: f64 = 6.4;
/// Multiplier of the schedule's seed (2^32 divided by the golden ratio), to which the router's number is added. It
/// keeps the routers' seeds of different runs apart.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9;

/// Addresses in the configuration of a router.
pub(crate) struct RouterAddresses<'a> {
    /// Address to which other routers send datagrams for each router, by router number; they are the list of peers.
    pub public: &'a [SocketAddr],
    /// Address at which this router receives datagrams from the datagram relay.
    pub private: SocketAddr,
    /// Address to which routers send datagrams for all routers.
    pub broadcast: SocketAddr,
}

/// Creates the configuration of a router: the example configuration of the stand-ins, extended by peers, membership and
/// a non-idempotent use case.
pub(crate) fn router_config(schedule: &Schedule, router: usize, addresses: &RouterAddresses) -> Value {
    let mut config: Value = serde_json::from_str(CONFIG).unwrap_or_default();
    let seed = schedule.seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(router as u64);
    let datagrams_per_s = DATAGRAMS_PER_PERIOD * 1000.0 / schedule.period_ms;
    config["name"] = json!(format!("n{router}"));
    config["seed"] = json!(format!("{seed:016x}"));
    config["peer_listen"] = json!(addresses.private.to_string());
    config["peers"] = addresses.public.iter().map(SocketAddr::to_string).collect();
    config["peers_all"] = json!(addresses.broadcast.to_string());
    config["fleet"] = json!({"period": schedule.period_ms, "datagrams": datagrams_per_s});
    let settings = &mut config["settings"];
    settings["balancers"] = json!(schedule.routers);
    settings["position"] = json!(router);
    settings["allowed"]["peers"] = json!(true);
    add_non_idempotent_use_case(settings);
    config
}

fn add_non_idempotent_use_case(settings: &mut Value) {
    let use_case = json!({"name": "buy", "effect": "unsafe", "onTime": 1500.0, "deadline": 3000.0,
        "lateShare": 0.0, "worth": 3.0});
    push(&mut settings["classes"], use_case);
    for (key, value) in [("classFetch", 0.0), ("classNeed", 1.0), ("minShare", 1.0)] {
        push(&mut settings["familyInfo"][key], json!(value));
    }
}

fn push(list: &mut Value, value: Value) {
    if let Some(list) = list.as_array_mut() {
        list.push(value);
    }
}
