//! The hard cases of queries in two phases, each caused on purpose.

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
    Host::new(site(), phases(), 3)
}

#[test]
fn only_what_matches_is_fetched_and_the_answer_says_so_of_each_block() {
    let mut host = host();
    let asker = host.ask(REPLAYABLE, &ALL);
    host.pass(20.0);
    host.say(asker, &ALL, &[1, 3]);
    let fetched: Vec<String> = host.out(asker, Phase::Fetch).into_iter().map(|sent| sent.id).collect();
    assert_eq!(fetched, ["q0,f.1", "q0,f.3"]);
    host.answer(asker, Phase::Fetch, 1, "one");
    assert!(host.final_of(asker).is_none());
    host.answer(asker, Phase::Fetch, 3, "three");
    let given = host.final_of(asker).unwrap();
    let found = vec![(ShardId(1), "one".to_string()), (ShardId(3), "three".to_string())];
    assert!(
        matches!(&given.verdict, Verdict::Completed { is_complete: true, found: given, .. } if *given == found),
        "{given:?}"
    );
    let (pruned, fetched) = (BlockState::Pruned, BlockState::Fetched);
    assert_eq!(host.said(asker), [(0, pruned), (1, fetched), (2, pruned), (3, fetched)]);
    let counters = &host.engine.counters;
    assert_eq!((counters.phased_whole, counters.blocks_fetched, counters.blocks_pruned), (1, 2, 2));
}

#[test]
fn where_nothing_matches_the_answer_is_complete_at_once() {
    let mut host = host();
    let asker = host.ask(REPLAYABLE, &ALL);
    host.pass(20.0);
    host.say(asker, &ALL, &[]);
    let given = host.final_of(asker).unwrap();
    assert!(is_whole(given) && given.at == host.now, "{given:?}");
    assert_eq!(host.said(asker), ALL.map(|shard| (shard, BlockState::Pruned)));
    assert!(host.all(asker, Phase::Fetch).is_empty());
}

#[test]
fn where_all_match_all_are_fetched() {
    let mut host = host();
    let asker = host.ask(REPLAYABLE, &ALL);
    host.say(asker, &ALL, &ALL);
    assert_eq!(host.out(asker, Phase::Fetch).len(), 4);
}

#[test_case(r#"{"blocks":[7]}"#; "a block that does not exist")]
#[test_case(r#"{"blocks":[0,0]}"#; "the same block twice")]
#[test_case(r#"{"blocks":[1]}"#; "another block, where blocks name only themselves")]
#[test_case("{\"blocks\":[0"; "cut off")]
#[test_case("0"; "no match value")]
fn a_bad_match_value_is_a_failed_attempt_and_the_block_is_asked_again(value: &str) {
    let mut host = host();
    let asker = host.ask(REPLAYABLE, &ALL);
    host.pass(10.0);
    host.answer(asker, Phase::Match, 0, value);
    assert_eq!((host.engine.counters.match_values_bad, host.engine.counters.outcome_error), (1, 1));
    assert!(host.all(asker, Phase::Fetch).is_empty(), "never a smaller fetch");
    let again = host.out(asker, Phase::Match).into_iter().filter(|sent| sent.shard == 0);
    assert_eq!(again.map(|sent| sent.no.0).collect::<Vec<_>>(), [1], "another store of the shard is asked");
    host.say(asker, &ALL, &[0]);
    assert_eq!(host.out(asker, Phase::Fetch).len(), 1);
}

/// When the last match comes, after so long, with second phases that take 100 ms.
#[test_case(100.0, true; "early")]
#[test_case(700.0, true; "late, with room")]
#[test_case(950.0, false; "at 95 hundredths of the goal time")]
fn a_second_phase_that_cannot_be_in_time_is_refused_before_any_of_it_is_sent(after: f64, opens: bool) {
    let mut host = Host::new(site(), TwoPhaseSettings { min_match_share: 1.0, ..phases() }, 3);
    host.warm_up(12, &ALL, 20.0, 100.0);
    let asker = host.ask(REPLAYABLE, &ALL);
    host.say(asker, &[0, 1, 2], &[]);
    host.pass(after);
    host.say(asker, &[3], &[3]);
    assert_eq!(host.all(asker, Phase::Fetch).len(), usize::from(opens));
    let given = host.final_of(asker);
    assert_eq!(given.is_some_and(|given| is_dismissed(given) && given.at == host.now), !opens, "{given:?}");
    assert_eq!(host.engine.counters.second_phase_refused, u64::from(!opens));
}

