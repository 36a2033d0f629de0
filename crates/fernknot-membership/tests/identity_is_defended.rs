//! What a router does about reports of itself, about another process of its name, and about a changed list.

mod common;

use common::{encode, gossip, poll_actions, start_router, suspicion, update};
use fernknot::interface::Nanos;
use fernknot_membership::*;
use test_case::test_case;

#[test_case(1, 1; "suspected by one")]
#[test_case(3, 1; "suspected by three at once")]
fn a_suspicion_is_refuted_once_however_often_it_is_reported(accusers: u32, refutations: usize) {
    let mut router = start_router(0, 5);
    let incarnation = router.incarnation().0;
    for _ in 0..5 {
        for accuser in 1..=accusers {
            let updates = vec![suspicion(0, incarnation, accuser)];
            router.receive(Nanos(1), Some(RouterId(accuser)), &gossip(accuser, updates)).unwrap();
        }
    }
    let actions = poll_actions(&mut router, Nanos(1));
    let refuted = actions.iter().filter(|action| matches!(action, Action::Refuted { .. })).count();
    assert_eq!((refuted, router.incarnation().0), (refutations, incarnation + 1));
}

/// Guards a restart whose clock stepped back: others know it by a higher incarnation than its own start.
#[test]
fn a_restart_with_a_clock_that_stepped_back_takes_a_higher_incarnation_than_is_known() {
    let mut router = start_router(0, 5);
    let known = update(0, 1_000_000, Status::Failed, 1);
    router.receive(Nanos(1), Some(RouterId(1)), &gossip(1, vec![known])).unwrap();
    assert_eq!(router.incarnation(), Incarnation(1_000_001));
}

/// Router 0 started at 5,000 ms; whether it reports the other process of its name, and whether it yields.
fn meet_process_of_same_name(started_ms: u64) -> (bool, bool) {
    let mut router = start_router(0, 3);
    let bytes = encode(100, started_ms, started_ms, MessageBody::Gossip, Vec::new());
    router.receive(Nanos(1), Some(RouterId(2)), &bytes).unwrap();
    let actions = poll_actions(&mut router, Nanos(1));
    let is_reported = actions.iter().any(|action| matches!(action, Action::DuplicateName { .. }));
    (is_reported, router.has_yielded())
}

#[test]
fn of_two_processes_with_one_name_both_report_it_and_the_later_one_yields() {
    assert_eq!(meet_process_of_same_name(1), (true, true));
    assert_eq!(meet_process_of_same_name(1_000_000), (true, false));
}

#[test]
fn a_changed_list_adds_routers_and_removes_them() {
    let mut router = start_router(0, 4);
    router.receive(Nanos(1), Some(RouterId(3)), &gossip(3, Vec::new())).unwrap();
    router.set_routers(Nanos(2), [0, 1, 2, 7].map(RouterId));
    assert_eq!(router.live_count(), LiveCount { live: 1, total: 4 });
    let result = router.receive(Nanos(3), Some(RouterId(3)), &gossip(3, Vec::new()));
    assert_eq!(result, Err(RejectReason::UnknownSender));
    router.receive(Nanos(3), Some(RouterId(7)), &gossip(7, Vec::new())).unwrap();
    assert_eq!(router.live_count(), LiveCount { live: 2, total: 4 });
}
