//! The two-phase experiment: reproducible figures, no violations, and no queries left in flight.

use fernknot_experiments::report;
use fernknot_experiments::two_phase::{RunFigures, Variant, run, run_all};
use test_case::test_case;

#[test_case(0.5; "below capacity")]
#[test_case(1.6; "above capacity")]
fn no_variant_has_violations_or_queries_left_in_flight(load: f64) {
    for variant in Variant::ALL {
        let figures = run(variant, 3, load, 2);
        assert!(figures.row.queries > 200, "{figures:?}");
        assert_eq!((figures.violations, figures.in_flight), (0, 0), "{figures:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_lines_whatever_other_seeds_run() {
    let lines = |figures: Vec<RunFigures>| {
        report::json(&figures.iter().map(|figures| &figures.row).collect::<Vec<_>>())
    };
    let both = lines(run_all(5..7, 1));
    assert_eq!(both, lines(run_all(5..6, 1)) + &lines(run_all(6..7, 1)));
    let first = both.lines().next().unwrap();
    let prefix = r#"{"experiment":"two-phase","variant":"phases","seed":5,"load_share":0.5,"queries":"#;
    assert!(first.starts_with(prefix), "{first}");
    for key in ["in_time_share", "late_failure_share", "parts_per_query", "p50_ms", "p99_ms"] {
        assert!(first.contains(&format!("\"{key}\":")), "{first}");
    }
}

#[test]
fn rejecting_late_second_phases_reduces_late_failures() {
    let variants = [Variant::TwoPhase, Variant::WithoutRejection];
    let [with, without] = variants.map(|variant| run(variant, 1, 1.2, 5).row);
    assert!(with.late_failure_share * 5.0 < without.late_failure_share, "{with:?} {without:?}");
    assert!(with.in_time_share > without.in_time_share);
}
