//! Connections to the other controllers, and the messages received from them.

use super::state::Controller;
use crate::change::ForwardedCallId;
use crate::counters as counter;
use fernknot::interface::Nanos;
use fernknot_ownership::{Assignment, IncarnationId};
use fernknot_registry::NodeRecord;
use fernknot_rpc::{ControllerMessage, MAX_ADVERTISED_CONTROLLERS, MAX_ITEMS_PER_MESSAGE};
use std::net::SocketAddrV4;

impl Controller {
    /// Handles a new connection to a controller: identifies this one, and sends the addresses of known controllers,
    /// all nodes and the newest assignment.
    pub fn peer_connected(&mut self, now: Nanos, to: SocketAddrV4) {
        self.advance_clock(now);
        self.peers.link_opened(to);
        let identify =
            ControllerMessage::Identify { addr: self.settings.addr, zone: self.settings.zone.clone() };
        self.send_to_peer(to, identify);
        let mut known = self.peers.known_addrs();
        known.retain(|addr| *addr != to);
        known.truncate(MAX_ADVERTISED_CONTROLLERS);
        self.send_to_peer(to, ControllerMessage::KnownControllers(known));
        self.send_snapshot_to_peer(to);
        self.consensus.handle_connected(now);
    }

    /// Handles a connection to a controller that was closed or could not be established.
    pub fn peer_disconnected(&mut self, now: Nanos, to: SocketAddrV4) {
        self.advance_clock(now);
        self.peers.link_closed(now, to);
    }

    /// Handles a message of the controller with internal address `from`.
    pub fn handle_peer_message(&mut self, now: Nanos, from: SocketAddrV4, message: ControllerMessage) {
        self.advance_clock(now);
        self.peers.record_message(now, from, None);
        match message {
            ControllerMessage::Identify { zone, .. } => self.handle_identify(now, from, &zone),
            ControllerMessage::Consensus(message) => self.consensus.handle_message(now, from, message),
            ControllerMessage::NodeUpdates(records) => self.merge_nodes(now, &records),
            ControllerMessage::RecentIncarnations(hashes) => self.request_unknown_nodes(now, from, &hashes),
            ControllerMessage::RequestNodes(hashes) => {
                let records = self.nodes.records_of(&hashes);
                self.send_to_peer(from, ControllerMessage::NodeUpdates(records));
            }
            ControllerMessage::LiveGateways(gateways) => self.ownership.merge_from_peer(now, &gateways),
            ControllerMessage::GatewayShutDown { incarnation } => {
                self.ownership.record_shutdown(now, IncarnationId(incarnation));
            }
            ControllerMessage::Assignment(assignment) => self.learn_assignment(now, assignment),
            ControllerMessage::ForwardChange { incarnation, call, base_epoch, body } => {
                let call = ForwardedCallId { incarnation, call };
                self.admit_forwarded_change(from, call, base_epoch, body);
            }
            ControllerMessage::ChangeOutcome { incarnation, call, status, reason } => {
                let call = ForwardedCallId { incarnation, call };
                self.handle_change_outcome(from, call, status, reason);
            }
            ControllerMessage::KnownControllers(addrs) => {
                addrs.into_iter().take(MAX_ADVERTISED_CONTROLLERS).for_each(|addr| self.add_peer(addr));
            }
            ControllerMessage::UsageReports(reports) => self.handle_peer_usage(&reports),
            ControllerMessage::TimeOfDay { unix_ms } => self.handle_peer_time(from, unix_ms),
        }
    }

    fn handle_identify(&mut self, now: Nanos, from: SocketAddrV4, zone: &str) {
        self.add_peer(from);
        self.peers.record_message(now, from, Some(zone));
        if self.peers.is_connected(from) {
            self.send_snapshot_to_peer(from);
        }
    }

    fn merge_nodes(&mut self, now: Nanos, records: &[NodeRecord]) {
        let changed = self.nodes.merge_from_peer(now, records);
        self.counters.add(counter::NODE_RECORDS_MERGED, changed as u64);
    }

    fn request_unknown_nodes(&mut self, now: Nanos, from: SocketAddrV4, hashes: &[u64]) {
        let unknown = self.nodes.record_peer_heartbeats(now, hashes);
        if !unknown.is_empty() {
            self.send_to_peer(from, ControllerMessage::RequestNodes(unknown));
        }
    }

    fn learn_assignment(&mut self, now: Nanos, assignment: Assignment) {
        if self.ownership.learn(now, &assignment) {
            self.publish_assignment(assignment.sorted());
        }
    }

    /// Sends all known nodes, the newest assignment and the usage of open windows to a controller that may have restarted.
    fn send_snapshot_to_peer(&mut self, to: SocketAddrV4) {
        let records = self.nodes.snapshot().records;
        for records in records.chunks(MAX_ITEMS_PER_MESSAGE) {
            self.send_to_peer(to, ControllerMessage::NodeUpdates(records.to_vec()));
        }
        if self.ownership.is_assigned() {
            let assignment = self.ownership.assignment().clone();
            self.send_to_peer(to, ControllerMessage::Assignment(assignment));
        }
        self.send_usage_snapshot(to);
    }
}
