//! The six rules at their edges, on the module alone.

mod common;

use common::*;
use fernknot::interface::*;
use test_case::test_case;

fn whole(decisions: &[Decision]) -> Option<bool> {
    match decisions {
        [Decision::Complete { complete: whole, .. }] => Some(*whole),
        _ => None,
    }
}

#[test_case(REPLAYABLE; "replayable")]
#[test_case(REFERENCED; "referenced")]
#[test_case(SINGLE_USE; "single use")]
#[test_case(PARTIAL; "partial")]
fn one_final_answer_in_time_and_nothing_sent_after_it(use_case: usize) {
    let mut host = Host::new(facts(), 3);
    let start = host.now;
    let id = host.take(use_case, &[0.5, 0.5]);
    host.pass(HARD + 500.0);
    assert_eq!(host.finals(id).len(), 1);
    let answered = host.log.iter().position(|(_, decision)| host.finals(id).contains(decision)).unwrap();
    assert!(host.log[answered].0 < start + HARD);
    let later = &host.log[answered..];
    assert!(!later.iter().any(|(_, decision)| matches!(decision, Decision::SendAttempt { .. })));
}

#[test_case(REPLAYABLE, Outcome::Error, 50.0, true; "replayable may rerun")]
#[test_case(REFERENCED, Outcome::Error, 50.0, true; "referenced inside the window")]
#[test_case(REFERENCED, Outcome::Error, WINDOW - 10.0, true; "referenced just inside the window")]
#[test_case(REFERENCED, Outcome::Error, WINDOW, false; "referenced as the window ends")]
#[test_case(REFERENCED, Outcome::Rejected, WINDOW, true; "referenced, proved not to have run")]
#[test_case(SINGLE_USE, Outcome::Error, 50.0, false; "single use after an error")]
#[test_case(SINGLE_USE, Outcome::Invalid, 50.0, false; "single use after a broken connection")]
#[test_case(SINGLE_USE, Outcome::TimedOut, 50.0, false; "single use after a time-out")]
#[test_case(SINGLE_USE, Outcome::Rejected, 50.0, true; "single use, turned away")]
#[test_case(SINGLE_USE, Outcome::Unreachable, 50.0, true; "single use, never connected")]
fn resent_only_where_the_effect_allows(use_case: usize, outcome: Outcome, took: f64, resent: bool) {
    let mut given = facts();
    given.hedging = false;
    let mut host = Host::new(given, 12);
    let id = host.take(use_case, &[1.0]);
    host.pass(took);
    host.end(id, 0, 0, outcome, took);
    host.pull();
    assert_eq!(host.sends(id, 0).len(), 1 + usize::from(resent));
    if !resent {
        assert_eq!(host.finals(id), [Decision::Abort { multiget: id }], "given up at once");
    }
}

#[test_case(REPLAYABLE, Outcome::Error, true; "replayable may be dismissed")]
#[test_case(SINGLE_USE, Outcome::Error, false; "single use that may have run may not")]
#[test_case(SINGLE_USE, Outcome::Rejected, true; "single use that never ran may")]
fn dismissal_promises_that_asking_again_is_harmless(use_case: usize, outcome: Outcome, dismissed: bool) {
    let mut host = Host::new(facts(), 1);
    let id = host.take(use_case, &[1.0]);
    host.end(id, 0, 0, outcome, 5.0);
    host.pull();
    // Where another hand-off is allowed it is made; with none left, the answer comes at once.
    for no in 1..host.sends(id, 0).len().max(1) + 4 {
        host.pass(400.0);
        if host.sends(id, 0).len() > no {
            host.end(id, 0, no as u32, outcome, 5.0);
            host.pull();
        }
    }
    let wait = ms(500.0);
    let dismissal = Decision::Reject { multiget: id, retry_after: wait };
    let expected = if dismissed { dismissal } else { Decision::Abort { multiget: id } };
    assert_eq!(host.finals(id), [expected]);
}

#[test_case(ListKind::Changes, &[entry(0, Health::Draining, 0.0)]; "draining")]
#[test_case(ListKind::Changes, &[entry(0, Health::Gone, 0.0)]; "gone")]
#[test_case(ListKind::Full, &[entry(1, Health::Running, 0.0)]; "not in a full list")]
fn nothing_new_to_a_draining_or_gone_node(kind: ListKind, news: &[NodeEntry]) {
    let mut host = Host::new(facts(), 2);
    host.router.apply_list(kind, news);
    let ids: Vec<MultigetId> = (0..6).map(|_| host.take(REPLAYABLE, &[1.0])).collect();
    for id in ids {
        assert!(!host.sends(id, 0).contains(&NodeId(0)));
    }
}

#[test]
fn dismissed_at_once_where_no_replica_is_left() {
    let mut host = Host::new(facts(), 1);
    host.router.apply_list(ListKind::Full, &[]);
    let id = host.take(SINGLE_USE, &[1.0]);
    assert!(matches!(host.finals(id)[..], [Decision::Reject { .. }]));
}

