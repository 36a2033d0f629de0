//! The listening sockets of a gateway.

use fernknot_net::ConnectionId;

/// The sockets at which a gateway listens. The host opens them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerIds {
    /// For clients.
    pub front: ConnectionId,
    /// For the platform, which asks whether the gateway is ready, and for readers of counters.
    pub ready: ConnectionId,
    /// For other processes of the system.
    pub inner: ConnectionId,
}

/// The listening socket at which an HTTP connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenAddress {
    /// The address for clients (`front_addr`).
    Front,
    /// The address for readiness and counters (`ready_addr`).
    Ready,
}
