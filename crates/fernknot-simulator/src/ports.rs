//! Ports without sockets, for a gateway in simulated time.

use fernknot_net::{Berth, Buffer, NetError, Ports};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddrV4;

/// The gateway's end of one connection.
pub struct Link {
    pub open: bool,
    pub closing: bool,
    pub input: Buffer,
    pub output: Buffer,
}

/// What the gateway did, for the stage to carry out.
pub enum Did {
    Connect(Berth, SocketAddrV4),
    Close(Berth),
    StopListening,
}

/// What a gateway is lent in place of sockets.
#[derive(Default)]
pub struct SimPorts {
    next: u64,
    pub links: BTreeMap<Berth, Link>,
    pub dirty: BTreeSet<Berth>,
    pub did: Vec<Did>,
    /// What had come over connections that were reset.
    pub rests: BTreeMap<Berth, Buffer>,
    /// No connection can be begun.
    pub full: bool,
}

impl SimPorts {
    /// A new name.
    pub fn name(&mut self) -> Berth {
        self.next += 1;
        Berth(self.next)
    }

    /// A connection, up or still opening.
    pub fn add(&mut self, berth: Berth, open: bool) {
        let link = Link { open, closing: false, input: Buffer::default(), output: Buffer::default() };
        self.links.insert(berth, link);
    }
}

impl Ports for SimPorts {
    fn connect(&mut self, peer: SocketAddrV4) -> Result<Berth, NetError> {
        if self.full {
            return Err(NetError { step: "connect to", peer, why: ErrorKind::QuotaExceeded.into() });
        }
        let berth = self.name();
        self.add(berth, false);
        self.did.push(Did::Connect(berth, peer));
        Ok(berth)
    }

    fn is_open(&self, berth: Berth) -> bool {
        self.links.get(&berth).is_some_and(|link| link.open)
    }

    fn is_opening(&self, berth: Berth) -> bool {
        self.links.get(&berth).is_some_and(|link| !link.open)
    }

    fn input(&mut self, berth: Berth) -> Option<&mut Buffer> {
        self.links.get_mut(&berth).map(|link| &mut link.input)
    }

    fn take_rest(&mut self, berth: Berth) -> Option<Buffer> {
        self.rests.remove(&berth)
    }

    fn output(&mut self, berth: Berth) -> Option<&mut Buffer> {
        let link = self.links.get_mut(&berth).filter(|link| !link.closing)?;
        self.dirty.insert(berth);
        Some(&mut link.output)
    }

    fn waiting(&self, berth: Berth) -> usize {
        self.links.get(&berth).map_or(0, |link| link.output.len())
    }

    fn close(&mut self, berth: Berth) {
        if self.links.remove(&berth).is_some() {
            self.did.push(Did::Close(berth));
        }
    }

    fn close_after(&mut self, berth: Berth) {
        if let Some(link) = self.links.get_mut(&berth) {
            link.closing = true;
            self.dirty.insert(berth);
        }
    }

    fn stop_listening(&mut self, _: Berth) {
        self.did.push(Did::StopListening);
    }

    fn send_datagram(&mut self, _: SocketAddrV4, _: &[u8]) {}
}
