//! The operator's configuration: routes, services and what clients may send.

use bitcode::{Decode, Encode};

use crate::walk::Fault;

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Plan {
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
    pub traffic_class: Class,
    /// The longest that the operator wants a request held, in milliseconds; never 0.
    pub deadline_ms: u64,
    /// Within this an answer earns its full worth, in milliseconds.
    pub target_ms: u64,
    /// 0 is the highest.
    pub rank: u32,
    pub to: Target,
    /// The largest number of nodes that one try of a client may be sent to; at least 1.
    pub tries: u32,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Class {
    Idempotent,
    Mutating,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Target {
    Backend(String),
    /// Services with their weights; the weights do not add up to 0.
    Shares(Vec<(String, f64)>),
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
    pub max_conns: u32,
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

impl Plan {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    ///
    /// What makes it invalid; the call wants a 400.
    pub fn read(_bytes: &[u8]) -> Result<Plan, Vec<Fault>> {
        Err(vec![Fault::new("", "not read yet")])
    }

    /// A version follows only a lower one.
    ///
    /// # Errors
    ///
    /// The epoch is not above the current one.
    pub fn check_after(&self, current_epoch: u64) -> Result<(), Fault> {
        match self.epoch > current_epoch {
            true => Ok(()),
            false => Err(Fault::new("epoch", format!("{} is not above {current_epoch}", self.epoch))),
        }
    }
}

/// A hash of a body by its JSON value: order of keys, spaces and the spelling of numbers aside.
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
