//! Connections between controllers. They deliver in order; a partition stalls them until the sender times out.

use crate::controllers::machine::Input;
use crate::event::Event;
use crate::network::state::{PeerConnection, Stall};
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::time::millis;
use crate::topology::controller_addr;
use fernknot::interface::Nanos;
use fernknot_rpc::ControllerMessage;
use std::collections::VecDeque;

/// Time after which a lost SYN packet is retransmitted.
pub(crate) const SYN_RETRANSMISSION_DELAY: Nanos = Nanos(1_000_000_000);

impl Simulation {
    pub(crate) fn connect_peer(&mut self, from: usize, to: usize) {
        self.network.abort(from, to);
        let id = self.next_sequence();
        let connection = PeerConnection {
            from,
            from_incarnation: self.machines[from].incarnation,
            to,
            to_incarnation: 0,
            is_open: false,
            last_arrival: self.now,
            stalled: VecDeque::new(),
            stall: 0,
        };
        self.network.insert(id, connection);
        let delay = self.sample_delay(from, to) + self.sample_delay(to, from);
        self.schedule(delay, Event::PeerSyn { connection: id });
    }

    pub(crate) fn abort_peer_connection(&mut self, from: usize, to: usize) {
        self.network.abort(from, to);
    }

    pub(crate) fn send_peer_message(&mut self, from: usize, to: usize, message: ControllerMessage) {
        let is_node_update = matches!(message, ControllerMessage::NodeUpdates(_));
        if is_node_update && self.settings.has_bug(SeededBug::WithholdsNodeUpdates) {
            return;
        }
        let Some(id) = self.network.outgoing(from, to) else { return };
        let delay = self.sample_delay(from, to);
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        if !connection.is_open {
            return;
        }
        connection.last_arrival = connection.last_arrival.max(self.now + delay);
        let delay = connection.last_arrival - self.now;
        self.schedule(delay, Event::PeerMessage { connection: id, message });
    }

