//! Messages of gateways and operators' tools, over connections that they opened.

use super::state::Controller;
use crate::action::SubscriberId;
use crate::subscribers::Subscriber;
use fernknot::interface::Nanos;
use fernknot_ownership::GatewayRecord;
use fernknot_rpc::{
    ControllerMessage, ControllerToGateway, GatewayToController, InspectionTopic, MAX_ITEMS_PER_MESSAGE,
};
use std::net::SocketAddrV4;

impl Controller {
    /// Handles a message received over connection `from`: of a subscriber, of a gateway that subscribes, or of an
    /// operator's tool.
    pub fn handle_gateway_message(&mut self, now: Nanos, from: SubscriberId, message: GatewayToController) {
        self.advance_clock(now);
        match message {
            GatewayToController::Subscribe { gateway, ready, subscription, revision } => {
                let subscriber =
                    Subscriber { gateway, is_ready: ready, subscription, sent_revision: revision };
                self.subscribe(now, from, subscriber);
            }
            GatewayToController::Heartbeat { ready } => {
                if let Some(gateway) = self.subscribers.record_heartbeat(from, ready) {
                    self.ownership.record_heartbeat(now, gateway.clone());
                }
            }
            GatewayToController::RelayedHeartbeats(gateways) => {
                self.handle_relayed_heartbeats(now, gateways);
            }
            GatewayToController::ShuttingDown => self.gateway_shuts_down(now, from),
            GatewayToController::Inspect(topic) => self.reply_to_inspection(from, topic),
            GatewayToController::ForceView { lost } => self.reply_to_forced_view(from, &lost),
            GatewayToController::UsageReports(reports) => self.handle_gateway_usage(&reports),
            // The host passes these to `handle_peer_message`, with the address of the sender.
            GatewayToController::Peer(_) => {}
        }
    }

    /// Removes a subscriber whose connection was closed. Its gateway may still be alive, and counts as live until its
    /// heartbeats, which other controllers may receive, have stopped for too long.
    pub fn unsubscribe(&mut self, id: SubscriberId) {
        self.subscribers.remove(id);
    }

    fn subscribe(&mut self, now: Nanos, id: SubscriberId, subscriber: Subscriber) {
        self.ownership.record_subscription(now, subscriber.gateway.clone());
        self.add_subscriber(id, subscriber);
    }

    fn handle_relayed_heartbeats(&mut self, now: Nanos, gateways: Vec<GatewayRecord>) {
        let gateways = gateways.into_iter().take(MAX_ITEMS_PER_MESSAGE);
        self.ownership.record_relayed_heartbeats(now, gateways);
    }

    fn gateway_shuts_down(&mut self, now: Nanos, id: SubscriberId) {
        let Some(subscriber) = self.subscribers.remove(id) else { return };
        let incarnation = subscriber.gateway.incarnation;
        self.ownership.record_shutdown(now, incarnation);
        self.broadcast_to_peers(|| ControllerMessage::GatewayShutDown { incarnation: incarnation.0 });
    }

    fn reply_to_inspection(&mut self, to: SubscriberId, topic: InspectionTopic) {
        let report = self.inspect(topic);
        self.actions.notify(vec![to], ControllerToGateway::InspectionReport(report));
    }

    fn reply_to_forced_view(&mut self, to: SubscriberId, lost: &[SocketAddrV4]) {
        let result = self.force_view(lost).map(|number| number.0).map_err(|rejection| rejection.to_string());
        self.actions.notify(vec![to], ControllerToGateway::ForceViewResult(result));
    }
}
