//! Which gateways live, and the assignment of singleton roles that follows.

use fernknot::interface::Nanos;
use fernknot_ownership::{
    Assigner, AssignerSettings, Assignment, FencingToken, GatewayRecord, IncarnationId,
};
use fernknot_rpc::ControllerToGateway;

/// Gateways that are known at once.
const MAX_GATEWAYS: usize = 1024;

/// The assigner of this controller and the newest assignment that is known here.
pub struct Ownership {
    assigner: Assigner,
    assignment: Assignment,
    /// Something has changed on which the assignment depends.
    is_stale: bool,
}

impl Ownership {
    /// Knows no gateway; `expiry` is how long one whose heartbeats have stopped is presumed alive.
    pub fn new(heartbeat_interval: Nanos, expiry: Nanos) -> Ownership {
        let settings = AssignerSettings { max_gateways: MAX_GATEWAYS, presumed_alive_timeout: expiry };
        Ownership {
            assigner: Assigner::new(heartbeat_interval, settings),
            assignment: Assignment::default(),
            is_stale: true,
        }
    }

    /// The newest assignment that is known; empty before the first one.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// The assignment as it is sent; None before the first one.
    pub fn message(&self) -> Option<ControllerToGateway> {
        self.is_assigned().then(|| ControllerToGateway::Assignment(self.assignment.clone()))
    }

    /// Whether there has been an assignment.
    pub fn is_assigned(&self) -> bool {
        self.assignment.fencing_token != FencingToken::default()
    }

    /// A gateway subscribed here.
    pub fn record_subscription(&mut self, now: Nanos, gateway: GatewayRecord) {
        if self.assigner.record_heartbeat(now, gateway) {
            self.is_stale = true;
        }
    }

    /// A gateway that is subscribed here sent a heartbeat.
    pub fn record_heartbeat(&mut self, now: Nanos, gateway: GatewayRecord) {
        self.assigner.record_heartbeat(now, gateway);
    }

    /// A relay sent heartbeats on behalf of the gateways that are subscribed to it.
    pub fn record_relayed_heartbeats(&mut self, now: Nanos, gateways: impl Iterator<Item = GatewayRecord>) {
        for gateway in gateways {
            self.assigner.record_heartbeat(now, gateway);
        }
        self.is_stale = true;
    }

    /// Another controller sent the gateways whose heartbeats it hears.
    pub fn merge_from_peer(&mut self, now: Nanos, gateways: &[GatewayRecord]) {
        self.assigner.merge_reported(now, gateways);
        self.is_stale = true;
    }

    /// A gateway shut down as planned.
    pub fn record_shutdown(&mut self, now: Nanos, incarnation: IncarnationId) {
        self.assigner.record_shutdown(now, incarnation);
        self.is_stale = true;
    }

    /// The assignment may depend on what has changed.
    pub fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Whether the assignment has to be computed anew, as far as is known; the mark is cleared.
    pub fn take_stale(&mut self) -> bool {
        std::mem::take(&mut self.is_stale)
    }

    /// A new assignment, if this controller may make one and anything has changed.
    pub fn reassign(&mut self, now: Nanos, view: u32, is_leader: bool) -> Option<Assignment> {
        self.assigner.reassign(now, view, is_leader)
    }

    /// Learns the assignment of another controller. False where it is no newer than the one known here.
    pub fn learn(&mut self, now: Nanos, assignment: &Assignment) -> bool {
        let is_newer = assignment.fencing_token > self.assignment.fencing_token;
        if is_newer {
            self.assigner.learn_assignment(now, assignment);
        }
        is_newer
    }

    /// Puts an assignment in the place of the one before.
    pub fn replace(&mut self, assignment: Assignment) {
        self.assignment = assignment;
    }

    /// The gateways whose heartbeats came here since this was last asked.
    pub fn take_heartbeats(&mut self, now: Nanos) -> Vec<GatewayRecord> {
        let incarnations = self.assigner.take_unreported(now);
        self.assigner.records_of(&incarnations)
    }

    /// Missing heartbeats mean nothing up to now: every gateway gets a full span again.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.assigner.reset_liveness(now);
    }
}
