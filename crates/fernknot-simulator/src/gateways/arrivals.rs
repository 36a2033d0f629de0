//! Arrival of bytes and of connection ends at the endpoints of connections.

use crate::checks::rule::Rule;
use crate::controllers::machine::Input;
use crate::gateways::state::{Endpoint, Side};
use crate::simulation::Simulation;
use crate::topology::gateway_addr;
use fernknot_controller::SubscriberId;
use fernknot_net::{ConnectionId, Event as NetworkEvent, NetError};
use fernknot_rpc::{GatewayToController, read_message};
use std::io::ErrorKind;

/// Maximum length of a message from a gateway to a controller, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

impl Simulation {
    pub(super) fn bytes_arrive(&mut self, id: u64, to: Side, bytes: &[u8]) {
        let Some(connection) = self.gateways.connections.get_mut(&id) else { return };
        if connection.is_broken || connection.end(to).is_closed {
            return;
        }
        match connection.end(to).endpoint {
            Endpoint::Gateway { index, incarnation, connection } => {
                let process = &mut self.gateways.processes[index];
                if process.incarnation == incarnation
                    && let Some(port) = process.ports.connections.get_mut(&connection)
                {
                    port.input.push(bytes);
                    self.push_gateway_event(index, NetworkEvent::Received { connection });
                }
            }
            Endpoint::Controller { machine, incarnation } => {
                connection.received.push(bytes);
                self.deliver_gateway_messages(id, machine, incarnation);
            }
            Endpoint::Node(node) => self.node_receives(node, id, bytes),
            Endpoint::Client(client) => self.client_receives(client, id, bytes),
            Endpoint::Unreachable => {}
        }
    }

    /// Delivers all complete messages that have arrived on a connection to a controller.
    fn deliver_gateway_messages(&mut self, id: u64, machine: usize, incarnation: u64) {
        let from = SubscriberId(id);
        while let Some(connection) = self.gateways.connections.get_mut(&id) {
            match read_message::<GatewayToController>(&mut connection.received, MAX_MESSAGE_BYTES) {
                Ok(Some(message)) => {
                    if self.machines[machine].runs_incarnation(incarnation) {
                        self.deliver(machine, Input::GatewayMessage { from, message });
                    }
                }
                Ok(None) => return,
                Err(error) => return self.report(Rule::Unasked, format!("not a message: {error}")),
            }
        }
    }

    pub(super) fn connection_ended(&mut self, id: u64, to: Side, is_reset: bool) {
        let Some(connection) = self.gateways.connections.get_mut(&id) else { return };
        let end = connection.end_mut(to);
        if end.is_closed {
            return;
        }
        let endpoint = end.endpoint;
        // After an orderly close by the peer, a gateway still has to close its own side.
        let is_half_closed = !is_reset && matches!(endpoint, Endpoint::Gateway { .. });
        end.is_closed = !is_half_closed;
        if connection.is_closed() {
            self.gateways.connections.remove(&id);
        }
        match endpoint {
            Endpoint::Gateway { index, incarnation, connection } => {
                if self.gateways.processes[index].incarnation != incarnation {
                    return;
                }
                if is_half_closed {
                    return self.push_gateway_event(index, NetworkEvent::ReadClosed { connection });
                }
                self.gateway_connection_lost(index, connection);
            }
            Endpoint::Controller { machine, incarnation } => {
                if self.machines[machine].runs_incarnation(incarnation) {
                    self.deliver(machine, Input::SubscriberGone(SubscriberId(id)));
                }
            }
            Endpoint::Node(_) => self.node_disconnected(id),
            Endpoint::Client(client) => self.client_disconnected(client, id),
            Endpoint::Unreachable => {}
        }
    }

    /// Notifies a gateway of a connection that was reset or refused.
    fn gateway_connection_lost(&mut self, index: usize, connection: ConnectionId) {
        let process = &mut self.gateways.processes[index];
        process.links.remove(&connection);
        let Some(port) = process.ports.connections.remove(&connection) else { return };
        let was_open = port.is_open;
        process.ports.unread_after_reset.insert(connection, port.input);
        let kind = if was_open { ErrorKind::ConnectionReset } else { ErrorKind::ConnectionRefused };
        let error = NetError { step: "read from", peer: gateway_addr(index), source: kind.into() };
        if !port.is_closing {
            self.push_gateway_event(index, NetworkEvent::Closed { connection, was_open, error });
        }
    }
}
