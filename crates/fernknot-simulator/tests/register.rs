//! The judge of the operators' history, by histories whose verdict is known.

use fernknot_simulator::register::{
    Call, Operation, OperationResult, Verdict, Version, check_linearizability,
};
use test_case::test_case;

fn version(epoch: u64) -> Version {
    Version { epoch, body: epoch }
}

fn replace(base: u64, epoch: u64, from: u64, to: Option<(u64, OperationResult)>) -> Call {
    Call { operation: Operation::Replace { base, new: version(epoch) }, invoked_at: from, completion: to }
}

fn read(epoch: u64, from: u64, to: u64) -> Call {
    let found = (epoch > 0).then(|| version(epoch));
    Call {
        operation: Operation::Read,
        invoked_at: from,
        completion: Some((to, OperationResult::Value(found))),
    }
}

fn taken(at: u64) -> Option<(u64, OperationResult)> {
    Some((at, OperationResult::Committed))
}

fn refused(at: u64) -> Option<(u64, OperationResult)> {
    Some((at, OperationResult::Rejected))
}

#[test_case(vec![replace(0, 1, 1, taken(2)), read(1, 3, 4), replace(1, 2, 5, taken(6)), read(2, 7, 8)]; "one by one")]
#[test_case(vec![replace(0, 1, 1, taken(4)), read(0, 2, 3), read(1, 5, 6)]; "a read before a change that overlaps it")]
#[test_case(vec![replace(0, 1, 1, taken(9)), replace(0, 2, 2, refused(8))]; "two on one version, one of them refused")]
#[test_case(vec![replace(0, 1, 1, None), read(0, 2, 3), read(1, 4, 5)]; "an unclear one that is taken later")]
#[test_case(vec![replace(0, 1, 1, None), replace(0, 2, 2, taken(3)), read(2, 4, 5)]; "an unclear one that is never taken")]
#[test_case(vec![replace(0, 1, 1, None), replace(0, 2, 2, refused(3))]; "a refusal that only an unclear one explains")]
fn given_a_history_that_an_order_explains_when_it_is_judged_then_it_passes(calls: Vec<Call>) {
    assert_eq!(check_linearizability(&calls), Verdict::Linearizable);
}

#[test_case(vec![replace(0, 1, 1, taken(2)), read(0, 3, 4)]; "a read of what was replaced")]
#[test_case(vec![replace(0, 1, 1, taken(9)), read(1, 2, 3), read(0, 4, 5)]; "a read that goes back")]
#[test_case(vec![replace(0, 1, 1, taken(4)), replace(0, 2, 2, taken(3))]; "two taken on one version")]
#[test_case(vec![replace(0, 1, 1, taken(2)), replace(1, 2, 3, refused(4))]; "a refusal of a proper order")]
#[test_case(vec![replace(0, 1, 1, refused(2))]; "a refusal of the first")]
#[test_case(vec![replace(0, 1, 1, taken(2)), replace(1, 1, 3, taken(4))]; "a number that is not above")]
#[test_case(vec![replace(0, 1, 1, refused(9)), read(1, 2, 3)]; "a refused one that is read")]
#[test_case(vec![replace(0, 1, 1, None), replace(0, 2, 2, taken(3)), read(1, 4, 5)]; "an unclear one beside one on the same version")]
fn given_a_history_that_no_order_explains_when_it_is_judged_then_it_is_broken(calls: Vec<Call>) {
    assert!(matches!(check_linearizability(&calls), Verdict::NotLinearizable { .. }), "{calls:?}");
}

#[test]
fn given_eight_orders_at_once_when_one_is_taken_then_the_search_is_short() {
    let orders = (1..=8).map(|epoch| {
        replace(
            0,
            epoch,
            epoch,
            Some((100, if epoch == 5 { OperationResult::Committed } else { OperationResult::Rejected })),
        )
    });
    let reads = (0..8).map(|at| read(if at < 4 { 0 } else { 5 }, 10 + at, 90 + at));
    let calls: Vec<Call> = orders.chain(reads).collect();
    assert_eq!(check_linearizability(&calls), Verdict::Linearizable);
}

#[test]
fn given_eight_orders_at_once_when_none_is_taken_then_it_is_broken() {
    let calls: Vec<Call> = (1..=8).map(|epoch| replace(0, epoch, epoch, refused(100))).collect();
    assert!(matches!(check_linearizability(&calls), Verdict::NotLinearizable { .. }));
}

#[test]
fn given_forty_orders_that_overlap_when_each_is_refused_after_its_base_went_then_it_is_decided() {
    let orders = (1..=40).map(|at| replace(7, 8 + at % 3, at, Some((1000 + at, OperationResult::Rejected))));
    let chain = [replace(0, 7, 0, taken(500)), replace(7, 11, 2, taken(600)), read(11, 601, 2000)];
    let calls: Vec<Call> = orders.chain(chain).collect();
    assert_eq!(check_linearizability(&calls), Verdict::Linearizable);
    // The same with a read of what went long before.
    let calls: Vec<Call> = calls.into_iter().chain([read(7, 1500, 1600)]).collect();
    assert!(matches!(check_linearizability(&calls), Verdict::NotLinearizable { .. }));
}
