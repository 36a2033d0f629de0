//! The proposer's attempt: its start, the requests of each phase, retries, and abandonment.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::replica::Replica;
use crate::state::attempt::{AttemptPhase, NextView, ViewChangeAttempt};
use crate::types::{Member, MemberId, Message, ProposalNumber, Revision, ViewNumber};

/// Time in a phase, in suspicion time-outs, after which the voters that will not be members are asked, too, and an
/// adopted next view proceeds without the joining members.
pub(super) const LATE_PHASE_TIMEOUTS: f64 = 0.5;
/// Time in a phase other than [`AttemptPhase::Accept`], in suspicion time-outs, after which the attempt is abandoned.
const MAX_PHASE_TIMEOUTS: f64 = 1.0;
/// Time in [`AttemptPhase::Accept`], in suspicion time-outs, after which the attempt is abandoned.
const MAX_ACCEPT_TIMEOUTS: f64 = 2.0;
/// Time, in suspicion time-outs, for which a replica that didn't join in time is left out of the next view.
const EXCLUSION_TIMEOUTS: f64 = 2.0;

impl Replica {
    pub(super) fn start_attempt(&mut self) {
        let highest_term = self.disk.state.prepared.term.max(self.view_change.highest_term);
        let proposal = ProposalNumber { term: highest_term.saturating_add(1), proposer: self.member_id() };
        self.view_change.highest_term = proposal.term;
        self.prepare_number(proposal);
        let (now, interval) = (self.clock.now, self.settings.heartbeat_interval);
        self.view_change.attempt = Some(ViewChangeAttempt::new(proposal, now, interval));
        // The requests are sent once the number is durable: it must not be used again after a restart.
        self.send_phase_requests();
    }

    /// Prepares the number: this replica stores no more changes in the view, and rejects attempts with a lower number.
    pub(super) fn prepare_number(&mut self, proposal: ProposalNumber) {
        if !self.is_changing_view() {
            self.activation.unstable_since = self.clock.now;
        }
        self.disk.state.prepared = proposal;
        self.disk.mark_dirty();
    }

    /// Returns the address on which a voter currently listens. Founders are known by address only.
    pub(super) fn voter_address(&self, voter: &Member) -> SocketAddrV4 {
        if voter.id == MemberId(0) { voter.addr } else { self.address_of(voter) }
    }

    /// Sends the requests of the attempt's phase to the replicas that have not responded.
    pub(super) fn send_phase_requests(&mut self) {
        let Some(attempt) = self.view_change.attempt.clone() else { return };
        match (attempt.phase, &attempt.next_view) {
            (AttemptPhase::Prepare, _) => self.send_prepare(&attempt),
            (AttemptPhase::Join | AttemptPhase::Accept, Some(next_view)) => {
                self.send_accept(&attempt, next_view);
            }
            (AttemptPhase::Join | AttemptPhase::Accept, None) => {}
        }
    }

    fn send_prepare(&mut self, attempt: &ViewChangeAttempt) {
        let current = self.chosen().clone();
        let revision = self.has_view_state().then_some(self.disk.state.revision);
        for (index, voter) in current.view.voters().enumerate() {
            if attempt.prepared.contains_key(&index) {
                continue;
            }
            let (proposal, current) = (attempt.proposal, current.clone());
            let message = Message::Prepare { proposal, current, revision };
            self.send_when_durable(self.voter_address(voter), message);
        }
    }

    fn send_accept(&mut self, attempt: &ViewChangeAttempt, next_view: &NextView) {
        let revisions: BTreeMap<MemberId, Option<Revision>> =
            attempt.prepared.values().map(|voter| (voter.member.id, voter.revision)).collect();
        for receiver in self.accept_receivers(attempt, next_view) {
            let has_state = revisions.get(&receiver.id) == Some(&Some(next_view.revision));
            let message = Message::Accept {
                proposal: attempt.proposal,
                current: self.chosen().clone(),
                next: next_view.chosen.clone(),
                revision: next_view.revision,
                state: (!has_state).then(|| next_view.state.clone()),
            };
            self.send(self.address_of(&receiver), message);
        }
    }

