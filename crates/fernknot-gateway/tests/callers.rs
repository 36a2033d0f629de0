//! One gateway among simulated clients, nodes and a controller, from one seed each: who is
//! answered what, and what is executed how often. `FERNKNOT_SEEDS` sets how many seeds are played, `FERNKNOT_SEED` plays one and prints its log.

mod scenarios;
mod simulation;

use fernknot_gateway::SeededBug;
use simulation::Report;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use test_case::test_case;

/// Threads that play seeds.
const THREADS: u64 = 4;
/// Seeds that are played when nothing else is asked for.
const SEEDS: u64 = 200;
/// Seeds within which each seeded bug must be found.
const WITHIN: u64 = 10;

/// What has to have happened over all seeds.
const HAPPENS: [&str; 24] = [
    "successes",
    "rejections",
    "answered 408",
    "answered 503",
    "failures without a rejection",
    "failures of nodes",
    "no route",
    "runs",
    "sent again",
    "rejected by nodes",
    "meant for another incarnation",
    "doubled answers",
    "surplus answers",
    "earlier answers again",
    "connections broken by nodes",
    "complete answers before a reset",
    "restarts of nodes",
    "crashes reported in one step",
    "changes",
    "stops",
    "half-closes",
    "resets amid a request",
    "resets amid an answer",
    "stalls amid a request",
];

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Plays seeds on several threads; the reports are in the order of the seeds.
fn played(seeds: std::ops::Range<u64>, bug: Option<SeededBug>, logs: bool) -> Vec<(u64, Report)> {
    let next = AtomicU64::new(seeds.start);
    let play = || {
        let mut reports = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return reports;
            }
            reports.push((seed, simulation::play(seed, bug, logs)));
        }
    };
    let mut reports: Vec<(u64, Report)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(play)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a run panicked")).collect()
    });
    reports.sort_by_key(|(seed, _)| *seed);
    reports
}

#[test]
fn given_any_seed_when_all_goes_wrong_then_callers_get_their_own_and_nothing_runs_twice() {
    let one = number("FERNKNOT_SEED");
    let seeds = one.map_or(0..number("FERNKNOT_SEEDS").unwrap_or(SEEDS), |seed| seed..seed + 1);
    let mut all: BTreeMap<&str, u64> = BTreeMap::new();
    let mut failed = Vec::new();
    for (seed, report) in played(seeds, None, one.is_some()) {
        report.log.iter().for_each(|connection| println!("{connection}"));
        report.coverage.counts.iter().for_each(|(what, count)| *all.entry(what).or_default() += count);
        if !report.violations.is_empty() {
            println!("seed {seed}: {}", report.violations.join("\n    "));
            println!(
                "    FERNKNOT_SEED={seed} cargo test -p fernknot-gateway --test callers given_any_seed -- --nocapture"
            );
            failed.push(seed);
        }
    }
    println!("{all:#?}");
    assert!(failed.is_empty(), "seeds {failed:?} broke a rule");
    // A run in which nothing happens shows nothing.
    if one.is_none() {
        let idle: Vec<&&str> = HAPPENS.iter().filter(|what| !all.contains_key(**what)).collect();
        assert!(idle.is_empty(), "never seen: {idle:?}");
    }
}

#[test]
fn given_one_seed_when_it_is_played_twice_then_all_happens_alike() {
    for seed in 12..22 {
        let [one, other] = [(); 2].map(|()| simulation::play(seed, None, true).log);
        let differs = one.iter().zip(&other).find(|(one, other)| one != other);
        assert_eq!(differs, None, "seed {seed}");
        assert_eq!(one.len(), other.len(), "seed {seed}");
    }
}

#[test_case(SeededBug::MatchByConnection; "an answer is matched by its connection")]
#[test_case(SeededBug::RetryAfterReset; "what may not be repeated is sent again after a reset")]
#[test_case(SeededBug::RetryAfterTimeout; "what may not be repeated is sent again after a silence")]
#[test_case(SeededBug::RejectAfterAttempt; "a request is rejected though a node may have run it")]
#[test_case(SeededBug::RetryOnSameConnection; "a request goes again over a connection that carried it")]
#[test_case(SeededBug::ClosedCountsAsUnopened; "a closed connection counts as one that never opened")]
#[test_case(SeededBug::RejectAfterClose; "a request is rejected though the connection was open")]
#[test_case(SeededBug::TruncatedIsComplete; "a truncated answer counts as complete")]
#[test_case(SeededBug::ConcurrentPipelining; "pipelined requests are answered in any order")]
fn given_a_seeded_bug_when_seeds_are_played_then_it_is_found(bug: SeededBug) {
    let mut reports = played(0..WITHIN, Some(bug), false).into_iter();
    let found = reports.find(|(_, report)| !report.violations.is_empty());
    let found = found.map(|(seed, report)| (seed, report.violations[0].clone()));
    println!("{bug:?}: found first by {found:?}");
    assert!(found.is_some(), "{bug:?} is not found within {WITHIN} seeds");
}
