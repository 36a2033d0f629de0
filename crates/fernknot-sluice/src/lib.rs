//! The system's data plane: one gateway between clients and nodes.
//!
//! `gateway` is the loop that turns what happens on sockets into calls on the engine and carries out its orders;
//! `clients` and `lines` hold the connections of either side, `asks` the requests in hand, `routes` the
//! configuration, `news` the streams by which nodes and configurations become known.

pub mod asks;
pub mod clients;
mod gateway;
pub mod lines;
mod news;
pub mod routes;

pub use gateway::Gateway;
