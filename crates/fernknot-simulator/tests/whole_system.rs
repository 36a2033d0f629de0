//! The whole system: production controllers and gateways among operators, nodes that answer and clients, from one seed.

use fernknot_gateway::SeededBug as GatewayBug;
use fernknot_simulator::run::{Outcome, simulate};
use fernknot_simulator::settings::{SeededBug, Settings};
use fernknot_simulator::time::millis;
use fernknot_simulator::{RequestEvent, Rule};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use test_case::test_case;

/// Threads that run seeds.
const THREADS: usize = 4;
/// Faults happen for so long: less than in a run of the program, as this runs in debug builds too.
const FAULT_PERIOD_MS: u64 = 8000;

fn system(seed: u64, bug: Option<SeededBug>) -> Settings {
    Settings { fault_period: millis(FAULT_PERIOD_MS), seeded_bug: bug, ..Settings::whole_system(seed, 3) }
}

/// Runs seeds side by side; what each gave comes back in their order.
fn run_seeds(seeds: Range<u64>, bug: Option<SeededBug>) -> Vec<(u64, Outcome)> {
    let next = AtomicU64::new(seeds.start);
    let run_some = || {
        let mut outcomes = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return outcomes;
            }
            outcomes.push((seed, simulate(&system(seed, bug))));
        }
    };
    let mut outcomes: Vec<(u64, Outcome)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run_some)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a run panicked")).collect()
    });
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes
}

/// What has to have happened over all seeds: a run in which nothing happens shows nothing.
const HAPPENS: [RequestEvent; 10] = [
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
fn given_the_whole_system_when_seeds_run_then_no_rule_breaks() {
    let mut all = BTreeMap::<RequestEvent, u64>::new();
    let mut found = Vec::new();
    let mut drains = 0;
    for (seed, outcome) in run_seeds(0..24, None) {
        drains += outcome.drains;
        outcome.counts.iter().for_each(|(event, count)| *all.entry(*event).or_default() += count);
        found.extend(outcome.violations.into_iter().map(|violation| (seed, violation)));
    }
    println!("{all:#?}");
    assert!(found.is_empty(), "{found:#?}");
    let idle: Vec<&RequestEvent> = HAPPENS.iter().filter(|event| !all.contains_key(event)).collect();
    assert!(idle.is_empty() && drains > 0, "never seen: {idle:?}, {drains} drains");
}

#[test]
fn given_a_seed_of_the_whole_system_when_it_runs_twice_then_all_happens_alike() {
    for seed in 0..3 {
        let [one, other] = [(); 2].map(|()| simulate(&Settings { trace: true, ..system(seed, None) }));
        let differs = one.log.iter().zip(&other.log).find(|(one, other)| one != other);
        assert_eq!(differs, None, "seed {seed}");
        assert_eq!((one.log.len(), one.counts), (other.log.len(), other.counts), "seed {seed}");
    }
}

#[test_case(SeededBug::Gateway(GatewayBug::RetryAfterReset), Rule::Twice, 4; "what may not be repeated goes again after a reset")]
#[test_case(SeededBug::Gateway(GatewayBug::RetryAfterTimeout), Rule::Twice, 4; "what may not be repeated goes again after a time-out")]
#[test_case(SeededBug::Gateway(GatewayBug::RejectAfterAttempt), Rule::Refused, 4; "a promise is made though a node may have run it")]
#[test_case(SeededBug::Gateway(GatewayBug::RejectAfterClose), Rule::Refused, 8; "a promise is made though the connection was up")]
#[test_case(SeededBug::Gateway(GatewayBug::MatchByConnection), Rule::Mixed, 16; "an answer is matched by its connection")]
#[test_case(SeededBug::WithholdsNodeUpdates, Rule::Drain, 16; "controllers that withhold node updates")]
#[test_case(SeededBug::ReplaysOldConfig, Rule::Config, 16; "an older configuration sent as the newest")]
#[test_case(SeededBug::UnlimitedRetries, Rule::Budget, 16; "gateways that are configured with a larger budget")]
fn given_a_seeded_bug_when_the_whole_system_runs_then_its_rule_breaks(
    bug: SeededBug,
    rule: Rule,
    within: u64,
) {
    let breaks = |outcome: &Outcome| outcome.violations.iter().any(|violation| violation.rule == rule);
    let found = (0..within).step_by(THREADS).find_map(|from| {
        let outcomes = run_seeds(from..from + THREADS as u64, Some(bug));
        outcomes.into_iter().find(|(_, outcome)| breaks(outcome)).map(|(seed, _)| seed)
    });
    println!("{bug:?}: found first by {found:?}");
    assert!(found.is_some(), "{bug:?} does not break {rule} within {within} seeds");
}
