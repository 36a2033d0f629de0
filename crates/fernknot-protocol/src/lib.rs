//! Wire formats that the router uses with its clients, with the data nodes that it sends queries to, with discovery
//! (the service that lists these nodes) and with its peers, the other routers.
//!
//! The readers take bytes and return messages, the writers add messages to a [`buffer::Buffer`]; neither uses sockets
//! or clocks. The connections belong to the callers: the router, the gateway, and the simulated nodes and clients of
//! the router's tests.

#![deny(missing_docs)]

mod body;
pub mod buffer;
pub mod discovery;
pub mod frames;
pub mod http;
mod http_error;
pub mod matches;
pub mod multiget;
pub mod outbox;
pub mod peer_updates;
pub mod report;
