//! Measurements shared by the replicas of places whose work is alike.

use super::histogram::Histogram;
use super::statistics::{FailureRate, RunningMean};
use crate::interface::PlaceId;
use std::collections::{BTreeMap, BTreeSet};

/// What the replicas of some places showed together.
#[derive(Clone, Default)]
pub struct Group {
    /// Over sizes, misses among them, and as they were.
    pub latencies: Histogram,
    /// Latencies in nanoseconds, not divided by sizes.
    pub raw_latencies: Histogram,
    /// Attempts that failed, of all.
    pub failures: FailureRate,
    /// Time for each size of work in the queue.
    pub pace: RunningMean,
}

/// Places by the group whose work is alike; those that nobody put in one share the first.
#[derive(Default)]
pub struct Groups {
    blank: Group,
    of: BTreeMap<u32, Group>,
    by_place: BTreeMap<PlaceId, u32>,
}

impl Groups {
    /// No group yet; all histograms have these bins.
    pub fn new(bins: &Histogram) -> Groups {
        let blank = Group { latencies: bins.clone(), raw_latencies: bins.clone(), ..Group::default() };
        Groups { blank, ..Groups::default() }
    }

    /// Puts a place in a group.
    pub fn put(&mut self, place: PlaceId, group: u32) {
        self.by_place.insert(place, group);
    }

    fn number(&self, place: PlaceId) -> u32 {
        self.by_place.get(&place).copied().unwrap_or(0)
    }

    /// The group of a place.
    pub fn get(&self, place: PlaceId) -> &Group {
        self.of.get(&self.number(place)).unwrap_or(&self.blank)
    }

    /// The group of a place, made if it has none yet.
    pub fn get_mut(&mut self, place: PlaceId) -> &mut Group {
        let blank = &self.blank;
        self.of.entry(self.number(place)).or_insert_with(|| blank.clone())
    }

    /// Ages what is measured.
    pub fn halve(&mut self) {
        for group in self.of.values_mut() {
            group.latencies.halve();
            group.raw_latencies.halve();
            group.failures.halve();
        }
    }

    /// Forgets places, and groups that are left without any.
    pub fn keep(&mut self, keeps: impl Fn(&PlaceId) -> bool) {
        self.by_place.retain(|place, _| keeps(place));
        let named: BTreeSet<u32> = self.by_place.values().copied().chain([0]).collect();
        self.of.retain(|group, _| named.contains(group));
    }
}
