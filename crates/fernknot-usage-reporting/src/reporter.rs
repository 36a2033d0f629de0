//! One controller's part in the role of usage reporter.

use crate::clock::UnixMillis;
use crate::holder::{HolderRight, LeaseState, ReporterToken};
use crate::platform_call::{
    CallFailure, CallId, CallOutcome, CallStatistics, FinishedCall, PlatformCalls, UsageCall, report_body,
};
use crate::settings::ReportingSettings;
use crate::window_closing::{close_windows, first_record, open_windows};
use fernknot::interface::Nanos;
use fernknot_usage::{FixedWindow, UsageRecord, UsageTable, WindowNumber};
use std::ops::RangeInclusive;

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Step for the controller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to the platform, then pass [`UsageReporter::take_call`] this identifier and write what it returns.
    StartCall(CallId),
    /// Give up an attempt: close its connection. No outcome follows.
    AbortCall(CallId),
}

/// What an operator is shown of the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReporterStatus {
    /// Token under which this controller may act; None if it may not.
    pub token: Option<ReporterToken>,
    /// Time until this controller may act, if it leads and waits because another one may have acted before.
    pub takeover_wait: Option<Nanos>,
    /// Last window whose counts are fixed.
    pub last_fixed: Option<WindowNumber>,
    /// Last window that the platform has acknowledged, as far as known here.
    pub last_acknowledged: Option<WindowNumber>,
    /// Number of windows that are fixed and not known to be acknowledged.
    pub unreported: usize,
    /// Number of windows that were given up unreported.
    pub abandoned: u64,
    /// Attempts of calls of this process, by their end.
    pub calls: CallStatistics,
    /// Reason why the last attempt was not acknowledged; None if it was.
    pub last_failure: Option<CallFailure>,
}

/// One controller's part in the role of usage reporter.
///
/// Only windows that were delivered as committed are reported, in order, and always with the same bytes. A new holder
/// reports again what is not known to be acknowledged.
#[derive(Clone, Debug)]
pub struct UsageReporter {
    settings: ReportingSettings,
    right: HolderRight,
    calls: PlatformCalls,
    /// Record of the newest committed state.
    committed: Option<UsageRecord>,
    last_acknowledged: Option<WindowNumber>,
    /// Window in which this process first knew the time of day.
    first_window: Option<WindowNumber>,
}

impl UsageReporter {
    /// Creates the part of a process that has just started. `seed` determines the random share of pauses.
    pub fn new(settings: ReportingSettings, seed: u64) -> UsageReporter {
        UsageReporter {
            right: HolderRight::new(settings.takeover_wait()),
            calls: PlatformCalls::new(seed),
            committed: None,
            last_acknowledged: None,
            first_window: None,
            settings,
        }
    }

    // Inputs.

    /// Records that a view is active in which this controller is a member.
    pub fn view_activated(&mut self, now: Nanos, view: u64, is_leader: bool) {
        self.right.view_activated(now, view, is_leader);
    }

    /// Records that this controller is in no view any more.
    pub fn view_left(&mut self) {
        self.right.view_left();
    }

    /// Takes over the record of a state that was delivered as committed.
    pub fn record_committed(&mut self, record: Option<&UsageRecord>) {
        self.committed = record.cloned();
    }

    /// Records the time of day, of which the first one determines where the very first record begins.
    pub fn time_known(&mut self, time_of_day: UnixMillis) {
        self.first_window.get_or_insert(self.settings.window_at(time_of_day));
    }

    /// Handles the end of an attempt. Returns the token if the platform has seen a higher one.
    pub fn call_finished(&mut self, now: Nanos, id: CallId, outcome: CallOutcome) -> Option<ReporterToken> {
        match self.calls.finish(now, id, outcome, &self.settings)? {
            FinishedCall::Acknowledged(window) => {
                self.last_acknowledged = self.last_acknowledged.max(Some(window));
                None
            }
            FinishedCall::Fenced(token) => {
                self.right.fence(token);
                Some(token)
            }
        }
    }

    // Outputs.

    /// Returns the next action, or None if there is none. `lease` is that of this moment.
    pub fn poll_action(&mut self, now: Nanos, lease: LeaseState) -> Option<Action> {
        if let Some(id) = self.calls.expire(now, &self.settings) {
            return Some(Action::AbortCall(id));
        }
        if self.right.token(now, lease).is_none() {
            // What has been written may still be acknowledged.
            return self.calls.abandon_unwritten().map(Action::AbortCall);
        }
        let window = self.next_to_report()?.window;
        self.calls.start(now, window, &self.settings).map(Action::StartCall)
    }

