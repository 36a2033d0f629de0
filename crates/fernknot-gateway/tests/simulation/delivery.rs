//! Simulated network between the gateway and its peers.

use super::{Arrival, CONTROLLER, Completion, Peer, Scheduled, Simulation, addr};
use fernknot::interface::Nanos;
use fernknot_net::{ConnectionId, Event, NetError};
use fernknot_simulator::ports::PortAction;
use fernknot_simulator::wire;
use std::io::ErrorKind;
use std::net::SocketAddrV4;

impl Simulation {
    /// Executes the gateway's network actions, and sends its output over open connections.
    pub(super) fn flush(&mut self) {
        for action in std::mem::take(&mut self.network.actions) {
            match action {
                PortAction::Connect(id, to) => self.connected(id, to),
                PortAction::Close(id) => self.notify_closed(id),
                PortAction::StopListening => self.is_stopping = true,
            }
        }
        for id in std::mem::take(&mut self.network.pending_output) {
            self.flush_connection(id);
        }
    }

    pub(super) fn flush_connection(&mut self, id: ConnectionId) {
        let Some(connection) = self.network.connections.get_mut(&id).filter(|connection| connection.is_open)
        else {
            return;
        };
        let bytes = connection.output.data().to_vec();
        connection.output.consume(bytes.len());
        let closing = connection.is_closing;
        if !bytes.is_empty() {
            if matches!(self.peers.get(&id), Some(Peer::Host(_))) {
                self.record_sent_attempts(id, &bytes);
            }
            self.send_to_peer(id, bytes);
        }
        if closing {
            self.network.connections.remove(&id);
            self.notify_closed(id);
        }
    }

    pub(super) fn record_sent_attempts(&mut self, id: ConnectionId, bytes: &[u8]) {
        let mut bytes_so_far = self.partial_requests.remove(&id).unwrap_or_default();
        bytes_so_far.extend(bytes);
        loop {
            match wire::parse_message(&bytes_so_far) {
                Ok(Some(message)) => {
                    bytes_so_far.drain(..message.length);
                    self.log_event(|| {
                        format!("{id:?} sends {} {:?}", message.start_line, message.header("Attempt-Id"))
                    });
                    self.checker.record_sent_attempt(self.now, id, &message);
                }
                Ok(None) => break,
                Err(error) => {
                    self.checker.violation(format!("UNASKED: {error}"));
                    break;
                }
            }
        }
        self.partial_requests.insert(id, bytes_so_far);
    }

    pub(super) fn send_to_peer(&mut self, id: ConnectionId, bytes: Vec<u8>) {
        let at = self.now + self.rng.duration_ms(0.1, 3.0);
        let at = at.max(self.peer_receives_at.get(&id).copied().unwrap_or_default());
        self.peer_receives_at.insert(id, at);
        self.schedule(at, Scheduled::PeerReceives(id, bytes));
    }

    pub(super) fn notify_closed(&mut self, id: ConnectionId) {
        let at = self.now + self.rng.duration_ms(0.1, 3.0);
        let at = at.max(self.peer_receives_at.get(&id).copied().unwrap_or_default());
        self.peer_receives_at.insert(id, at);
        self.schedule(at, Scheduled::PeerClosed(id));
    }

    pub(super) fn connected(&mut self, id: ConnectionId, to: SocketAddrV4) {
        let delay = match self.rng.below(100) {
            0..3 => self.rng.duration_ms(50.0, 1500.0),
            _ => self.rng.duration_ms(0.2, 4.0),
        };
        let arrival = if to == addr(CONTROLLER) {
            self.peers.insert(id, Peer::Controller);
            Some(Arrival::Connected)
        } else if let Some(host) = self.hosts.iter().position(|host| host.addr == to && host.is_up) {
            self.peers.insert(id, Peer::Host(host));
            self.node_connected(host, id)
        } else {
            Some(Arrival::Refused)
        };
        if let Some(arrival) = arrival {
            self.send_to_gateway(id, delay, arrival);
        }
    }

    /// Schedules an arrival at the gateway. Arrivals on one connection stay in order.
    pub(super) fn send_to_gateway(&mut self, id: ConnectionId, delay: Nanos, arrival: Arrival) {
        let at = (self.now + delay).max(self.gateway_receives_at.get(&id).copied().unwrap_or_default());
        self.gateway_receives_at.insert(id, at);
        self.schedule(at, Scheduled::GatewayReceives(id, arrival));
    }

    /// Sends bytes to the gateway, in one or several pieces.
    pub(super) fn send_in_pieces(
        &mut self,
        id: ConnectionId,
        bytes: Vec<u8>,
        completion: Option<Completion>,
    ) {
        let mut rest = &bytes[..];
        while self.rng.chance_per_mille(250) && rest.len() > 1 {
            let (piece, more) = rest.split_at(1 + self.rng.below(rest.len() - 1));
            let delay = self.rng.duration_ms(0.1, 6.0);
            self.send_to_gateway(id, delay, Arrival::Bytes(piece.to_vec(), None));
            rest = more;
        }
        let delay = self.rng.duration_ms(0.1, 3.0);
        self.send_to_gateway(id, delay, Arrival::Bytes(rest.to_vec(), completion));
    }

    pub(super) fn deliver(&mut self, id: ConnectionId, arrival: Arrival) {
        if self.gateway.is_none() {
            if let Arrival::Accepted { .. } = arrival {
                self.notify_closed(id);
            }
            return;
        }
        if let Arrival::Accepted { listener } = arrival {
            if self.is_stopping {
                return self.notify_closed(id);
            }
            self.network.add_connection(id, true);
            self.events.push(Event::Accepted { connection: id, listener, peer: addr("10.9.0.1:999") });
            return self.step_soon();
        }
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let lost = |step, kind: ErrorKind| NetError { step, peer: addr("10.9.0.1:999"), source: kind.into() };
        match arrival {
            Arrival::Accepted { .. } => {}
            Arrival::Connected => {
                connection.is_open = true;
                self.events.push(Event::Connected { connection: id });
                self.flush_connection(id);
            }
            Arrival::Refused => {
                self.network.connections.remove(&id);
                let error = lost("connect to", ErrorKind::ConnectionRefused);
                self.events.push(Event::Closed { connection: id, was_open: false, error });
            }
            Arrival::Bytes(bytes, completion) => {
                connection.input.push(&bytes);
                self.events.push(Event::Received { connection: id });
                match completion {
                    Some(Completion::NotExecuted(attempt)) => self.checker.record_rejection(&attempt, id),
                    Some(Completion::Config(config_index)) => {
                        self.config_index = self.config_index.max(Some(config_index))
                    }
                    None => {}
                }
                if let Some(Peer::Client(client)) = self.peers.get(&id).copied() {
                    self.record_delivered_bytes(client, id, bytes.len());
                }
            }
            Arrival::Fin => self.events.push(Event::ReadClosed { connection: id }),
            Arrival::Reset => {
                let (was_open, is_closing) = (connection.is_open, connection.is_closing);
                let rest = self
                    .network
                    .connections
                    .remove(&id)
                    .map(|connection| connection.input)
                    .unwrap_or_default();
                if !is_closing {
                    self.network.unread_after_reset.insert(id, rest);
                    let error = lost("read from", ErrorKind::ConnectionReset);
                    self.events.push(Event::Closed { connection: id, was_open, error });
                }
            }
        }
        self.step_soon();
    }
}
