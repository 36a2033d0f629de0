//! State of a node as a router knows it.

use super::budget::SlidingCount;
use super::histogram::Histogram;
use super::query::WorkKind;
use super::statistics::{FailureRate, RunningMean};
use crate::interface::*;
use std::collections::BTreeMap;

/// State and statistics of a node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Place of the node.
    pub place: PlaceId,
    /// Zone of the node, if known.
    pub zone: Option<ZoneId>,
    /// State according to the node list.
    pub health: Health,
    /// Time of its last start; 0 if that was long ago.
    pub started_at: Nanos,
    /// Latencies in nanoseconds divided by the size of the part, misses included.
    pub latencies: Histogram,
    /// Failure rate of all attempts.
    pub failures: FailureRate,
    /// Failure rates by kind of work.
    pub failures_by_kind: BTreeMap<WorkKind, FailureRate>,
    /// Nanoseconds that a part took per unit of work in flight when it was sent.
    pub time_per_work: RunningMean,
    /// Attempts in flight, by time sent, part and number: their size, and whether they are overdue.
    pub in_flight: BTreeMap<(Nanos, PartId, usize), (f64, bool)>,
    /// Attempts of peers in flight: the peer, the time of its message, and the work in flight then.
    pub peer_attempts: Vec<(PeerId, Nanos, f64)>,
    /// Time at which the latest of the answered attempts was sent.
    pub latest_answered_sent_at: Nanos,
    /// Time at which its statistics were last halved.
    pub halved_at: Nanos,
    /// Share of its capacity in use that it last reported, from 0 to 1.
    pub busy_share: Option<f64>,
    /// Work that it may still be sent while it is cold, negative if it was sent too much, and the time at which
    /// that was computed.
    pub cold_allowance: (f64, Nanos),
    /// Work that it answered.
    pub answered_work: SlidingCount,
}

impl Node {
    /// Creates a node from its list entry, without measurements.
    pub fn new(entry: &NodeEntry, bins: &Histogram) -> Node {
        Node {
            place: entry.place,
            zone: entry.zone,
            health: entry.health,
            started_at: entry.started_at,
            latencies: bins.clone(),
            failures: FailureRate::default(),
            failures_by_kind: BTreeMap::new(),
            time_per_work: RunningMean::default(),
            in_flight: BTreeMap::new(),
            peer_attempts: Vec::new(),
            latest_answered_sent_at: Nanos(0),
            halved_at: Nanos(0),
            busy_share: None,
            cold_allowance: (0.0, Nanos(0)),
            answered_work: SlidingCount::default(),
        }
    }

    /// Whether it has no attempt in flight and its past measurements have lost their weight.
    pub fn is_forgotten(&self) -> bool {
        self.in_flight.is_empty() && self.latencies.total() < 1.0
    }

    /// Returns the time at which the first overdue attempt was sent that no answered attempt was sent after.
    pub fn stuck_since(&self) -> Option<Nanos> {
        let overdue = self
            .in_flight
            .iter()
            .find(|((sent_at, _, _), (_, overdue))| *overdue && *sent_at >= self.latest_answered_sent_at);
        overdue.map(|((sent_at, _, _), _)| *sent_at)
    }

    /// Returns the known work in flight at the node, from this router and its peers. Overdue attempts count as lost
    /// if they were sent before `lost_before`, or before an attempt that has been answered.
    pub fn work_in_flight(&self, lost_before: Nanos) -> f64 {
        let own_lost_before = lost_before.max(self.latest_answered_sent_at);
        let pending = self
            .in_flight
            .iter()
            .filter(|((sent_at, _, _), (_, overdue))| !overdue || *sent_at >= own_lost_before);
        let peers = self.peer_attempts.iter().filter(|(_, sent_at, _)| *sent_at >= lost_before).count();
        pending.map(|(_, (size, _))| size).sum::<f64>() + peers as f64
    }
}
