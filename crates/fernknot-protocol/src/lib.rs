//! What the router in service exchanges with its clients, its data nodes, discovery and its peers, as bytes.
//!
//! Everything here is fed bytes and returns messages, or writes messages into a [`buffer::Buffer`]; nothing knows a
//! socket or a clock. The router, the gateway and the stand-ins of its tests own the connections and call it.

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
