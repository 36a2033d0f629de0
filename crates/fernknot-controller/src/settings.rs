//! Settings of one controller, and the timings that follow from them.

use fernknot::interface::Nanos;
use fernknot_consensus::{ConsensusSettings, Member, MemberId};
use std::net::SocketAddrV4;

/// The suspicion timeout as a share of the contact timeout.
const SUSPICION_SHARE: f64 = 0.25;
/// The interval between heartbeats of members as a share of the suspicion timeout.
const MEMBER_HEARTBEAT_SHARE: f64 = 0.2;
/// The duration of the leader's lease as a share of the suspicion timeout.
const LEASE_SHARE: f64 = 0.8;
/// The interval between heartbeats to subscribers as a share of the apply deadline.
const SUBSCRIBER_HEARTBEAT_SHARE: f64 = 1.0 / 12.0;

/// What a controller is given when it is created.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// The internal address at which other processes of the system reach it.
    pub addr: SocketAddrV4,
    /// The failure domain of its machine.
    pub zone: String,
    /// Internal addresses of the controllers that the operator's list named.
    pub seeds: Vec<SocketAddrV4>,
    /// Only true when the whole system starts for the first time.
    pub bootstrap: bool,
    /// How many disks may be lost at once.
    pub tolerated_losses: usize,
    /// The usual interval between two heartbeats of a node.
    pub heartbeat_interval: Nanos,
    /// A configuration is in force everywhere within this long of its acknowledgement.
    pub apply_deadline: Nanos,
    /// How long machines that are out of reach are waited for.
    pub contact_timeout: Nanos,
    /// The window over which a retry budget counts what was spent.
    pub budget_window: Nanos,
    /// Seeds the random choices and identifies this incarnation of the process: must differ from start to start.
    pub seed: u64,
}

impl ControllerSettings {
    /// A controller that was not heard for this long is left out of the view.
    pub fn suspicion_timeout(&self) -> Nanos {
        self.contact_timeout.times(SUSPICION_SHARE)
    }

    /// The interval between heartbeats to subscribers.
    pub(crate) fn subscriber_heartbeat_interval(&self) -> Nanos {
        self.apply_deadline.times(SUBSCRIBER_HEARTBEAT_SHARE)
    }

    /// How long a gateway whose heartbeats have stopped is presumed alive.
    pub(crate) fn gateway_expiry(&self) -> Nanos {
        fernknot_ownership::presumed_alive_timeout(
            self.contact_timeout,
            self.budget_window,
            self.heartbeat_interval,
        )
    }

    /// The settings of the consensus member that is known as `id`.
    pub(crate) fn consensus_settings(&self, id: MemberId, bootstrap: bool) -> ConsensusSettings {
        let suspicion_timeout = self.suspicion_timeout();
        ConsensusSettings {
            me: Member { id, addr: self.addr, zone: self.zone.clone() },
            founders: self.seeds.clone(),
            bootstrap,
            fault_tolerance: self.tolerated_losses,
            suspicion_timeout,
            heartbeat_interval: suspicion_timeout.times(MEMBER_HEARTBEAT_SHARE),
            lease_duration: suspicion_timeout.times(LEASE_SHARE),
        }
    }
}
