//! Connections of clients, and of the platform's readiness probes.

mod connection;
mod connections;
mod rejection;

pub(crate) use connections::{ClientConnections, ClientRead, ClientTimeouts};
pub(crate) use rejection::{LocalReply, Rejection};
