//! State of a node as a router knows it. The size of a part is its expected work relative to the mean part; work is
//! counted in these sizes.

use super::budget::SlidingCount;
use super::histogram::Histogram;
use super::query::WorkKind;
use super::statistics::{FailureRate, RunningMean};
use crate::interface::*;
use std::collections::BTreeMap;

/// State and statistics of a node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Place of the node, which determines its shards.
    pub place: PlaceId,
    /// Zone of the node, if known.
    pub zone: Option<ZoneId>,
    /// State according to the node list.
    pub health: Health,
    /// Time of its last start; 0 if that was long ago.
    pub started_at: Nanos,
    /// Latencies of answers in nanoseconds, divided by the size of their part; those that peers report are not
    /// divided. Overdue attempts count as misses.
    pub latencies: Histogram,
    /// Failure rate of the attempts of this router and its peers, without those that this router cancelled or that
    /// were never sent.
    pub failures: FailureRate,
    /// Failure rates of this router's attempts by kind of work. An overdue attempt of a second phase counts as a
    /// failure.
    pub failures_by_kind: BTreeMap<WorkKind, FailureRate>,
    /// Latency of an answer in nanoseconds per unit of work that was in flight at the node when the attempt was sent.
    pub time_per_work: RunningMean,
    /// Attempts in flight, by time sent, part and number: the size of the part, and whether the attempt is overdue.
    pub in_flight: BTreeMap<(Nanos, PartId, usize), (f64, bool)>,
    /// Attempts of peers in flight at the node: the peer, the time at which its report that it sent one arrived, and
    /// the work in flight at the node then.
    pub peer_attempts: Vec<(PeerId, Nanos, f64)>,
    /// Time at which the latest of the answered attempts was sent.
    pub latest_answered_sent_at: Nanos,
    /// Time at which the weight of its latencies and failures was last halved.
    pub halved_at: Nanos,
    /// Share of its capacity in use that it last reported, from 0 to 1; `None` before the first report.
    pub busy_share: Option<f64>,
    /// Work that this router may still send it while it is cold ([`SlowStartSettings`]), negative if it was sent too
    /// much, and the time for which that was computed.
    pub cold_allowance: (f64, Nanos),
    /// Sizes of the parts that it answered to this router, with the times of the answers.
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

    /// Whether it has no attempt in flight and its latencies, whose weight is halved again and again, weigh less than
    /// one answer.
    pub fn is_forgotten(&self) -> bool {
        self.in_flight.is_empty() && self.latencies.total() < 1.0
    }

    /// Returns the time at which the oldest of those overdue attempts was sent that are not older than the latest
    /// answered attempt; `None` if there are none. The node may have stopped answering then.
    pub fn stuck_since(&self) -> Option<Nanos> {
        let overdue = self
            .in_flight
            .iter()
            .find(|((sent_at, _, _), (_, overdue))| *overdue && *sent_at >= self.latest_answered_sent_at);
        overdue.map(|((sent_at, _, _), _)| *sent_at)
    }

    /// Returns the known work in flight at the node, from this router and its peers; an attempt of a peer counts as a
    /// part of size 1. Overdue attempts count as lost if they were sent before `lost_before`, or before an attempt
    /// that has been answered; attempts of peers if they were reported before `lost_before`.
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
