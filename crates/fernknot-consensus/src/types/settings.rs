//! What a replica is configured with.

use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use super::member::Member;

/// What a replica is configured with at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConsensusSettings {
    /// This replica.
    pub me: Member,
    /// Inner addresses of the controllers that found the first view.
    pub founders: Vec<SocketAddrV4>,
    /// Only true when the whole system starts for the first time.
    pub bootstrap: bool,
    /// How many disks may be lost at once with nothing acknowledged lost.
    pub fault_tolerance: usize,
    /// A member that was unreachable for this long is dropped. 2 ns at least.
    pub suspicion_timeout: Nanos,
    /// How often replicas send heartbeats; well below `suspicion_timeout`, 1 ns at least.
    pub heartbeat_interval: Nanos,
    /// How old the heartbeat answers of a majority may be for a claim of freshness; three heartbeat intervals at least.
    pub lease_duration: Nanos,
}
