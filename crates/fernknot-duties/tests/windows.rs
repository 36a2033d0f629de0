//! Each window is fixed once and in order, with what gateways have reported by then.

mod common;

use common::{leading, ledger, ms, record, report, settings, time_of_day};
use fernknot::interface::Nanos;
use fernknot_duties::{Standing, UnixMillis, UsageDuty};
use fernknot_usage::{UsageLedger, UsageRecord, WindowNumber};

/// Duty of a process that has started in window 1000.
fn duty() -> UsageDuty {
    let mut duty = UsageDuty::new(settings("a"), 7);
    duty.time_known(time_of_day(3000));
    duty
}

fn merge(
    duty: &UsageDuty,
    ledger: &mut UsageLedger,
    at: UnixMillis,
    report: &fernknot_usage::UsageReport,
) -> bool {
    ledger.merge(report, duty.open_windows(at)).is_some()
}

fn windows(record: &UsageRecord) -> Vec<u64> {
    record.unreported().iter().map(|fixed| fixed.window.0).collect()
}

#[test]
fn given_a_founded_system_when_the_first_window_has_ended_then_it_is_fixed_after_the_closing_delay() {
    let (duty, ledger) = (duty(), ledger());
    assert_eq!(duty.next_record(leading(1), time_of_day(4000), &ledger), None);
    assert_eq!(duty.next_record(leading(1), time_of_day(7999), &ledger), None);
    assert_eq!(duty.next_closing(Nanos(5), leading(1), time_of_day(4000)), Some(Nanos(5) + ms(4000)));
    let record = duty.next_record(leading(1), time_of_day(8000), &ledger).unwrap();
    assert_eq!(windows(&record), [1000]);
}

#[test]
fn given_reports_of_two_gateways_when_the_window_closes_then_their_sum_is_fixed() {
    let (duty, mut ledger) = (duty(), ledger());
    assert!(merge(&duty, &mut ledger, time_of_day(1000), &report(1, 1000, "milo40", 5)));
    assert!(merge(&duty, &mut ledger, time_of_day(6000), &report(2, 1000, "milo40", 7)));
    assert!(merge(&duty, &mut ledger, time_of_day(6000), &report(2, 1001, "goye841", 1)));
    let record = duty.next_record(leading(1), time_of_day(8000), &ledger).unwrap();
    assert_eq!(windows(&record), [1000]);
    assert_eq!(record.unreported()[0].counts, [("milo40".to_string(), 12)]);
}

#[test]
fn given_a_fixed_window_when_a_report_arrives_late_then_it_is_rejected_and_counted() {
    let (mut duty, mut ledger) = (duty(), ledger());
    duty.record_committed(Some(&record(1000..1001)));
    assert!(!merge(&duty, &mut ledger, time_of_day(8500), &report(1, 1000, "milo40", 9)));
    assert!(merge(&duty, &mut ledger, time_of_day(8500), &report(1, 1001, "milo40", 9)));
    assert_eq!(ledger.rejected().late, 1);
}

#[test]
fn given_windows_without_usage_when_they_close_then_each_is_fixed_empty() {
    let (mut duty, ledger) = (duty(), ledger());
    duty.record_committed(Some(&UsageRecord::starting_at(WindowNumber(1000))));
    let record = duty.next_record(leading(1), time_of_day(18_000), &ledger).unwrap();
    assert_eq!(windows(&record), [1000, 1001, 1002]);
    assert!(record.unreported().iter().all(|fixed| fixed.counts.is_empty()));
}

#[test]
fn given_a_clock_that_steps_back_when_windows_are_fixed_then_none_is_fixed_again() {
    let (mut duty, ledger) = (duty(), ledger());
    duty.record_committed(Some(&record(1000..1003)));
    assert_eq!(duty.next_record(leading(1), time_of_day(0), &ledger), None);
    let record = duty.next_record(leading(1), time_of_day(23_000), &ledger).unwrap();
    assert_eq!(windows(&record), [1000, 1001, 1002, 1003]);
}

#[test]
fn given_a_system_that_stood_still_for_days_when_it_goes_on_then_forgotten_windows_are_given_up_and_counted()
{
    let (mut duty, ledger) = (duty(), ledger());
    duty.record_committed(Some(&UsageRecord::starting_at(WindowNumber(1000))));
    let record = duty.next_record(leading(1), time_of_day(500_000_000), &ledger).unwrap();
    assert_eq!(record.next_window(), WindowNumber(101_000 - 1));
    assert_eq!(record.abandoned() + record.unreported().len() as u64, 101_000 - 1 - 1000);
}

#[test]
fn given_reports_from_before_the_start_of_the_process_when_the_first_record_is_made_then_it_begins_with_them()
{
    let (mut duty, mut ledger) = (UsageDuty::new(settings("a"), 7), ledger());
    assert_eq!(duty.next_record(leading(1), time_of_day(18_100), &ledger), None, "the time was never known");
    duty.time_known(time_of_day(12_000));
    merge(&duty, &mut ledger, time_of_day(12_000), &report(1, 1001, "milo40", 1));
    let record = duty.next_record(leading(1), time_of_day(18_100), &ledger).unwrap();
    assert_eq!(windows(&record), [1001, 1002]);
}

#[test]
fn given_an_acknowledged_window_when_the_next_is_fixed_then_the_record_drops_it() {
    let (mut duty, ledger) = (duty(), ledger());
    duty.record_committed(Some(&record(1000..1001)));
    duty.view_activated(Nanos(0), 1, true);
    let (id, _) = common::write(&mut duty, ms(3300), leading(1));
    duty.call_finished(ms(3300), id, fernknot_duties::CallOutcome::Answered(200));
    assert_eq!(
        duty.next_record(leading(1), time_of_day(12_999), &ledger),
        None,
        "no commit for the mark alone"
    );
    let record = duty.next_record(leading(1), time_of_day(13_000), &ledger).unwrap();
    assert_eq!(windows(&record), [1001]);
}

#[test]
fn given_a_controller_that_may_not_propose_when_windows_close_then_it_fixes_none() {
    let (duty, ledger) = (duty(), ledger());
    for standing in [
        Standing { is_leader: false, ..leading(1) },
        Standing { has_lease: false, ..leading(1) },
        Standing { is_stopping: true, ..leading(1) },
    ] {
        assert_eq!(duty.next_record(standing, time_of_day(100_000), &ledger), None);
        assert_eq!(duty.next_closing(Nanos(0), standing, time_of_day(100_000)), None);
    }
}
