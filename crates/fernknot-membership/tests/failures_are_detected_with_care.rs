//! Whom a router suspects, and whom it does not, by what it hears and by its own health.

mod common;

use common::{PERIOD, gossip, message, message_of_process, pass, poll_actions, start_router, suspicion};
use fernknot::interface::Nanos;
use fernknot_membership::*;
use test_case::test_case;

#[test]
fn a_router_that_hears_nobody_suspects_nobody() {
    let mut router = start_router(0, 5);
    for other in 1..5 {
        router.receive(Nanos(1), Some(RouterId(other)), &gossip(other, Vec::new())).unwrap();
    }
    let (now, actions) = pass(&mut router, Nanos(1), 100);
    let accuses = |action: &Action| {
        matches!(action, Action::StatusChanged { to: ReportedStatus::Suspected | ReportedStatus::Failed, .. })
    };
    assert!(!actions.iter().any(accuses), "{actions:?}");
    assert!(router.is_isolated(now) && !router.has_majority(now));
    assert_eq!(router.quota_sharers(now), 5, "isolated, it shares with all routers");
}

#[test]
fn a_router_that_sends_never_counts_as_failed_though_it_answers_nothing() {
    let mut router = start_router(0, 2);
    let mut now = Nanos(0);
    for _ in 0..100 {
        now = pass(&mut router, now, 1).0;
        let unrelated = message(1, 9, MessageBody::PingRequestAck { number: 0 }, Vec::new());
        router.receive(now, Some(RouterId(1)), &unrelated).unwrap();
    }
    let member = router.member(RouterId(1)).unwrap();
    assert!(member.state.is_live(), "{member:?}");
    assert_eq!(member.link(), LinkState::InboundOnly, "it does not hear this one");
}

/// Guards against suspecting others for what was missed during a stall.
#[test]
fn a_router_that_wakes_from_a_stall_listens_first() {
    let mut router = start_router(0, 3);
    for other in [1, 2] {
        router.receive(Nanos(1), Some(RouterId(other)), &gossip(other, Vec::new())).unwrap();
    }
    router.receive(Nanos(2), Some(RouterId(1)), &gossip(1, vec![suspicion(2, 9, 1)])).unwrap();
    poll_actions(&mut router, Nanos(3));
    let woken_at = Nanos(100 * PERIOD);
    router.wake(woken_at);
    router.receive(woken_at, Some(RouterId(1)), &gossip(1, Vec::new())).unwrap();
    let actions = poll_actions(&mut router, woken_at);
    let fails = |action: &Action| matches!(action, Action::StatusChanged { to: ReportedStatus::Failed, .. });
    assert!(!actions.iter().any(fails), "{actions:?}");
    assert!(router.is_settling(woken_at) && router.health_score() > 0);
}

/// Others report a suspicion of member 1, or nothing.
fn receive_from_others(router: &mut MembershipProtocol, now: Nanos, updates: &[Update]) {
    for other in 2..5 {
        router.receive(now, Some(RouterId(other)), &gossip(other, updates.to_vec())).unwrap();
    }
}

fn receive_from_member(router: &mut MembershipProtocol, now: Nanos, incarnation: u64, started_ms: u64) {
    let bytes = message_of_process(1, started_ms, incarnation, MessageBody::Gossip, Vec::new());
    router.receive(now, Some(RouterId(1)), &bytes).unwrap();
}

/// Periods until a suspicion makes member 1 count as failed, after so many suspicions that it refuted, by a new
/// process each time if it `restarts`, and then so many times 20 periods without any.
fn periods_until_failed(refuted_before: u64, restarts: bool, rests: u64) -> u64 {
    let mut router = start_router(0, 5);
    let mut now = Nanos(1);
    let mut incarnation = 9;
    receive_from_member(&mut router, now, incarnation, 1_000);
    // Past the time in which its process counts as just started.
    now = pass(&mut router, now, 2).0;
    for _ in 0..refuted_before {
        receive_from_others(&mut router, now, &[suspicion(1, incarnation, 2)]);
        incarnation += 1;
        now = now + Nanos(1000);
        let started_ms = if restarts { 1_000 + incarnation } else { 1_000 };
        receive_from_member(&mut router, now, incarnation, started_ms);
    }
    for _ in 0..20 * rests {
        now = pass(&mut router, now, 1).0;
        receive_from_member(&mut router, now, incarnation, 1_000);
        receive_from_others(&mut router, now, &[]);
    }
    receive_from_others(&mut router, now, &[suspicion(1, incarnation, 2)]);
    for period in 0..500 {
        now = pass(&mut router, now, 1).0;
        receive_from_others(&mut router, now, &[]);
        if router.member(RouterId(1)).unwrap().state.status == Status::Failed {
            return period;
        }
    }
    panic!("never counted as failed");
}

/// Guards a router that has run well for long against suspicions that last many times as long for what once was, and
/// one that restarts again and again against the same.
#[test_case(false, 1; "a refutation long ago")]
#[test_case(true, 0; "restarts")]
fn what_is_long_over_does_not_lengthen_a_suspicion(restarts: bool, rests: u64) {
    let [never, often] = [0, 3].map(|refuted_before| periods_until_failed(refuted_before, restarts, rests));
    assert!(often <= never + 1, "{never} periods, then {often}");
}
