//! Long random orders of events: whatever comes in whatever order, the rules hold and nothing is kept.

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
    Ask { use_case: usize, shards: Vec<u32>, stays: f64 },
    Answer { which: usize, value: usize },
    Fail { which: usize, how: usize },
    Pass { millis: f64 },
    Leave { which: usize },
    Drain { node: u32, back: bool },
}

/// What a store may say to a match; `#` stands for its own block.
const VALUES: [&str; 9] = [
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
        4 => (0usize..3, shards, prop_oneof![Just(HARD), 20.0..2000.0])
            .prop_map(|(use_case, shards, stays)| Step::Ask { use_case, shards, stays }),
        24 => (any::<usize>(), 0usize..VALUES.len()).prop_map(|(which, value)| Step::Answer { which, value }),
        4 => (any::<usize>(), 0usize..FAILURES.len()).prop_map(|(which, how)| Step::Fail { which, how }),
        6 => (0.0..80.0).prop_map(|millis| Step::Pass { millis }),
        1 => (900.0..1500.0).prop_map(|millis| Step::Pass { millis }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        1 => (0u32..12, any::<bool>()).prop_map(|(node, back)| Step::Drain { node, back }),
    ]
}

fn facts() -> impl Strategy<Value = TwoPhaseSettings> {
    let silent = prop_oneof![
        Just(UnansweredBlock::Fetch),
        Just(UnansweredBlock::Leave),
        Just(UnansweredBlock::Refuse)
    ];
    (silent, any::<bool>(), 0.3..1.0).prop_map(|(silent, names_others, least)| TwoPhaseSettings {
        unanswered_block: silent,
        names_others,
        min_match_share: least,
        ..phases()
    })
}

/// What the test itself saw, apart from the engine: when each query was asked and how long its client
/// stays, what it asked, and what each block had said of itself before the second phase was opened.
#[derive(Default)]
struct Seen {
    asked: BTreeMap<u64, (f64, f64, Vec<u32>)>,
    names_itself: BTreeMap<(u64, u32), bool>,
}

impl Seen {
    fn note(&mut self, host: &Host, sent: &Sent, value: usize) {
        let open = host
            .engine
            .table
            .get(sent.part.multiget)
            .is_none_or(|multiget| multiget.is_opened() || multiget.is_over);
        let sound = VALUES[value].contains("\"blocks\":[#]") || VALUES[value].contains("\"blocks\":[]");
        let same = VALUES[value].contains("same");
        if sent.of == Phase::Match && !open && (sound || same) {
            let names = VALUES[value].contains('#');
            self.names_itself.entry((sent.asker, sent.shard)).or_insert(names);
        }
    }
}

fn play(host: &mut Host, steps: &[Step], seen: &mut Seen) {
    for step in steps {
        let out: Vec<usize> = (0..host.sent.len()).filter(|index| !host.sent[*index].over).collect();
        match step {
            Step::Ask { use_case, shards, stays } => {
                let at = host.now;
                let asker = host.ask_for(*use_case, shards, &["term"], *stays);
                seen.asked.insert(asker, (at, *stays, shards.clone()));
            }
            Step::Answer { which, value } if !out.is_empty() => {
                let sent = host.sent[out[which % out.len()]].clone();
                seen.note(host, &sent, *value);
                let value = match sent.of {
                    Phase::Match => VALUES[*value].replace('#', &sent.shard.to_string()),
                    _ => "value".to_string(),
                };
                host.answer_sent(&sent, &value);
            }
            Step::Fail { which, how } if !out.is_empty() => {
                let sent = host.sent[out[which % out.len()]].clone();
                host.end_hand_off(sent.part, sent.no, FAILURES[*how]);
                host.pull();
            }
            Step::Pass { millis } => host.pass(*millis),
            Step::Leave { which } => {
                let waiting = host.waiting();
                if !waiting.is_empty() {
                    host.lapse(waiting[which % waiting.len()]);
                }
            }
            Step::Drain { node, back } => {
                let health = if *back { Health::Running } else { Health::Draining };
                host.engine.list(ListKind::Changes, &[entry(*node, health)]);
            }
            Step::Answer { .. } | Step::Fail { .. } => {}
        }
    }
    host.pass(2.0 * HARD);
    for sent in host.sent.clone().into_iter().filter(|sent| !sent.over) {
        host.end_hand_off(sent.part, sent.no, Outcome::Invalid);
    }
    host.pull();
}

