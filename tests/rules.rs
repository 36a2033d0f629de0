//! Rules that the decision module must never break, at their limits.

mod common;

use common::*;
use fernknot::interface::*;
use test_case::test_case;

/// Returns whether the only decision is a complete answer; `None` if it is anything but an answer.
fn completeness(decisions: &[Decision]) -> Option<bool> {
    match decisions {
        [Decision::Complete { is_complete, .. }] => Some(*is_complete),
        _ => None,
    }
}

#[test_case(IDEMPOTENT; "idempotent")]
#[test_case(DEDUPLICATED; "deduplicated")]
#[test_case(NON_IDEMPOTENT; "non-idempotent")]
#[test_case(PARTIAL_ANSWERS; "partial answers")]
fn each_multiget_has_one_final_answer_in_time_and_sends_nothing_after_it(use_case: usize) {
    let mut host = Host::new(site_settings(), 3);
    let start = host.now;
    let id = host.submit(use_case, &[0.5, 0.5]);
    host.advance(HARD_LIMIT_MS + 500.0);
    assert_eq!(host.final_answers(id).len(), 1);
    let answered =
        host.decisions.iter().position(|(_, decision)| host.final_answers(id).contains(decision)).unwrap();
    assert!(host.decisions[answered].0 < start + HARD_LIMIT_MS);
    let later = &host.decisions[answered..];
    assert!(!later.iter().any(|(_, decision)| matches!(decision, Decision::SendAttempt { .. })));
}

#[test_case(IDEMPOTENT, Outcome::Error, 50.0, true; "idempotent, after an error")]
#[test_case(DEDUPLICATED, Outcome::Error, 50.0, true; "deduplicated, inside the window")]
#[test_case(DEDUPLICATED, Outcome::Error, DEDUPLICATION_WINDOW_MS - 10.0, true; "deduplicated, just inside the window")]
#[test_case(DEDUPLICATED, Outcome::Error, DEDUPLICATION_WINDOW_MS, false; "deduplicated, as the window ends")]
#[test_case(DEDUPLICATED, Outcome::Rejected, DEDUPLICATION_WINDOW_MS, true; "deduplicated, rejected as the window ends")]
#[test_case(NON_IDEMPOTENT, Outcome::Error, 50.0, false; "non-idempotent, after an error")]
#[test_case(NON_IDEMPOTENT, Outcome::Invalid, 50.0, false; "non-idempotent, after an invalid answer")]
#[test_case(NON_IDEMPOTENT, Outcome::TimedOut, 50.0, false; "non-idempotent, after a time-out")]
#[test_case(NON_IDEMPOTENT, Outcome::Rejected, 50.0, true; "non-idempotent, rejected")]
#[test_case(NON_IDEMPOTENT, Outcome::Unreachable, 50.0, true; "non-idempotent, not connected")]
fn parts_are_retried_only_if_their_effect_allows_it(
    use_case: usize,
    outcome: Outcome,
    took: f64,
    is_retried: bool,
) {
    let mut settings = site_settings();
    settings.hedging = false;
    let mut host = Host::new(settings, 12);
    let id = host.submit(use_case, &[1.0]);
    host.advance(took);
    host.end_attempt(id, 0, 0, outcome, took);
    host.poll();
    assert_eq!(host.attempt_nodes(id, 0).len(), 1 + usize::from(is_retried));
    if !is_retried {
        assert_eq!(host.final_answers(id), [Decision::Abort { multiget: id }], "given up at once");
    }
}

#[test_case(IDEMPOTENT, Outcome::Error, true; "idempotent: rejected")]
#[test_case(NON_IDEMPOTENT, Outcome::Error, false; "non-idempotent and may have run: aborted")]
#[test_case(NON_IDEMPOTENT, Outcome::Rejected, true; "non-idempotent and never ran: rejected")]
fn rejections_are_given_only_if_a_retry_is_harmless(use_case: usize, outcome: Outcome, is_rejected: bool) {
    let mut host = Host::new(site_settings(), 1);
    let id = host.submit(use_case, &[1.0]);
    host.end_attempt(id, 0, 0, outcome, 5.0);
    host.poll();
    // Allowed retries are made first; with none left, the final answer comes at once.
    for number in 1..host.attempt_nodes(id, 0).len().max(1) + 4 {
        host.advance(400.0);
        if host.attempt_nodes(id, 0).len() > number {
            host.end_attempt(id, 0, number as u32, outcome, 5.0);
            host.poll();
        }
    }
    let wait = ms(500.0);
    let rejection = Decision::Reject { multiget: id, retry_after: wait };
    let expected = if is_rejected { rejection } else { Decision::Abort { multiget: id } };
    assert_eq!(host.final_answers(id), [expected]);
}

