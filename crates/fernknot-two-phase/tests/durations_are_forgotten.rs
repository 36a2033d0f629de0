//! Recent durations count until two generations have passed.

use fernknot::interface::Nanos;
use fernknot_two_phase::RecentDurations;
use test_case::test_case;

const SECOND: u64 = 1_000_000_000;

#[test_case(0, Some(100); "at once")]
#[test_case(5, Some(100); "one generation later")]
#[test_case(9, None; "two generations later")]
#[test_case(1000, None; "long after")]
fn a_duration_is_forgotten_after_two_generations(seconds_later: u64, expected_ms: Option<u64>) {
    let start = Nanos(77 * SECOND);
    let mut durations = RecentDurations::new(start);
    for _ in 0..20 {
        durations.record(start, Nanos::from_millis(100.0));
    }
    let median = durations.quantile(start + Nanos(seconds_later * SECOND), 0.5);
    assert_eq!(median.map(|median| (median.as_millis() / 10.0).round() as u64 * 10), expected_ms);
}

#[test]
fn few_durations_have_no_quantile_and_new_ones_count_beside_old_ones() {
    let mut durations = RecentDurations::new(Nanos(0));
    for index in 0..7 {
        durations.record(Nanos(index), Nanos::from_millis(10.0));
    }
    assert_eq!(durations.quantile(Nanos(7), 0.9), None);
    for index in 0..8 {
        durations.record(Nanos(5 * SECOND + index), Nanos::from_millis(200.0));
    }
    let low = durations.quantile(Nanos(6 * SECOND), 0.4).unwrap().as_millis();
    let high = durations.quantile(Nanos(6 * SECOND), 0.9).unwrap().as_millis();
    assert!(low < 12.0 && high > 180.0, "{low} {high}");
}
