//! The processes that a gateway takes updates from, and their heartbeats.

use fernknot_ownership::FencingToken;
use std::net::SocketAddrV4;

/// More hops than the deepest tree of relays has.
pub(crate) const MAX_HOPS: u8 = 6;

/// The kind of process that updates come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceKind {
    /// A controller.
    Controller,
    /// A gateway of the same zone that passes updates on.
    Relay,
}

/// A process that updates come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Source {
    /// What the process is.
    pub kind: SourceKind,
    /// Where it is reached.
    pub addr: SocketAddrV4,
}

impl Source {
    /// A controller.
    pub fn controller(addr: SocketAddrV4) -> Source {
        Source { kind: SourceKind::Controller, addr }
    }

    /// A gateway of the same zone.
    pub fn relay(addr: SocketAddrV4) -> Source {
        Source { kind: SourceKind::Relay, addr }
    }
}

/// What a source sends at short intervals, also when there are no updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceHeartbeat {
    /// The newest revision of the configuration that the source knows.
    pub revision: u64,
    /// The version of its node registry; compared only among heartbeats of one controller.
    pub registry_version: u64,
    /// The fencing token of the newest assignment that it knows.
    pub fencing_token: FencingToken,
    /// The controller is in contact with a majority: what it sends is current. A relay says so only while its
    /// controller does.
    pub has_lease: bool,
    /// How many relays passed it on since the controller. Two gateways with different assignments may pass a heartbeat
    /// to each other in a circle; after a few hops it carries no lease any more.
    pub hops: u8,
}

impl SourceHeartbeat {
    /// The heartbeat without its lease where it took more hops than any tree of relays has.
    pub(crate) fn without_lease_of_a_circle(self) -> SourceHeartbeat {
        SourceHeartbeat { has_lease: self.has_lease && self.hops <= MAX_HOPS, ..self }
    }
}
