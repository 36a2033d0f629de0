//! Runs of the whole system with a series of changes over minutes, overlapping losses of processes, and requests that
//! show which version of the configuration each gateway has.

use fernknot_simulator::run::{Outcome, simulate};
use fernknot_simulator::settings::{SeededBug, Settings};
use fernknot_simulator::time::millis;
use fernknot_simulator::{RequestEvent, Rule};
use test_case::test_case;

/// Duration of the fault period in milliseconds, shorter than in the program because tests run in debug builds.
const FAULT_PERIOD_MS: u64 = 33_000;

fn short_series(seed: u64) -> Settings {
    Settings { fault_period: millis(FAULT_PERIOD_MS), ..Settings::change_series(seed, 3) }
}

fn violates_config(outcome: &Outcome) -> bool {
    outcome.violations.iter().any(|violation| violation.rule == Rule::Config)
}

#[test]
fn given_changes_in_series_when_losses_overlap_then_no_rule_is_violated() {
    let (mut changes, mut observed) = (0, 0);
    for seed in 0..4 {
        let outcome = simulate(&short_series(seed));
        assert_eq!(outcome.violations, Vec::new(), "seed {seed}");
        changes += outcome.changes;
        observed += outcome.counts.get(&RequestEvent::ChangingRouteSeen).copied().unwrap_or(0);
    }
    assert!(changes > 100 && observed > 1000, "{changes} changes, {observed} changing routes seen");
}

/// A controller is cut off from the other controllers, and gateways in contact with all of them leave it within the
/// apply deadline, whatever attempts have failed before.
#[test_case(17)]
#[test_case(276)]
fn given_a_controller_cut_off_from_the_others_when_earlier_attempts_failed_then_gateways_leave_it_in_time(
    seed: u64,
) {
    assert_eq!(simulate(&Settings::change_series(seed, 3)).violations, Vec::new());
}

#[test]
fn given_a_series_of_changes_when_a_seed_runs_twice_then_logs_are_identical() {
    let settings = Settings { trace: true, ..short_series(1) };
    let (first, second) = (simulate(&settings), simulate(&settings));
    assert!(first.log.len() > 1000);
    assert_eq!(first.log, second.log);
}

#[test_case(SeededBug::WithholdsConfigs, 4; "gateways receive no configurations for some seconds")]
#[test_case(SeededBug::RelaysNoConfigs, 4; "gateways do not forward configurations")]
#[test_case(SeededBug::ReplaysOldConfig, 4; "older configuration sent as the newest")]
fn given_a_seeded_bug_when_changes_come_in_series_then_an_older_version_is_detected(
    bug: SeededBug,
    max_seeds: u64,
) {
    let settings = |seed| Settings { seeded_bug: Some(bug), ..short_series(seed) };
    let found = (0..max_seeds).find(|seed| violates_config(&simulate(&settings(*seed))));
    println!("{bug:?}: first detected by {found:?}");
    assert!(found.is_some(), "{bug:?} does not violate CONFIG within {max_seeds} seeds");
}
