//! Runs of the whole system from one seed: production controllers and gateways with operators, nodes and clients.

use fernknot_gateway::SeededBug as GatewayBug;
use fernknot_simulator::run::{Outcome, simulate};
use fernknot_simulator::settings::{SeededBug, Settings};
use fernknot_simulator::time::millis;
use fernknot_simulator::{RequestEvent, Rule};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use test_case::test_case;

/// Number of seeds that run in parallel.
const THREADS: usize = 4;
/// Duration of the fault period in milliseconds, shorter than in the program because tests run in debug builds.
const FAULT_PERIOD_MS: u64 = 8000;

fn system_settings(seed: u64, bug: Option<SeededBug>) -> Settings {
    Settings { fault_period: millis(FAULT_PERIOD_MS), seeded_bug: bug, ..Settings::whole_system(seed, 3) }
}

/// Runs seeds in parallel, and returns their outcomes in ascending order of seeds.
fn run_seeds(seeds: Range<u64>, bug: Option<SeededBug>) -> Vec<(u64, Outcome)> {
    let next = AtomicU64::new(seeds.start);
    let run_remaining_seeds = || {
        let mut outcomes = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return outcomes;
            }
            outcomes.push((seed, simulate(&system_settings(seed, bug))));
        }
    };
    let mut outcomes: Vec<(u64, Outcome)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run_remaining_seeds)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a run panicked")).collect()
    });
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes
}

/// Events that must occur at least once over all seeds, so that the runs exercise every path.
const REQUIRED_EVENTS: [RequestEvent; 10] = [
    RequestEvent::Success,
    RequestEvent::Rejection,
    RequestEvent::UnclearFailure,
    RequestEvent::NoRoute,
    RequestEvent::Retry,
    RequestEvent::RejectedByNode,
    RequestEvent::BrokenOff,
    RequestEvent::FailedAfterExecution,
    RequestEvent::DuplicateResponse,
    RequestEvent::VersionSeen,
];

#[test]
fn given_the_whole_system_when_seeds_run_then_no_rule_is_violated() {
    let mut totals = BTreeMap::<RequestEvent, u64>::new();
    let mut found = Vec::new();
    let mut drains = 0;
    for (seed, outcome) in run_seeds(0..24, None) {
        drains += outcome.drains;
        outcome.counts.iter().for_each(|(event, count)| *totals.entry(*event).or_default() += count);
        found.extend(outcome.violations.into_iter().map(|violation| (seed, violation)));
    }
    println!("{totals:#?}");
    assert!(found.is_empty(), "{found:#?}");
    let missing_events: Vec<&RequestEvent> =
        REQUIRED_EVENTS.iter().filter(|event| !totals.contains_key(event)).collect();
    assert!(missing_events.is_empty() && drains > 0, "never seen: {missing_events:?}, {drains} drains");
}

#[test]
fn given_a_seed_of_the_whole_system_when_it_runs_twice_then_logs_and_counts_are_identical() {
    for seed in 0..3 {
        let [first, second] =
            [(); 2].map(|()| simulate(&Settings { trace: true, ..system_settings(seed, None) }));
        let first_difference = first.log.iter().zip(&second.log).find(|(first, second)| first != second);
        assert_eq!(first_difference, None, "seed {seed}");
        assert_eq!((first.log.len(), first.counts), (second.log.len(), second.counts), "seed {seed}");
    }
}

#[test_case(SeededBug::Gateway(GatewayBug::RetryAfterReset), Rule::Twice, 4; "mutating request retried after a reset")]
#[test_case(SeededBug::Gateway(GatewayBug::RetryAfterTimeout), Rule::Twice, 4; "mutating request retried after a time-out")]
#[test_case(SeededBug::Gateway(GatewayBug::RejectAfterAttempt), Rule::Refused, 4; "request rejected as not executed after an attempt")]
#[test_case(SeededBug::Gateway(GatewayBug::RejectAfterClose), Rule::Refused, 8; "request rejected as not executed although its connection was open")]
#[test_case(SeededBug::Gateway(GatewayBug::MatchByConnection), Rule::Mixed, 16; "response matched by its connection only")]
#[test_case(SeededBug::WithholdsNodeUpdates, Rule::Drain, 16; "controllers do not forward node updates")]
#[test_case(SeededBug::ReplaysOldConfig, Rule::Config, 16; "older configuration sent as the newest")]
#[test_case(SeededBug::UnlimitedRetries, Rule::Budget, 16; "gateways configured with a larger retry budget")]
fn given_a_seeded_bug_when_the_whole_system_runs_then_its_rule_is_violated(
    bug: SeededBug,
    rule: Rule,
    max_seeds: u64,
) {
    let violates_rule = |outcome: &Outcome| outcome.violations.iter().any(|violation| violation.rule == rule);
    let found = (0..max_seeds).step_by(THREADS).find_map(|from| {
        let outcomes = run_seeds(from..from + THREADS as u64, Some(bug));
        outcomes.into_iter().find(|(_, outcome)| violates_rule(outcome)).map(|(seed, _)| seed)
    });
    println!("{bug:?}: first detected by {found:?}");
    assert!(found.is_some(), "{bug:?} does not violate {rule} within {max_seeds} seeds");
}
