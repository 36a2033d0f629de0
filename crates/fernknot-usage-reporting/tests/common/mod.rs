//! A role in the leadership that a test gives it.
#![allow(dead_code)] // each test file uses some of the fixtures

use fernknot::interface::Nanos;
use fernknot_ownership::IncarnationId;
use fernknot_usage::{TableLimits, UsageRecord, UsageReport, UsageTable, WindowNumber, WindowUsage};
use fernknot_usage_reporting::{
    Action, CallId, LeaseState, ReportingSettings, UnixMillis, UsageCall, UsageReporter,
};

/// Start of window 1000, in milliseconds since the beginning of 1970.
pub const WINDOW_1000_MS: u64 = 5_000_000;

pub fn ms(ms: u64) -> Nanos {
    Nanos(ms * 1_000_000)
}

pub fn settings(holder: &str) -> ReportingSettings {
    ReportingSettings {
        holder: holder.to_string(),
        lease: ms(3000),
        window: ms(5000),
        usage_delay: ms(10_000),
        calls_per_s: 50.0,
    }
}

pub fn leading(view: u64) -> LeaseState {
    LeaseState { view: Some(view), is_leader: true, has_lease: true, is_stopping: false }
}

pub fn table() -> UsageTable {
    UsageTable::new(TableLimits { max_totals: 1000, max_name_bytes: 100 })
}

pub fn report(incarnation: u64, window: u64, tenant: &str, total: u64) -> UsageReport {
    let requests = vec![(tenant.to_string(), total)];
    let windows = vec![WindowUsage { window: WindowNumber(window), requests }];
    UsageReport { incarnation: IncarnationId(incarnation), windows }
}

/// Record with these windows fixed, each with one request of tenant `milo40`.
pub fn record(windows: std::ops::Range<u64>) -> UsageRecord {
    let mut record = UsageRecord::starting_at(WindowNumber(windows.start));
    windows.for_each(|_| record.fix_next(vec![("milo40".into(), 1)]));
    record
}

/// Role that leads view 1, whose takeover wait is over at [`acting_time`], with windows 1000 to 1002 fixed.
pub fn acting_reporter(holder: &str) -> UsageReporter {
    let mut reporter = UsageReporter::new(settings(holder), 7);
    reporter.view_activated(Nanos(0), 1, true);
    reporter.record_committed(Some(&record(1000..1003)));
    reporter
}

pub fn acting_time() -> Nanos {
    ms(3300)
}

/// Starts an attempt, which has to be due.
pub fn start(reporter: &mut UsageReporter, now: Nanos, lease: LeaseState) -> CallId {
    match reporter.poll_action(now, lease) {
        Some(Action::StartCall(id)) => id,
        other => panic!("expected a call at {now:?}, not {other:?}"),
    }
}

/// Starts and writes an attempt, which has to be due.
pub fn write(reporter: &mut UsageReporter, now: Nanos, lease: LeaseState) -> (CallId, UsageCall) {
    let id = start(reporter, now, lease);
    let call = reporter.take_call(now, lease, id).expect("the reporter may act");
    (id, call)
}

/// Time of day at this offset from the start of window 1000.
pub fn time_of_day(offset_ms: u64) -> UnixMillis {
    UnixMillis(WINDOW_1000_MS + offset_ms)
}
