//! The system's data plane: one gateway between clients and nodes.
//!
//! A [`Gateway`] has no socket, clock, signal or file: the program's host ([`host`]) or a simulation feeds it what
//! happens to its connections, with a time, lends it its ports ([`fernknot_net::Ports`]), and asks it when it
//! wants to be called again. What is on its connections are bytes: HTTP with clients and nodes, the words of
//! `fernknot-rpc` with controllers and other gateways.
//!
//! In `gateway` its clients' side and its nodes' side stand apart (`downstream`, `upstream`); `clients` and `lines`
//! hold the connections of either, `asks` the requests in hand, `routes` the configuration, `news` the streams by which
//! nodes and configurations become known.

pub mod asks;
pub mod clients;
mod gateway;
pub mod host;
pub mod lines;
mod news;
pub mod routes;

pub use gateway::{Gateway, ListenerIds, SeededBug, controller_seeds, inner_addr, max_connections};
