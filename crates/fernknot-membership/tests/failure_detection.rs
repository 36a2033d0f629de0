//! Suspicions depend on received messages and on the local router's own health.

mod common;

use common::{
    PROBE_PERIOD_NANOS, advance_time, gossip, message, message_of_process, poll_actions, start_router,
    suspicion,
};
use fernknot::interface::Nanos;
use fernknot_membership::*;
use test_case::test_case;

#[test]
fn a_router_that_receives_nothing_suspects_nobody() {
    let mut router = start_router(0, 5);
    for other in 1..5 {
        router.receive(Nanos(1), Some(RouterId(other)), &gossip(other, Vec::new())).unwrap();
    }
    let (now, actions) = advance_time(&mut router, Nanos(1), 100);
    let is_accusation = |action: &Action| {
        matches!(action, Action::StatusChanged { to: ReportedStatus::Suspected | ReportedStatus::Failed, .. })
    };
    assert!(!actions.iter().any(is_accusation), "{actions:?}");
    assert!(router.is_isolated(now) && !router.has_majority(now));
    assert_eq!(router.quota_sharers(now), 5, "an isolated router shares quotas with all routers");
}

#[test]
fn a_router_that_sends_but_acknowledges_nothing_never_counts_as_failed() {
    let mut router = start_router(0, 2);
    let mut now = Nanos(0);
    for _ in 0..100 {
        now = advance_time(&mut router, now, 1).0;
        let unrelated = message(1, 9, MessageBody::PingRequestAck { number: 0 }, Vec::new());
        router.receive(now, Some(RouterId(1)), &unrelated).unwrap();
    }
    let member = router.member(RouterId(1)).unwrap();
    assert!(member.state.is_live(), "{member:?}");
    assert_eq!(member.link(), LinkState::InboundOnly, "it acknowledges nothing");
}

/// A suspicion must not time out because of messages that were missed during a stall.
#[test]
fn a_stall_confirms_no_pending_suspicion() {
    let mut router = start_router(0, 3);
    for other in [1, 2] {
        router.receive(Nanos(1), Some(RouterId(other)), &gossip(other, Vec::new())).unwrap();
    }
    router.receive(Nanos(2), Some(RouterId(1)), &gossip(1, vec![suspicion(2, 9, 1)])).unwrap();
    poll_actions(&mut router, Nanos(3));
    let stall_end = Nanos(100 * PROBE_PERIOD_NANOS);
    router.wake(stall_end);
    router.receive(stall_end, Some(RouterId(1)), &gossip(1, Vec::new())).unwrap();
    let actions = poll_actions(&mut router, stall_end);
    let is_failure =
        |action: &Action| matches!(action, Action::StatusChanged { to: ReportedStatus::Failed, .. });
    assert!(!actions.iter().any(is_failure), "{actions:?}");
    assert!(router.is_settling(stall_end) && router.health_score() > 0);
}

/// Delivers these updates from each of routers 2 to 4.
fn receive_from_others(router: &mut MembershipProtocol, now: Nanos, updates: &[Update]) {
    for other in 2..5 {
        router.receive(now, Some(RouterId(other)), &gossip(other, updates.to_vec())).unwrap();
    }
}

fn receive_from_member(router: &mut MembershipProtocol, now: Nanos, incarnation: u64, started_ms: u64) {
    let bytes = message_of_process(1, started_ms, incarnation, MessageBody::Gossip, Vec::new());
    router.receive(now, Some(RouterId(1)), &bytes).unwrap();
}

/// Returns the number of periods until a suspicion makes member 1 count as failed. Before that, member 1 refutes
/// `refuted_before` suspicions, each by a new process if it `restarts`, and then `rest_phases` times 20 periods pass
/// without suspicions.
fn periods_until_failed(refuted_before: u64, restarts: bool, rest_phases: u64) -> u64 {
    let mut router = start_router(0, 5);
    let mut now = Nanos(1);
    let mut incarnation = 9;
    receive_from_member(&mut router, now, incarnation, 1_000);
    // Long enough that the process no longer counts as just started.
    now = advance_time(&mut router, now, 2).0;
    for _ in 0..refuted_before {
        receive_from_others(&mut router, now, &[suspicion(1, incarnation, 2)]);
        incarnation += 1;
        now = now + Nanos(1000);
        let started_ms = if restarts { 1_000 + incarnation } else { 1_000 };
        receive_from_member(&mut router, now, incarnation, started_ms);
    }
    for _ in 0..20 * rest_phases {
        now = advance_time(&mut router, now, 1).0;
        receive_from_member(&mut router, now, incarnation, 1_000);
        receive_from_others(&mut router, now, &[]);
    }
    receive_from_others(&mut router, now, &[suspicion(1, incarnation, 2)]);
    for period in 0..500 {
        now = advance_time(&mut router, now, 1).0;
        receive_from_others(&mut router, now, &[]);
        if router.member(RouterId(1)).unwrap().state.status == Status::Failed {
            return period;
        }
    }
    panic!("member 1 never counted as failed");
}

/// A long-running or often restarted router must not get a longer suspicion time-out for earlier suspicions.
#[test_case(false, 1; "refutations long ago")]
#[test_case(true, 0; "refutations by restarts")]
fn old_refutations_and_restarts_do_not_lengthen_a_suspicion(restarts: bool, rest_phases: u64) {
    let [without_refutations, with_refutations] =
        [0, 3].map(|refuted_before| periods_until_failed(refuted_before, restarts, rest_phases));
    assert!(
        with_refutations <= without_refutations + 1,
        "{without_refutations} periods without earlier refutations, {with_refutations} with them"
    );
}
