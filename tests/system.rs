//! Decision module with a gateway's settings: shards as places, nodes by incarnation, added and removed routes, and a
//! retry budget per shard.

mod common;

use common::*;
use fernknot::interface::*;
use test_case::test_case;

const QUORUM: f64 = 0.5;

/// Settings with a fan-out route with a quorum, a single-shard route, and a non-idempotent one.
fn routes() -> SiteSettings {
    let route = |effect, quorum| UseCaseSettings {
        latency_target: ms(TARGET_MS),
        hard_limit: ms(HARD_LIMIT_MS),
        value: 1.0,
        late_value_share: 0.3,
        effect,
        complete_share: 1.0,
        quorum,
        max_attempts: Some(2),
        ..UseCaseSettings::default()
    };
    SiteSettings {
        use_cases: vec![
            route(Effect::Idempotent, QUORUM),
            route(Effect::Idempotent, 1.0),
            route(Effect::NonIdempotent, 1.0),
        ],
        min_latency_target: Some(ms(50.0)),
        slow_start: SlowStartSettings::default(),
        places: u32::MAX,
        hedging: false,
        ..site_settings()
    }
}

const FANOUT: usize = 0;
const SINGLE_SHARD: usize = 1;
const MUTATING: usize = 2;

fn incarnation(node: u32, shard: u32, health: Health) -> NodeEntry {
    NodeEntry { place: PlaceId(shard), ..node_entry(node, health, 0.0) }
}

/// Creates a host with this number of running nodes per shard, listed as changes.
fn host(site: SiteSettings, shards: u32, nodes: u32) -> Host {
    let mut host = Host::new(site, 0);
    let entries: Vec<_> =
        (0..shards * nodes).map(|node| incarnation(node, node % shards, Health::Running)).collect();
    host.router.apply_list(ListKind::Changes, &entries);
    host
}

fn shard_budget(free_retries: f64, retry_ratio: f64) -> Option<RetryBudgetSettings> {
    Some(RetryBudgetSettings { free_retries, retry_ratio, window: ms(10_000.0), per_shard: true })
}

/// Ends the latest attempt of a part, and polls.
fn fail(host: &mut Host, id: MultigetId, index: usize, outcome: Outcome) {
    let number = host.attempt_nodes(id, index).len() as u32 - 1;
    host.end_attempt(id, index, number, outcome, 5.0);
    host.poll();
}

#[test_case(Some(2), 2; "limit of the use case")]
#[test_case(None, 3; "limit of the site")]
fn given_a_use_case_with_its_own_limit_when_a_part_keeps_failing_then_that_limit_applies(
    limit: Option<u32>,
    max: usize,
) {
    let mut site = routes();
    site.use_cases[SINGLE_SHARD].max_attempts = limit;
    let mut host = host(site, 1, 6);
    let id = host.submit(SINGLE_SHARD, &[1.0]);
    for _ in 0..4 {
        if host.final_answers(id).is_empty() {
            fail(&mut host, id, 0, Outcome::Rejected);
            host.advance(350.0);
        }
    }
    assert_eq!(host.attempt_nodes(id, 0).len(), max);
    assert!(matches!(host.final_answers(id)[..], [Decision::Reject { .. }]));
}

#[test_case(Outcome::Error; "after errors")]
#[test_case(Outcome::Rejected; "after rejections")]
fn given_a_budget_per_shard_when_one_shard_has_used_its_budget_then_the_others_still_have_theirs(
    outcome: Outcome,
) {
    let mut host = host(SiteSettings { retry_budget: shard_budget(1.0, 0.0), ..routes() }, 2, 6);
    let ids: Vec<_> = (0..3).map(|_| host.submit(FANOUT, &[0.5, 0.5])).collect();
    ids.iter().for_each(|id| fail(&mut host, *id, 0, outcome));
    let retries =
        |host: &Host, index| ids.iter().map(|id| host.attempt_nodes(*id, index).len() - 1).sum::<usize>();
    assert_eq!((retries(&host, 0), retries(&host, 1)), (1, 0));
    fail(&mut host, ids[2], 1, outcome);
    assert_eq!((retries(&host, 0), retries(&host, 1)), (1, 1));
    // A larger share of the free retries applies at once, and so does a smaller one.
    host.router.set_free_retries(2.0);
    host.advance(100.0);
    assert_eq!(retries(&host, 0), 2);
    host.router.set_free_retries(0.0);
    host.advance(100.0);
    assert_eq!(retries(&host, 0), 2);
}

