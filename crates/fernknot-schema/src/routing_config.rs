//! The operator's routing configuration, validated.

use bitcode::{Decode, Encode};

use crate::validation_error::ValidationError;

/// One version of the routing configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingConfig {
    /// The operator's version number; rises with each version.
    pub epoch: u64,
    /// The routes, in the order of the operator's list.
    pub routes: Vec<Route>,
    /// The services that routes may name.
    pub services: Vec<Service>,
    /// What clients may send.
    pub limits: ClientLimits,
}

impl RoutingConfig {
    /// Checks that this version may follow the current one.
    ///
    /// # Errors
    ///
    /// The epoch is not above the current one.
    pub fn check_epoch_above(&self, current_epoch: u64) -> Result<(), ValidationError> {
        if self.epoch > current_epoch {
            return Ok(());
        }
        Err(ValidationError::new("epoch", format!("{} is not above {current_epoch}", self.epoch)))
    }
}

/// Which requests are routed where, and with which limits.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// The name for operators; may be empty.
    pub name: String,
    /// The host that requests of this route carry.
    pub authority: String,
    /// The prefix of the path of these requests; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub traffic_class: TrafficClass,
    /// The deadline of a request in milliseconds; never 0.
    pub deadline_ms: u64,
    /// The latency target in milliseconds: an answer within it has its full value.
    pub target_ms: u64,
    /// The priority; 0 is the highest.
    pub rank: u32,
    /// Where the requests go.
    pub target: RouteTarget,
    /// The largest number of nodes that one client request may be sent to; at least 1.
    pub max_attempts: u32,
}

/// Whether requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum TrafficClass {
    /// They may be.
    Idempotent,
    /// They may run once only.
    Mutating,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RouteTarget {
    /// All to one service.
    Service(String),
    /// Each to one of several services, drawn by weight; the weights do not add up to 0.
    WeightedServices(Vec<(String, f64)>),
    /// Each to all of several services (shards), whose answers are merged.
    Fanout {
        /// The names of the services.
        shards: Vec<String>,
        /// How many of the greatest records the client gets.
        top_k: usize,
        /// The least share of the shards that makes a success, 0 to 1.
        quorum: f64,
    },
}

impl RouteTarget {
    /// Every service that requests may be sent to, in the order given.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let (one, weighted, shards) = match self {
            RouteTarget::Service(name) => (Some(name), &[][..], &[][..]),
            RouteTarget::WeightedServices(weighted) => (None, &weighted[..], &[][..]),
            RouteTarget::Fanout { shards, .. } => (None, &[][..], &shards[..]),
        };
        let weighted = weighted.iter().map(|(name, _)| name);
        one.into_iter().chain(weighted).chain(shards).map(String::as_str)
    }
}

/// A service that routes may name.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// The name that routes and nodes' heartbeats use.
    pub name: String,
    /// The path of health checks.
    pub probe_path: String,
    /// Connections that each node accepts from all callers together.
    pub max_connections: u32,
    /// The protocol that the nodes speak.
    pub protocol: String,
    /// Whether connections to the nodes use TLS.
    pub tls: bool,
}

/// What a client may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClientLimits {
    /// Size of a request's head, in bytes.
    pub header_bytes: u64,
    /// Size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Time to send a request's head, in milliseconds.
    pub header_ms: u64,
    /// Time without a request on a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits { header_bytes: 16384, body_bytes: 262_144, header_ms: 3000, idle_ms: 15000 }
    }
}
