//! Which windows are closed, and the record after their counts are fixed.

use crate::clock::UnixMillis;
use crate::settings::ReportingSettings;
use fernknot_usage::{MAX_UNREPORTED_WINDOWS, UsageRecord, UsageTable, WindowNumber};
use std::ops::RangeInclusive;

/// Number of windows before the current one whose counts gateways may still report.
const MAX_OPEN_WINDOWS: u64 = MAX_UNREPORTED_WINDOWS as u64;
/// Number of windows after the current one whose counts gateways may report: their clocks may be ahead.
const EARLY_WINDOWS: u64 = 2;

/// Windows whose counts gateways may report at this time of day.
pub(crate) fn open_windows(
    settings: &ReportingSettings,
    time_of_day: UnixMillis,
    record: Option<&UsageRecord>,
) -> RangeInclusive<WindowNumber> {
    let current = settings.window_at(time_of_day);
    let first = oldest_open(current);
    let first = record.map_or(first, |record| first.max(record.next_window()));
    first..=WindowNumber(current.0.saturating_add(EARLY_WINDOWS))
}

fn oldest_open(current: WindowNumber) -> WindowNumber {
    WindowNumber(current.0.saturating_sub(MAX_OPEN_WINDOWS))
}

/// Returns the record before any window is fixed. It begins with the oldest window that was reported, or else with
/// `first_window`.
pub(crate) fn first_record(first_window: WindowNumber, table: &UsageTable) -> UsageRecord {
    UsageRecord::starting_at(table.oldest_window().map_or(first_window, |oldest| oldest.min(first_window)))
}

/// Returns the record with all closed windows fixed, or None if none has closed since the last was fixed.
pub(crate) fn close_windows(
    settings: &ReportingSettings,
    time_of_day: UnixMillis,
    mut record: UsageRecord,
    table: &UsageTable,
) -> Option<UsageRecord> {
    let last_closed = settings.last_closed(time_of_day)?;
    if record.next_window() > last_closed {
        return None;
    }
    record.skip_to(oldest_open(settings.window_at(time_of_day)));
    while record.next_window() <= last_closed {
        record.fix_next(table.sums(record.next_window()));
    }
    Some(record)
}
