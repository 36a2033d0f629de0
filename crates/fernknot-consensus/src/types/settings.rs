//! Configuration of a replica.

use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use super::member::Member;

/// Configuration of a replica, fixed at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConsensusSettings {
    /// This replica's identity: the id of its disk, its address and its zone.
    pub me: Member,
    /// Addresses on which the founders of the first view listen for other controllers.
    pub founders: Vec<SocketAddrV4>,
    /// Whether this replica may found the first view. True only when the whole system starts for the first time.
    pub bootstrap: bool,
    /// Number of disks that may be lost at once without losing an acknowledged change.
    pub fault_tolerance: usize,
    /// Time without heartbeats from a member, or without its answers to this replica's, after which the member counts
    /// as unreachable and is dropped from the view; at least 2 ns.
    pub suspicion_timeout: Nanos,
    /// Time between heartbeats; well below `suspicion_timeout`, at least 1 ns.
    pub heartbeat_interval: Nanos,
    /// Time for which a majority's answers to heartbeats grant a lease; at least three heartbeat intervals.
    pub lease_duration: Nanos,
}
