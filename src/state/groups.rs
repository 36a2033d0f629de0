//! Statistics shared by the replicas of places with similar work.

use super::histogram::Histogram;
use super::statistics::{FailureRate, RunningMean};
use crate::interface::PlaceId;
use std::collections::{BTreeMap, BTreeSet};

/// Statistics over all replicas of a group of places.
#[derive(Clone, Default)]
pub struct Group {
    /// Latencies in nanoseconds divided by the size of the part, misses included.
    pub latencies: Histogram,
    /// Latencies in nanoseconds.
    pub raw_latencies: Histogram,
    /// Failure rate of attempts.
    pub failures: FailureRate,
    /// Nanoseconds per unit of work in flight at a replica.
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

    /// Halves the weight of all past measurements.
    pub fn halve(&mut self) {
        for group in self.by_number.values_mut() {
            group.latencies.halve();
            group.raw_latencies.halve();
            group.failures.halve();
        }
    }

    /// Keeps only the assignments of matching places, and drops groups without a place.
    pub fn retain(&mut self, is_kept: impl Fn(&PlaceId) -> bool) {
        self.by_place.retain(|place, _| is_kept(place));
        let assigned: BTreeSet<u32> = self.by_place.values().copied().chain([0]).collect();
        self.by_number.retain(|group, _| assigned.contains(group));
    }
}
