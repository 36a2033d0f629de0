//! What is known of a node.

use super::budget::SlidingCount;
use super::histogram::Histogram;
use super::query::WorkKind;
use super::statistics::{FailureRate, RunningMean};
use crate::interface::*;
use std::collections::BTreeMap;

/// What is known of a data node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it stands.
    pub place: PlaceId,
    /// Its zone, if known.
    pub zone: Option<ZoneId>,
    /// Its state by the list.
    pub health: Health,
    /// When it last started, if lately.
    pub since: Nanos,
    /// Latencies over sizes, misses among them.
    pub latencies: Histogram,
    /// Failures, all and by kind of work.
    pub failures: FailureRate,
    /// Failures by kind of work.
    pub kinds: BTreeMap<WorkKind, FailureRate>,
    /// Time that a part took for each size of work in flight when it was sent.
    pub pace: RunningMean,
    /// Attempts that are out: their sizes, and whether they are overdue.
    pub out: BTreeMap<(Nanos, PartId, usize), (f64, bool)>,
    /// Attempts of other routers, as they told: by whom, when, and the work in flight then.
    pub others: Vec<(PeerId, Nanos, f64)>,
    /// When the latest of the attempts that it has answered was sent.
    pub answered_to: Nanos,
    /// When its measurements were last halved.
    pub halved_at: Nanos,
    /// How busy it last said that it is, from 0 to 1.
    pub busy_share: Option<f64>,
    /// What may be sent to it while it is cold, less what was, and when that was reckoned.
    pub cold_room: (f64, Nanos),
    /// Sizes answered.
    pub served: SlidingCount,
}

impl Node {
    /// A node by its list entry, with nothing measured.
    pub fn new(entry: &NodeEntry, bins: &Histogram) -> Node {
        Node {
            place: entry.place,
            zone: entry.zone,
            health: entry.health,
            since: entry.since,
            latencies: bins.clone(),
            failures: FailureRate::default(),
            kinds: BTreeMap::new(),
            pace: RunningMean::default(),
            out: BTreeMap::new(),
            others: Vec::new(),
            answered_to: Nanos(0),
            halved_at: Nanos(0),
            busy_share: None,
            cold_room: (0.0, Nanos(0)),
            served: SlidingCount::default(),
        }
    }

    /// Nothing is out and nothing that it did still counts.
    pub fn is_forgotten(&self) -> bool {
        self.out.is_empty() && self.latencies.total() < 1.0
    }

    /// When the first of the overdue attempts was sent after which nothing has been answered.
    pub fn stuck_since(&self) -> Option<Nanos> {
        let overdue =
            self.out.iter().find(|((sent, _, _), (_, overdue))| *overdue && *sent >= self.answered_to);
        overdue.map(|((sent, _, _), _)| *sent)
    }

    /// Sizes of work that it has of ours and of others', for all that is known. What is overdue counts as
    /// lost if it was sent before `lost_before`, or before something that has been answered.
    pub fn holds(&self, lost_before: Nanos) -> f64 {
        let ours = lost_before.max(self.answered_to);
        let held = self.out.iter().filter(|((sent, _, _), (_, overdue))| !overdue || *sent >= ours);
        let others = self.others.iter().filter(|(_, sent, _)| *sent >= lost_before).count();
        held.map(|(_, (size, _))| size).sum::<f64>() + others as f64
    }
}
