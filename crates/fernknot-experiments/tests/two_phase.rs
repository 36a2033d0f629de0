//! The experiment itself: the same figures for the same seed, no break of a rule, nothing kept.

use fernknot_experiments::report;
use fernknot_experiments::two_phase::{VARIANTS, play, results};
use test_case::test_case;

#[test_case(0.5; "at ease")]
#[test_case(1.6; "past capacity")]
fn no_variant_breaks_a_rule_or_keeps_anything(load: f64) {
    for variant in VARIANTS {
        let result = play(variant, 3, load, 2);
        assert!(result.row.queries > 200, "{result:?}");
        assert_eq!((result.breaks, result.held), (0, 0), "{result:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_lines_whatever_runs_beside_it() {
    let lines = |results: Vec<fernknot_experiments::two_phase::Result>| {
        report::json(&results.iter().map(|result| &result.row).collect::<Vec<_>>())
    };
    let both = lines(results(5..7, 1));
    assert_eq!(both, lines(results(5..6, 1)) + &lines(results(6..7, 1)));
    let first = both.lines().next().unwrap();
    let keys = r#"{"experiment":"two-phase","variant":"phases","seed":5,"load_share":0.5,"queries":"#;
    assert!(first.starts_with(keys), "{first}");
    for key in ["in_time_share", "late_failure_share", "parts_per_query", "p50_ms", "p99_ms"] {
        assert!(first.contains(&format!("\"{key}\":")), "{first}");
    }
}

#[test]
fn refusing_second_phases_is_what_keeps_late_failures_down() {
    let [phases, unrefused] = ["phases", "no-refusal"].map(|variant| play(variant, 1, 1.2, 5).row);
    assert!(phases.late_failure_share * 5.0 < unrefused.late_failure_share, "{phases:?} {unrefused:?}");
    assert!(phases.in_time_share > unrefused.in_time_share);
}