#[test_case(ListKind::Changes, &[node_entry(0, Health::Draining, 0.0)]; "draining")]
#[test_case(ListKind::Changes, &[node_entry(0, Health::Gone, 0.0)]; "gone")]
#[test_case(ListKind::Full, &[node_entry(1, Health::Running, 0.0)]; "not in a full list")]
fn draining_and_stopped_nodes_get_no_new_parts(kind: ListKind, entries: &[NodeEntry]) {
    let mut host = Host::new(site_settings(), 2);
    host.router.apply_list(kind, entries);
    let ids: Vec<MultigetId> = (0..6).map(|_| host.submit(IDEMPOTENT, &[1.0])).collect();
    for id in ids {
        assert!(!host.attempt_nodes(id, 0).contains(&NodeId(0)));
    }
}

#[test]
fn a_multiget_without_replicas_is_rejected_at_once() {
    let mut host = Host::new(site_settings(), 1);
    host.router.apply_list(ListKind::Full, &[]);
    let id = host.submit(NON_IDEMPOTENT, &[1.0]);
    assert!(matches!(host.final_answers(id)[..], [Decision::Reject { .. }]));
}

/// Returns the number of 20 parts that go to a node that started `age` milliseconds ago.
fn count_parts_to_cold_node(host: &mut Host, age: f64) -> usize {
    host.router.apply_list(ListKind::Changes, &[node_entry(2, Health::Running, host.now - age)]);
    let ids: Vec<MultigetId> = (0..20)
        .map(|_| {
            let id = host.submit(IDEMPOTENT, &[1.0]);
            host.advance(50.0);
            host.end_attempt(id, 0, 0, Outcome::Answered, 50.0);
            id
        })
        .collect();
    ids.iter().filter(|id| host.attempt_nodes(**id, 0).contains(&NodeId(2))).count()
}

// Warm nodes answer about 10 parts per second each to this router. A cold node is allowed 2 x 0.2 x 10 per second at
// its start, 2 x 0.28 x 10 a second later, and 2 x 0.6 x 10 half-way.
#[test_case(0.0, 0, 5; "just started")]
#[test_case(5000.0, 4, 12; "half-way")]
fn a_cold_node_gets_this_routers_share_of_its_limit(age: f64, min: usize, max: usize) {
    let mut host = Host::new(site_settings(), 2);
    host.warm_up(IDEMPOTENT, 80, 50.0);
    let cold = count_parts_to_cold_node(&mut host, age);
    assert!((min..=max).contains(&cold), "{cold} parts");
}

/// When routers return, each one's measured capacity is too high for its new share, and cold nodes would be
/// overloaded (rule 4). Fewer routers change nothing by themselves.
#[test]
fn a_cold_node_gets_less_from_each_router_as_soon_as_there_are_more() {
    let cold = |routers: usize| {
        let mut host = Host::new(site_settings(), 2);
        host.warm_up(IDEMPOTENT, 80, 50.0);
        host.router.set_router_count(ms(host.now), routers);
        count_parts_to_cold_node(&mut host, 0.0)
    };
    let [same, fewer, more] = [2, 1, 6].map(cold);
    assert!(same == fewer && more * 2 <= same, "{same} {fewer} {more}");
}

