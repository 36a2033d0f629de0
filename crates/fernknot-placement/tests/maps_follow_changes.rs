//! Comparison of the map with a per-key reference for any order of changes, precedence of sources, and migrations.

mod common;

use common::{any_change, by_key, change, config, map_of, migrating, nodes, range};
use fernknot::interface::{Nanos, NodeId};
use fernknot_placement::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn is_well_formed(map: &PlacementMap) -> bool {
    let ranges: Vec<KeyRange> = map.iter().map(|(range, _)| range).collect();
    ranges.iter().all(|range| range.first <= range.last)
        && ranges.windows(2).all(|pair| pair[0].last < pair[1].first)
}

proptest! {
    #![proptest_config(config(500))]

    /// Compares the map with a per-key reference after arbitrary changes.
    #[test]
    fn the_map_agrees_with_a_per_key_reference(changes in prop::collection::vec(any_change(), 1..60)) {
        let mut map = PlacementMap::default();
        let mut reference: BTreeMap<u64, (Epoch, Owners)> = BTreeMap::new();
        for change in &changes {
            map.apply(Nanos(1), change, Source::EndpointList);
            for key in change.range.first..=change.range.last {
                if reference.get(&key).is_none_or(|(epoch, _)| *epoch < change.epoch) {
                    reference.insert(key, (change.epoch, change.owners.clone()));
                }
            }
            prop_assert!(is_well_formed(&map));
        }
        prop_assert_eq!(by_key(&map), reference);
    }

    /// With distinct epochs, changes in any order must lead to the same map.
    #[test]
    fn any_order_of_changes_ends_in_the_same_map(
        mut changes in prop::collection::vec(any_change(), 1..30),
        sort_keys in prop::collection::vec(any::<u32>(), 30),
    ) {
        for (index, change) in changes.iter_mut().enumerate() {
            change.epoch = Epoch(index as u64);
        }
        let in_order = by_key(&map_of(&changes));
        let mut shuffled: Vec<(u32, OwnershipChange)> = sort_keys.into_iter().zip(changes).collect();
        shuffled.sort_by_key(|(sort_key, _)| *sort_key);
        let changes: Vec<OwnershipChange> = shuffled.into_iter().map(|(_, change)| change).collect();
        prop_assert_eq!(by_key(&map_of(&changes)), in_order);
    }

    /// The segments of a range must cover each of its keys once, whatever the map contains.
    #[test]
    fn segments_cover_a_range_exactly_once(
        changes in prop::collection::vec(any_change(), 0..30),
        one in 0..common::KEY_COUNT,
        other in 0..common::KEY_COUNT,
    ) {
        let map = map_of(&changes);
        let requested = range(one.min(other), one.max(other));
        let segments: Vec<KeyRange> = map.segments(requested).iter().map(|segment| segment.range).collect();
        prop_assert_eq!(check_coverage(&[requested], &segments), Coverage::Exact);
        let shares: f64 = segments.iter().map(|segment| requested.overlap_share(segment)).sum();
        prop_assert!((shares - 1.0).abs() < 1e-9);
    }
}

#[test]
fn a_moving_range_has_old_owners_and_targets_as_candidates() {
    let mut map = PlacementMap::default();
    let candidates = |map: &PlacementMap| map.segments(range(0, 9))[0].candidates.clone();
    let at_stage = |stage| migrating(change(0, 9, 4, &[1]), &[2], stage);
    for (stage, expected) in
        [(MigrationStage::Prepared, nodes(&[1])), (MigrationStage::Moving, nodes(&[1, 2]))]
    {
        map.apply(Nanos(1), &at_stage(stage), Source::EndpointList);
        assert_eq!(candidates(&map), expected);
        let (_, state) = map.lookup(3).unwrap();
        assert!(state.is_new_to(NodeId(2)) && !state.is_new_to(NodeId(1)));
    }
    // A late report of an earlier stage has no effect; an aborted migration keeps the old owners.
    map.apply(Nanos(2), &at_stage(MigrationStage::Prepared), Source::EndpointList);
    assert_eq!(candidates(&map), nodes(&[1, 2]));
    map.apply(Nanos(3), &at_stage(MigrationStage::Aborted), Source::EndpointList);
    assert_eq!(candidates(&map), nodes(&[1]));
    assert!(!map.lookup(3).unwrap().1.is_new_to(NodeId(2)));
    let done = migrating(change(0, 9, 5, &[2]), &[2], MigrationStage::Done);
    map.apply(Nanos(4), &done, Source::EndpointList);
    assert_eq!(candidates(&map), nodes(&[2]));
}

#[test]
fn adjacent_ranges_may_differ_in_having_an_owner() {
    let mut map = PlacementMap::default();
    map.apply(Nanos(1), &change(0, 4, 3, &[1]), Source::EndpointList);
    map.apply(Nanos(1), &change(0, 4, 4, &[2]), Source::Owner);
    map.apply(Nanos(1), &change(5, 9, 4, &[]), Source::Owner);
    let segments = map.segments(range(0, 9));
    let first = (segments[0].epoch, &segments[0].candidates);
    assert_eq!(first, (Some(Epoch(4)), &nodes(&[2])), "only the owner of the higher epoch");
    assert!(segments[1].candidates.is_empty());
    assert_eq!(PartRoute::new(range(0, 9), 3).first_hop(&map), NextHop::NoOwner);
    let target = ForwardTarget { range: range(0, 4), nodes: vec![NodeId(2)] };
    assert_eq!(PartRoute::new(range(0, 4), 3).first_hop(&map), NextHop::Forward(vec![target]));
}

#[test]
fn a_thousand_changes_with_distinct_owners_keep_a_thousand_ranges() {
    let of_index = |index: u64| change(index * 10, index * 10 + 9, 1, &[(index % 7) as u32]);
    let changes: Vec<OwnershipChange> = (0..1000).map(of_index).collect();
    let mut map = map_of(&changes);
    assert_eq!(map.len(), 1000);
    // With the same owner for all keys, the ranges merge again.
    map.apply(Nanos(2), &change(0, 9999, 2, &[1]), Source::EndpointList);
    assert_eq!(map.len(), 1);
    assert_eq!(map.age(Nanos(10), range(0, 9999)), Some(Nanos(8)));
    assert_eq!(map.age(Nanos(10), range(0, 10_000)), None, "the owner of one key is unknown");
}
