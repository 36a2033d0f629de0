//! Processes from which a gateway receives updates, and their heartbeats.

use fernknot_ownership::FencingToken;
use std::net::SocketAddrV4;

/// Maximum number of gateways by which a heartbeat with a lease may have been forwarded; no tree of relays is deeper.
pub(crate) const MAX_HOPS: u8 = 6;

/// Kind of process that sends updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceKind {
    /// Process of the control plane.
    Controller,
    /// Gateway of the same zone that forwards updates.
    Relay,
}

/// Process that sends updates to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Source {
    /// Kind of the process.
    pub kind: SourceKind,
    /// Address of the process.
    pub addr: SocketAddrV4,
}

impl Source {
    /// Creates the source for a controller.
    pub fn controller(addr: SocketAddrV4) -> Source {
        Source { kind: SourceKind::Controller, addr }
    }

    /// Creates the source for a relay.
    pub fn relay(addr: SocketAddrV4) -> Source {
        Source { kind: SourceKind::Relay, addr }
    }
}

/// Periodic message of a source, sent also when there are no updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceHeartbeat {
    /// Newest revision of the configuration known to the source.
    pub revision: u64,
    /// Version of the controller's list of nodes; comparable only between heartbeats of one controller.
    pub registry_version: u64,
    /// Fencing token of the newest assignment known to the source.
    pub fencing_token: FencingToken,
    /// Whether the controller that the heartbeat comes from is in contact with a majority of the controllers, so that
    /// its updates are current. A relay sets it only while the heartbeats of its own sources have it.
    pub has_lease: bool,
    /// Number of gateways that forwarded the heartbeat since the controller sent it. Two gateways with different
    /// assignments may forward a heartbeat to each other in a loop; the limit on hops removes its lease.
    pub hops: u8,
}

impl SourceHeartbeat {
    /// Removes the lease if the heartbeat took more hops than the deepest relay tree has.
    pub(crate) fn without_lease_if_looping(self) -> SourceHeartbeat {
        SourceHeartbeat { has_lease: self.has_lease && self.hops <= MAX_HOPS, ..self }
    }
}
