//! The system's data plane: one gateway between clients and nodes.
//!
//! A [`Gateway`] owns what is in flight: the connections of clients and to nodes, the requests and their attempts, the
//! configuration in force and the list of nodes. It has no socket, clock, signal or file. The program's host ([`host`])
//! or a simulation passes it what happens to its connections, with a time, lends it a network
//! ([`fernknot_net::Network`]), and asks it when it wants to be called again. What is on its connections are bytes:
//! HTTP/1.1 with clients and nodes, messages of `fernknot-rpc` with controllers and other gateways.
//!
//! [`Gateway`] only routes events. `data_plane` is the way of requests: `clients` has the connections of clients,
//! `routing` the configuration, `attempts` the requests in flight with the engine's `decisions` and the connections to
//! [`nodes`]. `updates` has the streams by which nodes and configurations become known.

#![deny(missing_docs)]

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
mod updates;
mod use_case;

pub use config_snapshot::ConfigSnapshot;
pub use engine_ids::{EngineIds, SnapshotChange};
pub use error::GatewayError;
pub use gateway::Gateway;
pub use listeners::ListenerIds;
pub use seeded_bug::SeededBug;
