//! Distribution of node updates to the other controllers and to subscribers.

use super::state::Controller;
use crate::counters as counter;
use fernknot_rpc::{ControllerMessage, MAX_ITEMS_PER_MESSAGE};
use fernknot_telemetry::component;
use log::Level;

impl Controller {
    /// Reports to the other controllers which nodes and gateways sent heartbeats here since the last call, and the
    /// usage, and marks nodes as lost whose heartbeats have stopped.
    pub(super) fn sync_peers(&mut self) {
        let now = self.now();
        let incarnations = self.nodes.take_heartbeats(now);
        let gateways = self.ownership.take_heartbeats(now);
        for to in self.peers.connected() {
            for incarnations in incarnations.chunks(MAX_ITEMS_PER_MESSAGE) {
                self.send_to_peer(to, ControllerMessage::RecentIncarnations(incarnations.to_vec()));
            }
            if !gateways.is_empty() {
                self.send_to_peer(to, ControllerMessage::LiveGateways(gateways.clone()));
            }
        }
        self.sync_usage_with_peers();
        self.expire_nodes();
    }

    fn expire_nodes(&mut self) {
        let now = self.now();
        if !self.holds_lease() {
            // The other controllers may receive heartbeats that are not reported here: a missing heartbeat is no
            // evidence of a loss.
            self.nodes.reset_liveness(now);
        }
        let lost = self.nodes.expire(now);
        if lost > 0 {
            self.counters.add(counter::NODES_LOST, lost as u64);
            let text = format!(
                "{lost} nodes marked as lost: no heartbeats received; {} nodes are up",
                self.nodes.up_count()
            );
            self.actions.log(Level::Info, component::NODES, text);
        }
    }

    /// Sends the other controllers the node records that first changed here, and those of leaving nodes.
    pub(super) fn announce_nodes_to_peers(&mut self) {
        if let Some(records) = self.nodes.take_announcement() {
            self.broadcast_to_peers(|| ControllerMessage::NodeUpdates(records.clone()));
        }
    }

    /// Sends subscribers the nodes that have changed: at once if one of them leaves, and otherwise together with those that
    /// become ready soon after the last publication. Each message is a turn of every gateway.
    pub(super) fn publish_node_updates(&mut self) {
        if !self.nodes.has_unpublished() || !(self.nodes.has_departure() || self.timers.is_publication_due())
        {
            return;
        }
        self.timers.restart_publication();
        if let Some(records) = self.nodes.take_unpublished() {
            self.subscribers.publish_nodes(records, &mut self.actions);
        }
    }
}
