//! Complete runs from seeds: rules, determinism and shrinking.

use fernknot_simulator::Violation;
use fernknot_simulator::run::{fault_schedule, shrink, simulate, simulate_with_faults};
use fernknot_simulator::settings::{SeededBug, Settings};
use fernknot_simulator::time::millis;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use test_case::test_case;

/// Runs simulations in parallel, and returns the violations with their seeds.
fn run_all(runs: Vec<Settings>) -> Vec<(u64, Violation)> {
    let (next, found) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while let Some(settings) = runs.get(next.fetch_add(1, Ordering::Relaxed) as usize) {
                    let violations = simulate(settings).violations;
                    let violations = violations.into_iter().map(|violation| (settings.seed, violation));
                    found.lock().expect("no thread panics").extend(violations);
                }
            });
        }
    });
    found.into_inner().expect("no thread panics")
}

#[test_case(3, false, 130)]
#[test_case(5, false, 40)]
#[test_case(1, false, 10)]
#[test_case(2, false, 10)]
#[test_case(9, false, 5)]
#[test_case(3, true, 40; "losses beyond the fault budget")]
fn given_fault_schedules_when_seeds_run_then_no_rule_is_violated(
    members: usize,
    exceeds_fault_budget: bool,
    seeds: u64,
) {
    let runs = (0..seeds).map(|seed| Settings { exceeds_fault_budget, ..Settings::new(seed, members) });
    assert_eq!(run_all(runs.collect()), Vec::new());
}

#[test_case(3, 60)]
#[test_case(5, 20)]
fn given_a_core_partitioned_into_halves_when_losses_overlap_then_no_rule_is_violated(
    members: usize,
    seeds: u64,
) {
    let runs = (0..seeds).map(|seed| Settings { splits_core: true, ..Settings::new(seed, members) });
    assert_eq!(run_all(runs.collect()), Vec::new());
}

#[test]
fn given_clocks_at_different_rates_when_seeds_run_then_no_rule_is_violated() {
    let runs = (0..40).map(|seed| Settings { uneven_clocks: true, ..Settings::new(seed, 3) });
    assert_eq!(run_all(runs.collect()), Vec::new());
}

#[test]
fn given_six_gateways_when_seeds_of_the_whole_system_run_then_no_rule_is_violated() {
    let short_fault_period = millis(8000);
    let runs = (0..6).map(|seed| Settings {
        fault_period: short_fault_period,
        ..Settings::whole_system(seed, 3).with_gateways(6)
    });
    assert_eq!(run_all(runs.collect()), Vec::new());
}

#[test]
fn given_one_seed_when_it_runs_twice_then_logs_and_violations_are_identical() {
    for seed in [3, 17] {
        let settings = Settings { trace: true, ..Settings::new(seed, 3) };
        let (first, second) = (simulate(&settings), simulate(&settings));
        assert!(first.log.len() > 100);
        assert_eq!(first.log, second.log);
        assert_eq!(first.violations, second.violations);
    }
}

#[test]
fn given_an_enabled_log_when_a_seed_runs_then_its_outcome_is_the_same_as_without_the_log() {
    let without_log = simulate(&Settings::new(5, 3));
    let with_log = simulate(&Settings { trace: true, ..Settings::new(5, 3) });
    assert_eq!(
        (without_log.changes, without_log.reads, without_log.violations),
        (with_log.changes, with_log.reads, with_log.violations)
    );
}

#[test_case(1)]
#[test_case(3)]
#[test_case(5)]
fn given_no_faults_when_seeds_run_then_no_rule_is_violated(members: usize) {
    for seed in 0..20 {
        let outcome = simulate_with_faults(&Settings::new(seed, members), Vec::new());
        assert_eq!(outcome.violations, Vec::new(), "seed {seed}");
        assert!(outcome.changes > 5 && outcome.reads > 5 && outcome.drains > 2, "{outcome:?}");
    }
}

#[test]
fn given_a_seed_that_violates_a_rule_when_its_faults_are_reduced_then_the_rule_is_still_violated() {
    let with_stale_disk =
        |seed| Settings { seeded_bug: Some(SeededBug::StaleDisk), ..Settings::new(seed, 3) };
    let settings = (0..10).map(with_stale_disk).find(|settings| !simulate(settings).violations.is_empty());
    let settings = settings.expect("a stale disk is detected within ten seeds");
    let rule = simulate(&settings).violations[0].rule;
    let (faults, outcome) = shrink(&settings);
    assert!(faults.len() < fault_schedule(&settings).len());
    assert!(outcome.violations.iter().any(|violation| violation.rule == rule));
}
