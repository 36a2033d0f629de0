//! Usage of tenants: reports of gateways, the time of day, proposals of closed windows, and calls to the platform.

use super::state::Controller;
use crate::action::{Action, SubscriberId};
use crate::counters as counter;
use fernknot::interface::Nanos;
use fernknot_consensus::Revision;
use fernknot_rpc::{ControllerMessage, ControllerToGateway, MAX_ITEMS_PER_MESSAGE};
use fernknot_telemetry::component;
use fernknot_usage::{UsageRecord, UsageReport, WindowNumber};
use fernknot_usage_reporting::{
    Action as ReporterAction, CallId, CallOutcome, LeaseState, ReporterStatus, UnixMillis, UsageCall,
};
use log::Level;
use std::net::SocketAddrV4;

/// Maximum number of reports in one message to another controller.
const MAX_REPORTS_PER_MESSAGE: usize = 64;

impl Controller {
    /// Sets the time of day by the clock of the host, in milliseconds since the beginning of 1970. Has no effect without
    /// the role of usage reporter.
    pub fn set_time_of_day(&mut self, now: Nanos, unix_ms: u64) {
        self.advance_clock(now);
        if let Some(usage) = &mut self.usage {
            usage.set_own_clock(now, UnixMillis(unix_ms));
        }
    }

    /// Returns the content of a call to the platform that [`Action::StartPlatformCall`] asked for, to be written to the
    /// open connection at once. None if this controller may no longer make the call; the connection is then closed.
    pub fn take_platform_call(&mut self, now: Nanos, call: CallId) -> Option<UsageCall> {
        self.advance_clock(now);
        let lease = self.lease_state();
        self.usage.as_mut()?.reporter.take_call(now, lease, call)
    }

    /// Handles the end of a call to the platform.
    pub fn platform_call_finished(&mut self, now: Nanos, call: CallId, outcome: CallOutcome) {
        self.advance_clock(now);
        let Some(usage) = &mut self.usage else { return };
        if let Some(token) = usage.reporter.call_finished(now, call, outcome) {
            let text = format!(
                "the platform has seen a fencing token above {}; no further calls with this one",
                token.0
            );
            self.actions.log(Level::Warn, component::USAGE, text);
        }
    }

    /// Handles totals that a gateway has counted or passed on.
    pub(super) fn handle_gateway_usage(&mut self, reports: &[UsageReport]) {
        let now = self.now();
        let Some(usage) = &mut self.usage else { return };
        let changed = usage.merge(now, &reports[..reports.len().min(MAX_ITEMS_PER_MESSAGE)]);
        if usage.queue_for_peers(changed) >= MAX_ITEMS_PER_MESSAGE {
            self.send_usage_to_peers();
        }
    }

    /// Handles totals that another controller has received.
    pub(super) fn handle_peer_usage(&mut self, reports: &[UsageReport]) {
        let now = self.now();
        if let Some(usage) = &mut self.usage {
            usage.merge(now, &reports[..reports.len().min(MAX_ITEMS_PER_MESSAGE)]);
        }
    }

    /// Handles the time of day of another controller.
    pub(super) fn handle_peer_time(&mut self, from: SocketAddrV4, unix_ms: u64) {
        let now = self.now();
        if let Some(usage) = &mut self.usage {
            usage.record_peer_clock(now, from, UnixMillis(unix_ms));
        }
    }

    /// Sends the other controllers the time of day and the totals that gateways have reported since the last call.
    pub(super) fn sync_usage_with_peers(&mut self) {
        let now = self.now();
        let Some(time) = self.usage.as_ref().and_then(|usage| usage.own_time(now)) else { return };
        self.broadcast_to_peers(|| ControllerMessage::TimeOfDay { unix_ms: time.0 });
        self.send_usage_to_peers();
    }

    fn send_usage_to_peers(&mut self) {
        let Some(usage) = &mut self.usage else { return };
        let reports = usage.take_unsent();
        for reports in reports.chunks(MAX_REPORTS_PER_MESSAGE) {
            self.broadcast_to_peers(|| ControllerMessage::UsageReports(reports.to_vec()));
        }
    }

    /// Sends all totals of open windows to a controller that may have restarted.
    pub(super) fn send_usage_snapshot(&mut self, to: SocketAddrV4) {
        let Some(usage) = &self.usage else { return };
        let snapshot = usage.snapshot();
        if let Some(time) = usage.own_time(self.now()) {
            self.send_to_peer(to, ControllerMessage::TimeOfDay { unix_ms: time.0 });
        }
        for reports in snapshot.chunks(MAX_REPORTS_PER_MESSAGE) {
            self.send_to_peer(to, ControllerMessage::UsageReports(reports.to_vec()));
        }
    }

    /// Sends subscribers the time of day on which the controllers agree, if usage is counted.
    pub(super) fn send_time_of_day(&mut self, to: Vec<SubscriberId>) {
        let now = self.now();
        if let Some(time) = self.usage.as_ref().and_then(|usage| usage.time_of_day(now)) {
            self.actions.notify(to, ControllerToGateway::TimeOfDay { unix_ms: time.0 });
        }
    }

