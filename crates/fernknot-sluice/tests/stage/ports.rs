//! Ports without sockets, and the chance of a run.

use fernknot::interface::Nanos;
use fernknot_penstock::{Berth, Buffer, NetError, Ports};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddrV4;

/// Chance from a seed (splitmix64), so that a case can be played again.
pub struct Chance(pub u64);

impl Chance {
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }

    pub fn under(&mut self, bound: usize) -> usize {
        (self.draw() % bound.max(1) as u64) as usize
    }

    /// True so many times in a thousand.
    pub fn odds(&mut self, of_1000: usize) -> bool {
        self.under(1000) < of_1000
    }

    pub fn millis(&mut self, from: f64, to: f64) -> Nanos {
        let share = self.under(1 << 20) as f64 / f64::from(1 << 20);
        Nanos::from_millis(from + (to - from) * share)
    }
}

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
