//! Live gateways, and the resulting assignment: the list of live gateways from which the owner of each singleton role
//! is computed.

use fernknot::interface::Nanos;
use fernknot_ownership::{
    Assigner, AssignerSettings, Assignment, FencingToken, GatewayRecord, IncarnationId,
};
use fernknot_rpc::ControllerToGateway;

/// Maximum number of known gateways; heartbeats of further ones are ignored.
const MAX_GATEWAYS: usize = 1024;

/// Assigner of this controller, with the newest known assignment.
pub struct Ownership {
    assigner: Assigner,
    assignment: Assignment,
    /// Whether an input of the assignment has changed since the last call of [`take_stale`](Self::take_stale).
    is_stale: bool,
}

impl Ownership {
    /// Creates the state without any gateway. `expiry` is the time for which a gateway is presumed alive after its
    /// last heartbeat.
    pub fn new(heartbeat_interval: Nanos, expiry: Nanos) -> Ownership {
        let settings = AssignerSettings { max_gateways: MAX_GATEWAYS, presumed_alive_timeout: expiry };
        Ownership {
            assigner: Assigner::new(heartbeat_interval, settings),
            assignment: Assignment::default(),
            is_stale: true,
        }
    }

    /// Newest known assignment; empty before the first one.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Message with the newest assignment; None before the first one.
    pub fn message(&self) -> Option<ControllerToGateway> {
        self.is_assigned().then(|| ControllerToGateway::Assignment(self.assignment.clone()))
    }

    /// Whether an assignment was made or learned since the start of the process.
    pub fn is_assigned(&self) -> bool {
        self.assignment.fencing_token != FencingToken::default()
    }

    /// Records a gateway that subscribed to this controller.
    pub fn record_subscription(&mut self, now: Nanos, gateway: GatewayRecord) {
        if self.assigner.record_heartbeat(now, gateway) {
            self.is_stale = true;
        }
    }

    /// Records a heartbeat of a gateway that is subscribed to this controller.
    pub fn record_heartbeat(&mut self, now: Nanos, gateway: GatewayRecord) {
        self.assigner.record_heartbeat(now, gateway);
    }

    /// Records heartbeats that a relay, a gateway that passes updates on to others of its zone, sent on behalf of its
    /// subscribers.
    pub fn record_relayed_heartbeats(&mut self, now: Nanos, gateways: impl Iterator<Item = GatewayRecord>) {
        for gateway in gateways {
            self.assigner.record_heartbeat(now, gateway);
        }
        self.is_stale = true;
    }

    /// Merges the live gateways that another controller reported.
    pub fn merge_from_peer(&mut self, now: Nanos, gateways: &[GatewayRecord]) {
        self.assigner.merge_reported(now, gateways);
        self.is_stale = true;
    }

    /// Records the planned shutdown of a gateway, which is no longer live from now on.
    pub fn record_shutdown(&mut self, now: Nanos, incarnation: IncarnationId) {
        self.assigner.record_shutdown(now, incarnation);
        self.is_stale = true;
    }

    /// Marks the assignment as stale, to be computed again.
    pub fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Returns whether the assignment is stale, and clears the mark.
    pub fn take_stale(&mut self) -> bool {
        std::mem::take(&mut self.is_stale)
    }

    /// Returns a new assignment, if this controller is the leader and either the live gateways differ from the newest
    /// assignment or that assignment is of an earlier view than `view`.
    pub fn reassign(&mut self, now: Nanos, view: u32, is_leader: bool) -> Option<Assignment> {
        self.assigner.reassign(now, view, is_leader)
    }

    /// Passes another controller's assignment to the assigner, which continues from it. Returns false if it is no
    /// newer than the known one. [`replace`](Self::replace) then makes it the known one.
    pub fn learn(&mut self, now: Nanos, assignment: &Assignment) -> bool {
        let is_newer = assignment.fencing_token > self.assignment.fencing_token;
        if is_newer {
            self.assigner.learn_assignment(now, assignment);
        }
        is_newer
    }

    /// Replaces the newest known assignment, which this controller has made or learned.
    pub fn replace(&mut self, assignment: Assignment) {
        self.assignment = assignment;
    }

    /// Takes the gateways whose heartbeats this controller received since the last call.
    pub fn take_heartbeats(&mut self, now: Nanos) -> Vec<GatewayRecord> {
        let incarnations = self.assigner.take_unreported(now);
        self.assigner.records_of(&incarnations)
    }

    /// Restarts the time without a heartbeat after which each gateway is no longer live, because heartbeats may have
    /// been missed up to now.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.assigner.reset_liveness(now);
    }
}
