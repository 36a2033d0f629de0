//! Wire formats that the router uses with its clients, its data nodes, discovery and its peers.
//!
//! The readers take bytes and return messages, the writers add messages to a [`buffer::Buffer`]; neither uses sockets
//! or clocks. The connections belong to the callers: the router, the gateway, and the stand-ins of the router's tests.

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
