//! Totals of usage: counting, merging of reports, and the time of day that decides on the window.

use fernknot_ownership::IncarnationId;
use fernknot_usage::{
    TimeOfDayEstimate, UsageLimits, UsageReport, UsageTotals, WindowLength, WindowNumber, WindowUsage,
};

const LIMITS: UsageLimits = UsageLimits { max_windows: 3, max_totals: 100 };
const FIRST: IncarnationId = IncarnationId(1);
const SECOND: IncarnationId = IncarnationId(2);

fn report(incarnation: IncarnationId, window: u64, requests: &[(&str, u64)]) -> UsageReport {
    let requests = requests.iter().map(|(tenant, count)| (tenant.to_string(), *count)).collect();
    UsageReport { incarnation, windows: vec![WindowUsage { window: WindowNumber(window), requests }] }
}

fn totals_with(reports: &[UsageReport]) -> UsageTotals {
    let mut totals = UsageTotals::new(LIMITS);
    reports.iter().for_each(|report| totals.record(report));
    totals
}

#[test]
fn given_counted_requests_then_only_changed_totals_are_taken() {
    let mut totals = UsageTotals::new(LIMITS);
    for tenant in ["acme", "acme", "zeta"] {
        totals.count(FIRST, WindowNumber(7), tenant);
    }
    assert_eq!(totals.take_changed(10), [report(FIRST, 7, &[("acme", 2), ("zeta", 1)])]);
    assert_eq!(totals.take_changed(10), []);
    totals.count(FIRST, WindowNumber(7), "zeta");
    assert_eq!(totals.take_changed(10), [report(FIRST, 7, &[("zeta", 2)])]);
}

#[test]
fn given_a_new_receiver_then_all_totals_are_taken_again() {
    let mut totals = totals_with(&[report(FIRST, 7, &[("acme", 2)]), report(SECOND, 8, &[("acme", 3)])]);
    let all = totals.take_changed(10);
    assert_eq!(all, [report(FIRST, 7, &[("acme", 2)]), report(SECOND, 8, &[("acme", 3)])]);
    totals.mark_all_changed();
    assert_eq!(totals.take_changed(10), all);
}

#[test]
fn given_a_report_that_arrives_twice_or_late_then_the_totals_do_not_change() {
    let mut totals = totals_with(&[report(FIRST, 7, &[("acme", 5)])]);
    totals.take_changed(10);
    for count in [5, 3] {
        totals.record(&report(FIRST, 7, &[("acme", count)]));
        assert_eq!(totals.take_changed(10), []);
    }
}

#[test]
fn given_more_changes_than_a_message_holds_then_the_rest_follows() {
    let mut totals = totals_with(&[report(FIRST, 7, &[("a", 1), ("b", 1), ("c", 1)])]);
    assert_eq!(totals.take_changed(2), [report(FIRST, 7, &[("a", 1), ("b", 1)])]);
    assert_eq!(totals.take_changed(2), [report(FIRST, 7, &[("c", 1)])]);
    assert_eq!(totals.take_changed(2), []);
}

#[test]
fn given_more_windows_than_are_kept_then_the_oldest_are_forgotten_and_do_not_return() {
    let windows = [7, 8, 9, 10, 6].map(|window| report(FIRST, window, &[("acme", window)]));
    let mut totals = totals_with(&windows);
    let kept: Vec<u64> = totals.take_changed(10)[0].windows.iter().map(|usage| usage.window.0).collect();
    assert_eq!(kept, [8, 9, 10]);
}

#[test]
fn given_more_totals_than_are_kept_then_older_windows_yield_and_memory_is_bounded() {
    let mut totals = UsageTotals::new(UsageLimits { max_windows: 3, max_totals: 4 });
    totals.record(&report(FIRST, 7, &[("a", 1), ("b", 1)]));
    totals.record(&report(FIRST, 8, &[("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1)]));
    totals.count(FIRST, WindowNumber(8), "a");
    assert_eq!(totals.take_changed(10), [report(FIRST, 8, &[("a", 2), ("b", 1), ("c", 1), ("d", 1)])]);
}

#[test]
fn given_a_time_of_day_then_its_window_is_counted_from_the_beginning_of_1970() {
    let length = WindowLength::from_secs(5.0);
    assert_eq!(length.window_at(353_445_120 * 5000), WindowNumber(353_445_120));
    assert_eq!(length.window_at(353_445_120 * 5000 + 4999), WindowNumber(353_445_120));
    assert_eq!(length.windows_in(10.0), 2);
    assert_eq!(WindowLength::from_secs(0.0).window_at(9), WindowNumber(9));
}

#[test]
fn given_messages_with_different_delays_then_the_shortest_delay_gives_the_time_of_day() {
    let mut estimate = TimeOfDayEstimate::default();
    assert_eq!(estimate.unix_ms(5), None);
    // The true difference is 10,000 ms; the messages took 30, 1 and 200 ms.
    for (steady_ms, unix_ms) in [(130, 10_100), (201, 10_200), (500, 10_300)] {
        estimate.record(steady_ms, unix_ms);
    }
    assert_eq!(estimate.unix_ms(1000), Some(10_999));
}

#[test]
fn given_a_time_of_day_that_is_set_back_then_the_estimate_follows() {
    let mut estimate = TimeOfDayEstimate::default();
    estimate.record(0, 50_000);
    for steady_ms in 1..=8 {
        estimate.record(steady_ms, 10_000 + steady_ms);
    }
    assert_eq!(estimate.unix_ms(100), Some(10_100));
    estimate.record(9, u64::MAX);
    assert_eq!(estimate.unix_ms(100), Some(u64::MAX));
}