/// How many of 20 parts go to a node that started so long ago, in milliseconds.
fn parts_to_a_cold_node(host: &mut Host, age: f64) -> usize {
    host.router.apply_list(ListKind::Changes, &[entry(2, Health::Running, host.now - age)]);
    let ids: Vec<MultigetId> = (0..20)
        .map(|_| {
            let id = host.take(REPLAYABLE, &[1.0]);
            host.pass(50.0);
            host.end(id, 0, 0, Outcome::Answered, 50.0);
            id
        })
        .collect();
    ids.iter().filter(|id| host.sends(**id, 0).contains(&NodeId(2))).count()
}

// Warm nodes answer about 10 parts a second each to this router: 2 x 0.2 x 10 is what the rule
// lets a node take in a second at its start, 2 x 0.28 x 10 a second later, 2 x 0.6 x 10 half-way.
#[test_case(0.0, 0, 5; "just started")]
#[test_case(5000.0, 4, 12; "half-way")]
fn cold_node_gets_this_routers_part_of_the_budget(age: f64, least: usize, most: usize) {
    let mut host = Host::new(facts(), 2);
    host.warm_up(REPLAYABLE, 80, 50.0);
    let cold = parts_to_a_cold_node(&mut host, age);
    assert!((least..=most).contains(&cold), "{cold} parts");
}

/// Guards rule 4 when routers come back that were held for lost: what few were answered is more than the part of
/// each of many. Fewer routers change nothing by themselves.
#[test]
fn cold_node_gets_less_from_each_at_once_when_more_routers_share() {
    let cold = |routers: usize| {
        let mut host = Host::new(facts(), 2);
        host.warm_up(REPLAYABLE, 80, 50.0);
        host.router.set_router_count(ms(host.now), routers);
        parts_to_a_cold_node(&mut host, 0.0)
    };
    let [same, fewer, more] = [2, 1, 6].map(cold);
    assert!(same == fewer && more * 2 <= same, "{same} {fewer} {more}");
}

#[test]
fn cold_node_is_measured_by_the_busiest_warm_one() {
    let mut given = facts();
    given.places = 2;
    let mut host = Host::new(given, 2);
    let idle = |node| NodeEntry { place: PlaceId(1), ..entry(node, Health::Running, 0.0) };
    host.router.apply_list(ListKind::Changes, &[idle(1), idle(2), idle(3), idle(4)]);
    host.warm_up(REPLAYABLE, 60, 50.0);
    // Node 0 has answered 20 parts a second; the last replica of its shard is a node just started.
    let mut gone = idle(0);
    gone.place = PlaceId(1);
    host.router.apply_list(ListKind::Changes, &[gone, entry(5, Health::Running, host.now)]);
    // The first part waits for a random while, under the time of one part of its budget.
    host.pass(200.0);
    let ids: Vec<MultigetId> = (0..4).map(|_| host.take(REPLAYABLE, &[1.0])).collect();
    let sent = ids.iter().filter(|id| host.finals(**id).is_empty()).count();
    assert!(sent >= 2, "{sent} parts");
}

/// A hundred routers, each of which hears of a warm node once in four seconds, share one cold node: a free part
/// for each would be more than twice what the rule lets it take in a second.
#[test]
fn cold_node_is_shared_by_many_routers_of_little_traffic() {
    let mut given = facts();
    given.places = 2;
    let mut sent = 0;
    for seed in 0..100 {
        let mut host = Host::with_seed(given.clone(), 4, seed);
        for _ in 0..10 {
            let id = host.take(REPLAYABLE, &[1.0]);
            host.pass(20.0 + seed as f64);
            host.end(id, 0, 0, Outcome::Answered, 20.0);
            host.pass(980.0 - seed as f64);
        }
        // The last replica of the shard is a node just started.
        let moved = |node| NodeEntry { place: PlaceId(1), ..entry(node, Health::Running, 0.0) };
        let cold = entry(9, Health::Running, host.now);
        host.router.apply_list(ListKind::Changes, &[moved(0), moved(1), moved(2), moved(3), cold]);
        for _ in 0..20 {
            let id = host.take(REPLAYABLE, &[1.0]);
            sent += host.sends(id, 0).len();
            host.pass(50.0);
        }
    }
    // Warm ones answer 25 parts a second to all, and are held to be a fifth busy: 125 a second if wholly so. Twice
    // what a node can do with 0.2 of that, growing to 0.28, is 60.
    assert!((20..=60).contains(&sent), "{sent} parts");
}

#[test]
fn cold_node_takes_one_part_where_no_capacity_is_known() {
    let mut host = Host::new(facts(), 0);
    host.router.apply_list(ListKind::Full, &[entry(0, Health::Running, host.now)]);
    let first = host.take(REPLAYABLE, &[1.0]);
    let second = host.take(REPLAYABLE, &[1.0]);
    assert_eq!((host.sends(first, 0).len(), host.sends(second, 0).len()), (1, 0));
}

