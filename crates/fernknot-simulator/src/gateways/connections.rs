//! Byte-stream connections: opening, sending and closing.

use crate::gateways::state::{ByteConnection, Endpoint, GatewayEvent, GatewayLink, Side};
use crate::network::peers::SYN_RETRANSMISSION_DELAY;
use crate::simulation::Simulation;
use crate::time::{micros, millis};
use crate::topology::{Listener, gateway_addr, listener_at};
use fernknot::interface::Nanos;
use fernknot_net::{ConnectionId, Event as NetworkEvent};
use std::net::SocketAddrV4;

impl Simulation {
    /// Begins to open a connection from an endpoint to an address.
    pub(super) fn open_connection(&mut self, from: Endpoint, to: SocketAddrV4) -> u64 {
        let (machines, gateways) = (self.machines.len(), self.gateways.processes.len());
        let to = match listener_at(to, machines, gateways, self.settings.nodes) {
            Listener::Controller(machine) => Endpoint::Controller { machine, incarnation: 0 },
            Listener::Gateway(index) => {
                Endpoint::Gateway { index, incarnation: 0, connection: ConnectionId(0) }
            }
            Listener::Node(node) => Endpoint::Node(node),
            Listener::Nobody => Endpoint::Unreachable,
        };
        let id = self.next_sequence();
        self.gateways.connections.insert(id, ByteConnection::new(from, to, self.now));
        let delay = self.sample_delay(from.zone(), to.zone());
        self.schedule_gateway(delay, GatewayEvent::Syn(id));
        id
    }

    /// Begins to open a connection from a client to a gateway.
    pub(crate) fn connect_client(&mut self, client: usize, gateway: usize) -> u64 {
        self.open_connection(Endpoint::Client(client), gateway_addr(gateway))
    }

    pub(super) fn syn_arrives(&mut self, id: u64) {
        let Some(connection) = self.gateways.connections.get(&id) else { return };
        if connection.opener.is_closed {
            self.gateways.connections.remove(&id);
            return;
        }
        let (from, to) = (connection.opener.endpoint, connection.acceptor.endpoint);
        if !self.can_reach(from, to) {
            return self.schedule_gateway(SYN_RETRANSMISSION_DELAY, GatewayEvent::Syn(id));
        }
        let accepted = self.accept_connection(id, from, to);
        let delay = self.sample_delay(to.zone(), from.zone());
        let Some(connection) = self.gateways.connections.get_mut(&id) else { return };
        connection.opener.last_arrival = self.now + delay;
        if let Some(endpoint) = accepted {
            connection.acceptor.endpoint = endpoint;
            self.schedule_gateway(delay, GatewayEvent::Opened(id));
        } else {
            connection.acceptor.is_closed = true;
            let refused = GatewayEvent::EndArrives { connection: id, to: Side::Opener, is_reset: true };
            self.schedule_gateway(delay, refused);
        }
    }

    fn can_reach(&self, from: Endpoint, to: Endpoint) -> bool {
        if let Endpoint::Controller { machine, .. } = to
            && !self.machines[machine].is_reachable()
        {
            return false;
        }
        match (from.position(), to.position()) {
            (Some(from), Some(to)) => self.network.is_linked(from, to),
            _ => true,
        }
    }

    /// Returns the endpoint that accepts a connection; `None` if the connection is refused.
    fn accept_connection(&mut self, id: u64, from: Endpoint, to: Endpoint) -> Option<Endpoint> {
        match to {
            Endpoint::Controller { machine, .. } => {
                let incarnation = self.machines[machine].incarnation;
                let is_up = self.machines[machine].is_up();
                is_up.then_some(Endpoint::Controller { machine, incarnation })
            }
            Endpoint::Gateway { index, .. } => self.accept_at_gateway(id, from, index),
            Endpoint::Node(node) => (self.node_is_up(node) && !self.rng.one_in(100)).then_some(to),
            Endpoint::Client(_) | Endpoint::Unreachable => None,
        }
    }