    /// Returns the replicas that should accept the next view in this phase and have not.
    fn accept_receivers(&self, attempt: &ViewChangeAttempt, next_view: &NextView) -> Vec<Member> {
        let next = &next_view.chosen.view;
        let mut receivers: Vec<Member> = next.members.clone();
        // Voters that will not be members are asked only after the members, whose disks must have the state.
        // Suspected members are not awaited: two competing proposers would abort each other's attempts meanwhile,
        // again and again.
        let asks_all = self.are_missing_members_suspected(attempt, next)
            || self.phase_exceeds(attempt, LATE_PHASE_TIMEOUTS);
        if asks_all {
            let voters = attempt.prepared.values().map(|voter| &voter.member);
            receivers.extend(voters.filter(|voter| !next.has_member_id(voter.id)).cloned());
        }
        let is_joining = |receiver: &Member| self.view().voter_index(receiver).is_none();
        receivers.retain(|receiver| !attempt.has_accepted(receiver.id));
        if attempt.phase == AttemptPhase::Join {
            receivers.retain(is_joining);
        }
        receivers
    }

    /// Whether the attempt has been in its phase for more than `timeouts` suspicion time-outs.
    pub(super) fn phase_exceeds(&self, attempt: &ViewChangeAttempt, timeouts: f64) -> bool {
        self.clock.timeouts_passed(timeouts, attempt.phase_started_at)
    }

    pub(super) fn start_phase(&mut self, phase: AttemptPhase) {
        let (now, interval) = (self.clock.now, self.settings.heartbeat_interval);
        if let Some(attempt) = &mut self.view_change.attempt {
            attempt.start_phase(phase, now, interval);
        }
        self.send_phase_requests();
    }

    /// Abandons the attempt. The next one begins after a random delay, so that competing proposers don't collide again.
    pub(super) fn abandon_attempt(&mut self) {
        self.view_change.attempt = None;
        let pause = self.random.fraction_of(self.settings.suspicion_timeout.times(0.5));
        self.view_change.backoff_until = self.clock.now + self.settings.heartbeat_interval + pause;
    }

    /// Handles a rejection by a voter that has prepared a higher number.
    pub fn handle_rejected(&mut self, view: ViewNumber, prepared: ProposalNumber) {
        if view != self.view().number {
            return;
        }
        self.view_change.observe_term(prepared.term);
        if self.view_change.attempt.as_ref().is_some_and(|attempt| attempt.proposal < prepared) {
            self.view_change.competing_proposal_at = Some(self.clock.now);
            self.abandon_attempt();
        }
    }

    /// Retransmits requests without a response, and abandons an attempt that has been in the joining or preparing
    /// phase for more than one suspicion time-out, or in the accepting phase for more than two.
    pub fn tick_attempt(&mut self) {
        let Some(phase) = self.view_change.attempt.as_ref().map(|attempt| attempt.phase) else { return };
        match phase {
            AttemptPhase::Prepare => self.finish_prepare(),
            AttemptPhase::Join => self.finish_join(),
            AttemptPhase::Accept => self.finish_accept(),
        }
        let Some(attempt) = &self.view_change.attempt else { return };
        let max_timeouts =
            if phase == AttemptPhase::Accept { MAX_ACCEPT_TIMEOUTS } else { MAX_PHASE_TIMEOUTS };
        if attempt.phase == phase && self.phase_exceeds(attempt, max_timeouts) {
            if phase == AttemptPhase::Join {
                self.exclude_absent_joiners();
            }
            return self.abandon_attempt();
        }
        self.retry_when_due();
    }

    fn retry_when_due(&mut self) {
        let (now, max_backoff) = (self.clock.now, self.settings.suspicion_timeout);
        let due = self.view_change.attempt.as_mut().filter(|attempt| now >= attempt.retry_at);
        let Some(attempt) = due else { return };
        attempt.back_off(now, max_backoff);
        self.send_phase_requests();
    }

    /// Leaves replicas that were to join and have not accepted the next view out of further views, for two suspicion
    /// time-outs.
    fn exclude_absent_joiners(&mut self) {
        let Some(attempt) = &self.view_change.attempt else { return };
        let Some(next_view) = &attempt.next_view else { return };
        let until = self.clock.now + self.settings.suspicion_timeout.times(EXCLUSION_TIMEOUTS);
        let view = &self.disk.state.chosen.view;
        for member in &next_view.chosen.view.members {
            let is_absent = view.voter_index(member).is_none() && !attempt.has_accepted(member.id);
            if is_absent && let Some(peer) = self.peers.get_mut(member.id) {
                peer.excluded_until = until;
            }
        }
    }
}
