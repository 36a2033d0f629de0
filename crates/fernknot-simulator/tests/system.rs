//! The whole system: real controllers and real gateways among operators, nodes that answer and clients, from one seed.

use fernknot_gateway::SeededBug as Own;
use fernknot_simulator::play::{Outcome, SeededBug, Settings, simulate};
use fernknot_simulator::world::millis;
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use test_case::test_case;

/// Threads that play seeds.
const THREADS: usize = 4;
/// Troubles come for so long: less than in a play of the program, as this is played in debug builds too.
const TROUBLED_MS: u64 = 8000;

fn system(seed: u64, plant: Option<SeededBug>) -> Settings {
    Settings { fault_period: millis(TROUBLED_MS), seeded_bug: plant, ..Settings::whole_system(seed, 3) }
}

/// Plays seeds side by side; what each gave comes back in their order.
fn played(seeds: Range<u64>, plant: Option<SeededBug>) -> Vec<(u64, Outcome)> {
    let next = AtomicU64::new(seeds.start);
    let play_some = || {
        let mut outcomes = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return outcomes;
            }
            outcomes.push((seed, simulate(&system(seed, plant))));
        }
    };
    let mut outcomes: Vec<(u64, Outcome)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(play_some)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a play panicked")).collect()
    });
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes
}

/// What has to have happened over all seeds: a play in which nothing happens shows nothing.
const HAPPENS: [&str; 10] = [
    "successes",
    "promises",
    "without a promise",
    "no route",
    "further tries",
    "turned away",
    "broken off by nodes",
    "ran and said 503",
    "surplus answers",
    "versions seen",
];

#[test]
fn given_the_whole_system_when_seeds_are_played_then_no_rule_breaks() {
    let mut all = BTreeMap::<&str, u64>::new();
    let mut found = Vec::new();
    let mut drains = 0;
    for (seed, outcome) in played(0..24, None) {
        drains += outcome.drains;
        outcome.counts.iter().for_each(|(what, count)| *all.entry(what).or_default() += count);
        found.extend(outcome.violations.into_iter().map(|finding| (seed, finding)));
    }
    println!("{all:#?}");
    assert!(found.is_empty(), "{found:#?}");
    let idle: Vec<&&str> = HAPPENS.iter().filter(|what| !all.contains_key(**what)).collect();
    assert!(idle.is_empty() && drains > 0, "never seen: {idle:?}, {drains} drains");
}

#[test]
fn given_a_seed_of_the_whole_system_when_it_is_played_twice_then_all_happens_alike() {
    for seed in 0..3 {
        let [one, other] = [(); 2].map(|()| simulate(&Settings { trace: true, ..system(seed, None) }));
        let differs = one.log.iter().zip(&other.log).find(|(one, other)| one != other);
        assert_eq!(differs, None, "seed {seed}");
        assert_eq!((one.log.len(), one.counts), (other.log.len(), other.counts), "seed {seed}");
    }
}

#[test_case(SeededBug::Gateway(Own::RetryAfterReset), "TWICE", 4; "what may not be repeated goes again after a reset")]
#[test_case(SeededBug::Gateway(Own::RetryAfterTimeout), "TWICE", 4; "what may not be repeated goes again after a silence")]
#[test_case(SeededBug::Gateway(Own::RejectAfterAttempt), "REFUSED", 4; "a promise is made though a node may have run it")]
#[test_case(SeededBug::Gateway(Own::RejectAfterClose), "REFUSED", 8; "a promise is made though the connection was up")]
#[test_case(SeededBug::Gateway(Own::MatchByConnection), "MIXED", 16; "an answer is matched by its connection")]
#[test_case(SeededBug::WithholdsNodeUpdates, "DRAIN", 16; "controllers that don't tell each other of nodes")]
#[test_case(SeededBug::ReplaysOldConfig, "CONFIG", 16; "an older plan told as the newest")]
#[test_case(SeededBug::UnlimitedRetries, "BUDGET", 16; "gateways that are told of a larger budget")]
fn given_a_break_when_the_whole_system_is_played_then_its_rule_breaks(
    plant: SeededBug,
    rule: &str,
    within: u64,
) {
    let breaks = |outcome: &Outcome| outcome.violations.iter().any(|finding| finding.rule == rule);
    let found = (0..within).step_by(THREADS).find_map(|from| {
        let outcomes = played(from..from + THREADS as u64, Some(plant));
        outcomes.into_iter().find(|(_, outcome)| breaks(outcome)).map(|(seed, _)| seed)
    });
    println!("{plant:?}: found first by {found:?}");
    assert!(found.is_some(), "{plant:?} does not break {rule} within {within} seeds");
}
