//! Ports without sockets, for a gateway in simulated time.

use fernknot_net::{Buffer, ConnectionId, NetError, Network};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddrV4;

/// The gateway's end of one connection.
pub struct SimulatedConnection {
    pub is_open: bool,
    pub is_closing: bool,
    pub input: Buffer,
    pub output: Buffer,
}

/// What the gateway did, for the stage to carry out.
pub enum PortAction {
    Connect(ConnectionId, SocketAddrV4),
    Close(ConnectionId),
    StopListening,
}

/// What a gateway is lent in place of sockets.
#[derive(Default)]
pub struct SimulatedPorts {
    last_id: u64,
    pub connections: BTreeMap<ConnectionId, SimulatedConnection>,
    pub pending_output: BTreeSet<ConnectionId>,
    pub actions: Vec<PortAction>,
    /// What had come over connections that were reset.
    pub unread_after_reset: BTreeMap<ConnectionId, Buffer>,
    /// No connection can be begun.
    pub is_full: bool,
}

impl SimulatedPorts {
    /// A new name.
    pub fn new_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// A connection, up or still opening.
    pub fn add_connection(&mut self, berth: ConnectionId, open: bool) {
        let link = SimulatedConnection {
            is_open: open,
            is_closing: false,
            input: Buffer::default(),
            output: Buffer::default(),
        };
        self.connections.insert(berth, link);
    }
}

impl Network for SimulatedPorts {
    fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError> {
        if self.is_full {
            return Err(NetError { step: "connect to", peer, source: ErrorKind::QuotaExceeded.into() });
        }
        let berth = self.new_id();
        self.add_connection(berth, false);
        self.actions.push(PortAction::Connect(berth, peer));
        Ok(berth)
    }

    fn is_open(&self, berth: ConnectionId) -> bool {
        self.connections.get(&berth).is_some_and(|link| link.is_open)
    }

    fn is_opening(&self, berth: ConnectionId) -> bool {
        self.connections.get(&berth).is_some_and(|link| !link.is_open)
    }

    fn input(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        self.connections.get_mut(&berth).map(|link| &mut link.input)
    }

    fn take_unread_input(&mut self, berth: ConnectionId) -> Option<Buffer> {
        self.unread_after_reset.remove(&berth)
    }

    fn output(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        let link = self.connections.get_mut(&berth).filter(|link| !link.is_closing)?;
        self.pending_output.insert(berth);
        Some(&mut link.output)
    }

    fn pending_output_bytes(&self, berth: ConnectionId) -> usize {
        self.connections.get(&berth).map_or(0, |link| link.output.len())
    }

    fn close(&mut self, berth: ConnectionId) {
        if self.connections.remove(&berth).is_some() {
            self.actions.push(PortAction::Close(berth));
        }
    }

    fn close_after_flush(&mut self, berth: ConnectionId) {
        if let Some(link) = self.connections.get_mut(&berth) {
            link.is_closing = true;
            self.pending_output.insert(berth);
        }
    }

    fn stop_listening(&mut self, _: ConnectionId) {
        self.actions.push(PortAction::StopListening);
    }

    fn send_datagram(&mut self, _: SocketAddrV4, _: &[u8]) {}
}