fn check(host: &Host, seen: &Seen, names_others: bool) {
    // Rule 1: one final answer each, in the client's time, and nothing after it.
    for asker in 0..host.asked() {
        let finals: Vec<_> = host.finals.iter().filter(|given| given.asker == asker).collect();
        assert_eq!(finals.len(), usize::from(!host.has_gone(asker)), "query {asker}: {finals:?}");
        let (at, stays, _) = seen.asked[&asker];
        assert!(finals.iter().all(|given| given.at <= at + stays + 0.01), "query {asker}: {finals:?}");
    }
    assert!(host.sent.iter().all(|sent| !sent.too_late));
    // Rule 2: a fetch of a single-use use case goes out again only where nothing of it may have run.
    let single: Vec<_> = host.sent.iter().filter(|sent| sent.of == Phase::Fetch).collect();
    for sent in single {
        let verdict = host.final_of(sent.asker).map(|given| &given.verdict);
        let use_case = host.use_case_of(sent.asker);
        assert!(use_case != SINGLE_USE || sent.may_run_beside == 0, "{sent:?}");
        let ran = sent
            .outcome
            .is_none_or(|how| !matches!(how, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent));
        let dismissed = matches!(verdict, Some(Verdict::Rejected { .. }));
        assert!(use_case != SINGLE_USE || !ran || !dismissed, "dismissed though it may have run: {sent:?}");
    }
    // Rule 5: whole only if every block is fetched or ruled out; a value for each that is said fetched.
    for given in &host.finals {
        let Verdict::Completed { is_complete: whole, found, blocks: Some(blocks), .. } = &given.verdict
        else {
            continue;
        };
        let fetched: Vec<ShardId> =
            blocks.iter().filter(|(_, said)| *said == BlockState::Fetched).map(|(shard, _)| *shard).collect();
        let mut values: Vec<ShardId> = found.iter().map(|(shard, _)| *shard).collect();
        values.sort();
        assert_eq!(values, fetched, "{given:?}");
        // A block is ruled out only if it has said itself that it does not match, and where blocks name
        // others only if all have spoken.
        let asked = &seen.asked[&given.asker].2;
        let spoke = |shard: u32| seen.names_itself.get(&(given.asker, shard)).copied();
        let all = asked.iter().all(|shard| spoke(*shard).is_some());
        for (shard, _) in blocks.iter().filter(|(_, said)| *said == BlockState::Pruned) {
            assert_eq!(spoke(shard.0), Some(false), "{shard:?} {given:?}");
            assert!(!names_others || all, "{given:?}");
        }
        assert_eq!(blocks.len(), asked.len(), "every block is accounted for");
        let done = blocks.iter().all(|(_, said)| matches!(said, BlockState::Fetched | BlockState::Pruned));
        assert!(!whole || done, "{given:?}");
        // No part of a phase that was never opened, and none for what was ruled out.
        for sent in host.all(given.asker, Phase::Fetch) {
            let said = blocks.iter().find(|(shard, _)| shard.0 == sent.shard).map(|(_, said)| *said);
            assert!(matches!(said, Some(BlockState::Fetched | BlockState::Missing)), "{sent:?} {given:?}");
        }
    }
    // Memory is back to where it began.
    assert_eq!(
        (host.engine.table.len(), host.engine.table.owed, host.engine.phases().in_flight()),
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

    /// Over ten thousand queries in two phases in all, and half as many plain ones between them.
    #[test]
    fn the_rules_hold_in_any_order_of_events(
        facts in facts(),
        cancel in any::<bool>(),
        steps in prop::collection::vec(step(), 300..500),
    ) {
        let names_others = facts.names_others;
        let mut host = Host::new(SiteSettings { cancellation: cancel, ..site() }, facts, 3);
        let mut seen = Seen::default();
        play(&mut host, &steps, &mut seen);
        check(&host, &seen, names_others);
    }
}
