//! A network without sockets, for a gateway in simulated time.

use fernknot_net::{Buffer, ConnectionId, NetError, Network};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddrV4;

/// The gateway's end of one connection.
pub struct SimulatedConnection {
    /// The other end has accepted it.
    pub is_open: bool,
    /// It closes once the output has been sent.
    pub is_closing: bool,
    /// Bytes that have arrived and that the gateway has not read.
    pub input: Buffer,
    /// Bytes that the gateway has written and that have not been sent.
    pub output: Buffer,
}

/// What the gateway did, for the simulation to carry out.
pub enum PortAction {
    /// It opens a connection to an address.
    Connect(ConnectionId, SocketAddrV4),
    /// It closes a connection.
    Close(ConnectionId),
    /// It accepts no more connections.
    StopListening,
}

/// What a gateway has in place of sockets.
#[derive(Default)]
pub struct SimulatedPorts {
    last_id: u64,
    /// Connections that are open or opening.
    pub connections: BTreeMap<ConnectionId, SimulatedConnection>,
    /// Connections on which the gateway may have written something.
    pub pending_output: BTreeSet<ConnectionId>,
    /// What the gateway did since this was emptied last.
    pub actions: Vec<PortAction>,
    /// Unread input of connections that were reset.
    pub unread_after_reset: BTreeMap<ConnectionId, Buffer>,
    /// No connection can be opened.
    pub is_full: bool,
}

impl SimulatedPorts {
    /// An id that no connection or listener has had.
    pub fn new_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// Adds a connection that is open, or still opening.
    pub fn add_connection(&mut self, id: ConnectionId, is_open: bool) {
        let connection = SimulatedConnection {
            is_open,
            is_closing: false,
            input: Buffer::default(),
            output: Buffer::default(),
        };
        self.connections.insert(id, connection);
    }

    /// The process ends: nothing is left of its connections.
    pub(crate) fn clear(&mut self) {
        self.connections.clear();
        self.unread_after_reset.clear();
        self.pending_output.clear();
        self.actions.clear();
    }
}

impl Network for SimulatedPorts {
    fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError> {
        if self.is_full {
            return Err(NetError { step: "connect to", peer, why: ErrorKind::QuotaExceeded.into() });
        }
        let id = self.new_id();
        self.add_connection(id, false);
        self.actions.push(PortAction::Connect(id, peer));
        Ok(id)
    }

    fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.is_open)
    }

    fn is_opening(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| !connection.is_open)
    }

    fn input(&mut self, id: ConnectionId) -> Option<&mut Buffer> {
        self.connections.get_mut(&id).map(|connection| &mut connection.input)
    }

    fn take_unread_input(&mut self, id: ConnectionId) -> Option<Buffer> {
        self.unread_after_reset.remove(&id)
    }

    fn output(&mut self, id: ConnectionId) -> Option<&mut Buffer> {
        let connection = self.connections.get_mut(&id).filter(|connection| !connection.is_closing)?;
        self.pending_output.insert(id);
        Some(&mut connection.output)
    }

    fn pending_output_bytes(&self, id: ConnectionId) -> usize {
        self.connections.get(&id).map_or(0, |connection| connection.output.len())
    }

    fn close(&mut self, id: ConnectionId) {
        if self.connections.remove(&id).is_some() {
            self.actions.push(PortAction::Close(id));
        }
    }

    fn close_after_flush(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_closing = true;
            self.pending_output.insert(id);
        }
    }

    fn stop_listening(&mut self, _: ConnectionId) {
        self.actions.push(PortAction::StopListening);
    }

    fn send_datagram(&mut self, _: SocketAddrV4, _: &[u8]) {}
}