#[test]
fn given_a_retry_ratio_when_a_shard_gets_more_requests_then_only_its_own_budget_grows() {
    let mut host = host(SiteSettings { retry_budget: shard_budget(0.0, 0.2), ..routes() }, 2, 6);
    // Twenty parts at once allow two retries at their shard, as half the ratio is kept for requests of half a window
    // before, and none at the other shard.
    let ids: Vec<_> = (0..20).map(|_| host.submit(SINGLE_SHARD, &[1.0])).collect();
    let fanout = host.submit(FANOUT, &[0.5, 0.5]);
    // Requests allow retries only from the next slot of the window on.
    host.advance(200.0);
    fail(&mut host, fanout, 1, Outcome::Rejected);
    assert_eq!(host.attempt_nodes(fanout, 1).len(), 1);
    ids.iter().for_each(|id| fail(&mut host, *id, 0, Outcome::Rejected));
    assert_eq!(ids.iter().map(|id| host.attempt_nodes(*id, 0).len() - 1).sum::<usize>(), 2);
}

/// Returns the time until an unanswered attempt is overdue, in milliseconds; it depends on the shortest target.
fn overdue_after(host: &mut Host) -> f64 {
    let start = host.now;
    host.submit(SINGLE_SHARD, &[1.0]);
    while !host.advance(5.0).iter().any(|decision| matches!(decision, Decision::RenewConnections { .. })) {
        assert!(host.now < start + HARD_LIMIT_MS);
    }
    host.now - start
}

#[test]
fn given_routes_added_and_removed_when_one_has_a_shorter_target_then_it_sets_the_overdue_time() {
    let mut host = host(routes(), 1, 40);
    let own = routes().use_cases.remove(SINGLE_SHARD);
    let short = UseCaseSettings { latency_target: ms(100.0), ..own.clone() };
    let shortest = UseCaseSettings { latency_target: ms(1.0), ..own.clone() };
    let new = UseCaseId(3);
    assert_eq!(overdue_after(&mut host), 300.0);
    host.router.set_use_case(ms(host.now), new, &short);
    assert_eq!(overdue_after(&mut host), 30.0);
    host.router.set_use_case(ms(host.now), new, &shortest);
    assert_eq!(overdue_after(&mut host), 15.0, "the lower bound of latency targets");
    host.router.remove_use_case(new);
    assert_eq!(overdue_after(&mut host), 300.0);
}

#[test]
fn given_a_route_with_a_new_target_when_a_request_arrives_then_the_target_applies_at_once() {
    let mut host = host(routes(), 2, 2);
    let route = UseCaseSettings { latency_target: ms(400.0), ..routes().use_cases.remove(FANOUT) };
    // An id beyond the next free one is ignored.
    for id in [UseCaseId(9), UseCaseId(FANOUT)] {
        host.router.set_use_case(ms(host.now), id, &route);
    }
    let unknown = host.submit(3, &[1.0]);
    assert_eq!(host.attempt_nodes(unknown, 0), []);
    let start = host.now;
    let id = host.submit(FANOUT, &[0.5, 0.5]);
    host.end_attempt(id, 0, 0, Outcome::Answered, 5.0);
    while host.final_answers(id).is_empty() && host.now < start + TARGET_MS {
        host.advance(5.0);
    }
    assert_eq!(
        host.final_answers(id),
        [Decision::Complete { multiget: id, is_complete: false, is_final: true }]
    );
    assert!((370.0..400.0).contains(&(host.now - start)), "at the end of its target: {}", host.now - start);
}