#[test_case(REPLAYABLE, &[0.5, 0.5], &[0, 1], 0.0, Some(true); "all in: whole")]
#[test_case(REPLAYABLE, &[0.5, 0.5], &[0], GOAL, None; "half of what needs all")]
#[test_case(PARTIAL, &[0.6, 0.4], &[0], GOAL, Some(false); "the floor, as the goal time ends")]
#[test_case(PARTIAL, &[0.6, 0.4], &[0], 500.0, None; "the floor, long before")]
#[test_case(PARTIAL, &[0.59, 0.41], &[0], GOAL, None; "just under the floor")]
#[test_case(PARTIAL, &[0.6, 0.4], &[0, 1], 0.0, Some(true); "whole though less would do")]
fn answers_are_honest(use_case: usize, weights: &[f64], answered: &[usize], wait: f64, said: Option<bool>) {
    let mut given = facts();
    given.hedging = false;
    let mut host = Host::new(given, 12);
    let id = host.take(use_case, weights);
    for index in answered {
        host.end(id, *index, 0, Outcome::Answered, 20.0);
    }
    host.pass(wait);
    assert_eq!(whole(&host.finals(id)), said);
}

#[test]
fn a_part_counts_once_and_its_twin_is_called_off() {
    let mut host = Host::new(facts(), 12);
    host.warm_up(PARTIAL, 60, 50.0);
    let id = host.take(PARTIAL, &[0.5, 0.5]);
    host.pass(600.0);
    assert_eq!(host.sends(id, 0).len(), 2, "overdue: another replica is tried");
    host.end(id, 0, 0, Outcome::Answered, 600.0);
    let called_off =
        Decision::CancelAttempt { part: PartId { multiget: id, index: 0 }, number: AttemptNumber(1) };
    assert!(host.pull().contains(&called_off));
    host.end(id, 0, 1, Outcome::Answered, 100.0);
    host.pass(GOAL - 600.0);
    assert!(host.finals(id).is_empty(), "half the weight, counted once, is under the floor");
}

#[test]
fn second_step_is_whole_only_after_a_whole_first() {
    let mut host = Host::new(facts(), 3);
    let id = host.take(TWO_STEPS, &[1.0]);
    host.end(id, 0, 0, Outcome::Answered, 20.0);
    assert_eq!(host.pull(), [Decision::Complete { multiget: id, complete: true, last: false }]);
    host.parts(id, 1, &[0.5, 0.5]);
    host.end(id, 1, 0, Outcome::Answered, 20.0);
    assert!(host.pull().is_empty());
    host.end(id, 2, 0, Outcome::Answered, 20.0);
    assert_eq!(host.pull(), [Decision::Complete { multiget: id, complete: true, last: true }]);
}

#[test_case(0.0, 0.0, 0; "none allowed")]
#[test_case(2.0, 0.0, 2; "the free ones alone")]
#[test_case(1.0, 0.1, 5; "one, and a tenth of 20 multigets and 20 parts")]
fn further_hand_offs_stay_within_the_ration(free: f64, share: f64, most: usize) {
    let mut given = facts();
    given.budget = Some(RetryBudgetSettings { free, share, window: ms(10_000.0), each_shard: false });
    let mut host = Host::new(given, 3);
    let ids: Vec<MultigetId> = (0..20).map(|_| host.take(REPLAYABLE, &[1.0])).collect();
    for id in &ids {
        host.end(*id, 0, 0, Outcome::Error, 1.0);
    }
    host.pull();
    let further: usize = ids.iter().map(|id| host.sends(*id, 0).len() - 1).sum();
    assert_eq!(further, most);
}

#[test]
fn hand_offs_of_one_part_stay_within_the_limit() {
    let mut given = facts();
    given.max_attempts = 2;
    let mut host = Host::new(given, 3);
    let id = host.take(REPLAYABLE, &[1.0]);
    for no in 0..2 {
        host.end(id, 0, no, Outcome::Rejected, 1.0);
        host.pull();
    }
    assert_eq!(host.sends(id, 0).len(), 2);
}

#[test]
fn what_is_not_known_changes_nothing() {
    let mut host = Host::new(facts(), 2);
    let id = host.take(REPLAYABLE, &[1.0]);
    let stranger = PartId { multiget: MultigetId(99), index: 3 };
    let part = PartId { multiget: id, index: 7 };
    for (part, node) in [(stranger, 0), (part, 1), (PartId { multiget: id, index: 0 }, 9)] {
        let (outcome, report) = (Outcome::Answered, LoadReport::default());
        let (no, node) = (AttemptNumber(4), NodeId(node));
        host.router
            .attempt_ended(ms(host.now), &Ending { part, number: no, node, outcome, took: ms(1.0), report });
    }
    host.router.client_gone(MultigetId(99));
    assert!(host.pull().is_empty());
}
