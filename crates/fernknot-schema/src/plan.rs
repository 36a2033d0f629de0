//! The operator's configuration: routes, services and what clients may send.

use std::collections::HashSet;

use bitcode::{Decode, Encode};
use serde_json::Value;
use xxhash_rust::xxh3::Xxh3;

use crate::paper::{self, RawRoute, RawService};
use crate::routes::host_without_port;
use crate::walk::ValidationError;

/// What stands for settings that a configuration leaves out.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
const DEFAULT_MAX_CONNECTIONS: u32 = 32;
const DEFAULT_TOP_K: usize = 100;

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingConfig {
    pub epoch: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: ClientLimits,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    pub name: String,
    /// The host that requests of this route carry.
    pub authority: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub traffic_class: TrafficClass,
    /// The longest that the operator wants a request held, in milliseconds; never 0.
    pub deadline_ms: u64,
    /// Within this an answer earns its full worth, in milliseconds.
    pub target_ms: u64,
    /// 0 is the highest.
    pub rank: u32,
    pub target: RouteTarget,
    /// The largest number of nodes that one try of a client may be sent to; at least 1.
    pub max_attempts: u32,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum TrafficClass {
    Idempotent,
    Mutating,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RouteTarget {
    Service(String),
    /// Services with their weights; the weights do not add up to 0.
    WeightedServices(Vec<(String, f64)>),
    Fanout {
        shards: Vec<String>,
        /// How many of the greatest records the client gets.
        top_k: usize,
        /// The least share of the shards that makes a success, 0 to 1.
        quorum: f64,
    },
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    pub name: String,
    pub probe_path: String,
    /// Connections that each node takes from all callers together.
    pub max_connections: u32,
    pub protocol: String,
    pub tls: bool,
}

/// What a client may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClientLimits {
    pub header_bytes: u64,
    pub body_bytes: u64,
    pub header_ms: u64,
    pub idle_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits { header_bytes: 16384, body_bytes: 262_144, header_ms: 3000, idle_ms: 15000 }
    }
}

impl RoutingConfig {
    /// Reads and checks a configuration. Unknown keys pass, and what PROTOCOL does not forbid is not
    /// refused: a valid version that is turned away costs a duty.
    ///
    /// # Errors
    ///
    /// What makes it invalid; the call wants a 400.
    pub fn parse(bytes: &[u8]) -> Result<RoutingConfig, Vec<ValidationError>> {
        let whole = |why: &dyn std::fmt::Display| {
            vec![ValidationError::new("", format!("cannot be read whole: {why}"))]
        };
        // Strict first: what `schematic` reads may hold comments and trailing commas.
        serde_json::from_slice::<serde::de::IgnoredAny>(bytes).map_err(|error| whole(&error))?;
        let text = std::str::from_utf8(bytes).map_err(|error| whole(&error))?;
        let paper = paper::load(text)?;

        let mut faults = Vec::new();
        let services = parse_services(paper.backends.unwrap_or_default(), &mut faults);
        let known: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
        let mut taken = HashSet::new();
        let mut routes = Vec::new();
        for (at, route) in paper.routes.unwrap_or_default().into_iter().enumerate() {
            let place = format!("routes[{at}]");
            let route = parse_route(route, &place, &mut faults);
            for name in route.target.services().filter(|name| !known.contains(name)) {
                faults.push(ValidationError::new(&place, format!("names the unknown service {name:?}")));
            }
            let host = host_without_port(&route.authority).to_ascii_lowercase();
            if !taken.insert((host, route.path_prefix.clone())) {
                faults.push(ValidationError::new(&place, "has the host and prefix of another route"));
            }
            routes.push(route);
        }
        match faults.is_empty() {
            true => Ok(RoutingConfig {
                epoch: paper.epoch.map_or(0, |epoch| epoch.0),
                routes,
                services,
                limits: paper.limits.resolve(),
            }),
            false => Err(faults),
        }
    }

    /// A version follows only a lower one.
    ///
    /// # Errors
    ///
    /// The epoch is not above the current one.
    pub fn check_epoch_above(&self, current_epoch: u64) -> Result<(), ValidationError> {
        match self.epoch > current_epoch {
            true => Ok(()),
            false => {
                Err(ValidationError::new("epoch", format!("{} is not above {current_epoch}", self.epoch)))
            }
        }
    }
}

impl RouteTarget {
    /// Every service that requests may be sent to, in the order given.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let (one, shares, shards) = match self {
            RouteTarget::Service(name) => (Some(name), &[][..], &[][..]),
            RouteTarget::WeightedServices(shares) => (None, &shares[..], &[][..]),
            RouteTarget::Fanout { shards, .. } => (None, &[][..], &shards[..]),
        };
        let shares = shares.iter().map(|(name, _)| name);
        one.into_iter().chain(shares).chain(shards).map(String::as_str)
    }
}

