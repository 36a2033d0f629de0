//! Random sequences of events: the guarantees on answers, retries and pruning hold, and no state is left at the end.

mod common;

use common::*;
use fernknot::interface::*;
use fernknot_engine::{Phase, Verdict};
use fernknot_protocol::multiget::BlockState;
use fernknot_router_config::{TwoPhaseSettings, UnansweredBlock};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Submit { use_case: usize, shards: Vec<u32>, client_timeout_ms: f64 },
    Answer { choice: usize, value: usize },
    Fail { choice: usize, failure: usize },
    Advance { millis: f64 },
    Disconnect { choice: usize },
    Drain { node: u32, back: bool },
}

/// Values with which a node may answer a part of a first phase; `#` stands for the block that the part asks.
const MATCH_VALUES: [&str; 9] = [
    r#"{"blocks":[#]}"#,
    r#"{"blocks":[#]}"#,
    r#"{"blocks":[]}"#,
    r#"{"blocks":[]}"#,
    r#"{"blocks":[#,#]}"#,
    r#"{"blocks":[77]}"#,
    r#"{"same":3}"#,
    r#"{"blocks":[],"version":3,"prints":""}"#,
    "no match value",
];
const FAILURES: [Outcome; 5] =
    [Outcome::Error, Outcome::Rejected, Outcome::Unreachable, Outcome::Invalid, Outcome::NeverSent];

fn step() -> impl Strategy<Value = Step> {
    let shards = prop::sample::subsequence((0u32..12).collect::<Vec<_>>(), 1..8);
    prop_oneof![
        4 => (0usize..3, shards, prop_oneof![Just(HARD_LIMIT_MS), 20.0..2000.0])
            .prop_map(|(use_case, shards, client_timeout_ms)| Step::Submit { use_case, shards, client_timeout_ms }),
        24 => (any::<usize>(), 0usize..MATCH_VALUES.len()).prop_map(|(choice, value)| Step::Answer { choice, value }),
        4 => (any::<usize>(), 0usize..FAILURES.len()).prop_map(|(choice, failure)| Step::Fail { choice, failure }),
        6 => (0.0..80.0).prop_map(|millis| Step::Advance { millis }),
        1 => (900.0..1500.0).prop_map(|millis| Step::Advance { millis }),
        1 => any::<usize>().prop_map(|choice| Step::Disconnect { choice }),
        1 => (0u32..12, any::<bool>()).prop_map(|(node, back)| Step::Drain { node, back }),
    ]
}

fn settings() -> impl Strategy<Value = TwoPhaseSettings> {
    let unanswered_block = prop_oneof![
        Just(UnansweredBlock::Fetch),
        Just(UnansweredBlock::Leave),
        Just(UnansweredBlock::Refuse)
    ];
    (unanswered_block, any::<bool>(), 0.3..1.0).prop_map(
        |(unanswered_block, may_name_other_blocks, min_match_share)| TwoPhaseSettings {
            unanswered_block,
            may_name_other_blocks,
            min_match_share,
            ..two_phase_settings()
        },
    )
}

/// Observations of the test, independent of the engine's state.
#[derive(Default)]
struct Observations {
    /// By query: time of its arrival and time-out of its client in milliseconds, and its shards.
    queries: BTreeMap<u64, (f64, f64, Vec<u32>)>,
    /// By query and shard: whether the shard's block named itself as a match in its first valid answer in the first
    /// phase.
    names_itself: BTreeMap<(u64, u32), bool>,
}

impl Observations {
    fn record_answer(&mut self, host: &Host, sent: &SentAttempt, value: usize) {
        let is_closed = host
            .engine
            .table
            .get(sent.part.multiget)
            .is_none_or(|multiget| multiget.is_second_phase_open() || multiget.is_over);
        let is_valid =
            MATCH_VALUES[value].contains("\"blocks\":[#]") || MATCH_VALUES[value].contains("\"blocks\":[]");
        let confirms_version = MATCH_VALUES[value].contains("same");
        if sent.phase == Phase::Match && !is_closed && (is_valid || confirms_version) {
            let names_itself = MATCH_VALUES[value].contains('#');
            self.names_itself.entry((sent.query, sent.shard)).or_insert(names_itself);
        }
    }
}

fn run_steps(host: &mut Host, steps: &[Step], observations: &mut Observations) {
    for step in steps {
        let in_flight: Vec<usize> =
            (0..host.sent.len()).filter(|index| !host.sent[*index].has_ended).collect();
        match step {
            Step::Submit { use_case, shards, client_timeout_ms } => {
                let arrived_at = host.now_ms;
                let query = host.submit_with(*use_case, shards, &["term"], *client_timeout_ms);
                observations.queries.insert(query, (arrived_at, *client_timeout_ms, shards.clone()));
            }
            Step::Answer { choice, value } if !in_flight.is_empty() => {
                let sent = host.sent[in_flight[choice % in_flight.len()]].clone();
                observations.record_answer(host, &sent, *value);
                let value = match sent.phase {
                    Phase::Match => MATCH_VALUES[*value].replace('#', &sent.shard.to_string()),
                    _ => "value".to_string(),
                };
                host.answer_sent(&sent, &value);
            }
            Step::Fail { choice, failure } if !in_flight.is_empty() => {
                let sent = host.sent[in_flight[choice % in_flight.len()]].clone();
                host.end_attempt(sent.part, sent.number, FAILURES[*failure]);
                host.run_actions();
            }
            Step::Advance { millis } => host.advance(*millis),
            Step::Disconnect { choice } => {
                let unfinished_queries = host.unfinished_queries();
                if !unfinished_queries.is_empty() {
                    host.disconnect_client(unfinished_queries[choice % unfinished_queries.len()]);
                }
            }
            Step::Drain { node, back } => {
                let health = if *back { Health::Running } else { Health::Draining };
                host.engine.apply_node_list(ListKind::Changes, &[node_entry(*node, health)]);
            }
            Step::Answer { .. } | Step::Fail { .. } => {}
        }
    }
    host.advance(2.0 * HARD_LIMIT_MS);
    for sent in host.sent.clone().into_iter().filter(|sent| !sent.has_ended) {
        host.end_attempt(sent.part, sent.number, Outcome::Invalid);
    }
    host.run_actions();
}