#[test]
fn a_first_phase_ends_as_soon_as_the_second_is_certain_to_be_late() {
    let mut host = Host::new(site(), TwoPhaseSettings { min_match_share: 1.0, ..phases() }, 3);
    host.warm_up(12, &ALL, 20.0, 300.0);
    let asker = host.ask(REPLAYABLE, &ALL);
    let start = host.now;
    // One block is named, so there will be a fetch, and none has been quicker than 300 ms.
    host.say(asker, &[0, 1, 2], &[1]);
    host.pass(GOAL);
    let given = host.final_of(asker).unwrap();
    assert!(is_dismissed(given) && given.ended == Stage::FirstPhase, "{given:?}");
    let at = given.at - start;
    assert!(at > 600.0 && at < 750.0, "not at the goal time, but 300 ms before it: {at}");
}

#[test]
fn a_block_that_never_says_is_fetched_in_time_as_if_it_matched() {
    let mut host = host();
    host.warm_up(12, &ALL, 20.0, 100.0);
    let asker = host.ask(REPLAYABLE, &ALL);
    host.say(asker, &[0, 1, 2], &[1]);
    let start = host.now;
    host.pass(GOAL - 50.0);
    let fetches = host.all(asker, Phase::Fetch);
    assert_eq!(fetches.iter().map(|sent| sent.shard).collect::<Vec<_>>(), [1, 3]);
    let opened = fetches[0].at - start;
    assert!(
        opened > 600.0 && opened < 900.0,
        "the first phase stops while the second has its 100 ms: {opened}"
    );
}

#[test_case(UnansweredBlock::Leave, false; "left out, and the answer is not whole")]
#[test_case(UnansweredBlock::Refuse, true; "refused")]
fn what_a_silent_block_means_is_the_use_cases_to_say(silent: UnansweredBlock, refused: bool) {
    let mut host = Host::new(site(), TwoPhaseSettings { unanswered_block: silent, ..phases() }, 3);
    host.warm_up(12, &ALL, 20.0, 100.0);
    let asker = host.ask(REPLAYABLE, &ALL);
    host.say(asker, &[0, 1, 2], &[1]);
    host.pass(GOAL - 60.0);
    if !refused {
        host.answer(asker, Phase::Fetch, 1, "one");
    }
    host.pass(60.0);
    let given = host.final_of(asker).unwrap();
    if refused {
        assert!(is_dismissed(given) && given.ended == Stage::FirstPhase, "{given:?}");
        assert!(host.all(asker, Phase::Fetch).is_empty());
    } else {
        assert!(matches!(given.verdict, Verdict::Completed { is_complete: false, .. }), "{given:?}");
        let said = [
            (0, BlockState::Pruned),
            (1, BlockState::Fetched),
            (2, BlockState::Pruned),
            (3, BlockState::Unasked),
        ];
        assert_eq!(host.said(asker), said);
    }
}

