//! Queries in two phases: pruning, deadlines, unanswered blocks, failures between the phases, and term filters.

mod common;

use common::*;
use fernknot::interface::*;
use fernknot_engine::{Phase, Stage, Verdict};
use fernknot_protocol::matches::{self, MatchAnswer, MatchedBlocks};
use fernknot_protocol::multiget::BlockState;
use fernknot_router_config::{TwoPhaseSettings, UnansweredBlock};
use fernknot_two_phase::term_fingerprint;
use test_case::test_case;

const ALL: [u32; 4] = [0, 1, 2, 3];

fn host() -> Host {
    Host::new(site(), two_phase_settings(), 3)
}

#[test]
fn only_matching_blocks_are_fetched_and_the_answer_has_the_state_of_each_block() {
    let mut host = host();
    let query = host.submit(IDEMPOTENT, &ALL);
    host.advance(20.0);
    host.answer_matches(query, &ALL, &[1, 3]);
    let fetched: Vec<String> = host.in_flight(query, Phase::Fetch).into_iter().map(|sent| sent.id).collect();
    assert_eq!(fetched, ["q0,f.1", "q0,f.3"]);
    host.answer(query, Phase::Fetch, 1, "one");
    assert!(host.final_answer(query).is_none());
    host.answer(query, Phase::Fetch, 3, "three");
    let answer = host.final_answer(query).unwrap();
    let expected = vec![(ShardId(1), "one".to_string()), (ShardId(3), "three".to_string())];
    assert!(
        matches!(&answer.verdict, Verdict::Completed { is_complete: true, values, .. } if *values == expected),
        "{answer:?}"
    );
    let (pruned, fetched) = (BlockState::Pruned, BlockState::Fetched);
    assert_eq!(host.block_states(query), [(0, pruned), (1, fetched), (2, pruned), (3, fetched)]);
    let counters = &host.engine.counters;
    assert_eq!((counters.phased_whole, counters.blocks_fetched, counters.blocks_pruned), (1, 2, 2));
}

#[test]
fn if_no_block_matches_the_answer_is_complete_at_once() {
    let mut host = host();
    let query = host.submit(IDEMPOTENT, &ALL);
    host.advance(20.0);
    host.answer_matches(query, &ALL, &[]);
    let answer = host.final_answer(query).unwrap();
    assert!(is_complete_answer(answer) && answer.at_ms == host.now_ms, "{answer:?}");
    assert_eq!(host.block_states(query), ALL.map(|shard| (shard, BlockState::Pruned)));
    assert!(host.sent_attempts(query, Phase::Fetch).is_empty());
}

#[test]
fn if_all_blocks_match_all_are_fetched() {
    let mut host = host();
    let query = host.submit(IDEMPOTENT, &ALL);
    host.answer_matches(query, &ALL, &ALL);
    assert_eq!(host.in_flight(query, Phase::Fetch).len(), 4);
}

#[test_case(r#"{"blocks":[7]}"#; "a block that does not exist")]
#[test_case(r#"{"blocks":[0,0]}"#; "the same block twice")]
#[test_case(r#"{"blocks":[1]}"#; "another block, though blocks may only name themselves")]
#[test_case("{\"blocks\":[0"; "truncated")]
#[test_case("0"; "no match value")]
fn an_invalid_match_value_is_a_failed_attempt_and_the_part_is_retried(value: &str) {
    let mut host = host();
    let query = host.submit(IDEMPOTENT, &ALL);
    host.advance(10.0);
    host.answer(query, Phase::Match, 0, value);
    assert_eq!((host.engine.counters.match_values_bad, host.engine.counters.outcome_error), (1, 1));
    assert!(
        host.sent_attempts(query, Phase::Fetch).is_empty(),
        "the second phase must not open without the block"
    );
    let retried = host.in_flight(query, Phase::Match).into_iter().filter(|sent| sent.shard == 0);
    assert_eq!(retried.map(|sent| sent.number.0).collect::<Vec<_>>(), [1], "the part is retried once");
    host.answer_matches(query, &ALL, &[0]);
    assert_eq!(host.in_flight(query, Phase::Fetch).len(), 1);
}