    fn accept_at_gateway(&mut self, id: u64, from: Endpoint, index: usize) -> Option<Endpoint> {
        let is_client = matches!(from, Endpoint::Client(_));
        let process = &mut self.gateways.processes[index];
        if process.gateway.is_none() || (is_client && process.refuses_clients) {
            return None;
        }
        let connection = process.ports.new_id();
        process.ports.add_connection(connection, true);
        process.links.insert(connection, GatewayLink { connection: id, side: Side::Acceptor });
        let listener = if is_client { process.listeners.front } else { process.listeners.inner };
        let incarnation = process.incarnation;
        let peer = gateway_addr(index);
        self.push_gateway_event(index, NetworkEvent::Accepted { connection, listener, peer });
        Some(Endpoint::Gateway { index, incarnation, connection })
    }

    pub(super) fn connection_opened(&mut self, id: u64) {
        let Some(connection) = self.gateways.connections.get(&id) else { return };
        if connection.opener.is_closed {
            return;
        }
        match connection.opener.endpoint {
            Endpoint::Gateway { index, incarnation, connection }
                if self.gateways.processes[index].incarnation == incarnation =>
            {
                let process = &mut self.gateways.processes[index];
                if let Some(port) = process.ports.connections.get_mut(&connection) {
                    port.is_open = true;
                    self.push_gateway_event(index, NetworkEvent::Connected { connection });
                    self.flush_output(index, connection);
                }
            }
            Endpoint::Client(client) => self.client_connected(client, id),
            _ => {}
        }
    }

    /// Sends bytes from one side. They arrive in order, at times in two pieces.
    pub(crate) fn send_bytes(&mut self, id: u64, from: Side, mut bytes: Vec<u8>) {
        let Some(connection) = self.gateways.connections.get(&id) else { return };
        if connection.is_broken || connection.end(from).is_closed {
            return;
        }
        let to = from.other();
        let zones = (connection.end(from).endpoint.zone(), connection.end(to).endpoint.zone());
        let delay = self.sample_delay(zones.0, zones.1);
        let mut arrival = self.last_arrival(id, to).max(self.now + delay);
        if bytes.len() > 1 && self.rng.one_in(8) {
            let second_segment = bytes.split_off(1 + self.rng.below(bytes.len() - 1));
            self.schedule_bytes(arrival, id, to, bytes);
            arrival = arrival + self.rng.between(micros(100), millis(4));
            bytes = second_segment;
        }
        if let Some(connection) = self.gateways.connections.get_mut(&id) {
            connection.end_mut(to).last_arrival = arrival;
        }
        self.schedule_bytes(arrival, id, to, bytes);
    }

    fn last_arrival(&self, id: u64, at: Side) -> Nanos {
        self.gateways.connections.get(&id).map_or(self.now, |connection| connection.end(at).last_arrival)
    }

    fn schedule_bytes(&mut self, arrival: Nanos, connection: u64, to: Side, bytes: Vec<u8>) {
        let delay = arrival - self.now;
        self.schedule_gateway(delay, GatewayEvent::Bytes { connection, to, bytes });
    }

    /// Closes one side of a connection. The other side is notified after all bytes that were sent before.
    pub(crate) fn close_connection(&mut self, id: u64, from: Side, is_reset: bool) {
        let Some(connection) = self.gateways.connections.get_mut(&id) else { return };
        connection.end_mut(from).is_closed = true;
        let to = from.other();
        if connection.end(to).is_closed {
            self.gateways.connections.remove(&id);
            return;
        }
        let is_broken = connection.is_broken;
        let zones = (connection.end(from).endpoint.zone(), connection.end(to).endpoint.zone());
        let delay = self.sample_delay(zones.0, zones.1);
        let arrival = self.last_arrival(id, to).max(self.now + delay);
        if !is_broken {
            let event = GatewayEvent::EndArrives { connection: id, to, is_reset };
            self.schedule_gateway(arrival - self.now, event);
        }
    }

    /// Breaks a connection: nothing is delivered any more, and both sides see a reset after the delay `after`.
    pub(super) fn break_connection(&mut self, id: u64, after: Nanos) {
        let Some(connection) = self.gateways.connections.get_mut(&id) else { return };
        connection.is_broken = true;
        for to in [Side::Opener, Side::Acceptor] {
            self.schedule_gateway(after, GatewayEvent::EndArrives { connection: id, to, is_reset: true });
        }
    }
}
