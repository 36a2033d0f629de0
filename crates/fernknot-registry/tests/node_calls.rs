//! The state of a node follows from its calls, and from missing heartbeats.

mod common;

use assert_matches::assert_matches;
use common::{after_intervals, record, registry};
use fernknot_registry::NodeState::{Draining, Gone, Lost, Ready};
use fernknot_registry::{CallOutcome, NodeState, Registry, VersionedRecords};
use test_case::test_case;

fn state(registry: &Registry, id: &str) -> Option<NodeState> {
    registry.get(id).map(|record| record.state)
}

#[test_case(Draining, 2, Ready, 3, CallOutcome::Unchanged, Draining; "draining is never undone")]
#[test_case(Ready, 3, Draining, 4, CallOutcome::Changed, Draining; "a newer call is applied")]
#[test_case(Ready, 3, Draining, 2, CallOutcome::Stale, Ready; "an older call changes nothing")]
#[test_case(Ready, 3, Ready, 3, CallOutcome::Unchanged, Ready; "a repeated call changes nothing")]
fn given_a_known_incarnation_when_it_sends_another_heartbeat_then_its_state_is_merged(
    first: NodeState,
    first_sequence: u64,
    second: NodeState,
    second_sequence: u64,
    outcome: CallOutcome,
    expected: NodeState,
) {
    let mut registry = registry();
    assert_eq!(
        registry.record_heartbeat(after_intervals(0.0), record("a", 1, first, first_sequence)),
        CallOutcome::New
    );
    assert_eq!(
        registry.record_heartbeat(after_intervals(1.0), record("a", 1, second, second_sequence)),
        outcome
    );
    assert_eq!(state(&registry, "a"), Some(expected));
}

#[test]
fn given_a_deregistered_incarnation_when_a_late_heartbeat_or_another_controller_lists_it_then_it_stays_gone()
{
    let mut registry = registry();
    registry.record_heartbeat(after_intervals(0.0), record("a", 1, Ready, 1));
    assert_eq!(registry.deregister(after_intervals(0.5), "a"), CallOutcome::Changed);
    assert_eq!(registry.deregister(after_intervals(0.6), "never-known"), CallOutcome::New);
    assert_eq!(registry.record_heartbeat(after_intervals(1.0), record("a", 1, Ready, 9)), CallOutcome::Stale);
    registry.merge_reported(
        after_intervals(1.0),
        &[record("a", 1, Ready, 10), record("never-known", 2, Ready, 10)],
    );
    assert_eq!(state(&registry, "a"), Some(Gone));
    assert_eq!(state(&registry, "never-known"), Some(Gone));
}

#[test]
fn given_a_known_incarnation_when_heartbeats_stop_for_3_5_intervals_then_it_is_lost_until_a_later_heartbeat()
{
    let mut registry = registry();
    registry.record_heartbeat(after_intervals(0.0), record("a", 1, Draining, 1));
    assert_eq!(registry.expire(after_intervals(3.4)), 0);
    assert_eq!(registry.expire(after_intervals(3.6)), 1);
    assert_eq!(state(&registry, "a"), Some(Lost));
    assert_eq!(
        registry.record_heartbeat(after_intervals(4.0), record("a", 1, Draining, 1)),
        CallOutcome::Stale
    );
    assert_eq!(
        registry.record_heartbeat(after_intervals(5.0), record("a", 1, Ready, 2)),
        CallOutcome::Changed
    );
    assert_eq!(state(&registry, "a"), Some(Draining), "the drain announced before the loss stays in effect");
}

#[test]
fn given_a_stalled_controller_when_it_resumes_then_the_liveness_timeout_of_all_incarnations_restarts() {
    let mut registry = registry();
    registry.record_heartbeat(after_intervals(0.0), record("a", 1, Ready, 1));
    registry.reset_liveness(after_intervals(20.0));
    assert_eq!(registry.expire(after_intervals(20.0)), 0);
    assert_eq!(registry.expire(after_intervals(23.4)), 0);
    assert_eq!(registry.expire(after_intervals(23.6)), 1);
}

#[test]
fn given_an_address_in_use_when_a_new_incarnation_claims_it_then_no_stale_report_restores_the_older_one() {
    let mut registry = registry();
    registry.record_heartbeat(after_intervals(0.0), record("old", 1, Ready, 40));
    registry.record_heartbeat(after_intervals(2.0), record("new", 1, Ready, 0));
    assert_eq!((state(&registry, "old"), state(&registry, "new")), (Some(Lost), Some(Ready)));
    registry
        .merge_reported(after_intervals(2.5), &[record("old", 1, Ready, 41), record("other", 1, Ready, 41)]);
    assert_eq!((state(&registry, "old"), state(&registry, "new")), (Some(Lost), Some(Ready)));
    assert_eq!(registry.get("other"), None);
}

#[test]
fn given_a_gone_incarnation_when_its_retention_ends_then_changes_since_older_versions_need_a_snapshot() {
    let mut registry = registry();
    registry.record_heartbeat(after_intervals(0.0), record("a", 1, Ready, 1));
    registry.record_heartbeat(after_intervals(0.0), record("b", 2, Ready, 1));
    registry.deregister(after_intervals(0.0), "a");
    assert_matches!(registry.changes_since(2), Some(VersionedRecords { version: 3, records }) if records.len() == 1);
    registry.reset_liveness(after_intervals(101.0));
    registry.expire(after_intervals(101.0));
    assert_eq!(registry.changes_since(2), None);
    assert_eq!(registry.changes_since(99), None);
    assert_matches!(registry.snapshot(), VersionedRecords { version: 3, records } if records.len() == 1);
}

#[test]
fn given_a_full_registry_when_a_new_node_starts_then_it_replaces_a_gone_one_and_none_that_is_up() {
    let mut registry = registry();
    for host in 0..16 {
        registry.record_heartbeat(after_intervals(0.0), record(&format!("n{host}"), host, Ready, 1));
    }
    assert_eq!(
        registry.record_heartbeat(after_intervals(0.0), record("late", 100, Ready, 1)),
        CallOutcome::Rejected
    );
    registry.deregister(after_intervals(0.0), "n3");
    assert_eq!(
        registry.record_heartbeat(after_intervals(0.0), record("late", 100, Ready, 1)),
        CallOutcome::New
    );
    assert_eq!((registry.len(), registry.get("n3")), (16, None));
}
