//! Test environment on one machine: a cluster of the real programs on loopback, an operator, stand-in nodes, clients, and a
//! checker of the responses.
//!
//! A *service* is a named group of nodes that serve the same requests. A *gathered* route sends each request to one
//! node of every service on its list, the *shards*, and merges their records into one response; any other route has one
//! service. A node adds a *seal*, a unique token, to the response to each request that it executed. The *version* of a
//! configuration is the number in its field `epoch`. An *incarnation* is one start of a process or node, which has an
//! id of its own.
//!
//! | Module | Contents |
//! |---|---|
//! | [`http`] | HTTP/1.1 for clients and nodes, on blocking sockets; shares no code with the programs |
//! | [`inspection`] | operator commands to a running process: reports and forced views |
//! | [`subscription`] | a subscriber that counts the bytes it receives |
//! | [`operator`] | an operator that replaces and reads the configuration |
//! | [`config_draft`] | routing configurations of test clusters |
//! | [`nodes`], [`execution_log`] | stand-in nodes, and the log of the requests that they executed |
//! | [`load_balancer`], [`load`] | clients, and the choice of a ready gateway for each connection |
//! | [`requests`], [`checker`] | requests with their outcomes, and their comparison with the nodes' executions |
//! | [`cluster`] | processes of the real programs, their settings, start and stop |
//! | [`platform`], [`platform_checker`] | stand-in of the platform's interface, and the check of the calls to it |
//! | [`usage`] | processor time and memory of a process |
//! | [`soak`] | series of faults and changes that overlap, and the verdict on them |
//! | [`measure`](mod@measure) | cost of each role by the number of gateways, nodes, routes, changes and queries |

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
pub mod platform;
pub mod platform_checker;
pub mod requests;
pub mod soak;
pub mod subscription;
pub mod usage;

pub use error::ConnectionError;
