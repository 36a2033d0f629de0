//! The register itself.

use std::net::SocketAddrV4;
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::types::*;

/// One registrar's part in the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Views {
    facts: ViewFacts,
    now: Nanos,
    delivered: Option<(OrderNo, Arc<[u8]>)>,
}

impl Views {
    pub fn new(_seed: u64, facts: ViewFacts, _saved: Option<Saved>, now: Nanos) -> Views {
        Views { facts, now, delivered: None }
    }
    pub fn heard(&mut self, now: Nanos, _from: SocketAddrV4, _word: Word) {
        self.now = now;
    }
    pub fn stored(&mut self, now: Nanos, _ticket: Ticket, _ok: bool) {
        self.now = now;
    }
    pub fn disk_ok(&mut self, now: Nanos, _ok: bool) {
        self.now = now;
    }
    pub fn know(&mut self, now: Nanos, _addr: SocketAddrV4) {
        self.now = now;
    }
    pub fn propose(&mut self, now: Nanos, _proposal: u64, _base: OrderNo, _state: Vec<u8>) {
        self.now = now;
    }
    pub fn next(&mut self, _now: Nanos) -> Option<Order> {
        let _ = &self.facts;
        None
    }
    pub fn view(&self) -> Option<&View> {
        None
    }
    pub fn is_sequencer(&self) -> bool {
        false
    }
    pub fn sequencer(&self) -> Option<&Member> {
        None
    }
    pub fn holds_lease(&self, _now: Nanos) -> bool {
        false
    }
    pub fn delivered(&self) -> Option<(OrderNo, &[u8])> {
        self.delivered.as_ref().map(|(no, state)| (*no, &state[..]))
    }
}