#[test]
fn the_limit_of_a_cold_node_ignores_idle_warm_nodes() {
    let mut settings = site_settings();
    settings.places = 2;
    let mut host = Host::new(settings, 2);
    let idle = |node| NodeEntry { place: PlaceId(1), ..node_entry(node, Health::Running, 0.0) };
    host.router.apply_list(ListKind::Changes, &[idle(1), idle(2), idle(3), idle(4)]);
    host.warm_up(IDEMPOTENT, 60, 50.0);
    // Node 0 has answered 20 parts per second. Its shard moves to a node that has just started.
    let mut gone = idle(0);
    gone.place = PlaceId(1);
    host.router.apply_list(ListKind::Changes, &[gone, node_entry(5, Health::Running, host.now)]);
    // The first part waits for a random time, less than one part of the limit takes.
    host.advance(200.0);
    let ids: Vec<MultigetId> = (0..4).map(|_| host.submit(IDEMPOTENT, &[1.0])).collect();
    let sent = ids.iter().filter(|id| host.final_answers(**id).is_empty()).count();
    assert!(sent >= 2, "{sent} parts");
}

/// A hundred routers, each with one answer from a warm node in four seconds, share a cold node: one part from each at
/// once would be more than twice the limit of a second.
#[test]
fn many_routers_with_little_traffic_together_keep_the_limit_of_a_cold_node() {
    let mut settings = site_settings();
    settings.places = 2;
    let mut sent = 0;
    for seed in 0..100 {
        let mut host = Host::with_seed(settings.clone(), 4, seed);
        for _ in 0..10 {
            let id = host.submit(IDEMPOTENT, &[1.0]);
            host.advance(20.0 + seed as f64);
            host.end_attempt(id, 0, 0, Outcome::Answered, 20.0);
            host.advance(980.0 - seed as f64);
        }
        // The shard moves to a node that has just started.
        let moved = |node| NodeEntry { place: PlaceId(1), ..node_entry(node, Health::Running, 0.0) };
        let cold = node_entry(9, Health::Running, host.now);
        host.router.apply_list(ListKind::Changes, &[moved(0), moved(1), moved(2), moved(3), cold]);
        for _ in 0..20 {
            let id = host.submit(IDEMPOTENT, &[1.0]);
            sent += host.attempt_nodes(id, 0).len();
            host.advance(50.0);
        }
    }
    // Warm nodes answer 25 parts per second to all routers at an assumed busy share of a fifth, so their capacity is
    // 125 per second. Twice the capacity of a node with 0.2 of that, growing to 0.28, is 60.
    assert!((20..=60).contains(&sent), "{sent} parts");
}

#[test]
fn a_cold_node_gets_one_part_at_a_time_while_no_capacity_is_known() {
    let mut host = Host::new(site_settings(), 0);
    host.router.apply_list(ListKind::Full, &[node_entry(0, Health::Running, host.now)]);
    let first = host.submit(IDEMPOTENT, &[1.0]);
    let second = host.submit(IDEMPOTENT, &[1.0]);
    assert_eq!((host.attempt_nodes(first, 0).len(), host.attempt_nodes(second, 0).len()), (1, 0));
}

#[test_case(IDEMPOTENT, &[0.5, 0.5], &[0, 1], 0.0, Some(true); "all parts answered: complete")]
#[test_case(IDEMPOTENT, &[0.5, 0.5], &[0], TARGET_MS, None; "half the weight where all is required: no answer")]
#[test_case(PARTIAL_ANSWERS, &[0.6, 0.4], &[0], TARGET_MS, Some(false); "the quorum as the target ends: partial")]
#[test_case(PARTIAL_ANSWERS, &[0.6, 0.4], &[0], 500.0, None; "the quorum long before: no answer yet")]
#[test_case(PARTIAL_ANSWERS, &[0.59, 0.41], &[0], TARGET_MS, None; "just under the quorum: no answer")]
#[test_case(PARTIAL_ANSWERS, &[0.6, 0.4], &[0, 1], 0.0, Some(true); "all parts where the quorum suffices: complete")]
fn answers_are_marked_complete_only_if_they_are(
    use_case: usize,
    weights: &[f64],
    answered: &[usize],
    wait: f64,
    is_complete: Option<bool>,
) {
    let mut settings = site_settings();
    settings.hedging = false;
    let mut host = Host::new(settings, 12);
    let id = host.submit(use_case, weights);
    for index in answered {
        host.end_attempt(id, *index, 0, Outcome::Answered, 20.0);
    }
    host.advance(wait);
    assert_eq!(completeness(&host.final_answers(id)), is_complete);
}

