//! In-memory implementation of [`Network`] for a gateway in simulated time.

use fernknot_net::{Buffer, ConnectionId, NetError, Network};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddrV4;

/// Gateway's end of one connection.
pub struct SimulatedConnection {
    /// Whether the other end has accepted the connection.
    pub is_open: bool,
    /// Whether the connection closes once the output has been sent.
    pub is_closing: bool,
    /// Received bytes that the gateway has not read.
    pub input: Buffer,
    /// Bytes that the gateway has written and the simulation has not sent.
    pub output: Buffer,
}

/// Network operation of the gateway, for the simulation to execute.
pub enum PortAction {
    /// Opens a connection to an address.
    Connect(ConnectionId, SocketAddrV4),
    /// Closes a connection.
    Close(ConnectionId),
    /// Stops accepting connections of clients.
    StopListening,
}

/// Connections of a simulated gateway, in place of sockets.
#[derive(Default)]
pub struct SimulatedPorts {
    last_id: u64,
    /// Connections that are open or opening.
    pub connections: BTreeMap<ConnectionId, SimulatedConnection>,
    /// Connections to which the gateway may have written since the last flush.
    pub pending_output: BTreeSet<ConnectionId>,
    /// Network operations that the simulation has not executed yet.
    pub actions: Vec<PortAction>,
    /// Input of reset connections that the gateway had not read; discarded after the gateway's next turn.
    pub unread_after_reset: BTreeMap<ConnectionId, Buffer>,
    /// Whether opening a connection fails with [`ErrorKind::QuotaExceeded`], as without free file descriptors.
    pub is_full: bool,
}

impl SimulatedPorts {
    /// Returns an id that no connection or listener has used.
    pub fn new_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// Adds a connection that is open or still opening.
    pub fn add_connection(&mut self, id: ConnectionId, is_open: bool) {
        let connection = SimulatedConnection {
            is_open,
            is_closing: false,
            input: Buffer::default(),
            output: Buffer::default(),
        };
        self.connections.insert(id, connection);
    }

    /// Discards all connections and pending operations when the process ends.
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
            return Err(NetError { step: "connect to", peer, source: ErrorKind::QuotaExceeded.into() });
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
