//! What stands around the system when it is tried on one machine: an operator, nodes, clients, a checker of what they
//! saw, and a cluster of the real programs on loopback.
//!
//! | Module | Contents |
//! |---|---|
//! | [`http`] | HTTP/1.1 of clients and nodes, on blocking sockets; shares no code with the programs |
//! | [`inspection`] | questions of an operator to a running process |
//! | [`subscription`] | a subscriber that counts what it is sent |
//! | [`operator`] | an operator that sends configurations and reads them back |
//! | [`config_draft`] | configurations as that operator writes them |
//! | [`nodes`], [`execution_log`] | stand-in nodes: they send heartbeats, serve, drain and end; and what they ran |
//! | [`load_balancer`], [`load`] | clients, and what connects them to gateways that are ready |
//! | [`requests`], [`checker`] | what clients saw, and whether it was right by what nodes ran |
//! | [`cluster`] | the processes, their settings and their ends |
//! | [`usage`] | what a process costs |
//! | [`measure`](mod@measure) | how that cost grows with gateways, nodes, routes, changes and queries |

#![deny(missing_docs)]

mod client;
mod error;
mod peer_stream;
mod sync;

pub mod checker;
pub mod cluster;
pub mod config_draft;
pub mod execution_log;
pub mod http;
pub mod inspection;
pub mod load;
pub mod load_balancer;
pub mod measure;
pub mod nodes;
pub mod operator;
pub mod requests;
pub mod subscription;
pub mod usage;

pub use error::ConnectionError;
