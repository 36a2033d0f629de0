//! The baseline: heartbeats to all with one time-out, the simplest that could work.

use super::process_io::{Input, Output};
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

pub(super) const HEARTBEAT_INTERVAL: Nanos = Nanos(1_000_000_000);
const HEARTBEAT_TIMEOUT: Nanos = Nanos(3_000_000_000);
const HEARTBEAT_BYTES: usize = 16;

/// What one router knows of another.
struct Peer {
    last_heard: Nanos,
    is_failed: bool,
    failure_changes: u32,
}

/// One router that sends heartbeats to all others.
pub(super) struct FixedHeartbeat {
    own: u32,
    routers: u32,
    /// Those that were ever heard.
    peers: BTreeMap<u32, Peer>,
    next_heartbeat: Nanos,
}

impl FixedHeartbeat {
    /// A router that sends its first heartbeat at this time.
    pub fn new(own: u32, routers: u32, first_heartbeat: Nanos) -> FixedHeartbeat {
        FixedHeartbeat { own, routers, peers: BTreeMap::new(), next_heartbeat: first_heartbeat }
    }

    /// When the next turn is due.
    pub fn next_wakeup(&self) -> Nanos {
        self.next_heartbeat
    }

    /// Whether this router takes the other one for failed.
    pub fn is_failed(&self, router: u32) -> bool {
        self.peers.get(&router).is_some_and(|peer| peer.is_failed)
    }

    /// The most often that one router counted as failed or came back.
    pub fn max_failure_changes(&self) -> u32 {
        self.peers.values().map(|peer| peer.failure_changes).max().unwrap_or(0)
    }

    /// One turn of the event loop.
    pub fn turn(&mut self, now: Nanos, inbox: impl IntoIterator<Item = Input>) -> Vec<Output> {
        let mut outputs = Vec::new();
        for input in inbox {
            outputs.extend(self.receive(now, input.from));
        }
        outputs.extend(self.time_out(now));
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            let others = (0..self.routers).filter(|to| *to != self.own);
            outputs.extend(others.map(|to| Output::Send { to, bytes: vec![0; HEARTBEAT_BYTES] }));
        }
        outputs
    }

    fn receive(&mut self, now: Nanos, from: u32) -> Option<Output> {
        let new = Peer { last_heard: now, is_failed: false, failure_changes: 0 };
        let peer = self.peers.entry(from).or_insert(new);
        peer.last_heard = now;
        if !std::mem::replace(&mut peer.is_failed, false) {
            return None;
        }
        peer.failure_changes += 1;
        Some(Output::FailureChanged { member: from, was_failed: true, is_failed: false })
    }

    fn time_out(&mut self, now: Nanos) -> Vec<Output> {
        let is_due = |peer: &Peer| peer.last_heard + HEARTBEAT_TIMEOUT <= now && !peer.is_failed;
        let mut outputs = Vec::new();
        for (member, peer) in self.peers.iter_mut().filter(|(_, peer)| is_due(peer)) {
            peer.is_failed = true;
            peer.failure_changes += 1;
            outputs.push(Output::FailureChanged { member: *member, was_failed: false, is_failed: true });
        }
        outputs
    }
}