fn parse_services(papers: Vec<RawService>, faults: &mut Vec<ValidationError>) -> Vec<Service> {
    let mut taken = HashSet::new();
    let mut services = Vec::with_capacity(papers.len());
    for (at, paper) in papers.into_iter().enumerate() {
        let name = paper.name.unwrap_or_default();
        if !taken.insert(name.clone()) {
            let why = format!("has the name of another service, {name:?}");
            faults.push(ValidationError::new(format!("backends[{at}]"), why));
        }
        services.push(Service {
            name,
            probe_path: paper.probe_path,
            max_connections: paper.max_conns.map_or(DEFAULT_MAX_CONNECTIONS, |conns| saturating_u32(conns.0)),
            protocol: paper.protocol,
            tls: paper.tls,
        });
    }
    services
}

fn parse_route(paper: RawRoute, place: &str, faults: &mut Vec<ValidationError>) -> Route {
    let to = if let Some(shards) = paper.fanout {
        let mut taken = HashSet::new();
        if shards.is_empty() {
            faults.push(ValidationError::new(place, "has a fanout of no service"));
        }
        if !shards.iter().all(|shard| taken.insert(shard.as_str())) {
            faults.push(ValidationError::new(place, "has a fanout that names a service twice"));
        }
        let top_k = paper.top_k.map_or(DEFAULT_TOP_K, |top_k| saturating_u32(top_k.0) as usize);
        RouteTarget::Fanout { shards, top_k, quorum: paper.quorum.unwrap_or(0.0) }
    } else if let Some(shares) = paper.shares {
        let shares: Vec<(String, f64)> = shares
            .into_iter()
            .map(|share| (share.backend.unwrap_or_default(), share.weight.unwrap_or(0.0)))
            .collect();
        let sum: f64 = shares.iter().map(|(_, weight)| weight).sum();
        if sum <= 0.0 || !sum.is_finite() {
            faults.push(ValidationError::new(place, "has weights that add up to 0"));
        }
        RouteTarget::WeightedServices(shares)
    } else {
        if paper.backend.is_none() {
            faults.push(ValidationError::new(place, "names no service"));
        }
        RouteTarget::Service(paper.backend.unwrap_or_default())
    };
    // What is gathered may be repeated whatever the class says; without a word on it nothing may.
    let traffic_class = match (&to, paper.traffic_class) {
        (RouteTarget::Fanout { .. }, _) => TrafficClass::Idempotent,
        (_, class) => class.unwrap_or_default().into(),
    };
    let deadline_ms = paper.deadline_ms.map_or(DEFAULT_DEADLINE_MS, |ms| ms.0);
    Route {
        name: paper.name,
        authority: paper.authority.unwrap_or_default(),
        path_prefix: paper.path_prefix.unwrap_or_default(),
        traffic_class,
        deadline_ms,
        target_ms: paper.target_ms.map_or(deadline_ms, |ms| ms.0),
        rank: saturating_u32(paper.rank.0),
        target: to,
        max_attempts: saturating_u32(paper.tries.map_or(1, |tries| tries.0)).max(1),
    }
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// A hash of a body by its JSON value: order of keys, spaces and the spelling of numbers aside. A
/// body that is no JSON is hashed as it stands. The same on every machine and in every life.
pub fn json_digest(bytes: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    match serde_json::from_slice::<Value>(bytes) {
        Ok(value) => hash_value(&mut hash, &value),
        Err(_) => {
            hash.update(b"!");
            hash.update(bytes);
        }
    }
    hash.digest()
}

fn hash_value(hash: &mut Xxh3, value: &Value) {
    let text = |hash: &mut Xxh3, text: &str| {
        hash.update(b"s");
        hash.update(&(text.len() as u64).to_le_bytes());
        hash.update(text.as_bytes());
    };
    match value {
        Value::Null => hash.update(b"n"),
        Value::Bool(flag) => hash.update(if *flag { b"t" } else { b"f" }),
        Value::String(string) => text(hash, string),
        Value::Number(number) => {
            // 600 and 600.0 are one number.
            let float = number.as_f64().unwrap_or(f64::NAN);
            let whole = match number.as_i128() {
                Some(whole) => Some(whole),
                None => (float.fract() == 0.0 && float.abs() < 2f64.powi(63)).then_some(float as i128),
            };
            match whole {
                Some(whole) => {
                    hash.update(b"i");
                    hash.update(&whole.to_le_bytes());
                }
                None => {
                    hash.update(b"d");
                    hash.update(&float.to_bits().to_le_bytes());
                }
            }
        }
        Value::Array(items) => {
            hash.update(b"a");
            hash.update(&(items.len() as u64).to_le_bytes());
            items.iter().for_each(|item| hash_value(hash, item));
        }
        Value::Object(map) => {
            // Sorted here: whether the map is sorted depends on what else is built.
            let mut entries: Vec<(&String, &Value)> = map.iter().collect();
            entries.sort_unstable_by_key(|(key, _)| *key);
            hash.update(b"o");
            hash.update(&(entries.len() as u64).to_le_bytes());
            for (key, value) in entries {
                text(hash, key);
                hash_value(hash, value);
            }
        }
    }
}
