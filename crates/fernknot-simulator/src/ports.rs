//! Ports without sockets, for a gateway in simulated time.

use fernknot_net::{Buffer, ConnectionId, NetError, Network};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddrV4;

/// The gateway's end of one connection.
pub struct SimulatedConnection {
    pub open: bool,
    pub closing: bool,
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
    next: u64,
    pub links: BTreeMap<ConnectionId, SimulatedConnection>,
    pub dirty: BTreeSet<ConnectionId>,
    pub did: Vec<PortAction>,
    /// What had come over connections that were reset.
    pub rests: BTreeMap<ConnectionId, Buffer>,
    /// No connection can be begun.
    pub full: bool,
}

impl SimulatedPorts {
    /// A new name.
    pub fn name(&mut self) -> ConnectionId {
        self.next += 1;
        ConnectionId(self.next)
    }

    /// A connection, up or still opening.
    pub fn add(&mut self, berth: ConnectionId, open: bool) {
        let link =
            SimulatedConnection { open, closing: false, input: Buffer::default(), output: Buffer::default() };
        self.links.insert(berth, link);
    }
}

impl Network for SimulatedPorts {
    fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError> {
        if self.full {
            return Err(NetError { step: "connect to", peer, why: ErrorKind::QuotaExceeded.into() });
        }
        let berth = self.name();
        self.add(berth, false);
        self.did.push(PortAction::Connect(berth, peer));
        Ok(berth)
    }

    fn is_open(&self, berth: ConnectionId) -> bool {
        self.links.get(&berth).is_some_and(|link| link.open)
    }

    fn is_opening(&self, berth: ConnectionId) -> bool {
        self.links.get(&berth).is_some_and(|link| !link.open)
    }

    fn input(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        self.links.get_mut(&berth).map(|link| &mut link.input)
    }

    fn take_rest(&mut self, berth: ConnectionId) -> Option<Buffer> {
        self.rests.remove(&berth)
    }

    fn output(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        let link = self.links.get_mut(&berth).filter(|link| !link.closing)?;
        self.dirty.insert(berth);
        Some(&mut link.output)
    }

    fn waiting(&self, berth: ConnectionId) -> usize {
        self.links.get(&berth).map_or(0, |link| link.output.len())
    }

    fn close(&mut self, berth: ConnectionId) {
        if self.links.remove(&berth).is_some() {
            self.did.push(PortAction::Close(berth));
        }
    }

    fn close_after(&mut self, berth: ConnectionId) {
        if let Some(link) = self.links.get_mut(&berth) {
            link.closing = true;
            self.dirty.insert(berth);
        }
    }

    fn stop_listening(&mut self, _: ConnectionId) {
        self.did.push(PortAction::StopListening);
    }

    fn send_datagram(&mut self, _: SocketAddrV4, _: &[u8]) {}
}
