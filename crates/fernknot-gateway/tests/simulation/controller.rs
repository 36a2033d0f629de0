//! Simulated controller, which sends assignments, configurations, node records and heartbeats.

use super::{CLIENT_SEND_TIME, COMPLETION_TIME, CONTROLLER, Completion, Scheduled, Simulation, addr};
use fernknot::interface::Nanos;
use fernknot_net::{Buffer, ConnectionId};
use fernknot_ownership::{Assignment, FencingToken, GatewayRecord};
use fernknot_registry::NodeRecord;
use fernknot_rpc::{
    ControllerEndpoint, ControllerToGateway, GatewayToController, read_message, write_message,
};
use std::collections::BTreeMap;

pub const APPLY_MS: f64 = 1500.0;
const HEARTBEAT_INTERVAL: Nanos = Nanos(100_000_000);

#[derive(Default)]
pub struct Controller {
    subscribers: BTreeMap<ConnectionId, Subscriber>,
    /// Fencing token of the newest assignment.
    fencing_token: u64,
}

#[derive(Default)]
struct Subscriber {
    input: Buffer,
    gateway: Option<GatewayRecord>,
    /// Number of configurations that existed when the last one was sent to it.
    config_count: usize,
}

impl Controller {
    pub fn connection_closed(&mut self, id: ConnectionId) {
        self.subscribers.remove(&id);
    }
}

impl Simulation {
    fn send_update(
        &mut self,
        id: ConnectionId,
        message: &ControllerToGateway,
        completion: Option<Completion>,
    ) {
        let mut output = Buffer::default();
        write_message(&mut output, message);
        self.send_in_pieces(id, output.data().to_vec(), completion);
    }

    pub fn controller_receives(&mut self, id: ConnectionId, bytes: &[u8]) {
        self.controller.subscribers.entry(id).or_default().input.push(bytes);
        loop {
            let Some(subscriber) = self.controller.subscribers.get_mut(&id) else { return };
            match read_message::<GatewayToController>(&mut subscriber.input, 1 << 20) {
                Ok(Some(GatewayToController::Subscribe { gateway, .. })) => {
                    subscriber.gateway = Some(gateway.clone());
                    self.controller.fencing_token += 1;
                    let fencing_token = FencingToken::new(1, self.controller.fencing_token as u32);
                    let assignment = Assignment { fencing_token, gateways: vec![gateway], presumed_alive: 1 };
                    self.send_update(id, &ControllerToGateway::Assignment(assignment), None);
                    let records = self.node_records();
                    self.send_update(id, &ControllerToGateway::NodeUpdates(records), None);
                    self.send_config(id);
                    self.send_update(id, &ControllerToGateway::SnapshotComplete, None);
                    self.send_heartbeat(id);
                }
                Ok(Some(_)) => {}
                Ok(None) => return,
                Err(error) => return self.checker.violation(format!("malformed message: {error}")),
            }
        }
    }

    fn send_config(&mut self, id: ConnectionId) {
        let newest = self.configs.len();
        let Some(subscriber) =
            self.controller.subscribers.get_mut(&id).filter(|subscriber| subscriber.config_count < newest)
        else {
            return;
        };
        subscriber.config_count = newest;
        let config = self.configs[newest - 1].clone();
        self.send_update(
            id,
            &ControllerToGateway::Config { revision: newest as u64, config },
            Some(Completion::Config(newest - 1)),
        );
    }

    fn send_heartbeat(&mut self, id: ConnectionId) {
        let controllers = vec![ControllerEndpoint { addr: addr(CONTROLLER), zone: "north".into() }];
        let fencing_token = FencingToken::new(1, self.controller.fencing_token as u32).0;
        let revision = self.configs.len() as u64;
        let heartbeat = ControllerToGateway::Heartbeat {
            sender: 1,
            revision,
            holds_lease: true,
            hops: 0,
            fencing_token,
            controllers,
        };
        self.send_update(id, &heartbeat, None);
    }

    fn subscribed(&self) -> Vec<ConnectionId> {
        self.controller
            .subscribers
            .iter()
            .filter(|(_, subscriber)| subscriber.gateway.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Sends heartbeats and new configurations to all subscribers.
    pub fn heartbeat(&mut self, repeat: bool) {
        for id in self.subscribed() {
            self.send_config(id);
            self.send_heartbeat(id);
        }
        if repeat && self.now < CLIENT_SEND_TIME + COMPLETION_TIME {
            self.schedule(self.now + HEARTBEAT_INTERVAL, Scheduled::Heartbeat { repeat });
        }
    }

    /// Sends node records to all subscribers.
    pub fn report_nodes(&mut self, records: &[NodeRecord]) {
        for id in self.subscribed() {
            self.send_update(id, &ControllerToGateway::NodeUpdates(records.to_vec()), None);
        }
    }
}