    pub(crate) fn peer_syn_arrives(&mut self, id: u64) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (from, to) = (connection.from, connection.to);
        let peer = self.machines.get(to).filter(|peer| peer.is_reachable());
        let Some(peer) = peer.filter(|_| self.network.is_linked(from, to)) else {
            return self.schedule(SYN_RETRANSMISSION_DELAY, Event::PeerSyn { connection: id });
        };
        if !peer.is_up() {
            return self.disconnect_peer(id, Nanos(0));
        }
        let to_incarnation = peer.incarnation;
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        connection.is_open = true;
        connection.to_incarnation = to_incarnation;
        connection.last_arrival = self.now;
        let from_incarnation = connection.from_incarnation;
        let input = Input::PeerConnected { peer: controller_addr(to), connection: id };
        self.schedule_input(Nanos(0), from, from_incarnation, input);
    }

    /// Ends a connection and notifies its sender after `delay`.
    fn disconnect_peer(&mut self, id: u64, delay: Nanos) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (from, incarnation, to) = (connection.from, connection.from_incarnation, connection.to);
        self.network.remove(id);
        let input = Input::PeerDisconnected { peer: controller_addr(to) };
        self.schedule_input(delay, from, incarnation, input);
    }

    pub(crate) fn peer_message_arrives(&mut self, id: u64, message: ControllerMessage) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (from, to) = (connection.from, connection.to);
        let is_blocked = !self.machines[to].is_powered || self.network.is_partitioned(from, to);
        if is_blocked || !connection.stalled.is_empty() {
            return self.stall_peer_message(id, message);
        }
        if self.machines[to].runs_incarnation(connection.to_incarnation) {
            self.trace_node_updates(from, to, &message);
            self.deliver(to, Input::PeerMessage { from: controller_addr(from), message });
        }
    }

    fn stall_peer_message(&mut self, id: u64, message: ControllerMessage) {
        let stall = self.network.next_stall();
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let is_first = connection.stalled.is_empty();
        connection.stalled.push_back(message);
        if is_first {
            connection.stall = stall;
            let timeout = self.settings.bounds.suspect_timeout();
            self.schedule(timeout, Event::PeerTimeout { connection: id, stall: Stall::Since(stall) });
        }
    }

    fn trace_node_updates(&mut self, from: usize, to: usize, message: &ControllerMessage) {
        let ControllerMessage::NodeUpdates(records) = message else { return };
        self.trace(|| {
            let updates = records.iter();
            let updates =
                updates.map(|record| format!("{} {:?} {}", record.id, record.state, record.sequence));
            format!("{to} hears from {from} of {}", updates.collect::<Vec<_>>().join(", "))
        });
    }

    /// Delivers the stalled messages of a connection, if the link is up again.
    pub(crate) fn flush_stalled(&mut self, id: u64) {
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let (from, to, to_incarnation) = (connection.from, connection.to, connection.to_incarnation);
        if self.network.is_partitioned(from, to) || !self.machines[to].is_powered {
            return;
        }
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        for message in std::mem::take(&mut connection.stalled) {
            if self.machines[to].incarnation == to_incarnation {
                self.deliver(to, Input::PeerMessage { from: controller_addr(from), message });
            }
        }
    }

    /// Ends a connection whose messages were not acknowledged in time, if the stall still lasts.
    pub(crate) fn time_out_peer_connection(&mut self, id: u64, stall: Stall) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let has_ended = match stall {
            Stall::Permanent => false,
            Stall::Since(number) => connection.stalled.is_empty() || connection.stall != number,
        };
        if !has_ended {
            self.disconnect_peer(id, Nanos(0));
        }
    }

    /// Handles the end of a machine's process: its messages in flight are still delivered, messages to it are lost.
    /// Peers are notified after a network delay if the machine can still send, otherwise they time out.
    pub(crate) fn end_peer_connections(&mut self, index: usize, loses_power: bool) {
        self.network.sender_ended(index);
        for id in self.network.connections_where(|connection| connection.to == index) {
            let connection = &self.network.connections[&id];
            let from = connection.from;
            if loses_power || !self.network.is_linked(index, from) {
                let timeout = self.settings.bounds.suspect_timeout();
                self.schedule(timeout, Event::PeerTimeout { connection: id, stall: Stall::Permanent });
            } else if connection.is_open {
                let delay = self.sample_delay(index, from);
                self.disconnect_peer(id, delay);
            }
        }
    }

    /// Ends all connections between a machine and its peers.
    pub(crate) fn reset_peer_connections(&mut self, index: usize) {
        let has_end = |connection: &PeerConnection| connection.from == index || connection.to == index;
        for id in self.network.connections_where(has_end) {
            self.disconnect_peer(id, Nanos(0));
        }
    }

    /// Applies the beginning or end of a one-way partition to the connections on that link.
    pub(crate) fn partition_peer_connections(&mut self, from: usize, to: usize, begins: bool) {
        let is_affected =
            |connection: &PeerConnection| connection.is_between(from, to) || connection.is_between(to, from);
        for id in self.network.connections_where(is_affected) {
            if begins {
                self.expect_no_acknowledgement(id, from, to);
            } else {
                let delay = self.rng.between(millis(1), millis(250));
                self.schedule(delay, Event::FlushStalled { connection: id });
            }
        }
    }

    /// Schedules the time-out of a connection against the direction of a partition: its messages arrive, but their
    /// acknowledgements do not.
    fn expect_no_acknowledgement(&mut self, id: u64, from: usize, to: usize) {
        self.network.next_stall();
        let connection = &self.network.connections[&id];
        if connection.is_between(to, from) && connection.is_open {
            let jitter = self.rng.between(millis(0), millis(200));
            let timeout = self.settings.bounds.suspect_timeout() + jitter;
            self.schedule(timeout, Event::PeerTimeout { connection: id, stall: Stall::Permanent });
        }
    }
}
