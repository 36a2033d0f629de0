//! Map of non-overlapping ranges to their ownership.

use crate::change::{Epoch, OwnershipChange, Source};
use crate::key_range::KeyRange;
use crate::owners::Owners;
use crate::range_state::{ApplyOutcome, RangeState};
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// Keys with the same candidates, to be requested together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Keys of the segment.
    pub range: KeyRange,
    /// Epoch of the known ownership; `None` if it is unknown.
    pub epoch: Option<Epoch>,
    /// Nodes to ask: the owners and, in [`MigrationStage::Moving`](crate::MigrationStage::Moving), the migration's
    /// targets.
    pub candidates: Owners,
}

impl Segment {
    fn unknown(first: u64, last: u64) -> Segment {
        Segment { range: KeyRange { first, last }, epoch: None, candidates: Owners::default() }
    }
}

/// Router's view of which nodes own which keys.
///
/// The ranges are in a B-tree by their first key; `docs/placement.md` compares it with a sorted list and a two-level
/// list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlacementMap {
    ranges: BTreeMap<u64, StoredRange>,
}

/// Last key and state of a range; its first key is the key in the tree.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredRange {
    last: u64,
    state: RangeState,
}

impl PlacementMap {
    /// Number of known ranges.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Whether no range is known.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Known ranges, in ascending order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (KeyRange, &RangeState)> {
        self.ranges
            .iter()
            .map(|(first, stored)| (KeyRange { first: *first, last: stored.last }, &stored.state))
    }

    /// Returns the range that contains a key, with its state.
    pub fn lookup(&self, key: u64) -> Option<(KeyRange, &RangeState)> {
        let (first, stored) = self.ranges.range(..=key).next_back()?;
        (key <= stored.last).then_some((KeyRange { first: *first, last: stored.last }, &stored.state))
    }

    /// Applies a change to those of its keys whose ownership is unknown or overridden by it; the doc comment of
    /// `RangeState::update` has the precedence.
    pub fn apply(&mut self, now: Nanos, change: &OwnershipChange, source: Source) -> ApplyOutcome {
        let range = change.range;
        self.split_at(range.first);
        if let Some(after) = range.last.checked_add(1) {
            self.split_at(after);
        }
        let reported = RangeState::from_change(change, source, now);
        let mut outcome = ApplyOutcome::default();
        let mut next_key = Some(range.first);
        for known in self.overlapping(range) {
            if let Some(first) = next_key.filter(|first| *first < known.first) {
                self.insert(first, known.first - 1, &reported);
                outcome.changed += 1;
            }
            next_key = known.last.checked_add(1);
            if let Some(stored) = self.ranges.get_mut(&known.first) {
                outcome += stored.state.update(&reported);
            }
        }
        if let Some(first) = next_key.filter(|first| *first <= range.last) {
            self.insert(first, range.last, &reported);
            outcome.changed += 1;
        }
        self.merge_equal_neighbours(range);
        outcome
    }

    /// Applies the ownership that a node reports when it redirects a part, including its own.
    pub fn apply_redirect(&mut self, now: Nanos, changes: &[OwnershipChange]) -> ApplyOutcome {
        let mut total = ApplyOutcome::default();
        for change in changes {
            total += self.apply(now, change, Source::Owner);
        }
        total
    }

    /// Returns the candidates for the keys of a range, in the order of the keys. Keys of unknown ownership form
    /// segments, too.
    pub fn segments(&self, range: KeyRange) -> Vec<Segment> {
        let mut segments = Vec::new();
        let mut next_key = Some(range.first);
        for known in self.overlapping(range) {
            let (Some(both), Some(stored)) = (known.intersection(&range), self.ranges.get(&known.first))
            else {
                continue;
            };
            if let Some(first) = next_key.filter(|first| *first < both.first) {
                segments.push(Segment::unknown(first, both.first - 1));
            }
            let (epoch, candidates) = (Some(stored.state.epoch), stored.state.candidates());
            segments.push(Segment { range: both, epoch, candidates });
            next_key = both.last.checked_add(1);
        }
        if let Some(first) = next_key.filter(|first| *first <= range.last) {
            segments.push(Segment::unknown(first, range.last));
        }
        segments
    }

    /// Time since the last report on those keys of the range whose last report is the oldest; `None` if the ownership
    /// of some key is unknown.
    pub fn age(&self, now: Nanos, range: KeyRange) -> Option<Nanos> {
        let is_known = self.segments(range).iter().all(|segment| segment.epoch.is_some());
        let overlapping = self.overlapping(range);
        let stored = overlapping.iter().filter_map(|known| self.ranges.get(&known.first));
        let oldest = stored.map(|stored| stored.state.last_reported).min();
        oldest.filter(|_| is_known).map(|last_reported| now - last_reported)
    }

    /// Known ranges that share keys with this one, not clipped to it.
    fn overlapping(&self, range: KeyRange) -> Vec<KeyRange> {
        let before = self.lookup(range.first).map(|(known, _)| known.first);
        let from = before.unwrap_or(range.first);
        let known = self.ranges.range(from..=range.last);
        known.map(|(first, stored)| KeyRange { first: *first, last: stored.last }).collect()
    }

    fn insert(&mut self, first: u64, last: u64, state: &RangeState) {
        self.ranges.insert(first, StoredRange { last, state: state.clone() });
    }

    /// Splits the range that contains this key, so that a range begins at the key.
    fn split_at(&mut self, first: u64) {
        let Some((known, _)) = self.lookup(first).filter(|(known, _)| known.first < first) else { return };
        if let Some(left) = self.ranges.get_mut(&known.first) {
            let right = left.clone();
            left.last = first - 1;
            self.ranges.insert(first, right);
        }
    }

    /// Merges adjacent ranges with equal states in and next to this range, so that changes do not fragment the map
    /// without bound.
    fn merge_equal_neighbours(&mut self, range: KeyRange) {
        let before =
            range.first.checked_sub(1).and_then(|key| self.lookup(key)).map(|(known, _)| known.first);
        let from = before.unwrap_or(range.first);
        let nearby = self.ranges.range(from..=range.last.saturating_add(1));
        let first_keys: Vec<u64> = nearby.map(|(first, _)| *first).collect();
        let mut left = None;
        for first in first_keys {
            match left.filter(|left| self.is_mergeable(*left, first)) {
                Some(left) => self.merge(left, first),
                None => left = Some(first),
            }
        }
    }

    /// Whether two ranges are adjacent and have equal states.
    fn is_mergeable(&self, left: u64, right: u64) -> bool {
        match (self.ranges.get(&left), self.ranges.get(&right)) {
            (Some(one), Some(other)) => one.last.checked_add(1) == Some(right) && one.state == other.state,
            _ => false,
        }
    }

    fn merge(&mut self, left: u64, right: u64) {
        if let (Some(right_range), Some(left_range)) =
            (self.ranges.remove(&right), self.ranges.get_mut(&left))
        {
            left_range.last = right_range.last;
        }
    }
}
