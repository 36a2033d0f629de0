//! Each window is fixed once and in order, with what gateways have reported by then.

mod common;

use common::{leading, ms, record, report, settings, table, time_of_day};
use fernknot::interface::Nanos;
use fernknot_usage::{UsageRecord, UsageTable, WindowNumber};
use fernknot_usage_reporting::{LeaseState, UnixMillis, UsageReporter};

/// Role of a process that has started in window 1000.
fn reporter() -> UsageReporter {
    let mut reporter = UsageReporter::new(settings("a"), 7);
    reporter.time_known(time_of_day(3000));
    reporter
}

fn merge(
    reporter: &UsageReporter,
    table: &mut UsageTable,
    at: UnixMillis,
    report: &fernknot_usage::UsageReport,
) -> bool {
    table.merge(report, reporter.open_windows(at)).is_some()
}

fn windows(record: &UsageRecord) -> Vec<u64> {
    record.unreported().iter().map(|fixed| fixed.window.0).collect()
}

#[test]
fn given_a_founded_system_when_the_first_window_has_ended_then_it_is_fixed_after_the_closing_delay() {
    let (reporter, table) = (reporter(), table());
    assert_eq!(reporter.next_record(leading(1), time_of_day(4000), &table), None);
    assert_eq!(reporter.next_record(leading(1), time_of_day(7999), &table), None);
    assert_eq!(reporter.next_closing(Nanos(5), leading(1), time_of_day(4000)), Some(Nanos(5) + ms(4000)));
    let record = reporter.next_record(leading(1), time_of_day(8000), &table).unwrap();
    assert_eq!(windows(&record), [1000]);
}

#[test]
fn given_reports_of_two_gateways_when_the_window_closes_then_their_sum_is_fixed() {
    let (reporter, mut table) = (reporter(), table());
    assert!(merge(&reporter, &mut table, time_of_day(1000), &report(1, 1000, "milo40", 5)));
    assert!(merge(&reporter, &mut table, time_of_day(6000), &report(2, 1000, "milo40", 7)));
    assert!(merge(&reporter, &mut table, time_of_day(6000), &report(2, 1001, "goye841", 1)));
    let record = reporter.next_record(leading(1), time_of_day(8000), &table).unwrap();
    assert_eq!(windows(&record), [1000]);
    assert_eq!(record.unreported()[0].counts, [("milo40".to_string(), 12)]);
}

#[test]
fn given_a_fixed_window_when_a_report_arrives_late_then_it_is_rejected_and_counted() {
    let (mut reporter, mut table) = (reporter(), table());
    reporter.record_committed(Some(&record(1000..1001)));
    assert!(!merge(&reporter, &mut table, time_of_day(8500), &report(1, 1000, "milo40", 9)));
    assert!(merge(&reporter, &mut table, time_of_day(8500), &report(1, 1001, "milo40", 9)));
    assert_eq!(table.rejected().late, 1);
}

#[test]
fn given_windows_without_usage_when_they_close_then_each_is_fixed_empty() {
    let (mut reporter, table) = (reporter(), table());
    reporter.record_committed(Some(&UsageRecord::starting_at(WindowNumber(1000))));
    let record = reporter.next_record(leading(1), time_of_day(18_000), &table).unwrap();
    assert_eq!(windows(&record), [1000, 1001, 1002]);
    assert!(record.unreported().iter().all(|fixed| fixed.counts.is_empty()));
}

#[test]
fn given_a_clock_that_steps_back_when_windows_are_fixed_then_none_is_fixed_again() {
    let (mut reporter, table) = (reporter(), table());
    reporter.record_committed(Some(&record(1000..1003)));
    assert_eq!(reporter.next_record(leading(1), time_of_day(0), &table), None);
    let record = reporter.next_record(leading(1), time_of_day(23_000), &table).unwrap();
    assert_eq!(windows(&record), [1000, 1001, 1002, 1003]);
}

#[test]
fn given_a_system_that_stood_still_for_days_when_it_goes_on_then_forgotten_windows_are_given_up_and_counted()
{
    let (mut reporter, table) = (reporter(), table());
    reporter.record_committed(Some(&UsageRecord::starting_at(WindowNumber(1000))));
    let record = reporter.next_record(leading(1), time_of_day(500_000_000), &table).unwrap();
    assert_eq!(record.next_window(), WindowNumber(101_000 - 1));
    assert_eq!(record.abandoned() + record.unreported().len() as u64, 101_000 - 1 - 1000);
}

#[test]
fn given_reports_from_before_the_start_of_the_process_when_the_first_record_is_made_then_it_begins_with_them()
{
    let (mut reporter, mut table) = (UsageReporter::new(settings("a"), 7), table());
    assert_eq!(
        reporter.next_record(leading(1), time_of_day(18_100), &table),
        None,
        "the time was never known"
    );
    reporter.time_known(time_of_day(12_000));
    merge(&reporter, &mut table, time_of_day(12_000), &report(1, 1001, "milo40", 1));
    let record = reporter.next_record(leading(1), time_of_day(18_100), &table).unwrap();
    assert_eq!(windows(&record), [1001, 1002]);
}

#[test]
fn given_an_acknowledged_window_when_the_next_is_fixed_then_the_record_drops_it() {
    let (mut reporter, table) = (reporter(), table());
    reporter.record_committed(Some(&record(1000..1001)));
    reporter.view_activated(Nanos(0), 1, true);
    let (id, _) = common::write(&mut reporter, ms(3300), leading(1));
    reporter.call_finished(ms(3300), id, fernknot_usage_reporting::CallOutcome::Answered(200));
    assert_eq!(
        reporter.next_record(leading(1), time_of_day(12_999), &table),
        None,
        "no commit for the mark alone"
    );
    let record = reporter.next_record(leading(1), time_of_day(13_000), &table).unwrap();
    assert_eq!(windows(&record), [1001]);
}

#[test]
fn given_a_controller_that_may_not_propose_when_windows_close_then_it_fixes_none() {
    let (reporter, table) = (reporter(), table());
    for lease in [
        LeaseState { is_leader: false, ..leading(1) },
        LeaseState { has_lease: false, ..leading(1) },
        LeaseState { is_stopping: true, ..leading(1) },
    ] {
        assert_eq!(reporter.next_record(lease, time_of_day(100_000), &table), None);
        assert_eq!(reporter.next_closing(Nanos(0), lease, time_of_day(100_000)), None);
    }
}
