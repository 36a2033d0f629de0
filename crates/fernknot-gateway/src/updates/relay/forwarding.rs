//! Messages to the gateways that subscribe to this one.

use super::super::state::config_message;
use super::super::subscribers::send;
use super::super::topics::topics_of;
use super::UpdateRelay;
use crate::config_snapshot::ConfigSnapshot;
use fernknot::interface::Nanos;
use fernknot_distribution::{SourceHeartbeat, Topic};
use fernknot_net::Network;
use fernknot_registry::NodeRecord;
use fernknot_rpc::{ControllerToGateway, Subscription};

/// Time for which a topic counts as current after a heartbeat with a lease, in intervals of this gateway's heartbeats.
const CURRENT_INTERVALS: f64 = 1.25;

impl UpdateRelay {
    pub(super) fn heartbeat_message(&self, heartbeat: SourceHeartbeat) -> ControllerToGateway {
        ControllerToGateway::Heartbeat {
            sender: self.last_heartbeat_from,
            revision: heartbeat.revision,
            holds_lease: heartbeat.has_lease,
            hops: heartbeat.hops,
            fencing_token: heartbeat.fencing_token.0,
            controllers: self.controllers.reported(),
        }
    }

    /// Forwards a configuration that has just been applied.
    pub(crate) fn forward_config<N: Network>(&self, network: &mut N, config: &ConfigSnapshot) {
        if !self.subscribers.is_empty() {
            self.subscribers.broadcast(network, &config_message(config));
        }
    }

    /// Forwards the newest assignment.
    pub(crate) fn forward_assignment<N: Network>(&self, network: &mut N) {
        let assignment = self.ownership.assignment().clone();
        self.subscribers.broadcast(network, &ControllerToGateway::Assignment(assignment));
    }

    /// Notifies the subscribers of whose nodes this gateway has a complete snapshot by now, and whose topics come from
    /// current sources. This prevents a gateway that starts behind one without current sources from becoming ready with
    /// an outdated configuration.
    pub(super) fn complete_snapshots<N: Network>(&mut self, now: Nanos, network: &mut N) {
        let UpdateRelay { relays, snapshots, services, .. } = self;
        let current_for = self.heartbeat_interval.times(CURRENT_INTERVALS);
        let is_current = |topic: &Topic| relays.has_lease_within(now, topic, current_for);
        let is_complete = |subscription: &Subscription| {
            snapshots.covers(subscription, services)
                && topics_of(subscription, services).iter().all(is_current)
        };
        for id in self.subscribers.take_complete(is_complete) {
            send(network, id, &ControllerToGateway::SnapshotComplete);
        }
    }

    /// Forwards node records that have changed.
    pub(crate) fn forward_nodes<N: Network>(&self, network: &mut N, records: &[NodeRecord]) {
        self.subscribers.forward_nodes(network, records, &self.services);
    }
}
