//! Scheduling of this replica's attempts to change the view.

use fernknot::interface::Nanos;

use crate::replica::Replica;
use crate::state::attempt::ScheduledAttempt;
use crate::state::peers::Peer;
use crate::types::{Member, SeededBug};

/// Reasons for changing the view.
struct ChangeReasons {
    /// Whether the view is active and not being changed; if not, that is a reason in itself.
    is_stable: bool,
    /// Whether this replica is the first member of an active view in which it must not lead.
    is_leaderless: bool,
    /// Whether the next view has to leave out a member, by the conditions of `is_lost`.
    has_lost_member: bool,
    /// Whether a member has prepared the change of the view.
    has_prepared_member: bool,
    /// Whether an eligible replica asks to join.
    has_joining_replica: bool,
}

impl ChangeReasons {
    fn requires_change(&self) -> bool {
        !self.is_stable
            || self.is_leaderless
            || self.has_lost_member
            || self.has_prepared_member
            || self.has_joining_replica
    }

    /// Whether changes can be committed in the view, so that it is only changed to improve its members.
    fn is_working(&self) -> bool {
        self.is_stable && !self.is_leaderless
    }
}

impl Replica {
    /// Begins an attempt if there is a reason to change the view and the time for it, including this replica's delay
    /// and the pause after an abandoned attempt, has come.
    pub fn start_attempt_when_due(&mut self) {
        let Some(due_at) = self.attempt_due_at() else {
            self.view_change.scheduled = None;
            return;
        };
        let now = self.clock.now;
        let ScheduledAttempt { since, delay } = match self.view_change.scheduled {
            Some(scheduled) => scheduled,
            None => ScheduledAttempt { since: now, delay: self.start_delay() },
        };
        self.view_change.scheduled = Some(ScheduledAttempt { since, delay });
        if now >= (since + delay).max(due_at).max(self.view_change.backoff_until) {
            self.view_change.scheduled = None;
            self.start_attempt();
        }
    }

    /// Returns the delay before an attempt, longer the later this replica comes in the view, so that attempts seldom
    /// compete.
    fn start_delay(&mut self) -> Nanos {
        let view = self.view();
        let before = view.members.iter().take_while(|member| !view.is_same_replica(member, self.me()));
        let rank = before.filter(|member| self.is_eligible_member(member)).count();
        if rank == 0 {
            return Nanos(0);
        }
        let interval = self.settings.heartbeat_interval;
        interval.times(rank as f64) + self.random.fraction_of(interval.times(0.5))
    }

    /// Returns the time at which a view change is due, or `None` if it is impossible or unnecessary.
    fn attempt_due_at(&self) -> Option<Nanos> {
        let may_act = self.recovery.complete && self.disk_healthy() && self.is_member();
        if self.view_change.attempt.is_some() || !may_act {
            return None;
        }
        let reasons = self.reasons_for_change();
        if !reasons.requires_change() {
            return None;
        }
        let planned = self.plan_members(None);
        if planned.len() < self.min_members() || !self.is_quorum(self.expected_votes()) {
            return None;
        }
        if reasons.is_working() {
            self.improvement_due_at(&reasons, &planned)
        } else {
            Some(self.repair_due_at(&planned))
        }
    }

    fn reasons_for_change(&self) -> ChangeReasons {
        let view = self.view();
        let is_active = self.activation.active;
        let is_first = view.members.first().is_some_and(|first| self.is_me(first));
        let has_prepared = |member: &Member| {
            let heartbeat = self.peers.get(member.id).map(|peer| &peer.heartbeat);
            heartbeat.is_some_and(|heartbeat| heartbeat.view == view.number && heartbeat.changing_view)
        };
        let joins = |peer: &Peer| !view.is_member(&peer.heartbeat.sender) && self.is_eligible(peer);
        ChangeReasons {
            is_stable: is_active && !self.is_changing_view(),
            is_leaderless: is_active && is_first && !self.is_leader(),
            has_lost_member: view.members.iter().any(|member| self.is_lost(member)),
            has_prepared_member: view.members.iter().any(has_prepared),
            has_joining_replica: self.peers.iter().any(joins),
        }
    }

    /// Returns the number of voters that are expected to respond to an attempt.
    fn expected_votes(&self) -> usize {
        let view = self.view();
        let is_empty_disk_at = |voter: &Member| {
            let is_there = |peer: &Peer| peer.heartbeat.sender.addr == voter.addr && self.is_eligible(peer);
            self.has_bug(SeededBug::EmptyDiskVotes) && self.peers.iter().any(is_there)
        };
        let answers = |voter: &&Member| {
            view.is_same_replica(voter, self.me())
                || self.is_eligible_member(voter)
                || is_empty_disk_at(voter)
        };
        view.voters().filter(answers).count()
    }

    /// Returns the time at which a working view is to be changed: now if a member is lost or the view can grow, later
    /// if another's attempt seems to have been abandoned.
    fn improvement_due_at(&self, reasons: &ChangeReasons, planned: &[Member]) -> Option<Nanos> {
        let view = self.view();
        let is_planned = |member: &Member| planned.iter().any(|other| view.is_same_replica(member, other));
        let grows = planned.len() > view.members.len() && view.members.iter().all(is_planned);
        if reasons.has_lost_member || grows {
            return Some(self.now());
        }
        // Another member has prepared, and this replica has not received that attempt's request.
        let since = self.view_change.scheduled.map_or(self.now(), |scheduled| scheduled.since);
        reasons.has_prepared_member.then(|| since + self.settings.suspicion_timeout.times(0.5))
    }

    /// Returns the time at which a view that doesn't work is to be changed: now if all members left out are lost,
    /// later if some may only not have sent a heartbeat yet.
    fn repair_due_at(&self, planned: &[Member]) -> Nanos {
        let view = self.view();
        let timeout = self.settings.suspicion_timeout;
        let is_planned = |member: &Member| planned.iter().any(|other| view.is_same_replica(member, other));
        // Another proposer's recent attempt takes precedence.
        let competing = self.view_change.competing_proposal_at;
        let competing_attempt_expires = competing.map_or(Nanos(0), |at| at + timeout.times(0.5));
        let all_known = view.members.iter().all(|member| is_planned(member) || self.is_lost(member));
        // A first member that may lead waits until all have stored the view; the others wait for the first member.
        let first_member_acts = match view.members.first() {
            Some(first) if view.is_same_replica(first, self.me()) => self.may_lead(),
            Some(first) => self.is_eligible_member(first),
            None => false,
        };
        let is_due_now = all_known && (self.is_changing_view() || !first_member_acts);
        let due_at = if is_due_now { self.now() } else { self.activation.unstable_since + timeout };
        competing_attempt_expires.max(due_at)
    }

    /// Whether the next view has to leave out the member: it is suspected, its disk is unhealthy, it was slow to
    /// store a state, or it has been recovering for more than two suspicion time-outs.
    fn is_lost(&self, member: &Member) -> bool {
        if self.is_me(member) {
            return false;
        }
        let is_ineligible = |peer: &Peer| {
            !peer.heartbeat.disk_healthy
                || peer.excluded_until > self.now()
                || peer.is_recovery_overdue(&self.clock)
        };
        self.is_suspected(member) || self.peers.get(member.id).is_some_and(is_ineligible)
    }
}
