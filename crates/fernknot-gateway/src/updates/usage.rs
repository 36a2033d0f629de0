//! Usage of tenants: counted by this gateway, received from its subscribers, and reported to the source of the
//! configuration.

use fernknot::interface::Nanos;
use fernknot_ownership::IncarnationId;
use fernknot_rpc::{ControllerToGateway, GatewayToController, MAX_ITEMS_PER_MESSAGE};
use fernknot_schema::InvariantBounds;
use fernknot_usage::{TimeOfDayEstimate, UsageLimits, UsageReport, UsageTotals, WindowLength};

/// Minimum time between two reports.
const MIN_REPORT_INTERVAL: Nanos = Nanos(500_000_000);
/// Number of windows that are kept, in multiples of those that are not reported to the platform yet.
const KEPT_WINDOWS_FACTOR: usize = 2;
/// Maximum number of totals that are kept, over all windows, gateways and tenants: about ten megabytes.
const MAX_TOTALS: usize = 65_536;

/// Usage of this gateway and of the gateways that subscribe to it, directly or not.
pub(crate) struct UsageReporter {
    incarnation: IncarnationId,
    window_length: WindowLength,
    totals: UsageTotals,
    /// Time of day by the source of the configuration.
    time_of_day: TimeOfDayEstimate,
    /// Time of day by the clock of this machine, for use until the source has stated it.
    machine_time: TimeOfDayEstimate,
    next_report_at: Nanos,
}

impl UsageReporter {
    pub(super) fn new(incarnation: IncarnationId, bounds: &InvariantBounds) -> UsageReporter {
        let window_length = WindowLength::from_secs(bounds.report_window_s);
        let unreported_windows = 1 + window_length.windows_in(bounds.usage_delay_s);
        let limits = UsageLimits {
            max_windows: unreported_windows.saturating_mul(KEPT_WINDOWS_FACTOR),
            max_totals: MAX_TOTALS,
        };
        UsageReporter {
            incarnation,
            window_length,
            totals: UsageTotals::new(limits),
            time_of_day: TimeOfDayEstimate::default(),
            machine_time: TimeOfDayEstimate::default(),
            next_report_at: Nanos(0),
        }
    }

    /// Sets the time of day by the clock of this machine.
    pub(crate) fn set_machine_time(&mut self, now: Nanos, unix_ms: u64) {
        self.machine_time.record(steady_ms(now), unix_ms);
    }

    /// Records the time of day that the source of the configuration has stated.
    pub(super) fn record_time_of_day(&mut self, now: Nanos, unix_ms: u64) {
        self.time_of_day.record(steady_ms(now), unix_ms);
    }

    /// Returns the time of day for subscribers; `None` before the source of the configuration has stated it.
    pub(super) fn time_of_day_message(&self, now: Nanos) -> Option<ControllerToGateway> {
        let unix_ms = self.time_of_day.unix_ms(steady_ms(now))?;
        Some(ControllerToGateway::TimeOfDay { unix_ms })
    }

    /// Counts a request of a tenant that a node began to execute at this time.
    pub(crate) fn count(&mut self, started_at: Nanos, tenant: &str) {
        let at_ms = steady_ms(started_at);
        let Some(unix_ms) = self.time_of_day.unix_ms(at_ms).or_else(|| self.machine_time.unix_ms(at_ms))
        else {
            return;
        };
        self.totals.count(self.incarnation, self.window_length.window_at(unix_ms), tenant);
    }

    /// Records reports of a subscriber, which are passed on unchanged.
    pub(super) fn record(&mut self, reports: &[UsageReport]) {
        for report in reports {
            self.totals.record(report);
        }
    }

    /// Makes the next report contain all totals, since its receiver may know none of them.
    pub(super) fn report_all_again(&mut self) {
        self.totals.mark_all_changed();
        self.next_report_at = Nanos(0);
    }

    /// Returns the messages with the totals that have changed, if a report is due.
    pub(super) fn due_reports(&mut self, now: Nanos) -> Vec<GatewayToController> {
        if now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = now + MIN_REPORT_INTERVAL;
        self.changed_reports()
    }

    /// Returns the messages with the totals that have changed since the last report.
    pub(super) fn changed_reports(&mut self) -> Vec<GatewayToController> {
        let take = || Some(self.totals.take_changed(MAX_ITEMS_PER_MESSAGE)).filter(|taken| !taken.is_empty());
        std::iter::from_fn(take).map(GatewayToController::UsageReports).collect()
    }
}

fn steady_ms(now: Nanos) -> u64 {
    now.0 / 1_000_000
}
