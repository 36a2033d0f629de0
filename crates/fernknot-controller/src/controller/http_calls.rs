//! HTTP calls of nodes and operators.

use super::changes::CALL_TIMEOUT;
use super::state::Controller;
use crate::action::PendingCall;
use crate::calls::{
    ChangeOutcome, CheckReadiness, CountersReport, Deregister, Heartbeat, NO_QUORUM_REASON, NodeCallOutcome,
    ReadConfig, ReadConfigOutcome, ReadCounters, ReadinessOutcome, ReplaceConfig,
};
use crate::change::RequestOrigin;
use crate::counters as counter;
use crate::evidence::QuorumEvidence;
use crate::read_index::QuorumWaiter;
use fernknot::interface::Nanos;
use fernknot_http_api::{DispatchOutcome, Handler, Request};
use fernknot_registry::{CallOutcome, NodeRecord, NodeState};
use fernknot_schema::{NodeHeartbeat, ReportedNodeState};

impl Controller {
    /// Handles a request of a node or an operator. The reply follows as an action, at once or later.
    pub fn handle_call(&mut self, now: Nanos, call: PendingCall, request: &Request) {
        self.advance_clock(now);
        // The dispatcher is taken out of `self` for the call, because it dispatches to this controller.
        let Some(dispatcher) = self.dispatcher.take() else { return };
        if let DispatchOutcome::Ready(reply) = dispatcher.dispatch(self, request, call) {
            self.actions.reply(call, reply);
        }
        self.dispatcher = Some(dispatcher);
    }

    /// Cancels a call whose caller disconnected before the reply.
    pub fn cancel_call(&mut self, call: PendingCall) {
        self.changes.cancel(RequestOrigin::Caller(call));
        self.read_indexes.cancel_call(&mut self.consensus, call);
    }

    /// Acknowledges a drain or deregistration once a majority has recorded it.
    ///
    /// The update must reach all connected gateways, which a partitioned controller cannot ensure. It is sent to the
    /// other controllers before the read index request, over the same connections, so a majority that confirms the
    /// request has the update. It is sent even if it is not new to this controller: the controller that reported it
    /// may have been unable to forward it, and rejected the call.
    fn confirm_drain(&mut self, id: String, call: PendingCall) -> Option<NodeCallOutcome> {
        self.nodes.announce(id);
        self.announce_nodes_to_peers();
        if self.request_read_index(QuorumWaiter::NodeDrain(call), CALL_TIMEOUT) {
            return None;
        }
        Some(self.reject_drain())
    }
}

fn node_call_outcome(outcome: CallOutcome) -> NodeCallOutcome {
    match outcome {
        CallOutcome::Rejected => NodeCallOutcome::Unavailable("no room for another node"),
        _ => NodeCallOutcome::Recorded,
    }
}

fn node_record(id: String, heartbeat: NodeHeartbeat) -> NodeRecord {
    NodeRecord {
        id,
        service: heartbeat.service,
        addr: heartbeat.address,
        zone: heartbeat.zone,
        state: match heartbeat.state {
            ReportedNodeState::Ready => NodeState::Ready,
            ReportedNodeState::Draining => NodeState::Draining,
        },
        capacity: heartbeat.capacity,
        warm_up_left_ms: heartbeat.warm_up_left_ms,
        sequence: heartbeat.sequence,
    }
}

impl Handler<Heartbeat, PendingCall> for Controller {
    fn handle(&mut self, request: Heartbeat, call: PendingCall) -> Option<NodeCallOutcome> {
        self.counters.add(counter::NODE_HEARTBEATS, 1);
        let Heartbeat { id, heartbeat } = request;
        let record = node_record(id.clone(), heartbeat);
        let is_draining = record.state == NodeState::Draining;
        if is_draining && self.is_partitioned() {
            return Some(self.reject_drain());
        }
        let outcome = self.nodes.record_heartbeat(self.now(), record);
        match node_call_outcome(outcome) {
            NodeCallOutcome::Recorded if is_draining => self.confirm_drain(id, call),
            // The node is up, but the other controllers must receive its heartbeats too. Without a 503, the node
            // might call only this partitioned controller, and the majority and its gateways would consider the node
            // lost.
            NodeCallOutcome::Recorded if self.is_partitioned() => {
                Some(NodeCallOutcome::Unavailable(NO_QUORUM_REASON))
            }
            outcome => Some(outcome),
        }
    }
}

impl Handler<Deregister, PendingCall> for Controller {
    fn handle(&mut self, request: Deregister, call: PendingCall) -> Option<NodeCallOutcome> {
        self.counters.add(counter::NODE_DEREGISTRATIONS, 1);
        if self.is_partitioned() {
            return Some(self.reject_drain());
        }
        let outcome = self.nodes.deregister(self.now(), &request.id);
        match node_call_outcome(outcome) {
            NodeCallOutcome::Recorded => self.confirm_drain(request.id, call),
            outcome => Some(outcome),
        }
    }
}

impl Handler<ReplaceConfig, PendingCall> for Controller {
    fn handle(&mut self, request: ReplaceConfig, call: PendingCall) -> Option<ChangeOutcome> {
        self.counters.add(counter::CHANGES, 1);
        let active = &self.active_config.state;
        if let Some(evidence) = QuorumEvidence::from_history(active, request.epoch, request.digest) {
            return Some(ChangeOutcome::Committed(evidence));
        }
        if self.shutting_down {
            return Some(ChangeOutcome::Unknown("about to stop"));
        }
        if self.is_partitioned() {
            return Some(ChangeOutcome::Unknown(NO_QUORUM_REASON));
        }
        self.admit_change(RequestOrigin::Caller(call), request, CALL_TIMEOUT)
    }
}

impl Handler<ReadConfig, PendingCall> for Controller {
    fn handle(&mut self, _: ReadConfig, call: PendingCall) -> Option<ReadConfigOutcome> {
        let requested = self.request_read_index(QuorumWaiter::ReadConfig(call), CALL_TIMEOUT);
        (!requested).then_some(ReadConfigOutcome::Unavailable)
    }
}

impl Handler<CheckReadiness, PendingCall> for Controller {
    fn handle(&mut self, _: CheckReadiness, call: PendingCall) -> Option<ReadinessOutcome> {
        let requested =
            !self.shutting_down && self.request_read_index(QuorumWaiter::Readiness(call), CALL_TIMEOUT);
        (!requested).then_some(ReadinessOutcome(None))
    }
}

impl Handler<ReadCounters, PendingCall> for Controller {
    fn handle(&mut self, _: ReadCounters, _: PendingCall) -> Option<CountersReport> {
        self.refresh_gauges();
        Some(CountersReport(self.counters.to_json()))
    }
}