#[test]
fn an_answered_part_counts_once_and_its_other_attempt_is_cancelled() {
    let mut host = Host::new(site_settings(), 12);
    host.warm_up(PARTIAL_ANSWERS, 60, 50.0);
    let id = host.submit(PARTIAL_ANSWERS, &[0.5, 0.5]);
    host.advance(600.0);
    assert_eq!(host.attempt_nodes(id, 0).len(), 2, "overdue: another replica is tried");
    host.end_attempt(id, 0, 0, Outcome::Answered, 600.0);
    let cancellation =
        Decision::CancelAttempt { part: PartId { multiget: id, index: 0 }, number: AttemptNumber(1) };
    assert!(host.poll().contains(&cancellation));
    host.end_attempt(id, 0, 1, Outcome::Answered, 100.0);
    host.advance(TARGET_MS - 600.0);
    assert!(host.final_answers(id).is_empty(), "half the weight, counted once, is below the quorum");
}

#[test]
fn a_second_phase_follows_a_complete_first_phase_and_completes_the_answer() {
    let mut host = Host::new(site_settings(), 3);
    let id = host.submit(TWO_PHASE, &[1.0]);
    host.end_attempt(id, 0, 0, Outcome::Answered, 20.0);
    assert_eq!(host.poll(), [Decision::Complete { multiget: id, is_complete: true, is_final: false }]);
    host.add_parts(id, 1, &[0.5, 0.5]);
    host.end_attempt(id, 1, 0, Outcome::Answered, 20.0);
    assert!(host.poll().is_empty());
    host.end_attempt(id, 2, 0, Outcome::Answered, 20.0);
    assert_eq!(host.poll(), [Decision::Complete { multiget: id, is_complete: true, is_final: true }]);
}

#[test_case(0.0, 0.0, 0; "no retries allowed")]
#[test_case(2.0, 0.0, 2; "only free retries")]
#[test_case(1.0, 0.1, 5; "one free retry, and a tenth of 20 multigets and 20 parts")]
fn retries_stay_within_the_budget(free_retries: f64, retry_ratio: f64, max: usize) {
    let mut settings = site_settings();
    settings.retry_budget =
        Some(RetryBudgetSettings { free_retries, retry_ratio, window: ms(10_000.0), per_shard: false });
    let mut host = Host::new(settings, 3);
    let ids: Vec<MultigetId> = (0..20).map(|_| host.submit(IDEMPOTENT, &[1.0])).collect();
    for id in &ids {
        host.end_attempt(*id, 0, 0, Outcome::Error, 1.0);
    }
    host.poll();
    let retries: usize = ids.iter().map(|id| host.attempt_nodes(*id, 0).len() - 1).sum();
    assert_eq!(retries, max);
}

#[test]
fn attempts_of_a_part_stay_within_the_limit() {
    let mut settings = site_settings();
    settings.max_attempts = 2;
    let mut host = Host::new(settings, 3);
    let id = host.submit(IDEMPOTENT, &[1.0]);
    for no in 0..2 {
        host.end_attempt(id, 0, no, Outcome::Rejected, 1.0);
        host.poll();
    }
    assert_eq!(host.attempt_nodes(id, 0).len(), 2);
}

#[test]
fn events_of_unknown_parts_and_multigets_change_nothing() {
    let mut host = Host::new(site_settings(), 2);
    let id = host.submit(IDEMPOTENT, &[1.0]);
    let unknown = PartId { multiget: MultigetId(99), index: 3 };
    let part = PartId { multiget: id, index: 7 };
    for (part, node) in [(unknown, 0), (part, 1), (PartId { multiget: id, index: 0 }, 9)] {
        let (outcome, report) = (Outcome::Answered, LoadReport::default());
        let (no, node) = (AttemptNumber(4), NodeId(node));
        host.router.attempt_ended(
            ms(host.now),
            &AttemptEnd { part, number: no, node, outcome, duration: ms(1.0), report },
        );
    }
    host.router.client_gone(MultigetId(99));
    assert!(host.poll().is_empty());
}