#[test]
fn given_a_shard_when_its_nodes_drain_and_stop_then_only_running_incarnations_get_parts() {
    let mut host = host(routes(), 2, 2);
    host.router.apply_list(
        ListKind::Changes,
        &[incarnation(0, 0, Health::Draining), incarnation(1, 1, Health::Gone)],
    );
    let id = host.submit(FANOUT, &[0.5, 0.5]);
    assert_eq!((host.attempt_nodes(id, 0), host.attempt_nodes(id, 1)), (vec![NodeId(2)], vec![NodeId(3)]));
    // A new node counts as average, and takes turns at once.
    host.router.apply_list(ListKind::Changes, &[incarnation(9, 0, Health::Running)]);
    let ids = [host.submit(SINGLE_SHARD, &[1.0]), host.submit(SINGLE_SHARD, &[1.0])];
    let mut nodes: Vec<_> = ids.iter().flat_map(|id| host.attempt_nodes(*id, 0)).collect();
    nodes.sort();
    assert_eq!(nodes, [NodeId(2), NodeId(9)]);
}

#[test]
fn given_many_incarnations_and_shards_when_they_are_gone_then_their_state_is_dropped() {
    let mut host = host(SiteSettings { retry_budget: shard_budget(1.0, 0.1), ..routes() }, 0, 0);
    for round in 0..200u32 {
        let entry = |health| incarnation(round, round, health);
        host.router.apply_list(ListKind::Changes, &[entry(Health::Running)]);
        let id = MultigetId(u64::from(round));
        host.router.multiget_arrived(ms(host.now), &arrival(id, SINGLE_SHARD, host.now + HARD_LIMIT_MS));
        let part = PartId { multiget: id, index: 0 };
        let arrival = PartArrival { part, shard: ShardId(round), weight: 1.0, effort: None };
        host.router.part_arrived(ms(host.now), &arrival);
        host.advance(20.0);
        host.end_attempt(id, 0, 0, Outcome::Answered, 20.0);
        host.router.apply_list(ListKind::Changes, &[entry(Health::Gone)]);
        host.advance(480.0);
    }
    let counts = host.router.retained_counts();
    // State of the last few windows may still be kept.
    assert!(counts.multigets == 0 && counts.nodes < 40 && counts.places < 40, "{counts:?}");
    assert!(counts.rotations < 40 && counts.shard_budgets < 40, "{counts:?}");
}

/// A full node, and one whose address now belongs to another incarnation, both guarantee that nothing ran.
#[test]
fn given_a_non_idempotent_request_when_nodes_reject_it_then_it_is_retried_and_finally_rejected() {
    let mut host = host(routes(), 1, 3);
    let id = host.submit(MUTATING, &[1.0]);
    fail(&mut host, id, 0, Outcome::Rejected);
    let sends = host.attempt_nodes(id, 0);
    assert!(sends.len() == 2 && sends[0] != sends[1], "another node at once");
    fail(&mut host, id, 0, Outcome::Rejected);
    assert_eq!(host.final_answers(id), [Decision::Reject { multiget: id, retry_after: ms(500.0) }]);
    // A request that may have run is neither retried nor rejected as if it had not.
    let id = host.submit(MUTATING, &[1.0]);
    fail(&mut host, id, 0, Outcome::Invalid);
    assert_eq!(
        (host.attempt_nodes(id, 0).len(), host.final_answers(id)),
        (1, vec![Decision::Abort { multiget: id }])
    );
}

#[test_case(&[0, 1], true; "enough for the quorum")]
#[test_case(&[0], false; "too few for the quorum")]
fn given_four_shards_when_the_target_ends_then_a_partial_answer_is_given_if_the_quorum_is_reached(
    answered: &[usize],
    is_answered: bool,
) {
    let mut host = host(routes(), 4, 2);
    let start = host.now;
    let id = host.submit(FANOUT, &[0.25; 4]);
    // If one part is sent first, the others follow its answer.
    for index in answered {
        host.end_attempt(id, *index, 0, Outcome::Answered, 5.0);
        host.advance(5.0);
    }
    host.advance(start + TARGET_MS - 25.0 - host.now);
    assert_eq!(host.final_answers(id), []);
    host.advance(25.0);
    let partial = Decision::Complete { multiget: id, is_complete: false, is_final: true };
    assert_eq!(host.final_answers(id), Vec::from_iter(is_answered.then_some(partial)));
}

