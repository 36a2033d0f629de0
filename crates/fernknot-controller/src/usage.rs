//! Usage of tenants at this controller: totals that gateways have reported, the time of day on which the controllers
//! agree, and this controller's part in the role to report it to the platform.

use fernknot::interface::Nanos;
use fernknot_usage::{RejectedTotals, TableLimits, UsageRecord, UsageReport, UsageTable};
use fernknot_usage_reporting::{
    LeaseState, MedianClock, ReporterStatus, ReporterToken, ReportingSettings, UnixMillis, UsageReporter,
};

/// Limits of the totals that are held: 20 MB at most, and 1,000 tenants at 90 gateways in five windows.
const TABLE_LIMITS: TableLimits = TableLimits { max_totals: 450_000, max_name_bytes: 256 };
/// Time after which a proposal without an outcome counts as lost.
const PROPOSAL_TIMEOUT: Nanos = Nanos(800_000_000);
/// Delay before a rejected proposal is made again.
const RETRY_DELAY: Nanos = Nanos(50_000_000);

/// Proposal of a record that has no outcome yet.
#[derive(Clone, Copy, Debug)]
struct PendingProposal {
    id: u64,
    deadline: Nanos,
}

/// Usage of tenants at this controller.
pub struct Usage {
    /// This controller's part in the role.
    pub reporter: UsageReporter,
    table: UsageTable,
    clock: MedianClock,
    /// Totals that gateways have reported and that were not passed on to the other controllers yet.
    unsent: Vec<UsageReport>,
    proposal: Option<PendingProposal>,
    propose_not_before: Nanos,
    /// Token under which this controller acted at the last call of [`take_token_change`](Self::take_token_change).
    last_token: Option<ReporterToken>,
    /// Whether calls failed at the last call of [`take_failure_change`](Self::take_failure_change).
    was_failing: bool,
}

impl Usage {
    /// Creates the usage of a process that has just started. The clock of a controller that is not heard for longer
    /// than `clock_expiry` doesn't count.
    pub fn new(settings: ReportingSettings, clock_expiry: Nanos, seed: u64) -> Usage {
        Usage {
            reporter: UsageReporter::new(settings, seed),
            table: UsageTable::new(TABLE_LIMITS),
            clock: MedianClock::new(clock_expiry),
            unsent: Vec::new(),
            proposal: None,
            propose_not_before: Nanos(0),
            last_token: None,
            was_failing: false,
        }
    }

    /// Sets the local time of day.
    pub fn set_own_clock(&mut self, now: Nanos, time_of_day: UnixMillis) {
        self.clock.set_own(now, time_of_day);
    }

    /// Records the time of day of another controller.
    pub fn record_peer_clock(&mut self, now: Nanos, peer: std::net::SocketAddrV4, time_of_day: UnixMillis) {
        self.clock.record_peer(now, peer, time_of_day);
    }

    /// Local time of day. None before it was set.
    pub fn own_time(&self, now: Nanos) -> Option<UnixMillis> {
        self.clock.own(now)
    }

    /// Time of day on which the controllers agree. None before the local one was set.
    pub fn time_of_day(&self, now: Nanos) -> Option<UnixMillis> {
        self.clock.median(now)
    }

    /// Merges reports. Returns what was new in them.
    pub fn merge(&mut self, now: Nanos, reports: &[UsageReport]) -> Vec<UsageReport> {
        let Some(time_of_day) = self.time_of_day(now) else { return Vec::new() };
        let open = self.reporter.open_windows(time_of_day);
        reports.iter().filter_map(|report| self.table.merge(report, open.clone())).collect()
    }

    /// Adds reports that are to be passed on to the other controllers. Returns how many are waiting.
    pub fn queue_for_peers(&mut self, reports: Vec<UsageReport>) -> usize {
        self.unsent.extend(reports);
        self.unsent.len()
    }

    /// Takes the reports that are to be passed on to the other controllers.
    pub fn take_unsent(&mut self) -> Vec<UsageReport> {
        std::mem::take(&mut self.unsent)
    }

    /// All totals, for a controller that has connected.
    pub fn snapshot(&self) -> Vec<UsageReport> {
        self.table.snapshot()
    }

    /// Takes over the record of a delivered state, and forgets the totals of the windows that it has fixed.
    pub fn record_committed(&mut self, record: Option<&UsageRecord>) {
        self.reporter.record_committed(record);
        if let Some(record) = record {
            self.table.forget_before(record.next_window());
        }
    }

    /// Whether a proposal is in flight.
    pub fn is_proposing(&self, now: Nanos) -> bool {
        self.proposal.is_some_and(|proposal| now < proposal.deadline)
    }

    /// Returns the record to be proposed now, if there is one and no proposal is in flight.
    pub fn next_record(&mut self, now: Nanos, lease: LeaseState) -> Option<UsageRecord> {
        let time_of_day = self.time_of_day(now)?;
        self.reporter.time_known(time_of_day);
        if self.is_proposing(now) || now < self.propose_not_before {
            return None;
        }
        self.reporter.next_record(lease, time_of_day, &self.table)
    }

    /// Records that a record is proposed with this number.
    pub fn proposed(&mut self, now: Nanos, id: u64) {
        self.proposal = Some(PendingProposal { id, deadline: now + PROPOSAL_TIMEOUT });
    }

    /// Records that the proposal with this number is committed.
    pub fn proposal_committed(&mut self, id: u64) {
        self.proposal.take_if(|proposal| proposal.id == id);
    }

    /// Records that the proposal with this number was rejected.
    pub fn proposal_rejected(&mut self, now: Nanos, id: u64) {
        if self.proposal.take_if(|proposal| proposal.id == id).is_some() {
            self.propose_not_before = now + RETRY_DELAY;
        }
    }

    /// Records that the view has changed, so that the proposal in flight may have no outcome.
    pub fn abandon_proposal(&mut self) {
        self.proposal = None;
    }

    /// Returns the token under which this controller may act, if that has changed since the last call.
    pub fn take_token_change(&mut self, token: Option<ReporterToken>) -> Option<Option<ReporterToken>> {
        (std::mem::replace(&mut self.last_token, token) != token).then_some(token)
    }

    /// Returns whether calls fail, if that has changed since the last call.
    pub fn take_failure_change(&mut self, is_failing: bool) -> Option<bool> {
        (std::mem::replace(&mut self.was_failing, is_failing) != is_failing).then_some(is_failing)
    }

    /// Numbers of totals that were not taken over.
    pub fn rejected_totals(&self) -> RejectedTotals {
        self.table.rejected()
    }

    /// What an operator is shown of the role.
    pub fn status(&self, now: Nanos, lease: LeaseState) -> ReporterStatus {
        self.reporter.status(now, lease)
    }

    /// Returns the time of the next step if no input arrives. `may_propose` is false while another proposal of this
    /// controller is in flight, whose end is an input.
    pub fn next_timeout(&self, now: Nanos, lease: LeaseState, may_propose: bool) -> Option<Nanos> {
        let call = self.reporter.next_call_timeout(now, lease);
        let pending = self.proposal.filter(|proposal| now < proposal.deadline);
        let closing = match pending {
            Some(proposal) => Some(proposal.deadline),
            None if may_propose => {
                let time_of_day = self.time_of_day(now);
                let closing = time_of_day.and_then(|time| self.reporter.next_closing(now, lease, time));
                closing.map(|closing| closing.max(self.propose_not_before))
            }
            None => None,
        };
        call.into_iter().chain(closing).min()
    }
}