/// The last answer of the first phase arrives `after_ms` after the query; second phases take 100 ms.
#[test_case(100.0, true; "early")]
#[test_case(700.0, true; "late, with time left for the second phase")]
#[test_case(950.0, false; "at 95 % of the latency target")]
fn a_second_phase_that_would_be_late_is_rejected_before_any_part_is_sent(after_ms: f64, opens: bool) {
    let mut host = Host::new(site(), TwoPhaseSettings { min_match_share: 1.0, ..two_phase_settings() }, 3);
    host.warm_up(12, &ALL, 20.0, 100.0);
    let query = host.submit(IDEMPOTENT, &ALL);
    host.answer_matches(query, &[0, 1, 2], &[]);
    host.advance(after_ms);
    host.answer_matches(query, &[3], &[3]);
    assert_eq!(host.sent_attempts(query, Phase::Fetch).len(), usize::from(opens));
    let answer = host.final_answer(query);
    assert_eq!(
        answer.is_some_and(|answer| is_rejection(answer) && answer.at_ms == host.now_ms),
        !opens,
        "{answer:?}"
    );
    assert_eq!(host.engine.counters.second_phase_refused, u64::from(!opens));
}

#[test]
fn a_query_is_rejected_as_soon_as_its_second_phase_is_certain_to_be_late() {
    let mut host = Host::new(site(), TwoPhaseSettings { min_match_share: 1.0, ..two_phase_settings() }, 3);
    host.warm_up(12, &ALL, 20.0, 300.0);
    let query = host.submit(IDEMPOTENT, &ALL);
    let start = host.now_ms;
    // One block is named as a match, so there will be a fetch, and every earlier fetch took 300 ms.
    host.answer_matches(query, &[0, 1, 2], &[1]);
    host.advance(LATENCY_TARGET_MS);
    let answer = host.final_answer(query).unwrap();
    assert!(is_rejection(answer) && answer.stage == Stage::FirstPhase, "{answer:?}");
    let elapsed_ms = answer.at_ms - start;
    assert!(elapsed_ms > 600.0 && elapsed_ms < 750.0, "about 300 ms before the latency target: {elapsed_ms}");
}

#[test]
fn a_block_without_an_answer_is_fetched_in_time_as_if_it_matched() {
    let mut host = host();
    host.warm_up(12, &ALL, 20.0, 100.0);
    let query = host.submit(IDEMPOTENT, &ALL);
    host.answer_matches(query, &[0, 1, 2], &[1]);
    let start = host.now_ms;
    host.advance(LATENCY_TARGET_MS - 50.0);
    let fetches = host.sent_attempts(query, Phase::Fetch);
    assert_eq!(fetches.iter().map(|sent| sent.shard).collect::<Vec<_>>(), [1, 3]);
    let opened_after_ms = fetches[0].at_ms - start;
    assert!(
        opened_after_ms > 600.0 && opened_after_ms < 900.0,
        "the first phase ends while the second has the 100 ms that it needs: {opened_after_ms}"
    );
}

#[test_case(UnansweredBlock::Leave, false; "not fetched, and the answer is partial")]
#[test_case(UnansweredBlock::Refuse, true; "rejected")]
fn the_use_case_determines_the_handling_of_an_unanswered_block(
    unanswered_block: UnansweredBlock,
    is_rejected: bool,
) {
    let mut host = Host::new(site(), TwoPhaseSettings { unanswered_block, ..two_phase_settings() }, 3);
    host.warm_up(12, &ALL, 20.0, 100.0);
    let query = host.submit(IDEMPOTENT, &ALL);
    host.answer_matches(query, &[0, 1, 2], &[1]);
    host.advance(LATENCY_TARGET_MS - 60.0);
    if !is_rejected {
        host.answer(query, Phase::Fetch, 1, "one");
    }
    host.advance(60.0);
    let answer = host.final_answer(query).unwrap();
    if is_rejected {
        assert!(is_rejection(answer) && answer.stage == Stage::FirstPhase, "{answer:?}");
        assert!(host.sent_attempts(query, Phase::Fetch).is_empty());
    } else {
        assert!(matches!(answer.verdict, Verdict::Completed { is_complete: false, .. }), "{answer:?}");
        let expected = [
            (0, BlockState::Pruned),
            (1, BlockState::Fetched),
            (2, BlockState::Pruned),
            (3, BlockState::Unasked),
        ];
        assert_eq!(host.block_states(query), expected);
    }
}

