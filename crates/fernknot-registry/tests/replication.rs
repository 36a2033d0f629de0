//! Controllers and gateways that exchange records converge.

mod common;

use common::{HEARTBEAT_INTERVAL, after_intervals, record, registry};
use fernknot_registry::NodeState::{Draining, Gone, Lost, Ready};
use fernknot_registry::{
    CallOutcome, NodeDirectory, NodeDirectoryLimits, NodeRecord, NodeState, Registry, VersionedRecords,
    incarnation_hash,
};
use proptest::prelude::*;

fn state(registry: &Registry, id: &str) -> Option<NodeState> {
    registry.get(id).map(|record| record.state)
}

fn any_record() -> impl Strategy<Value = NodeRecord> {
    let state = prop::sample::select(vec![Ready, Draining, Lost, Gone]);
    // Records of an incarnation differ only in state and sequence.
    (0..4u8, state, 0..6u64)
        .prop_map(|(number, state, sequence)| record(&format!("n{number}"), number, state, sequence))
}

#[test]
fn given_heartbeats_at_another_controller_when_reported_then_nodes_stay_up_and_unknown_ones_are_requested() {
    let (mut here, mut there) = (registry(), registry());
    there.record_heartbeat(after_intervals(0.0), record("a", 1, Ready, 1));
    let unknown =
        here.record_peer_heartbeats(after_intervals(0.0), &there.take_unreported(after_intervals(0.0)));
    assert_eq!(unknown, vec![incarnation_hash("a")]);
    here.merge_reported(after_intervals(0.0), &there.records_of(&unknown));
    for round in 1..20 {
        let now = after_intervals(round as f64);
        assert_eq!(there.record_heartbeat(now, record("a", 1, Ready, 1 + round)), CallOutcome::Unchanged);
        assert!(here.record_peer_heartbeats(now, &there.take_unreported(now)).is_empty());
        here.expire(now);
        assert_eq!(state(&here, "a"), Some(Ready));
    }
    assert_eq!(here.version(), 1, "heartbeats alone do not change the version");
}

#[test]
fn given_a_partitioned_controller_when_it_reports_a_live_node_as_lost_then_the_other_controller_corrects_it()
{
    let (mut partitioned, mut healthy) = (registry(), registry());
    for registry in [&mut partitioned, &mut healthy] {
        registry.record_heartbeat(after_intervals(0.0), record("a", 1, Ready, 1));
    }
    healthy.record_heartbeat(after_intervals(4.0), record("a", 1, Ready, 5));
    partitioned.expire(after_intervals(4.0));
    assert_eq!(state(&partitioned, "a"), Some(Lost));
    let known = healthy.version();
    healthy.merge_reported(after_intervals(4.0), &partitioned.snapshot().records);
    assert_eq!(state(&healthy, "a"), Some(Ready));
    let changes = healthy.changes_since(known).unwrap().records;
    partitioned.merge_reported(after_intervals(4.0), &changes);
    assert_eq!(state(&partitioned, "a"), Some(Ready));
}

#[test]
fn given_a_dead_node_when_two_controllers_keep_reporting_it_to_each_other_then_it_still_expires() {
    let (mut one, mut two) = (registry(), registry());
    one.record_heartbeat(after_intervals(0.0), record("a", 1, Ready, 1));
    for tenth_of_interval in 0..100 {
        let now = after_intervals(tenth_of_interval as f64 / 10.0);
        two.merge_reported(now, &one.snapshot().records);
        one.merge_reported(now, &two.snapshot().records);
        one.expire(now);
        two.expire(now);
    }
    assert_eq!((state(&one, "a"), state(&two, "a")), (Some(Lost), Some(Lost)));
}

#[test]
fn given_a_restarted_controller_when_its_snapshot_omits_a_node_then_it_is_removed_only_after_healthy_time() {
    let mut directory = NodeDirectory::new(HEARTBEAT_INTERVAL, NodeDirectoryLimits::default());
    directory.apply_snapshot(
        after_intervals(0.0),
        None,
        &[record("a", 1, Ready, 1), record("b", 2, Ready, 1)],
    );
    directory.apply_snapshot(after_intervals(1.0), None, &[record("a", 1, Ready, 2)]);
    directory.expire(after_intervals(60.0));
    assert_eq!(directory.ready_nodes("gallery").count(), 2, "no source was healthy in between");
    for heartbeat in 60..80 {
        directory.record_source_heartbeat(after_intervals(heartbeat as f64));
        directory.expire(after_intervals(heartbeat as f64));
    }
    assert_eq!(directory.ready_nodes("gallery").map(|record| record.id.as_str()).collect::<Vec<_>>(), ["a"]);
    directory.apply_updates(after_intervals(80.0), &[record("b", 2, Ready, 70)]);
    assert_eq!(directory.ready_nodes("gallery").count(), 2);
}