#[test]
fn where_blocks_name_others_a_silent_one_rules_nothing_out() {
    let facts = TwoPhaseSettings { names_others: true, unanswered_block: UnansweredBlock::Leave, ..phases() };
    let mut host = Host::new(site(), facts, 3);
    host.warm_up(12, &ALL, 20.0, 100.0);
    let asker = host.ask(REPLAYABLE, &ALL);
    host.answer(asker, Phase::Match, 0, r#"{"blocks":[2]}"#);
    host.answer(asker, Phase::Match, 1, r#"{"blocks":[2,0]}"#);
    host.answer(asker, Phase::Match, 2, r#"{"blocks":[]}"#);
    host.pass(GOAL - 60.0);
    host.answer(asker, Phase::Fetch, 0, "zero");
    host.answer(asker, Phase::Fetch, 2, "two");
    host.pass(60.0);
    let said = [
        (0, BlockState::Fetched),
        (1, BlockState::Unasked),
        (2, BlockState::Fetched),
        (3, BlockState::Unasked),
    ];
    assert_eq!(host.said(asker), said);
    assert!(!is_whole(host.final_of(asker).unwrap()));
}

#[test]
fn nothing_is_opened_for_a_client_that_has_gone() {
    let mut host = host();
    let asker = host.ask(REPLAYABLE, &ALL);
    host.say(asker, &[0, 1, 2], &ALL);
    let last = host.out(asker, Phase::Match)[0].clone();
    host.lapse(asker);
    host.answer_sent(&last, r#"{"blocks":[3]}"#);
    host.pass(HARD);
    assert!(host.all(asker, Phase::Fetch).is_empty() && host.final_of(asker).is_none());
    assert_eq!(host.engine.counters.first_phase_lapsed, 1);
    assert_eq!((host.engine.table.len(), host.engine.phases().in_flight()), (0, 0));
}

#[test]
fn matches_that_come_in_the_turn_of_the_hard_limit_open_nothing() {
    let mut host = Host::new(site(), TwoPhaseSettings { min_match_share: 1.0, ..phases() }, 3);
    let asker = host.ask_for(REPLAYABLE, &ALL, &[], 500.0);
    host.say(asker, &[0, 1, 2], &[]);
    // No pull between: the limit has come when the answer is looked at.
    let last = host.out(asker, Phase::Match)[0].clone();
    host.now += 500.0;
    host.answer_sent(&last, r#"{"blocks":[3]}"#);
    host.pass(HARD);
    let given: Vec<_> = host.finals.iter().filter(|given| given.asker == asker).collect();
    assert_eq!(given.len(), 1, "{given:?}");
    assert!(host.all(asker, Phase::Fetch).is_empty());
}

#[test]
fn a_pruned_block_whose_only_store_stalls_dooms_nothing() {
    let mut host = Host::new(site(), phases(), 1);
    host.warm_up(6, &[0, 3], 20.0, 40.0);
    // The store of shard 3 answers the match and nothing else: a plain query waits for it in vain.
    let stuck = host.ask(PLAIN, &[3]);
    let asker = host.ask(REPLAYABLE, &[0, 3]);
    host.pass(10.0);
    host.say(asker, &[0, 3], &[0]);
    assert!(host.all(asker, Phase::Fetch).iter().all(|sent| sent.shard != 3));
    host.answer(asker, Phase::Fetch, 0, "zero");
    assert!(is_whole(host.final_of(asker).unwrap()));
    assert!(host.final_of(stuck).is_none());
}

#[test]
fn given_a_pruned_block_whose_only_store_stalls_when_many_ask_then_each_ends_with_its_last_fetch() {
    let mut host = Host::new(site(), phases(), 1);
    for _ in 0..25 {
        let askers: Vec<u64> = (0..8).map(|_| host.ask(REPLAYABLE, &ALL)).collect();
        host.pass(4.0);
        for asker in &askers {
            while !host.out(*asker, Phase::Match).is_empty() {
                let out: Vec<u32> = host.out(*asker, Phase::Match).iter().map(|sent| sent.shard).collect();
                host.say(*asker, &out, &[0, 1, 2]);
            }
        }
        host.pass(4.0);
        for asker in askers {
            let fetches = host.out(asker, Phase::Fetch);
            assert_eq!(fetches.iter().map(|sent| sent.shard).collect::<Vec<_>>(), [0, 1, 2]);
            assert!(host.final_of(asker).is_none());
            // The store of shard 3 would answer no fetch.
            fetches.iter().for_each(|sent| host.answer_sent(sent, "value"));
            let given = host.final_of(asker).unwrap();
            assert!(is_whole(given) && given.at == host.now, "{given:?}");
            assert_eq!(host.all(asker, Phase::Fetch).len(), 3);
        }
    }
    let counters = &host.engine.counters;
    assert_eq!((counters.phased_whole, counters.blocks_pruned), (200, 200));
    assert_eq!((counters.second_phase_failed, counters.second_phase_refused), (0, 0));
}

#[test]
fn a_needed_block_whose_only_store_stalls_ends_the_query_in_time_and_in_part() {
    let mut host = Host::new(site(), phases(), 1);
    host.warm_up(6, &[0, 3], 20.0, 40.0);
    let asker = host.ask(REPLAYABLE, &[0, 3]);
    let start = host.now;
    host.pass(10.0);
    host.say(asker, &[0, 3], &[0, 3]);
    host.answer(asker, Phase::Fetch, 0, "zero");
    host.pass(HARD);
    let given = host.final_of(asker).unwrap();
    assert!(matches!(given.verdict, Verdict::Completed { is_complete: false, .. }), "{given:?}");
    assert!(given.at - start <= GOAL);
    assert_eq!(host.said(asker), [(0, BlockState::Fetched), (3, BlockState::Missing)]);
}

#[test_case(REPLAYABLE, Outcome::Invalid, true; "replayable, broken: another store")]
#[test_case(SINGLE_USE, Outcome::Unreachable, true; "single-use, never reached: another store")]
#[test_case(SINGLE_USE, Outcome::Invalid, false; "single-use, broken: it may have run")]
fn a_store_that_dies_between_its_match_and_its_fetch(use_case: usize, outcome: Outcome, again: bool) {
    let mut host = host();
    let asker = host.ask(use_case, &[0, 1]);
    host.pass(10.0);
    host.say(asker, &[0, 1], &[0]);
    host.fail(asker, Phase::Fetch, 0, outcome);
    assert_eq!(host.out(asker, Phase::Fetch).len(), usize::from(again));
    host.pass(HARD);
    // Half the answer is ruled out, which the floor allows; a single-use part is never dismissed.
    let given = host.final_of(asker).unwrap();
    assert!(!matches!(given.verdict, Verdict::Rejected { .. }) || use_case == REPLAYABLE, "{given:?}");
    assert!(!is_whole(given));
}

#[test]
fn a_first_phase_may_be_repeated_whatever_its_use_case_says_of_effects() {
    let mut host = host();
    let asker = host.ask(SINGLE_USE, &[0]);
    host.fail(asker, Phase::Match, 0, Outcome::Invalid);
    assert_eq!(host.out(asker, Phase::Match).len(), 1);
    host.say(asker, &[0], &[0]);
    assert_eq!(host.out(asker, Phase::Fetch).len(), 1);
    host.fail(asker, Phase::Fetch, 0, Outcome::Invalid);
    host.pass(HARD);
    let given = host.final_of(asker).unwrap();
    assert_eq!((&given.verdict, host.all(asker, Phase::Fetch).len()), (&Verdict::Failed, 1));
}

#[test]
fn nothing_goes_to_a_store_that_drains_between_the_phases() {
    let mut host = host();
    host.warm_up(6, &ALL, 20.0, 40.0);
    let asker = host.ask(REPLAYABLE, &ALL);
    host.pass(10.0);
    host.say(asker, &[0, 1, 2], &ALL);
    let draining: Vec<NodeEntry> = [0, 3, 4, 7, 8].map(|node| entry(node, Health::Draining)).to_vec();
    host.engine.list(ListKind::Changes, &draining);
    host.say(asker, &[3], &ALL);
    let to: Vec<u32> = host.out(asker, Phase::Fetch).iter().map(|sent| sent.node.0).collect();
    assert!(
        !to.is_empty() && to.iter().all(|node| draining.iter().all(|entry| entry.node.0 != *node)),
        "{to:?}"
    );
}

#[test]
fn a_late_match_answer_is_counted_and_changes_nothing() {
    let mut host = Host::new(SiteSettings { cancellation: false, ..site() }, phases(), 3);
    host.warm_up(12, &ALL, 20.0, 100.0);
    let asker = host.ask(REPLAYABLE, &ALL);
    let silent = host.out(asker, Phase::Match)[3].clone();
    host.say(asker, &[0, 1, 2], &[1]);
    host.pass(GOAL - 60.0);
    let before = host.all(asker, Phase::Fetch).len();
    host.answer_sent(&silent, r#"{"blocks":[]}"#);
    assert_eq!(host.engine.counters.match_answers_late, 1);
    assert_eq!(host.all(asker, Phase::Fetch).len(), before);
    for sent in host.out(asker, Phase::Fetch) {
        host.answer_sent(&sent, "value");
    }
    assert!(host.said(asker).contains(&(3, BlockState::Fetched)), "the fetch that was opened stands");
}

#[test]
fn copies_of_first_phases_leave_second_ones_their_share_of_the_budget() {
    let budget =
        RetryBudgetSettings { free_retries: 4.0, retry_ratio: 0.0, window: ms(60_000.0), per_shard: false };
    let mut host = Host::new(SiteSettings { retry_budget: Some(budget), ..site() }, phases(), 3);
    host.warm_up(80, &ALL, 10.0, 20.0);
    let asker = host.ask(REPLAYABLE, &ALL);
    host.pass(400.0);
    assert_eq!(host.engine.counters.hand_offs_further, 2, "overdue matches get half the budget");
    let next = host.ask(REPLAYABLE, &ALL);
    host.say(next, &ALL, &ALL);
    for shard in ALL {
        host.fail(next, Phase::Fetch, shard, Outcome::Error);
    }
    assert_eq!(host.engine.counters.hand_offs_further, 4, "fetches that failed get the other half");
    host.pass(HARD);
    assert_eq!(host.engine.counters.hand_offs_further, 4, "and no more, over both phases");
    assert!(host.final_of(asker).is_some() && host.final_of(next).is_some());
}

fn match_value(blocks: Vec<ShardId>, sketch: Option<(u64, &[&str])>) -> String {
    let prints = |words: &[&str]| words.iter().map(|word| term_fingerprint(word)).collect();
    let sketch = sketch.map(|(version, words)| (version, prints(words)));
    matches::write(&MatchAnswer { names: MatchedBlocks::Blocks(blocks), sketch })
}

/// The router keeps version 6 of the block's summary, in which the term is lacking.
#[test_case(6, false; "the store confirms that version: pruned")]
#[test_case(7, true; "a version on: fetched")]
#[test_case(5, true; "a version back: fetched")]
fn a_sketch_prunes_only_in_the_version_that_its_store_confirms(version: u64, fetched: bool) {
    let mut host = host();
    let first = host.ask_for(REPLAYABLE, &[0], &["beach"], HARD);
    host.answer(first, Phase::Match, 0, &match_value(vec![], Some((6, &["harbour"]))));
    assert_eq!(host.engine.phases().filter_version(ShardId(0)), Some(6));
    let asker = host.ask_for(REPLAYABLE, &[0], &["beach"], HARD);
    host.answer(asker, Phase::Match, 0, &format!(r#"{{"same":{version}}}"#));
    assert_eq!(host.out(asker, Phase::Fetch).len(), usize::from(fetched));
    assert_eq!(host.final_of(asker).is_some_and(is_whole), !fetched);
}

#[test]
fn a_sketch_that_claims_a_block_is_empty_does_not_outweigh_what_its_store_says_now() {
    let mut host = host();
    let first = host.ask_for(REPLAYABLE, &[0], &["beach"], HARD);
    host.answer(first, Phase::Match, 0, &match_value(vec![], Some((6, &[]))));
    let asker = host.ask_for(REPLAYABLE, &[0], &["beach"], HARD);
    assert_eq!(host.out(asker, Phase::Match).len(), 1, "asked all the same");
    host.answer(asker, Phase::Match, 0, &match_value(vec![ShardId(0)], Some((7, &["beach"]))));
    assert_eq!(host.out(asker, Phase::Fetch).len(), 1);
}

#[test]
fn a_burst_of_cheap_first_phases_does_not_admit_seconds_that_nobody_can_carry() {
    let mut host = Host::new(site(), phases(), 1);
    host.warm_up(20, &ALL, 10.0, 100.0);
    let askers: Vec<u64> = (0..200).map(|_| host.ask(REPLAYABLE, &ALL)).collect();
    let refused = askers.iter().filter(|asker| host.final_of(**asker).is_some_and(is_dismissed)).count();
    assert!(refused > 100, "{refused} of 200 refused at once");
    assert!(askers.iter().all(|asker| host.all(*asker, Phase::Fetch).is_empty()));
}