    /// Leadership and lease of this controller at this moment.
    pub(super) fn lease_state(&self) -> LeaseState {
        LeaseState {
            view: self.consensus.view().map(|view| view.number.0),
            is_leader: self.consensus.is_leader(),
            has_lease: self.holds_lease(),
            is_stopping: self.shutting_down,
        }
    }

    /// Proposes the windows that have closed, and passes the calls to the platform to the host. A configuration change
    /// that is being proposed goes first.
    pub(super) fn advance_usage(&mut self) {
        if self.usage.is_none() {
            return;
        }
        if !self.changes.has_proposal() && self.consensus.is_started() {
            self.propose_usage();
        }
        let (now, lease) = (self.now(), self.lease_state());
        let Some(usage) = &mut self.usage else { return };
        while let Some(action) = usage.reporter.poll_action(now, lease) {
            self.actions.push(match action {
                ReporterAction::StartCall(call) => Action::StartPlatformCall { call },
                ReporterAction::AbortCall(call) => Action::AbortPlatformCall { call },
            });
        }
        self.log_reporter_change(lease);
    }

    fn propose_usage(&mut self) {
        let (now, lease) = (self.now(), self.lease_state());
        let Some(usage) = &mut self.usage else { return };
        let Some(record) = usage.next_record(now, lease) else { return };
        let id = self.changes.next_proposal_id();
        usage.proposed(now, id);
        let state = self.active_config.with_usage(record);
        self.consensus.propose(now, id, Revision(self.active_config.revision), state);
        self.drain_consensus();
    }

    /// Takes over the usage of the state that was delivered, after `previous`.
    pub(super) fn activate_usage(&mut self, previous: Option<&UsageRecord>) {
        let Some(usage) = &mut self.usage else { return };
        let record = self.active_config.usage.as_ref();
        usage.record_committed(record);
        let abandoned = record.map_or(0, UsageRecord::abandoned);
        let newly_abandoned = abandoned.saturating_sub(previous.map_or(0, UsageRecord::abandoned));
        if newly_abandoned > 0 {
            let text = format!("gave up {newly_abandoned} windows of usage unreported: too many are waiting");
            self.actions.log(Level::Warn, component::USAGE, text);
        }
    }

    /// What an operator is shown of the role of usage reporter. None without that role.
    pub(super) fn reporter_status(&self) -> Option<ReporterStatus> {
        self.usage.as_ref().map(|usage| usage.status(self.now(), self.lease_state()))
    }

    /// Sets the gauges of the role, if there is one.
    pub(super) fn refresh_usage_gauges(&mut self) {
        let (Some(status), Some(usage)) = (self.reporter_status(), &self.usage) else { return };
        let (calls, totals) = (status.calls, usage.rejected_totals());
        let window = |window: Option<WindowNumber>| window.map_or(0, |window| window.0);
        let gauges = [
            (counter::USAGE_CALLS_WRITTEN, calls.written),
            (counter::USAGE_CALLS_ACKNOWLEDGED, calls.acknowledged),
            (counter::USAGE_CALLS_FENCED, calls.fenced),
            (counter::USAGE_CALLS_REJECTED, calls.rejected),
            (counter::USAGE_CALLS_UNCLEAR, calls.unclear),
            (counter::USAGE_CALLS_TIMED_OUT, calls.timed_out),
            (counter::USAGE_TOTALS_LATE, totals.late),
            (counter::USAGE_TOTALS_EARLY, totals.early),
            (counter::USAGE_TOTALS_OVER_LIMIT, totals.over_limit),
            (counter::USAGE_FENCING_TOKEN, status.token.map_or(0, |token| token.0)),
            (counter::USAGE_LAST_FIXED, window(status.last_fixed)),
            (counter::USAGE_LAST_ACKNOWLEDGED, window(status.last_acknowledged)),
            (counter::USAGE_UNREPORTED, status.unreported as u64),
            (counter::USAGE_ABANDONED, status.abandoned),
        ];
        gauges.into_iter().for_each(|(name, value)| self.counters.set(name, value));
    }

    fn log_reporter_change(&mut self, lease: LeaseState) {
        let now = self.now();
        let Some(usage) = &mut self.usage else { return };
        let status = usage.status(now, lease);
        if let Some(token) = usage.take_token_change(status.token) {
            let text = match token {
                Some(token) => format!("this controller reports the usage, fencing token {}", token.0),
                None => "this controller no longer reports the usage".to_string(),
            };
            self.actions.log(Level::Info, component::USAGE, text);
        }
        if usage.take_failure_change(status.last_failure.is_some()).is_some() {
            let (level, text) = match status.last_failure {
                Some(failure) => {
                    (Level::Warn, format!("a usage report was not acknowledged: {failure}; retrying"))
                }
                None => (Level::Info, "usage reports are acknowledged again".to_string()),
            };
            self.actions.log(level, component::USAGE, text);
        }
    }
}
