//! Linearizability check on histories with a known verdict.

use fernknot_simulator::linearizability::{
    Call, Completion, Operation, OperationResult, Verdict, Version, check_linearizability,
};
use test_case::test_case;

fn version(epoch: u64) -> Version {
    Version { epoch, body: epoch }
}

fn replace(base: u64, epoch: u64, invoked_at: u64, completion: Option<Completion>) -> Call {
    Call { operation: Operation::Replace { base, new: version(epoch) }, invoked_at, completion }
}

fn read(epoch: u64, invoked_at: u64, at: u64) -> Call {
    let found = (epoch > 0).then(|| version(epoch));
    Call {
        operation: Operation::Read,
        invoked_at,
        completion: Some(Completion { at, result: OperationResult::Value(found) }),
    }
}

fn committed(at: u64) -> Option<Completion> {
    Some(Completion { at, result: OperationResult::Committed })
}

fn rejected(at: u64) -> Option<Completion> {
    Some(Completion { at, result: OperationResult::Rejected })
}

#[test_case(vec![replace(0, 1, 1, committed(2)), read(1, 3, 4), replace(1, 2, 5, committed(6)), read(2, 7, 8)]; "sequential calls")]
#[test_case(vec![replace(0, 1, 1, committed(4)), read(0, 2, 3), read(1, 5, 6)]; "read of the old version during a change")]
#[test_case(vec![replace(0, 1, 1, committed(9)), replace(0, 2, 2, rejected(8))]; "two changes of one version with one rejected")]
#[test_case(vec![replace(0, 1, 1, None), read(0, 2, 3), read(1, 4, 5)]; "unclear change committed later")]
#[test_case(vec![replace(0, 1, 1, None), replace(0, 2, 2, committed(3)), read(2, 4, 5)]; "unclear change never committed")]
#[test_case(vec![replace(0, 1, 1, None), replace(0, 2, 2, rejected(3))]; "rejection explained by an unclear change")]
fn given_a_linearizable_history_when_it_is_checked_then_it_is_accepted(calls: Vec<Call>) {
    assert_eq!(check_linearizability(&calls), Verdict::Linearizable);
}

#[test_case(vec![replace(0, 1, 1, committed(2)), read(0, 3, 4)]; "read of a replaced version")]
#[test_case(vec![replace(0, 1, 1, committed(9)), read(1, 2, 3), read(0, 4, 5)]; "read that reverts to an older version")]
#[test_case(vec![replace(0, 1, 1, committed(4)), replace(0, 2, 2, committed(3))]; "two changes of one version committed")]
#[test_case(vec![replace(0, 1, 1, committed(2)), replace(1, 2, 3, rejected(4))]; "valid change rejected")]
#[test_case(vec![replace(0, 1, 1, rejected(2))]; "first change rejected")]
#[test_case(vec![replace(0, 1, 1, committed(2)), replace(1, 1, 3, committed(4))]; "epoch not above its base")]
#[test_case(vec![replace(0, 1, 1, rejected(9)), read(1, 2, 3)]; "rejected change read")]
#[test_case(vec![replace(0, 1, 1, None), replace(0, 2, 2, committed(3)), read(1, 4, 5)]; "unclear change read after another change of its base")]
fn given_a_history_that_is_not_linearizable_when_it_is_checked_then_it_is_rejected(calls: Vec<Call>) {
    assert!(matches!(check_linearizability(&calls), Verdict::NotLinearizable { .. }), "{calls:?}");
}

#[test]
fn given_eight_concurrent_changes_when_one_is_committed_then_the_search_finds_an_order() {
    let changes = (1..=8)
        .map(|epoch| replace(0, epoch, epoch, if epoch == 5 { committed(100) } else { rejected(100) }));
    let reads = (0..8).map(|at| read(if at < 4 { 0 } else { 5 }, 10 + at, 90 + at));
    let calls: Vec<Call> = changes.chain(reads).collect();
    assert_eq!(check_linearizability(&calls), Verdict::Linearizable);
}

#[test]
fn given_eight_concurrent_changes_when_all_are_rejected_then_the_history_is_rejected() {
    let calls: Vec<Call> = (1..=8).map(|epoch| replace(0, epoch, epoch, rejected(100))).collect();
    assert!(matches!(check_linearizability(&calls), Verdict::NotLinearizable { .. }));
}

#[test]
fn given_forty_overlapping_rejections_when_their_base_was_replaced_then_a_verdict_is_reached() {
    let changes = (1..=40).map(|at| replace(7, 8 + at % 3, at, rejected(1000 + at)));
    let chain = [replace(0, 7, 0, committed(500)), replace(7, 11, 2, committed(600)), read(11, 601, 2000)];
    let calls: Vec<Call> = changes.chain(chain).collect();
    assert_eq!(check_linearizability(&calls), Verdict::Linearizable);
    // Adds a read of a version that was replaced long before.
    let calls: Vec<Call> = calls.into_iter().chain([read(7, 1500, 1600)]).collect();
    assert!(matches!(check_linearizability(&calls), Verdict::NotLinearizable { .. }));
}
