//! Validated routing configuration of the operator.

use bitcode::{Decode, Encode};

use crate::validation_error::ValidationError;

/// Routing configuration of one version: which services (sets of nodes) get which requests of clients.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingConfig {
    /// Version number of the configuration, which the operator assigns; a version replaces only one with a lower
    /// number.
    pub epoch: u64,
    /// Routes in the order of the operator's list.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Limits on what clients may send.
    pub limits: ClientLimits,
}

impl RoutingConfig {
    /// Checks that this version may replace the current one.
    ///
    /// # Errors
    ///
    /// The epoch is not higher than the current one.
    pub fn check_epoch_above(&self, current_epoch: u64) -> Result<(), ValidationError> {
        if self.epoch > current_epoch {
            return Ok(());
        }
        Err(ValidationError::new("epoch", format!("{} is not above {current_epoch}", self.epoch)))
    }
}

/// Rule for routing the requests of one host and path prefix, with limits on their time and attempts.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Name for operators; may be empty.
    pub name: String,
    /// Host that requests of this route are for, as in their `Host` field; case and port are ignored.
    pub authority: String,
    /// Prefix of the path of requests of this route; begins and ends with a slash. The longest prefix takes
    /// precedence.
    pub path_prefix: String,
    /// Whether requests may be executed more than once.
    pub traffic_class: TrafficClass,
    /// Time from a request's arrival within which it has to be answered, in milliseconds; never 0.
    pub deadline_ms: u64,
    /// Latency target in milliseconds; a response within it has its full value.
    pub target_ms: u64,
    /// Priority of the requests; 0 is the highest. An answer is worth half as much with each further rank.
    pub rank: u32,
    /// Services that the requests are sent to.
    pub target: RouteTarget,
    /// Largest number of attempts at a client's request or, in a fanout, at each shard's part of it; at least 1.
    pub max_attempts: u32,
}

/// Whether a request may be executed more than once, as by a retry after an unknown result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum TrafficClass {
    /// Requests may be executed more than once.
    Idempotent,
    /// Requests may be executed at most once.
    Mutating,
}

/// Services that the requests of a route are sent to.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RouteTarget {
    /// All requests go to one service.
    Service(String),
    /// Each request goes to one of several services, chosen at random by weight; the sum of the weights is above 0.
    WeightedServices(Vec<(String, f64)>),
    /// Each request goes to all of several services (shards), whose responses are merged.
    Fanout {
        /// Names of the services.
        shards: Vec<String>,
        /// Largest number of records that the client gets, the greatest first; records are compared as big-endian
        /// numbers.
        top_k: usize,
        /// Share of the shards that have to respond for a success, from 0 to 1.
        quorum: f64,
    },
}

impl RouteTarget {
    /// Returns the names of all services that requests may be sent to, in the order given.
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

/// Service that routes may name.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Name that routes and heartbeats of nodes use.
    pub name: String,
    /// Path of the requests by which the health of a node is checked.
    pub probe_path: String,
    /// Number of connections that each node accepts from all callers together.
    pub max_connections: u32,
    /// Protocol by which requests are sent to the nodes, such as `h1`; any text is accepted.
    pub protocol: String,
    /// Whether connections to the nodes use TLS.
    pub tls: bool,
}

/// Limits on the size and the time of clients' requests.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClientLimits {
    /// Largest size of a request's head, in bytes.
    pub header_bytes: u64,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Longest time that a client may take to send a request's head, in milliseconds.
    pub header_ms: u64,
    /// Longest time without a request on a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits { header_bytes: 16384, body_bytes: 262_144, header_ms: 3000, idle_ms: 15000 }
    }
}
