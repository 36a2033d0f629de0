//! Sample values for the recorded encodings. No two fields of one type have the same value, so that swapped fields are
//! detected.

use fernknot_ownership::{Assignment, FencingToken, GatewayRecord, IncarnationId};
use fernknot_peer_sampling::{PeerDescriptor, Role};
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_schema::{
    AccessControl, ClientLimits, DigestKey, Route, RouteTarget, RoutingConfig, Service, Tenant, TrafficClass,
};
use fernknot_usage::{UsageReport, WindowNumber, WindowUsage};
use std::net::{Ipv4Addr, SocketAddrV4};

pub fn addr(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 3, 4, number), 7200 + u16::from(number))
}

pub fn gateway(number: u8) -> GatewayRecord {
    GatewayRecord {
        incarnation: IncarnationId(0x3000 + u64::from(number)),
        addr: addr(number),
        zone: format!("gateway-zone-{number}"),
    }
}

/// Returns one node in each state; its other fields are derived from the state's position.
pub fn nodes() -> Vec<NodeRecord> {
    let states = [NodeState::Ready, NodeState::Draining, NodeState::Lost, NodeState::Gone];
    states.into_iter().zip(1..).map(|(state, number)| node(number, state)).collect()
}

fn node(number: u8, state: NodeState) -> NodeRecord {
    NodeRecord {
        id: format!("node-{number}"),
        service: format!("service-{number}"),
        addr: addr(100 + number),
        zone: format!("node-zone-{number}"),
        state,
        capacity: 40 + u32::from(number),
        warm_up_left_ms: 5000 + u64::from(number),
        sequence: 60_000 + u64::from(number),
    }
}

pub fn assignment() -> Assignment {
    Assignment {
        fencing_token: FencingToken::new(21, 22),
        gateways: vec![gateway(23), gateway(24)],
        presumed_alive: 25,
    }
}

/// Returns one descriptor for each role.
pub fn descriptors() -> Vec<PeerDescriptor> {
    let gateway = PeerDescriptor {
        addr: addr(31),
        role: Role::Gateway,
        zone: "zone-31".into(),
        incarnation: 3100,
        age_ms: 310,
    };
    let controller = PeerDescriptor {
        addr: addr(32),
        role: Role::Controller,
        zone: "zone-32".into(),
        incarnation: 3200,
        age_ms: 320,
    };
    vec![gateway, controller]
}

/// Returns a configuration with every kind of route.
pub fn routing_config() -> RoutingConfig {
    RoutingConfig {
        epoch: 41,
        routes: vec![route_to_one_service(), route_to_weighted_services(), route_to_shards()],
        services: vec![service(1, true), service(2, false)],
        limits: ClientLimits { header_bytes: 4201, body_bytes: 4202, header_ms: 4203, idle_ms: 4204 },
    }
}

/// Returns one tenant with keys and a rank, and one without.
pub fn access_control() -> AccessControl {
    let digest_key = DigestKey::new([47; DigestKey::BYTES]);
    let keys = [b"key-1", b"key-2"].map(|key| digest_key.digest(key)).to_vec();
    let tenants = vec![
        Tenant { name: "tenant-1".into(), rank: Some(4701), keys },
        Tenant { name: "tenant-2".into(), rank: None, keys: Vec::new() },
    ];
    AccessControl { digest_key, tenants, public_routes: vec![false, true, false] }
}

pub fn usage_report(number: u64) -> UsageReport {
    let requests = vec![("tenant-1".into(), 4810 + number), ("tenant-2".into(), 4820 + number)];
    let window = WindowNumber(4830 + number);
    UsageReport {
        incarnation: IncarnationId(0x4800 + number),
        windows: vec![WindowUsage { window, requests }],
    }
}

fn route_to_one_service() -> Route {
    Route {
        name: "orders".into(),
        authority: "orders.example".into(),
        path_prefix: "/orders/".into(),
        traffic_class: TrafficClass::Mutating,
        deadline_ms: 4301,
        target_ms: 4302,
        rank: 4303,
        target: RouteTarget::Service("service-1".into()),
        max_attempts: 4304,
    }
}

fn route_to_weighted_services() -> Route {
    Route {
        name: "browse".into(),
        authority: "browse.example".into(),
        path_prefix: "/browse/".into(),
        traffic_class: TrafficClass::Idempotent,
        deadline_ms: 4401,
        target_ms: 4402,
        rank: 4403,
        target: RouteTarget::WeightedServices(vec![("service-1".into(), 0.25), ("service-2".into(), 1.5)]),
        max_attempts: 4404,
    }
}

fn route_to_shards() -> Route {
    let shards = vec!["shard-1".into(), "shard-2".into()];
    Route {
        name: "search".into(),
        authority: "search.example".into(),
        path_prefix: "/search/".into(),
        traffic_class: TrafficClass::Idempotent,
        deadline_ms: 4501,
        target_ms: 4502,
        rank: 4503,
        target: RouteTarget::Fanout { shards, top_k: 4504, quorum: 0.625 },
        max_attempts: 4505,
    }
}

fn service(number: u32, tls: bool) -> Service {
    Service {
        name: format!("service-{number}"),
        probe_path: format!("/health-{number}"),
        max_connections: 4600 + number,
        protocol: format!("h{number}"),
        tls,
    }
}
