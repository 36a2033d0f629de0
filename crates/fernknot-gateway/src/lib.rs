//! Data plane of the system: one gateway between clients and nodes.
//!
//! A [`Gateway`] owns the connections to clients and nodes, the requests in flight and their attempts, the
//! configuration in force and the list of nodes. It has no socket, clock, signal handler or file of its own. The host
//! process ([`host`]) or a simulation calls it with the time, the events of its connections and a network
//! ([`fernknot_net::Network`]), and asks it for the time of the next call. Connections carry bytes: HTTP/1.1 to
//! clients and nodes, messages of `fernknot-rpc` to controllers and other gateways.
//!
//! [`Gateway`] only dispatches events. `data_plane` processes requests: `clients` has the connections of clients,
//! `routing` the configuration, `access` the keys of its tenants, `attempts` the requests in flight with the `decisions` of the engine
//! (`fernknot-engine`, which selects the node of each attempt) and the connections to [`nodes`]. `updates` has the
//! streams over which nodes and configurations are received.

#![deny(missing_docs)]

mod access;
mod attempts;
mod budget;
mod clients;
mod config_snapshot;
mod counters;
mod data_plane;
mod decisions;
mod discovery;
mod engine_ids;
mod engine_setup;
mod error;
mod gateway;
mod headers;
pub mod host;
mod listeners;
pub mod nodes;
pub mod requests;
mod routing;
mod seeded_bug;
mod settings;
mod shutdown;
mod stall;
mod turns;
mod updates;
mod use_case;

pub use access::{AccessTable, TenantIndex};
pub use config_snapshot::ConfigSnapshot;
pub use engine_ids::{EngineIds, SnapshotChange};
pub use error::GatewayError;
pub use gateway::Gateway;
pub use listeners::ListenerIds;
pub use seeded_bug::SeededBug;
