//! Baseline for comparison with the production protocol: each router sends heartbeats to all others every second, and
//! considers a router failed after three seconds without one.

use super::process_io::{Input, Output};
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

pub(super) const HEARTBEAT_INTERVAL: Nanos = Nanos(1_000_000_000);
const HEARTBEAT_TIMEOUT: Nanos = Nanos(3_000_000_000);
const HEARTBEAT_BYTES: usize = 16;

/// State of another router, as seen by one router.
struct Peer {
    last_received: Nanos,
    is_failed: bool,
    failure_changes: u32,
}

/// Router that sends heartbeats to all others.
pub(super) struct FixedHeartbeat {
    local: u32,
    routers: u32,
    /// Routers from which a heartbeat was received.
    peers: BTreeMap<u32, Peer>,
    next_heartbeat: Nanos,
}

impl FixedHeartbeat {
    /// Creates a router that sends its first heartbeat at this time.
    pub fn new(local: u32, routers: u32, first_heartbeat: Nanos) -> FixedHeartbeat {
        FixedHeartbeat { local, routers, peers: BTreeMap::new(), next_heartbeat: first_heartbeat }
    }

    /// Time of the next heartbeat.
    pub fn next_wakeup(&self) -> Nanos {
        self.next_heartbeat
    }

    /// Whether heartbeats of this router have been missing for the time-out; false before its first heartbeat.
    pub fn is_failed(&self, router: u32) -> bool {
        self.peers.get(&router).is_some_and(|peer| peer.is_failed)
    }

    /// Returns the maximum number of changes to or from failed over all peers.
    pub fn max_failure_changes(&self) -> u32 {
        self.peers.values().map(|peer| peer.failure_changes).max().unwrap_or(0)
    }

    /// Runs one iteration of the event loop: receives the datagrams, checks time-outs and sends heartbeats that are
    /// due.
    pub fn run_iteration(&mut self, now: Nanos, inbox: impl IntoIterator<Item = Input>) -> Vec<Output> {
        let mut outputs = Vec::new();
        for input in inbox {
            outputs.extend(self.receive(now, input.from));
        }
        outputs.extend(self.check_timeouts(now));
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            let others = (0..self.routers).filter(|to| *to != self.local);
            outputs.extend(others.map(|to| Output::Send { to, bytes: vec![0; HEARTBEAT_BYTES] }));
        }
        outputs
    }

    fn receive(&mut self, now: Nanos, from: u32) -> Option<Output> {
        let new = Peer { last_received: now, is_failed: false, failure_changes: 0 };
        let peer = self.peers.entry(from).or_insert(new);
        peer.last_received = now;
        if !std::mem::replace(&mut peer.is_failed, false) {
            return None;
        }
        peer.failure_changes += 1;
        Some(Output::FailureChanged { member: from, was_failed: true, is_failed: false })
    }

    fn check_timeouts(&mut self, now: Nanos) -> Vec<Output> {
        let is_due = |peer: &Peer| peer.last_received + HEARTBEAT_TIMEOUT <= now && !peer.is_failed;
        let mut outputs = Vec::new();
        for (member, peer) in self.peers.iter_mut().filter(|(_, peer)| is_due(peer)) {
            peer.is_failed = true;
            peer.failure_changes += 1;
            outputs.push(Output::FailureChanged { member: *member, was_failed: false, is_failed: true });
        }
        outputs
    }
}