#[test]
fn where_blocks_name_others_no_block_is_ruled_out_while_one_has_not_answered() {
    let settings = TwoPhaseSettings {
        may_name_other_blocks: true,
        unanswered_block: UnansweredBlock::Leave,
        ..two_phase_settings()
    };
    let mut host = Host::new(site(), settings, 3);
    host.warm_up(12, &ALL, 20.0, 100.0);
    let query = host.submit(IDEMPOTENT, &ALL);
    host.answer(query, Phase::Match, 0, r#"{"blocks":[2]}"#);
    host.answer(query, Phase::Match, 1, r#"{"blocks":[2,0]}"#);
    host.answer(query, Phase::Match, 2, r#"{"blocks":[]}"#);
    host.advance(LATENCY_TARGET_MS - 60.0);
    host.answer(query, Phase::Fetch, 0, "zero");
    host.answer(query, Phase::Fetch, 2, "two");
    host.advance(60.0);
    let expected = [
        (0, BlockState::Fetched),
        (1, BlockState::Unasked),
        (2, BlockState::Fetched),
        (3, BlockState::Unasked),
    ];
    assert_eq!(host.block_states(query), expected);
    assert!(!is_complete_answer(host.final_answer(query).unwrap()));
}

#[test]
fn the_second_phase_is_not_opened_for_a_client_that_has_gone() {
    let mut host = host();
    let query = host.submit(IDEMPOTENT, &ALL);
    host.answer_matches(query, &[0, 1, 2], &ALL);
    let last = host.in_flight(query, Phase::Match)[0].clone();
    host.disconnect_client(query);
    host.answer_sent(&last, r#"{"blocks":[3]}"#);
    host.advance(HARD_LIMIT_MS);
    assert!(host.sent_attempts(query, Phase::Fetch).is_empty() && host.final_answer(query).is_none());
    assert_eq!(host.engine.counters.first_phase_lapsed, 1);
    assert_eq!((host.engine.table.len(), host.engine.two_phase_planner().in_flight()), (0, 0));
}

#[test]
fn a_match_answer_at_the_clients_deadline_does_not_open_the_second_phase() {
    let mut host = Host::new(site(), TwoPhaseSettings { min_match_share: 1.0, ..two_phase_settings() }, 3);
    let query = host.submit_with(IDEMPOTENT, &ALL, &[], 500.0);
    host.answer_matches(query, &[0, 1, 2], &[]);
    // The engine is not polled in between, so the client's deadline has passed when the engine applies the answer.
    let last = host.in_flight(query, Phase::Match)[0].clone();
    host.now_ms += 500.0;
    host.answer_sent(&last, r#"{"blocks":[3]}"#);
    host.advance(HARD_LIMIT_MS);
    let answers: Vec<_> = host.final_answers.iter().filter(|answer| answer.query == query).collect();
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert!(host.sent_attempts(query, Phase::Fetch).is_empty());
}

#[test]
fn a_stalled_store_whose_block_is_pruned_does_not_affect_the_query() {
    let mut host = Host::new(site(), two_phase_settings(), 1);
    host.warm_up(6, &[0, 3], 20.0, 40.0);
    // The node of shard 3 answers parts of first phases and nothing else: a query in one phase gets no answer.
    let stalled = host.submit(ONE_PHASE, &[3]);
    let query = host.submit(IDEMPOTENT, &[0, 3]);
    host.advance(10.0);
    host.answer_matches(query, &[0, 3], &[0]);
    assert!(host.sent_attempts(query, Phase::Fetch).iter().all(|sent| sent.shard != 3));
    host.answer(query, Phase::Fetch, 0, "zero");
    assert!(is_complete_answer(host.final_answer(query).unwrap()));
    assert!(host.final_answer(stalled).is_none());
}

#[test]
fn given_a_stalled_store_whose_block_is_pruned_when_many_queries_run_then_each_ends_with_its_last_fetch() {
    let mut host = Host::new(site(), two_phase_settings(), 1);
    for _ in 0..25 {
        let queries: Vec<u64> = (0..8).map(|_| host.submit(IDEMPOTENT, &ALL)).collect();
        host.advance(4.0);
        for query in &queries {
            while !host.in_flight(*query, Phase::Match).is_empty() {
                let in_flight: Vec<u32> =
                    host.in_flight(*query, Phase::Match).iter().map(|sent| sent.shard).collect();
                host.answer_matches(*query, &in_flight, &[0, 1, 2]);
            }
        }
        host.advance(4.0);
        for query in queries {
            let fetches = host.in_flight(query, Phase::Fetch);
            assert_eq!(fetches.iter().map(|sent| sent.shard).collect::<Vec<_>>(), [0, 1, 2]);
            assert!(host.final_answer(query).is_none());
            // The node of shard 3 does not answer, and no fetch is sent to that node.
            fetches.iter().for_each(|sent| host.answer_sent(sent, "value"));
            let answer = host.final_answer(query).unwrap();
            assert!(is_complete_answer(answer) && answer.at_ms == host.now_ms, "{answer:?}");
            assert_eq!(host.sent_attempts(query, Phase::Fetch).len(), 3);
        }
    }
    let counters = &host.engine.counters;
    assert_eq!((counters.phased_whole, counters.blocks_pruned), (200, 200));
    assert_eq!((counters.second_phase_failed, counters.second_phase_refused), (0, 0));
}

#[test]
fn a_stalled_store_whose_block_matches_makes_the_answer_partial_but_not_late() {
    let mut host = Host::new(site(), two_phase_settings(), 1);
    host.warm_up(6, &[0, 3], 20.0, 40.0);
    let query = host.submit(IDEMPOTENT, &[0, 3]);
    let start = host.now_ms;
    host.advance(10.0);
    host.answer_matches(query, &[0, 3], &[0, 3]);
    host.answer(query, Phase::Fetch, 0, "zero");
    host.advance(HARD_LIMIT_MS);
    let answer = host.final_answer(query).unwrap();
    assert!(matches!(answer.verdict, Verdict::Completed { is_complete: false, .. }), "{answer:?}");
    assert!(answer.at_ms - start <= LATENCY_TARGET_MS);
    assert_eq!(host.block_states(query), [(0, BlockState::Fetched), (3, BlockState::Missing)]);
}

#[test_case(IDEMPOTENT, Outcome::Invalid, true; "idempotent, invalid answer: retried")]
#[test_case(NON_IDEMPOTENT, Outcome::Unreachable, true; "non-idempotent, unreachable: retried")]
#[test_case(NON_IDEMPOTENT, Outcome::Invalid, false; "non-idempotent, invalid answer: not retried, as it may have run")]
fn a_failed_fetch_is_retried_only_if_it_may_run_again(use_case: usize, outcome: Outcome, is_retried: bool) {
    let mut host = host();
    let query = host.submit(use_case, &[0, 1]);
    host.advance(10.0);
    host.answer_matches(query, &[0, 1], &[0]);
    host.fail(query, Phase::Fetch, 0, outcome);
    assert_eq!(host.in_flight(query, Phase::Fetch).len(), usize::from(is_retried));
    host.advance(HARD_LIMIT_MS);
    // Half of the answer is ruled out, which meets the quorum of 0.5; a non-idempotent query is not rejected.
    let answer = host.final_answer(query).unwrap();
    assert!(!matches!(answer.verdict, Verdict::Rejected { .. }) || use_case == IDEMPOTENT, "{answer:?}");
    assert!(!is_complete_answer(answer));
}

#[test]
fn a_match_is_retried_even_if_its_use_case_is_not_idempotent() {
    let mut host = host();
    let query = host.submit(NON_IDEMPOTENT, &[0]);
    host.fail(query, Phase::Match, 0, Outcome::Invalid);
    assert_eq!(host.in_flight(query, Phase::Match).len(), 1);
    host.answer_matches(query, &[0], &[0]);
    assert_eq!(host.in_flight(query, Phase::Fetch).len(), 1);
    host.fail(query, Phase::Fetch, 0, Outcome::Invalid);
    host.advance(HARD_LIMIT_MS);
    let answer = host.final_answer(query).unwrap();
    assert_eq!((&answer.verdict, host.sent_attempts(query, Phase::Fetch).len()), (&Verdict::Failed, 1));
}

#[test]
fn no_fetch_is_sent_to_a_store_that_starts_draining_between_the_phases() {
    let mut host = host();
    host.warm_up(6, &ALL, 20.0, 40.0);
    let query = host.submit(IDEMPOTENT, &ALL);
    host.advance(10.0);
    host.answer_matches(query, &[0, 1, 2], &ALL);
    let draining: Vec<NodeEntry> = [0, 3, 4, 7, 8].map(|node| node_entry(node, Health::Draining)).to_vec();
    host.engine.apply_node_list(ListKind::Changes, &draining);
    host.answer_matches(query, &[3], &ALL);
    let to: Vec<u32> = host.in_flight(query, Phase::Fetch).iter().map(|sent| sent.node.0).collect();
    assert!(
        !to.is_empty() && to.iter().all(|node| draining.iter().all(|entry| entry.node.0 != *node)),
        "{to:?}"
    );
}

#[test]
fn a_late_match_answer_is_counted_and_has_no_effect() {
    let mut host = Host::new(SiteSettings { cancellation: false, ..site() }, two_phase_settings(), 3);
    host.warm_up(12, &ALL, 20.0, 100.0);
    let query = host.submit(IDEMPOTENT, &ALL);
    let unanswered = host.in_flight(query, Phase::Match)[3].clone();
    host.answer_matches(query, &[0, 1, 2], &[1]);
    host.advance(LATENCY_TARGET_MS - 60.0);
    let before = host.sent_attempts(query, Phase::Fetch).len();
    host.answer_sent(&unanswered, r#"{"blocks":[]}"#);
    assert_eq!(host.engine.counters.match_answers_late, 1);
    assert_eq!(host.sent_attempts(query, Phase::Fetch).len(), before);
    for sent in host.in_flight(query, Phase::Fetch) {
        host.answer_sent(&sent, "value");
    }
    assert!(host.block_states(query).contains(&(3, BlockState::Fetched)), "the fetch is not withdrawn");
}

#[test]
fn retries_of_first_phases_leave_half_of_the_budget_to_second_phases() {
    let budget =
        RetryBudgetSettings { free_retries: 4.0, retry_ratio: 0.0, window: ms(60_000.0), per_shard: false };
    let mut host = Host::new(SiteSettings { retry_budget: Some(budget), ..site() }, two_phase_settings(), 3);
    host.warm_up(80, &ALL, 10.0, 20.0);
    let query = host.submit(IDEMPOTENT, &ALL);
    host.advance(400.0);
    assert_eq!(host.engine.counters.hand_offs_further, 2, "overdue matches use half of the budget");
    let next = host.submit(IDEMPOTENT, &ALL);
    host.answer_matches(next, &ALL, &ALL);
    for shard in ALL {
        host.fail(next, Phase::Fetch, shard, Outcome::Error);
    }
    assert_eq!(host.engine.counters.hand_offs_further, 4, "failed fetches use the other half");
    host.advance(HARD_LIMIT_MS);
    assert_eq!(host.engine.counters.hand_offs_further, 4, "the budget bounds both phases together");
    assert!(host.final_answer(query).is_some() && host.final_answer(next).is_some());
}

fn match_value(blocks: Vec<ShardId>, summary: Option<(u64, &[&str])>) -> String {
    let fingerprints = |terms: &[&str]| terms.iter().map(|term| term_fingerprint(term)).collect();
    let summary = summary.map(|(version, terms)| (version, fingerprints(terms)));
    matches::write(&MatchAnswer { matched_blocks: MatchedBlocks::Blocks(blocks), summary })
}

/// The router has cached version 6 of the block's term filter (the terms in the block), which does not contain the
/// query's term.
#[test_case(6, false; "the store confirms the cached version: pruned")]
#[test_case(7, true; "a later version: fetched")]
#[test_case(5, true; "an earlier version: fetched")]
fn a_term_filter_prunes_only_at_the_version_that_its_store_confirms(version: u64, is_fetched: bool) {
    let mut host = host();
    let first = host.submit_with(IDEMPOTENT, &[0], &["beach"], HARD_LIMIT_MS);
    host.answer(first, Phase::Match, 0, &match_value(vec![], Some((6, &["harbour"]))));
    assert_eq!(host.engine.two_phase_planner().filter_version(ShardId(0)), Some(6));
    let query = host.submit_with(IDEMPOTENT, &[0], &["beach"], HARD_LIMIT_MS);
    host.answer(query, Phase::Match, 0, &format!(r#"{{"same":{version}}}"#));
    assert_eq!(host.in_flight(query, Phase::Fetch).len(), usize::from(is_fetched));
    assert_eq!(host.final_answer(query).is_some_and(is_complete_answer), !is_fetched);
}

#[test]
fn an_outdated_term_filter_does_not_override_the_current_answer_of_the_store() {
    let mut host = host();
    let first = host.submit_with(IDEMPOTENT, &[0], &["beach"], HARD_LIMIT_MS);
    host.answer(first, Phase::Match, 0, &match_value(vec![], Some((6, &[]))));
    let query = host.submit_with(IDEMPOTENT, &[0], &["beach"], HARD_LIMIT_MS);
    assert_eq!(
        host.in_flight(query, Phase::Match).len(),
        1,
        "the block is asked although its filter is empty"
    );
    host.answer(query, Phase::Match, 0, &match_value(vec![ShardId(0)], Some((7, &["beach"]))));
    assert_eq!(host.in_flight(query, Phase::Fetch).len(), 1);
}

#[test]
fn a_burst_of_queries_is_rejected_when_the_second_phases_would_exceed_the_capacity() {
    let mut host = Host::new(site(), two_phase_settings(), 1);
    host.warm_up(20, &ALL, 10.0, 100.0);
    let queries: Vec<u64> = (0..200).map(|_| host.submit(IDEMPOTENT, &ALL)).collect();
    let rejected =
        queries.iter().filter(|query| host.final_answer(**query).is_some_and(is_rejection)).count();
    assert!(rejected > 100, "{rejected} of 200 rejected at once");
    assert!(queries.iter().all(|query| host.sent_attempts(*query, Phase::Fetch).is_empty()));
}