fn check_guarantees(host: &Host, observations: &Observations, may_name_other_blocks: bool) {
    // Each query whose client has not gone has exactly one final answer, before the client's deadline. No attempt is
    // sent after it.
    for query in 0..host.query_count() {
        let final_answers: Vec<_> =
            host.final_answers.iter().filter(|answer| answer.query == query).collect();
        assert_eq!(
            final_answers.len(),
            usize::from(!host.client_has_gone(query)),
            "query {query}: {final_answers:?}"
        );
        let (arrived_at, client_timeout_ms, _) = observations.queries[&query];
        assert!(
            final_answers.iter().all(|answer| answer.at_ms <= arrived_at + client_timeout_ms + 0.01),
            "query {query}: {final_answers:?}"
        );
    }
    assert!(host.sent.iter().all(|sent| !sent.sent_after_end));
    // A fetch of a non-idempotent use case is sent again only if no earlier attempt may have run, and the query is not
    // rejected if one may have run.
    let fetches: Vec<_> = host.sent.iter().filter(|sent| sent.phase == Phase::Fetch).collect();
    for sent in fetches {
        let verdict = host.final_answer(sent.query).map(|answer| &answer.verdict);
        let use_case = host.use_case_of(sent.query);
        assert!(use_case != NON_IDEMPOTENT || sent.earlier_possible_runs == 0, "{sent:?}");
        let may_have_run = sent.outcome.is_none_or(|outcome| {
            !matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent)
        });
        let is_rejected = matches!(verdict, Some(Verdict::Rejected { .. }));
        assert!(
            use_case != NON_IDEMPOTENT || !may_have_run || !is_rejected,
            "rejected though it may have run: {sent:?}"
        );
    }
    // An answer is complete only if every block is fetched or ruled out. It has a value for each fetched block.
    for answer in &host.final_answers {
        let Verdict::Completed { is_complete, values, blocks: Some(blocks), .. } = &answer.verdict else {
            continue;
        };
        let fetched: Vec<ShardId> = blocks
            .iter()
            .filter(|(_, state)| *state == BlockState::Fetched)
            .map(|(shard, _)| *shard)
            .collect();
        let mut answered: Vec<ShardId> = values.iter().map(|(shard, _)| *shard).collect();
        answered.sort();
        assert_eq!(answered, fetched, "{answer:?}");
        // A block is ruled out only if it answered without naming itself and, where blocks may name others, if all
        // blocks answered.
        let shards = &observations.queries[&answer.query].2;
        let own_answer = |shard: u32| observations.names_itself.get(&(answer.query, shard)).copied();
        let all_answered = shards.iter().all(|shard| own_answer(*shard).is_some());
        for (shard, _) in blocks.iter().filter(|(_, state)| *state == BlockState::Pruned) {
            assert_eq!(own_answer(shard.0), Some(false), "{shard:?} {answer:?}");
            assert!(!may_name_other_blocks || all_answered, "{answer:?}");
        }
        assert_eq!(blocks.len(), shards.len(), "every block has a state");
        let is_done =
            blocks.iter().all(|(_, state)| matches!(state, BlockState::Fetched | BlockState::Pruned));
        assert!(!is_complete || is_done, "{answer:?}");
        // No part is sent for a phase that was not opened or for a block that was ruled out.
        for sent in host.sent_attempts(answer.query, Phase::Fetch) {
            let state = blocks.iter().find(|(shard, _)| shard.0 == sent.shard).map(|(_, state)| *state);
            assert!(matches!(state, Some(BlockState::Fetched | BlockState::Missing)), "{sent:?} {answer:?}");
        }
    }
    // No state of any query is left.
    assert_eq!(
        (host.engine.table.len(), host.engine.table.unanswered, host.engine.two_phase_planner().in_flight()),
        (0, 0, 0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_guarantees_hold_for_any_sequence_of_events(
        settings in settings(),
        cancel in any::<bool>(),
        steps in prop::collection::vec(step(), 300..500),
    ) {
        let may_name_other_blocks = settings.may_name_other_blocks;
        let mut host = Host::new(SiteSettings { cancellation: cancel, ..site() }, settings, 3);
        let mut observations = Observations::default();
        run_steps(&mut host, &steps, &mut observations);
        check_guarantees(&host, &observations, may_name_other_blocks);
    }
}
