//! Delays between zones, connections between controllers, and partitioned links.

use crate::rng::Rng;
use crate::time::{micros, millis};
use crate::topology::ZONES;
use fernknot::interface::Nanos;
use fernknot_rpc::ControllerMessage;
use std::collections::{BTreeMap, VecDeque};

/// Reason for the time-out of a connection between controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stall {
    /// Acknowledgements can never arrive.
    Permanent,
    /// Messages have been stalled since the stall with this number began.
    Since(u64),
}

/// One-way connection from one controller to another.
pub(crate) struct PeerConnection {
    pub from: usize,
    pub from_incarnation: u64,
    pub to: usize,
    pub to_incarnation: u64,
    pub is_open: bool,
    /// Time at which the last sent message arrives, which may lie in the future. No later message arrives before it.
    pub last_arrival: Nanos,
    /// Messages delayed by a partition or by the receiver's lack of power, in the order of arrival.
    pub stalled: VecDeque<ControllerMessage>,
    /// Number of the stall in which the first of the `stalled` messages was delayed.
    pub stall: u64,
}

impl PeerConnection {
    /// Returns whether the connection leads from `from` to `to`.
    pub fn is_between(&self, from: usize, to: usize) -> bool {
        (self.from, self.to) == (from, to)
    }
}

/// Network between the controllers, with its partitions and delays.
pub(crate) struct PeerNetwork {
    pub connections: BTreeMap<u64, PeerConnection>,
    outgoing: BTreeMap<(usize, usize), u64>,
    /// Number of faults that partition each link, by the positions of its sender and receiver.
    partitions: BTreeMap<(usize, usize), usize>,
    last_stall: u64,
    /// Base delays between zones, in row-major order.
    zone_delays: [Nanos; ZONES * ZONES],
    /// Time of the last disturbance of the core.
    pub core_disturbed_at: Nanos,
    /// Number of active faults that slow down a disk or a link.
    pub slow_faults: usize,
}

impl PeerNetwork {
    /// Creates a network without partitions, with delays drawn from `rng`.
    pub fn new(rng: &Rng, now: Nanos) -> PeerNetwork {
        let mut zone_delays = [Nanos(0); ZONES * ZONES];
        for zone in 0..ZONES {
            for other in 0..zone {
                let delay = rng.between(millis(1), millis(12));
                zone_delays[zone * ZONES + other] = delay;
                zone_delays[other * ZONES + zone] = delay;
            }
            zone_delays[zone * ZONES + zone] = rng.between(micros(100), millis(1));
        }
        PeerNetwork {
            connections: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            partitions: BTreeMap::new(),
            last_stall: 0,
            zone_delays,
            core_disturbed_at: now,
            slow_faults: 0,
        }
    }

    /// Returns the base delay between the zones of two processes.
    pub fn zone_delay(&self, from: usize, to: usize) -> Nanos {
        self.zone_delays[(from % ZONES) * ZONES + to % ZONES]
    }

    /// Returns the connection that a machine has opened, or is opening, to another.
    pub fn outgoing(&self, from: usize, to: usize) -> Option<u64> {
        self.outgoing.get(&(from, to)).copied()
    }

    /// Adds a connection, which becomes the outgoing one between its machines.
    pub fn insert(&mut self, id: u64, connection: PeerConnection) {
        self.outgoing.insert((connection.from, connection.to), id);
        self.connections.insert(id, connection);
    }

    /// Removes the outgoing connection between two machines in any state, without notifying the sender.
    pub fn abort(&mut self, from: usize, to: usize) {
        if let Some(id) = self.outgoing.remove(&(from, to)) {
            self.connections.remove(&id);
        }
    }

    /// Removes a connection, and lets the sender open another one.
    pub fn remove(&mut self, id: u64) {
        if let Some(connection) = self.connections.remove(&id)
            && self.outgoing(connection.from, connection.to) == Some(id)
        {
            self.outgoing.remove(&(connection.from, connection.to));
        }
    }

    /// Handles the end of a sender's process: only open connections without stalled messages still deliver.
    pub fn sender_ended(&mut self, from: usize) {
        self.connections.retain(|_, connection| {
            connection.from != from || (connection.is_open && connection.stalled.is_empty())
        });
        self.outgoing.retain(|(sender, _), _| *sender != from);
    }

    /// Returns the matching connections in the order in which they were opened.
    pub fn connections_where(&self, predicate: impl Fn(&PeerConnection) -> bool) -> Vec<u64> {
        let matching = self.connections.iter().filter(|(_, connection)| predicate(connection));
        matching.map(|(id, _)| *id).collect()
    }

    /// Returns the number of a new stall.
    pub fn next_stall(&mut self) -> u64 {
        self.last_stall += 1;
        self.last_stall
    }

    /// Returns whether the link from one position to another is partitioned.
    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.contains_key(&(from, to))
    }

    /// Returns whether neither direction between two positions is partitioned.
    pub fn is_linked(&self, first: usize, second: usize) -> bool {
        !self.is_partitioned(first, second) && !self.is_partitioned(second, first)
    }

    /// Returns whether any link is partitioned.
    pub fn has_partitions(&self) -> bool {
        !self.partitions.is_empty()
    }

    pub fn add_partition(&mut self, from: usize, to: usize) {
        *self.partitions.entry((from, to)).or_default() += 1;
    }

    pub fn remove_partition(&mut self, from: usize, to: usize) {
        if let Some(count) = self.partitions.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.partitions.remove(&(from, to));
            }
        }
    }
}