    /// Returns the content of a call, to be written at once, if this controller may still act at this moment; otherwise
    /// the attempt ends, and the connection has to be closed.
    pub fn take_call(&mut self, now: Nanos, lease: LeaseState, id: CallId) -> Option<UsageCall> {
        let window = self.calls.unwritten_window(id)?;
        let token = self.right.token(now, lease);
        let fixed = self.committed.iter().flat_map(UsageRecord::unreported);
        let fixed = fixed.into_iter().find(|fixed| fixed.window == window);
        let (Some(token), Some(fixed)) = (token, fixed) else {
            self.calls.abandon_unwritten();
            return None;
        };
        let body = report_body(fixed);
        self.calls.mark_written(now, token, &self.settings);
        Some(UsageCall { holder: self.settings.holder.clone(), token, window, body })
    }

    /// Returns the record to be proposed as the successor of the committed one, or None if no window has closed since.
    pub fn next_record(
        &self,
        lease: LeaseState,
        time_of_day: UnixMillis,
        table: &UsageTable,
    ) -> Option<UsageRecord> {
        if !may_propose(lease) {
            return None;
        }
        let record = match &self.committed {
            Some(record) => record.clone(),
            None => first_record(self.first_window?, table),
        };
        let mut record = close_windows(&self.settings, time_of_day, record, table)?;
        if let Some(window) = self.last_acknowledged {
            record.remove_reported(window);
        }
        Some(record)
    }

    /// Windows whose counts gateways may report at this time of day.
    pub fn open_windows(&self, time_of_day: UnixMillis) -> RangeInclusive<WindowNumber> {
        open_windows(&self.settings, time_of_day, self.committed.as_ref())
    }

    /// Returns the time at which [`poll_action`](Self::poll_action) may have something new if no input arrives. None if
    /// that depends on inputs alone.
    pub fn next_call_timeout(&self, now: Nanos, lease: LeaseState) -> Option<Nanos> {
        if !self.calls.is_idle() {
            return Some(self.calls.next_timeout());
        }
        self.next_to_report()?;
        let acts_from = self.right.acts_from()?;
        let may_act_later = self.right.token(now.max(acts_from), lease).is_some();
        may_act_later.then(|| self.calls.next_timeout().max(acts_from))
    }

    /// Returns the time at which [`next_record`](Self::next_record) may have something new if no input arrives. None if
    /// this controller may not propose.
    pub fn next_closing(&self, now: Nanos, lease: LeaseState, time_of_day: UnixMillis) -> Option<Nanos> {
        if !may_propose(lease) {
            return None;
        }
        let window = self.committed.as_ref().map(UsageRecord::next_window).or(self.first_window)?;
        let wait_ms = self.settings.closes_at(window).0.saturating_sub(time_of_day.0);
        Some(now + Nanos(wait_ms.saturating_mul(NANOS_PER_MILLI)))
    }

    /// What an operator is shown.
    pub fn status(&self, now: Nanos, lease: LeaseState) -> ReporterStatus {
        let committed = self.committed.as_ref();
        let unreported = committed.map_or(&[][..], UsageRecord::unreported);
        let wait = self.right.acts_from().filter(|acts_from| lease.is_leader && *acts_from > now);
        let next = committed.map(UsageRecord::next_window);
        let first_unreported = unreported.first().map(|fixed| fixed.window).or(next);
        let recorded = first_unreported.and_then(previous);
        ReporterStatus {
            token: self.right.token(now, lease),
            takeover_wait: wait.map(|acts_from| acts_from - now),
            last_fixed: next.and_then(previous),
            last_acknowledged: recorded.max(self.last_acknowledged),
            unreported: unreported.iter().filter(|fixed| self.is_unreported(fixed)).count(),
            abandoned: committed.map_or(0, UsageRecord::abandoned),
            calls: self.calls.statistics(),
            last_failure: self.calls.last_failure(),
        }
    }

    fn is_unreported(&self, fixed: &FixedWindow) -> bool {
        self.last_acknowledged.is_none_or(|acknowledged| fixed.window > acknowledged)
    }

    fn next_to_report(&self) -> Option<&FixedWindow> {
        let unreported = self.committed.as_ref()?.unreported();
        unreported.iter().find(|fixed| self.is_unreported(fixed))
    }
}

fn may_propose(lease: LeaseState) -> bool {
    lease.is_leader && lease.has_lease && !lease.is_stopping
}

fn previous(window: WindowNumber) -> Option<WindowNumber> {
    window.0.checked_sub(1).map(WindowNumber)
}
