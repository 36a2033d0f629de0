//! Messages to subscribers: snapshots, the assignment of singleton roles, and heartbeats.

use super::state::Controller;
use crate::action::SubscriberId;
use crate::subscribers::Subscriber;
use fernknot_ownership::Assignment;
use fernknot_rpc::{ControllerEndpoint, ControllerMessage, ControllerToGateway, MAX_ADVERTISED_CONTROLLERS};
use fernknot_telemetry::component;
use log::Level;

impl Controller {
    /// Adds a subscriber and sends it a snapshot.
    ///
    /// Without a majority, it sends only the nodes, and a heartbeat without a lease, which makes the gateway prefer
    /// another controller. This prevents a gateway that starts while this controller is partitioned from becoming
    /// ready with an outdated configuration.
    pub(super) fn add_subscriber(&mut self, id: SubscriberId, subscriber: Subscriber) {
        self.subscribers.add(id, subscriber);
        if self.holds_lease() {
            return self.send_snapshot(id);
        }
        self.subscribers.defer_snapshot(id);
        self.send_nodes(id);
        self.send_heartbeat_to(vec![id]);
    }

    /// Sends the snapshots that were deferred while no majority was reachable.
    pub(super) fn send_deferred_snapshots(&mut self) {
        for id in self.subscribers.take_awaiting_snapshot() {
            if self.subscribers.contains(id) {
                self.send_snapshot(id);
            }
        }
    }

    fn send_snapshot(&mut self, id: SubscriberId) {
        if self.subscribers.is_behind(id, self.active_config.config_revision) {
            self.send_config(vec![id]);
        }
        self.send_nodes(id);
        self.actions.notify(vec![id], ControllerToGateway::SnapshotComplete);
        self.send_heartbeat_to(vec![id]);
    }

    /// Sends the assignment and the nodes that a subscriber requested.
    fn send_nodes(&mut self, id: SubscriberId) {
        let records = self.nodes.snapshot().records;
        let Some(records) = self.subscribers.select_for(id, &records) else { return };
        if let Some(assignment) = self.ownership.message() {
            self.actions.notify(vec![id], assignment);
        }
        self.actions.notify(vec![id], ControllerToGateway::NodeUpdates(records));
    }

    /// Computes a new assignment, if this controller leads and holds the lease. Without the lease, another controller
    /// may lead a later view, whose fencing tokens are higher, and live gateways may be missing here.
    pub(super) fn refresh_assignment(&mut self) {
        if !self.consensus.is_started() {
            return;
        }
        let may_assign = self.consensus.is_leader() && self.holds_lease();
        let view = self.consensus.view().map_or(0, |view| view.number.0 as u32);
        if let Some(assignment) = self.ownership.reassign(self.now(), view, may_assign) {
            self.broadcast_to_peers(|| ControllerMessage::Assignment(assignment.clone()));
            self.publish_assignment(assignment);
        }
    }

    /// Makes the assignment the known one, and sends it to all subscribers.
    pub(super) fn publish_assignment(&mut self, assignment: Assignment) {
        let token = assignment.fencing_token;
        let text = format!(
            "assignment {}.{} is active with {} gateways, {} presumed alive",
            token.view(),
            token.number(),
            assignment.gateways.len(),
            assignment.presumed_alive
        );
        self.actions.log(Level::Info, component::OWNERSHIP, text);
        self.ownership.replace(assignment);
        let message = || ControllerToGateway::Assignment(self.ownership.assignment().clone());
        self.subscribers.notify_all(message, &mut self.actions);
    }

    /// Sends all subscribers a heartbeat with this controller's newest versions and whether it holds the lease.
    pub(super) fn send_heartbeats(&mut self) {
        let subscribers = self.subscribers.ids();
        if !subscribers.is_empty() {
            self.send_heartbeat_to(subscribers);
        }
    }

    fn send_heartbeat_to(&mut self, to: Vec<SubscriberId>) {
        // Without a majority, the time of day may rest on the clock of this machine alone.
        if self.holds_lease() {
            self.send_time_of_day(to.clone());
        }
        let heartbeat = self.heartbeat();
        self.actions.notify(to, heartbeat);
    }

    fn heartbeat(&self) -> ControllerToGateway {
        ControllerToGateway::Heartbeat {
            sender: self.settings.seed,
            revision: self.active_config.config_revision,
            holds_lease: self.holds_lease() && !self.shutting_down,
            hops: 0,
            fencing_token: self.ownership.assignment().fencing_token.0,
            controllers: self.advertised_controllers(),
        }
    }

    /// Controllers listed in heartbeats: this one, the members of the view, then other connected ones.
    fn advertised_controllers(&self) -> Vec<ControllerEndpoint> {
        let own = ControllerEndpoint { addr: self.settings.addr, zone: self.settings.zone.clone() };
        let members = self.consensus.view().into_iter().flat_map(|view| &view.members);
        let members =
            members.map(|member| ControllerEndpoint { addr: member.addr, zone: member.zone.clone() });
        let mut advertised = vec![own];
        for endpoint in members.chain(self.peers.connected_endpoints()) {
            let is_new = advertised.iter().all(|known| known.addr != endpoint.addr);
            if is_new && advertised.len() < MAX_ADVERTISED_CONTROLLERS {
                advertised.push(endpoint);
            }
        }
        advertised
    }
}
