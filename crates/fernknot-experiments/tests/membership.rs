//! Membership in simulated time: the same row for the same seed, and what each variant is worth.

use fernknot_experiments::membership::{Scenario, Variant, run};
use test_case::test_case;

#[test]
fn the_same_seed_gives_the_same_figures() {
    let figures = || run(Variant::Full, Scenario::Loss, 10, 5);
    assert_eq!(figures(), figures());
}

#[test_case(Scenario::Pause; "suspended for two seconds")]
#[test_case(Scenario::Loss; "a fifth lost, and bursts")]
#[test_case(Scenario::OneWay; "links that work one way")]
#[test_case(Scenario::Ring; "each hears its left neighbour alone")]
fn no_running_router_counts_as_failed(scenario: Scenario) {
    let row = run(Variant::Full, scenario, 30, 1);
    assert_eq!((row.false_failures, row.not_rejoined), (0, 0), "{row:?}");
}

#[test]
fn a_crash_is_known_to_all_and_a_partition_heals() {
    let crash = run(Variant::Full, Scenario::Crash, 30, 1);
    assert!(crash.undetected == 0 && crash.detect_p50_ms > 0.0 && crash.failure_changes == 1, "{crash:?}");
    let partition = run(Variant::Full, Scenario::Partition, 30, 1);
    assert!(partition.not_rejoined == 0 && partition.rejoin_p99_ms < 5000.0, "{partition:?}");
}

#[test]
fn local_health_and_suspicion_keep_running_routers_from_counting_as_failed() {
    let false_failures = |variant| run(variant, Scenario::Pause, 30, 1).false_failures;
    let [full, plain] = [Variant::Full, Variant::PlainSwim].map(false_failures);
    assert!(full * 10 < plain, "{full} {plain}");
}
