//! Membership in simulated time: the same line for the same seed, and what each variant is worth.

use fernknot_experiments::fleet::play;
use test_case::test_case;

#[test]
fn the_same_seed_gives_the_same_figures() {
    assert_eq!(play("fleet", "loss20", 10, 5), play("fleet", "loss20", 10, 5));
}

#[test_case("pause"; "stopped for two seconds")]
#[test_case("loss20"; "a fifth lost, and bursts")]
#[test_case("one-way"; "links that work one way")]
#[test_case("ring"; "each hears its left neighbour alone")]
fn no_router_that_lives_is_held_for_lost(scenario: &str) {
    let scenario = fernknot_experiments::fleet::SCENARIOS.into_iter().find(|name| *name == scenario).unwrap();
    let row = play("fleet", scenario, 30, 1);
    assert_eq!((row.false_lost, row.unjoined), (0, 0), "{row:?}");
}

#[test]
fn a_crash_is_known_to_all_and_a_split_heals() {
    let crash = play("fleet", "crash", 30, 1);
    assert!(crash.undetected == 0 && crash.detect_p50_ms > 0.0 && crash.verdict_changes == 1, "{crash:?}");
    let split = play("fleet", "split", 30, 1);
    assert!(split.unjoined == 0 && split.rejoin_p99_ms < 5000.0, "{split:?}");
}

#[test]
fn own_lateness_and_doubt_are_what_keeps_living_routers() {
    let [fleet, plain] = ["fleet", "plain"].map(|variant| play(variant, "pause", 30, 1).false_lost);
    assert!(fleet * 10 < plain, "{fleet} {plain}");
}
