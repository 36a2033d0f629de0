//! Listening sockets of a gateway.

use fernknot_net::ConnectionId;

/// Sockets at which a gateway listens, opened by the program that drives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerIds {
    /// Socket for clients.
    pub front: ConnectionId,
    /// Socket for the platform's readiness probes and for readers of counters.
    pub ready: ConnectionId,
    /// Socket for other processes of the system.
    pub inner: ConnectionId,
}

/// Listening socket at which an HTTP connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenAddress {
    /// Address for clients (`front_addr`).
    Front,
    /// Address for readiness and counters (`ready_addr`).
    Ready,
}
