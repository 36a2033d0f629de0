//! Delays between zones, connections between controllers, and which links are partitioned.

use crate::rng::Rng;
use crate::time::{micros, millis};
use crate::topology::ZONES;
use fernknot::interface::Nanos;
use fernknot_rpc::ControllerMessage;
use std::collections::{BTreeMap, VecDeque};

/// Why a connection between controllers may end: for how long nothing has been acknowledged on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stall {
    /// Nothing will ever be acknowledged.
    Permanent,
    /// Messages have waited since the stall with this number.
    Since(u64),
}

/// A connection from one controller to another, on which only the first sends.
pub(crate) struct PeerConnection {
    pub from: usize,
    pub from_incarnation: u64,
    pub to: usize,
    pub to_incarnation: u64,
    pub is_open: bool,
    /// When the last message that was sent arrives.
    pub last_arrival: Nanos,
    /// Messages that a partition holds back.
    pub stalled: VecDeque<ControllerMessage>,
    /// The number of the stall that holds them back.
    pub stall: u64,
}

impl PeerConnection {
    /// Whether it runs from `from` to `to`.
    pub fn is_between(&self, from: usize, to: usize) -> bool {
        (self.from, self.to) == (from, to)
    }
}

/// The network of the controllers, and what disturbs it.
pub(crate) struct PeerNetwork {
    pub connections: BTreeMap<u64, PeerConnection>,
    outgoing: BTreeMap<(usize, usize), u64>,
    /// How many faults partition the link from one position to another, where any does.
    partitions: BTreeMap<(usize, usize), usize>,
    last_stall: u64,
    /// Base delays between zones, row by row.
    zone_delays: [Nanos; ZONES * ZONES],
    /// The last event that disturbs the core.
    pub core_disturbed_at: Nanos,
    /// Faults that slow a disk or a link down.
    pub slow_faults: usize,
}

impl PeerNetwork {
    /// A network without partitions, with delays drawn from `rng`.
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

    /// The base delay between the zones of two processes.
    pub fn zone_delay(&self, from: usize, to: usize) -> Nanos {
        self.zone_delays[(from % ZONES) * ZONES + to % ZONES]
    }

    /// The connection that a machine has opened, or is opening, to another.
    pub fn outgoing(&self, from: usize, to: usize) -> Option<u64> {
        self.outgoing.get(&(from, to)).copied()
    }

    /// Adds a connection in place of the one between the same machines.
    pub fn insert(&mut self, id: u64, connection: PeerConnection) {
        self.outgoing.insert((connection.from, connection.to), id);
        self.connections.insert(id, connection);
    }

    /// The sender gives a connection up, whatever state it is in.
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

    /// The sender's process has ended: only what is on its way still arrives.
    pub fn sender_ended(&mut self, from: usize) {
        self.connections.retain(|_, connection| {
            connection.from != from || (connection.is_open && connection.stalled.is_empty())
        });
        self.outgoing.retain(|(sender, _), _| *sender != from);
    }

    /// Connections of which this holds, in the order in which they were opened.
    pub fn connections_where(&self, holds: impl Fn(&PeerConnection) -> bool) -> Vec<u64> {
        let matching = self.connections.iter().filter(|(_, connection)| holds(connection));
        matching.map(|(id, _)| *id).collect()
    }

    /// A number for the next stall.
    pub fn next_stall(&mut self) -> u64 {
        self.last_stall += 1;
        self.last_stall
    }

    /// Whether nothing goes from one position to another.
    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.contains_key(&(from, to))
    }

    /// Whether both ways are open.
    pub fn is_linked(&self, first: usize, second: usize) -> bool {
        !self.is_partitioned(first, second) && !self.is_partitioned(second, first)
    }

    /// Whether any link is partitioned.
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
