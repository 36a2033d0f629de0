//! Statistics shared by the replicas of places with similar work. The size of a part is its expected work relative to
//! the mean part; work is counted in these sizes.

use super::histogram::Histogram;
use super::statistics::{FailureRate, RunningMean};
use crate::interface::PlaceId;
use std::collections::{BTreeMap, BTreeSet};

/// Statistics over all replicas of a group of places.
#[derive(Clone, Default)]
pub struct Group {
    /// Latencies of answers in nanoseconds, divided by the size of their part. Overdue attempts count as misses.
    pub latencies: Histogram,
    /// Latencies of answers in nanoseconds, not divided by a size.
    pub raw_latencies: Histogram,
    /// Failure rate of the attempts of this router, without those that it cancelled or that were never sent.
    pub failures: FailureRate,
    /// Latency of an answer in nanoseconds per unit of work that was in flight at the replica when the attempt was
    /// sent.
    pub time_per_work: RunningMean,
}

/// Groups of places with similar work; places without a group are in group 0.
#[derive(Default)]
pub struct Groups {
    empty: Group,
    by_number: BTreeMap<u32, Group>,
    by_place: BTreeMap<PlaceId, u32>,
}

impl Groups {
    /// Creates an empty set of groups whose histograms have these bins.
    pub fn new(bins: &Histogram) -> Groups {
        let empty = Group { latencies: bins.clone(), raw_latencies: bins.clone(), ..Group::default() };
        Groups { empty, ..Groups::default() }
    }

    /// Assigns a place to a group.
    pub fn assign(&mut self, place: PlaceId, group: u32) {
        self.by_place.insert(place, group);
    }

    fn number(&self, place: PlaceId) -> u32 {
        self.by_place.get(&place).copied().unwrap_or(0)
    }

    /// Returns the group of a place.
    pub fn get(&self, place: PlaceId) -> &Group {
        self.by_number.get(&self.number(place)).unwrap_or(&self.empty)
    }

    /// Returns the group of a place, and creates it if needed.
    pub fn get_mut(&mut self, place: PlaceId) -> &mut Group {
        let empty = &self.empty;
        self.by_number.entry(self.number(place)).or_insert_with(|| empty.clone())
    }

    /// Halves the weight of past latencies and failures.
    pub fn halve(&mut self) {
        for group in self.by_number.values_mut() {
            group.latencies.halve();
            group.raw_latencies.halve();
            group.failures.halve();
        }
    }

    /// Keeps only the assignments of matching places, and drops groups without a place except group 0.
    pub fn retain(&mut self, is_kept: impl Fn(&PlaceId) -> bool) {
        self.by_place.retain(|place, _| is_kept(place));
        let assigned: BTreeSet<u32> = self.by_place.values().copied().chain([0]).collect();
        self.by_number.retain(|group, _| assigned.contains(group));
    }
}
