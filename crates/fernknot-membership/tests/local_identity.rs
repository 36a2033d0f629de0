//! Reactions of a router to reports about itself, to another process of its name, and to a changed list of routers.

mod common;

use common::{encode, gossip, poll_actions, start_router, suspicion, update};
use fernknot::interface::Nanos;
use fernknot_membership::*;
use test_case::test_case;

#[test_case(1, 1; "suspected by one")]
#[test_case(3, 1; "suspected by three at once")]
fn a_repeatedly_reported_suspicion_is_refuted_once(accusers: u32, refutations: usize) {
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

/// After a restart with a clock that stepped back, others know the router by an incarnation above its own.
#[test]
fn a_restart_after_a_clock_step_back_adopts_an_incarnation_above_the_known_one() {
    let mut router = start_router(0, 5);
    let known = update(0, 1_000_000, Status::Failed, 1);
    router.receive(Nanos(1), Some(RouterId(1)), &gossip(1, vec![known])).unwrap();
    assert_eq!(router.incarnation(), Incarnation(1_000_001));
}

/// Delivers a message of another process of the local router's name. Router 0 started at 5,000 ms. Returns whether it
/// reports the duplicate name, and whether it yields.
fn meet_process_of_same_name(started_ms: u64) -> (bool, bool) {
    let mut router = start_router(0, 3);
    let bytes = encode(100, started_ms, started_ms, MessageBody::Gossip, Vec::new());
    router.receive(Nanos(1), Some(RouterId(2)), &bytes).unwrap();
    let actions = poll_actions(&mut router, Nanos(1));
    let is_reported = actions.iter().any(|action| matches!(action, Action::DuplicateName { .. }));
    (is_reported, router.has_yielded())
}

#[test]
fn both_processes_report_a_duplicate_name_and_the_later_one_yields() {
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
