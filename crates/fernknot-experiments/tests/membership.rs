//! The membership experiment: reproducible figures, and the detection quality of each variant.

use fernknot_experiments::membership::{Scenario, Variant, run};
use test_case::test_case;

#[test]
fn the_same_seed_gives_the_same_figures() {
    let figures = || run(Variant::Full, Scenario::Loss, 10, 5);
    assert_eq!(figures(), figures());
}

#[test_case(Scenario::Pause; "suspended for two seconds")]
#[test_case(Scenario::Loss; "a fifth of datagrams lost, and loss bursts")]
#[test_case(Scenario::OneWay; "one-way links")]
#[test_case(Scenario::Ring; "each receives from its left neighbour only")]
fn no_running_router_is_declared_failed(scenario: Scenario) {
    let row = run(Variant::Full, scenario, 30, 1);
    assert_eq!((row.false_failures, row.not_rejoined), (0, 0), "{row:?}");
}

#[test]
fn all_routers_detect_a_crash_and_rejoin_after_a_partition() {
    let crash = run(Variant::Full, Scenario::Crash, 30, 1);
    assert!(crash.undetected == 0 && crash.detect_p50_ms > 0.0 && crash.failure_changes == 1, "{crash:?}");
    let partition = run(Variant::Full, Scenario::Partition, 30, 1);
    assert!(partition.not_rejoined == 0 && partition.rejoin_p99_ms < 5000.0, "{partition:?}");
}

#[test]
fn the_full_protocol_has_under_a_tenth_of_the_false_failures_of_plain_swim() {
    let false_failures = |variant| run(variant, Scenario::Pause, 30, 1).false_failures;
    let [full, plain] = [Variant::Full, Variant::PlainSwim].map(false_failures);
    assert!(full * 10 < plain, "{full} {plain}");
}