// A source that has missed the announcement would otherwise make the node ready again.
#[test]
fn given_a_draining_node_when_sources_omit_it_for_long_then_an_older_record_does_not_make_it_ready() {
    let mut directory = NodeDirectory::new(HEARTBEAT_INTERVAL, NodeDirectoryLimits::default());
    directory.apply_updates(after_intervals(0.0), &[record("a", 1, NodeState::Draining, 2)]);
    directory.apply_snapshot(after_intervals(1.0), None, &[]);
    for interval in 1..20 {
        directory.record_source_heartbeat(after_intervals(f64::from(interval)));
    }
    assert_eq!(directory.expire(after_intervals(20.0)), 1);
    directory.apply_updates(after_intervals(21.0), &[record("a", 1, NodeState::Ready, 1)]);
    assert_eq!(directory.ready_nodes("gallery").count(), 0);
}

proptest! {
    #[test]
    fn records_merged_in_any_order_give_the_same_result(
        records in prop::collection::vec(any_record(), 0..24),
        rotation in any::<prop::sample::Index>(),
    ) {
        let merge_all = |records: &[NodeRecord]| {
            let mut merged = std::collections::BTreeMap::<String, NodeRecord>::new();
            for record in records {
                merged.entry(record.id.clone()).and_modify(|known| { known.merge(record); }).or_insert(record.clone());
            }
            // A plain record may lose an announcement to drain, depending on the order of a loss; whether the node is
            // gone may not depend on it.
            merged.into_values().map(|record| (record.id.clone(), record.sequence, record.state == Gone)).collect::<Vec<_>>()
        };
        let mut reordered = records.clone();
        if !reordered.is_empty() {
            let offset = rotation.index(reordered.len());
            reordered.rotate_left(offset);
            reordered.reverse();
        }
        prop_assert_eq!(merge_all(&records), merge_all(&reordered));
    }

    #[test]
    fn an_incarnation_that_announced_draining_is_never_ready_again(
        calls in prop::collection::vec((any_record(), 0..4u8, 0..3u64), 1..60),
    ) {
        let mut registry = registry();
        let mut directory = NodeDirectory::new(HEARTBEAT_INTERVAL, NodeDirectoryLimits::default());
        let mut draining = std::collections::BTreeSet::new();
        let (mut now, mut known_version) = (0, 0);
        for (record, call, elapsed) in calls {
            now += elapsed;
            let now = after_intervals(now as f64);
            let known = registry.get(&record.id).map(|known| known.sequence);
            match call {
                0 => { registry.record_heartbeat(now, record.clone()); }
                1 => { registry.merge_reported(now, std::slice::from_ref(&record)); }
                2 => { registry.deregister(now, &record.id); }
                _ => { registry.expire(now); }
            }
            if call == 2 || (call < 2 && record.state == Draining && known.is_none_or(|known| record.sequence > known)) {
                draining.insert(record.id.clone());
            }
            let VersionedRecords { version, records: changed } =
                registry.changes_since(known_version).unwrap_or_else(|| registry.snapshot());
            prop_assert!(version >= known_version);
            known_version = version;
            directory.apply_updates(now, &changed);
            for id in &draining {
                prop_assert!(!registry.get(id).is_some_and(NodeRecord::is_ready), "{id} in the registry");
                prop_assert!(!directory.get(id).is_some_and(NodeRecord::is_ready), "{id} in the directory");
            }
            // The applied changes are equivalent to the snapshot.
            for record in registry.snapshot().records {
                prop_assert_eq!(directory.get(&record.id).map(NodeRecord::is_ready), Some(record.is_ready()));
            }
        }
    }

    #[test]
    fn decoding_arbitrary_bytes_as_records_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = bitcode::decode::<Vec<NodeRecord>>(&bytes);
    }
}
