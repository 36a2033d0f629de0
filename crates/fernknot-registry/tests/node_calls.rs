//! A node's calls decide its state, and silence loses it.

mod common;

use assert_matches::assert_matches;
use common::{at, record, registry};
use fernknot_registry::NodeState::{Draining, Gone, Lost, Ready};
use fernknot_registry::{CallOutcome, NodeState, Registry, VersionedRecords};
use test_case::test_case;

fn state(registry: &Registry, id: &str) -> Option<NodeState> {
    registry.get(id).map(|record| record.state)
}

#[test_case(Draining, 2, Ready, 3, CallOutcome::Unchanged, Draining; "draining is never undone")]
#[test_case(Ready, 3, Draining, 4, CallOutcome::Changed, Draining; "a newer call counts")]
#[test_case(Ready, 3, Draining, 2, CallOutcome::Stale, Ready; "an older call changes nothing")]
#[test_case(Ready, 3, Ready, 3, CallOutcome::Unchanged, Ready; "a repeated call changes nothing")]
fn given_an_incarnation_when_it_sends_another_heartbeat(
    first: NodeState,
    first_sequence: u64,
    second: NodeState,
    second_sequence: u64,
    outcome: CallOutcome,
    expected: NodeState,
) {
    let mut registry = registry();
    assert_eq!(registry.record_heartbeat(at(0.0), record("a", 1, first, first_sequence)), CallOutcome::New);
    assert_eq!(registry.record_heartbeat(at(1.0), record("a", 1, second, second_sequence)), outcome);
    assert_eq!(state(&registry, "a"), Some(expected));
}

#[test]
fn given_a_deregistered_incarnation_when_a_late_heartbeat_or_another_controller_lists_it_then_it_stays_gone()
{
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), record("a", 1, Ready, 1));
    assert_eq!(registry.deregister(at(0.5), "a"), CallOutcome::Changed);
    assert_eq!(registry.deregister(at(0.6), "never-known"), CallOutcome::New);
    assert_eq!(registry.record_heartbeat(at(1.0), record("a", 1, Ready, 9)), CallOutcome::Stale);
    registry.merge_reported(at(1.0), &[record("a", 1, Ready, 10), record("never-known", 2, Ready, 10)]);
    assert_eq!(state(&registry, "a"), Some(Gone));
    assert_eq!(state(&registry, "never-known"), Some(Gone));
}

#[test]
fn given_silence_when_three_and_a_half_heartbeat_intervals_pass_then_the_incarnation_is_lost_and_a_later_heartbeat_brings_it_back()
 {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), record("a", 1, Draining, 1));
    assert_eq!(registry.expire(at(3.4)), 0);
    assert_eq!(registry.expire(at(3.6)), 1);
    assert_eq!(state(&registry, "a"), Some(Lost));
    assert_eq!(registry.record_heartbeat(at(4.0), record("a", 1, Draining, 1)), CallOutcome::Stale);
    assert_eq!(registry.record_heartbeat(at(5.0), record("a", 1, Ready, 2)), CallOutcome::Changed);
    assert_eq!(state(&registry, "a"), Some(Draining), "the announcement before the loss still counts");
}

#[test]
fn given_a_controller_that_was_stalled_when_it_resumes_then_all_incarnations_get_the_full_timeout_again() {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), record("a", 1, Ready, 1));
    registry.reset_liveness(at(20.0));
    assert_eq!(registry.expire(at(20.0)), 0);
    assert_eq!(registry.expire(at(23.4)), 0);
    assert_eq!(registry.expire(at(23.6)), 1);
}

#[test]
fn given_an_address_when_a_new_incarnation_uses_it_then_the_older_is_lost_and_a_stale_report_cannot_reclaim_it()
 {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), record("old", 1, Ready, 40));
    registry.record_heartbeat(at(2.0), record("new", 1, Ready, 0));
    assert_eq!((state(&registry, "old"), state(&registry, "new")), (Some(Lost), Some(Ready)));
    registry.merge_reported(at(2.5), &[record("old", 1, Ready, 41), record("other", 1, Ready, 41)]);
    assert_eq!((state(&registry, "old"), state(&registry, "new")), (Some(Lost), Some(Ready)));
    assert_eq!(registry.get("other"), None);
}

#[test]
fn given_incarnations_long_gone_when_forgotten_then_old_versions_need_a_snapshot() {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), record("a", 1, Ready, 1));
    registry.record_heartbeat(at(0.0), record("b", 2, Ready, 1));
    registry.deregister(at(0.0), "a");
    assert_matches!(registry.changes_since(2), Some(VersionedRecords { version: 3, records }) if records.len() == 1);
    registry.reset_liveness(at(101.0));
    registry.expire(at(101.0));
    assert_eq!(registry.changes_since(2), None);
    assert_eq!(registry.changes_since(99), None);
    assert_matches!(registry.snapshot(), VersionedRecords { version: 3, records } if records.len() == 1);
}

#[test]
fn given_a_full_registry_when_a_new_node_starts_then_a_gone_one_makes_room_and_none_that_is_up() {
    let mut registry = registry();
    for host in 0..16 {
        registry.record_heartbeat(at(0.0), record(&format!("n{host}"), host, Ready, 1));
    }
    assert_eq!(registry.record_heartbeat(at(0.0), record("late", 100, Ready, 1)), CallOutcome::Rejected);
    registry.deregister(at(0.0), "n3");
    assert_eq!(registry.record_heartbeat(at(0.0), record("late", 100, Ready, 1)), CallOutcome::New);
    assert_eq!((registry.len(), registry.get("n3")), (16, None));
}