/// A late answer has half the value, and a partial one the square of its share.
#[test_case(true, 2, true; "half of the parts: wait for the complete answer")]
#[test_case(true, 3, false; "three quarters: the partial answer is worth more")]
#[test_case(false, 2, false; "value proportional to the share: no wait")]
fn given_late_parts_when_the_target_ends_then_waiting_depends_on_the_expected_value(
    squared: bool,
    answered: usize,
    waits: bool,
) {
    let mut site = routes();
    (site.use_cases[FANOUT].squares_partial_value, site.use_cases[FANOUT].late_value_share) = (squared, 0.5);
    let mut host = host(site, 5, 2);
    // The fifth part of these multigets shows how long a late answer takes.
    let ids: Vec<_> = (0..8).map(|_| host.submit(FANOUT, &[0.2; 5])).collect();
    host.advance(20.0);
    ids.iter()
        .for_each(|id| (0..4).for_each(|index| host.end_attempt(*id, index, 0, Outcome::Answered, 20.0)));
    host.advance(1480.0);
    ids.iter().for_each(|id| host.end_attempt(*id, 4, 0, Outcome::Answered, 1500.0));
    let id = host.submit(FANOUT, &[0.25; 4]);
    host.advance(20.0);
    (0..answered).for_each(|index| host.end_attempt(id, index, 0, Outcome::Answered, 20.0));
    host.advance(TARGET_MS - 20.0);
    assert_eq!(host.final_answers(id).is_empty(), waits);
    if waits {
        host.advance(500.0);
        (answered..4).for_each(|index| host.end_attempt(id, index, 0, Outcome::Answered, 1500.0));
        host.poll();
        assert_eq!(
            host.final_answers(id),
            [Decision::Complete { multiget: id, is_complete: true, is_final: true }]
        );
    }
}

/// Sends a request to the second shard after the first one's answers have been slow.
#[test_case(true, 0; "separate groups: admitted")]
#[test_case(false, 1; "one group: rejected by the first service's latencies")]
fn given_a_slow_service_when_another_gets_its_first_request_then_separate_groups_keep_it_from_being_rejected(
    has_separate_groups: bool,
    rejected: usize,
) {
    let mut site = routes();
    site.use_cases[FANOUT].latency_target = ms(0.2 * TARGET_MS);
    let mut host = host(site, 2, 2);
    if has_separate_groups {
        host.router.set_group(PlaceId(0), 1);
        host.router.set_group(PlaceId(1), 2);
    }
    host.warm_up(SINGLE_SHARD, 12, 0.4 * TARGET_MS);
    let (id, part) = (MultigetId(1000), PartId { multiget: MultigetId(1000), index: 0 });
    host.router.multiget_arrived(ms(host.now), &arrival(id, FANOUT, host.now + HARD_LIMIT_MS));
    let arrival = PartArrival { part, shard: ShardId(1), weight: 1.0, effort: None };
    host.router.part_arrived(ms(host.now), &arrival);
    host.poll();
    assert_eq!(host.final_answers(id).len(), rejected);
}

#[test_case(true, 0; "rejections cost value: admitted while it can be in time")]
#[test_case(false, 1; "rejections cost nothing: rejected")]
fn given_a_delay_close_to_the_target_when_rejections_cost_value_then_the_request_is_admitted(
    rejections_cost_value: bool,
    rejected: usize,
) {
    let mut host = host(SiteSettings { rejections_cost_value, ..routes() }, 1, 2);
    let busy = host.submit(SINGLE_SHARD, &[1.0]);
    host.advance(0.4 * TARGET_MS);
    host.end_attempt(busy, 0, 0, Outcome::Answered, 0.4 * TARGET_MS);
    // With two parts in flight, the next one's delay is a share of the target at which load is shed.
    let admitted: Vec<_> = (0..2).map(|_| host.submit(SINGLE_SHARD, &[1.0])).collect();
    assert!(admitted.iter().all(|id| host.final_answers(*id).is_empty()));
    let id = host.submit(SINGLE_SHARD, &[1.0]);
    assert_eq!(host.final_answers(id).len(), rejected);
}
