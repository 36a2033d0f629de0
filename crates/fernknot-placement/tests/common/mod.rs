//! Constructors of ranges and changes, and random changes.

#![allow(dead_code, reason = "each test binary uses some of it")]

use fernknot::interface::{Nanos, NodeId};
use fernknot_placement::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// Upper bound (exclusive) of the keys in random changes.
pub const KEY_COUNT: u64 = 48;

pub fn range(first: u64, last: u64) -> KeyRange {
    KeyRange { first, last }
}

pub fn nodes(list: &[u32]) -> Owners {
    Owners::new(list.iter().map(|node| NodeId(*node)))
}

pub fn change(first: u64, last: u64, epoch: u64, owners: &[u32]) -> OwnershipChange {
    OwnershipChange { range: range(first, last), epoch: Epoch(epoch), owners: nodes(owners), migration: None }
}

/// Adds a migration to `targets` to a change.
pub fn migrating(change: OwnershipChange, targets: &[u32], stage: MigrationStage) -> OwnershipChange {
    OwnershipChange { migration: Some(Migration { targets: nodes(targets), stage }), ..change }
}

pub fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn any_change() -> impl Strategy<Value = OwnershipChange> {
    let owners = prop::sample::subsequence(vec![1u32, 2, 3, 4], 0..3);
    (0..KEY_COUNT, 0..KEY_COUNT, 0u64..40, owners)
        .prop_map(|(one, other, epoch, owners)| change(one.min(other), one.max(other), epoch, &owners))
}

/// Returns a map after changes from an endpoint list.
pub fn map_of(changes: &[OwnershipChange]) -> PlacementMap {
    let mut map = PlacementMap::default();
    for change in changes {
        map.apply(Nanos(1), change, Source::EndpointList);
    }
    map
}

/// Returns epoch and owners of each key.
pub fn by_key(map: &PlacementMap) -> BTreeMap<u64, (Epoch, Owners)> {
    let known = (0..KEY_COUNT).filter_map(|key| map.lookup(key).map(|(_, state)| (key, state)));
    known.map(|(key, state)| (key, (state.epoch, state.owners.clone()))).collect()
}
