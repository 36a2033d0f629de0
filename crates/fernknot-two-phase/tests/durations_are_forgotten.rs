//! Quantiles of recent durations, and the expiry of durations after two generations.

use fernknot::interface::Nanos;
use fernknot_two_phase::RecentDurations;
use test_case::test_case;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

#[test_case(0, Some(100); "immediately")]
#[test_case(5, Some(100); "one generation later")]
#[test_case(9, None; "two generations later")]
#[test_case(1000, None; "long after both generations")]
fn durations_expire_after_two_generations(seconds_later: u64, expected_ms: Option<u64>) {
    let start = Nanos(77 * NANOS_PER_SECOND);
    let mut durations = RecentDurations::new(start);
    for _ in 0..20 {
        durations.record(start, Nanos::from_millis(100.0));
    }
    let median = durations.quantile(start + Nanos(seconds_later * NANOS_PER_SECOND), 0.5);
    assert_eq!(median.map(|median| (median.as_millis() / 10.0).round() as u64 * 10), expected_ms);
}

#[test]
fn too_few_durations_have_no_quantile_and_both_generations_count() {
    let mut durations = RecentDurations::new(Nanos(0));
    for index in 0..7 {
        durations.record(Nanos(index), Nanos::from_millis(10.0));
    }
    assert_eq!(durations.quantile(Nanos(7), 0.9), None);
    for index in 0..8 {
        durations.record(Nanos(5 * NANOS_PER_SECOND + index), Nanos::from_millis(200.0));
    }
    let low = durations.quantile(Nanos(6 * NANOS_PER_SECOND), 0.4).unwrap().as_millis();
    let high = durations.quantile(Nanos(6 * NANOS_PER_SECOND), 0.9).unwrap().as_millis();
    assert!(low < 12.0 && high > 180.0, "{low} {high}");
}
