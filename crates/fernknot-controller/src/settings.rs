//! Settings of one controller, and the timings derived from them.

use fernknot::interface::Nanos;
use fernknot_consensus::{ConsensusSettings, Member, MemberId};
use fernknot_schema::DigestKey;
use fernknot_usage_reporting::ReportingSettings;
use std::net::SocketAddrV4;

/// Suspicion timeout, after which the consensus members consider a silent one failed, as a share of the contact
/// timeout.
const SUSPICION_SHARE: f64 = 0.25;
/// Interval between heartbeats of consensus members, as a share of the suspicion timeout.
const MEMBER_HEARTBEAT_SHARE: f64 = 0.2;
/// Interval between heartbeats to subscribers, as a share of the apply deadline.
const SUBSCRIBER_HEARTBEAT_SHARE: f64 = 1.0 / 12.0;

/// Settings of one controller.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Internal address, at which other processes of the system reach this controller.
    pub addr: SocketAddrV4,
    /// Name of the failure domain of the controller's machine.
    pub zone: String,
    /// Internal addresses of the controllers listed in the operator's settings: the founders of the first view, and
    /// the first addresses that this controller connects to.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, so that this controller may found the first view. Has no
    /// effect if the disk is not empty.
    pub bootstrap: bool,
    /// Number of controllers' disks that may be lost at the same time without losing an acknowledged change.
    pub tolerated_losses: usize,
    /// Nominal interval between two heartbeats of a node.
    pub heartbeat_interval: Nanos,
    /// Time from the acknowledgement of a configuration until it is active on every process.
    pub apply_deadline: Nanos,
    /// Time after which an unreachable machine is considered failed.
    pub contact_timeout: Nanos,
    /// Window over which the gateways' retry budgets count the retries spent; a lost gateway is presumed alive for
    /// that much longer.
    pub budget_window: Nanos,
    /// Seed of the random choices, also the identifier of this incarnation of the process: must differ between any
    /// two starts.
    pub seed: u64,
    /// Secret of the digests that gateways get in place of the tenants' keys.
    pub digest_key: DigestKey,
    /// Settings of the role of usage reporter; None if there is none.
    pub usage_reporting: Option<ReportingSettings>,
}

impl ControllerSettings {
    /// Time without heartbeats in both directions after which a controller is removed from the view.
    pub fn suspicion_timeout(&self) -> Nanos {
        self.contact_timeout.times(SUSPICION_SHARE)
    }

    /// Interval between heartbeats to subscribers.
    pub(crate) fn subscriber_heartbeat_interval(&self) -> Nanos {
        self.apply_deadline.times(SUBSCRIBER_HEARTBEAT_SHARE)
    }

    /// Time for which a gateway is presumed alive after its last heartbeat, and so counts as one that may still spend
    /// a share of the budgets.
    pub(crate) fn gateway_expiry(&self) -> Nanos {
        fernknot_ownership::presumed_alive_timeout(
            self.contact_timeout,
            self.budget_window,
            self.heartbeat_interval,
        )
    }

    /// Returns the settings of the consensus member with identifier `id`.
    pub(crate) fn consensus_settings(&self, id: MemberId, bootstrap: bool) -> ConsensusSettings {
        let suspicion_timeout = self.suspicion_timeout();
        ConsensusSettings {
            me: Member { id, addr: self.addr, zone: self.zone.clone() },
            founders: self.seeds.clone(),
            bootstrap,
            fault_tolerance: self.tolerated_losses,
            suspicion_timeout,
            heartbeat_interval: suspicion_timeout.times(MEMBER_HEARTBEAT_SHARE),
            lease_duration: fernknot_ownership::lease_duration(self.contact_timeout),
        }
    }
}
