//! The proposer's second phase: the joining members and then the voters accept the next view, until it is chosen.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use super::proposer::LATE_PHASE_TIMEOUTS;
use crate::replica::Replica;
use crate::state::attempt::{AttemptPhase, ViewChangeAttempt};
use crate::types::{
    DurableProgress, Member, Message, ProposalInView, ProposalNumber, SeededBug, View, ViewNumber,
};

/// Time, in suspicion time-outs, for which the proposer waits after a view is chosen for the last members to accept
/// it. If all do, the view is active at once.
const MAX_ACTIVATION_TIMEOUTS: f64 = 0.5;

impl Replica {
    /// Records that a voter or a joining replica has accepted the next view.
    pub fn handle_accepted(&mut self, sender: Member, proposal: ProposalNumber, view: ViewNumber) {
        let number = ProposalInView { view, proposal };
        let progress = DurableProgress { prepared: number, accepted: number, ..DurableProgress::default() };
        self.record_progress(sender.id, progress);
        let is_current = view == self.view().number;
        let Some(attempt) = &mut self.view_change.attempt else { return };
        if !is_current || attempt.proposal != proposal {
            return;
        }
        match attempt.phase {
            AttemptPhase::Prepare => {}
            AttemptPhase::Join => {
                attempt.accepted.insert(sender.id, sender);
                self.finish_join();
            }
            AttemptPhase::Accept => {
                attempt.accepted.insert(sender.id, sender);
                self.finish_accept();
            }
        }
    }

    /// Proceeds to the vote once the joining members have the state. An adopted next view, which may have been chosen,
    /// doesn't wait for suspected members, and for others only for a limited time.
    pub(super) fn finish_join(&mut self) {
        let Some(attempt) = &self.view_change.attempt else { return };
        let Some(next_view) = &attempt.next_view else { return };
        let view = self.view();
        let has_joined =
            |member: &Member| view.voter_index(member).is_some() || attempt.has_accepted(member.id);
        let all_joined = next_view.chosen.view.members.iter().all(has_joined)
            || self.has_bug(SeededBug::JoinerCountsWithoutState);
        let mut missing = next_view.chosen.view.members.iter().filter(|member| !has_joined(member));
        let none_awaited = missing.all(|member| self.is_suspected(member));
        let is_late = self.phase_exceeds(attempt, LATE_PHASE_TIMEOUTS);
        if all_joined || (next_view.adopted && (none_awaited || is_late)) {
            self.start_phase(AttemptPhase::Accept);
        }
    }

    /// Ends the attempt once the view is chosen by a quorum, and all its members have accepted it, or the others are
    /// suspected, or half a suspicion time-out has passed since it was chosen.
    pub(super) fn finish_accept(&mut self) {
        let Some(attempt) = &self.view_change.attempt else { return };
        let Some(next_view) = &attempt.next_view else { return };
        let next = &next_view.chosen.view;
        let all_accepted =
            attempt.all_members_accepted() || self.has_bug(SeededBug::JoinerCountsWithoutState);
        let none_awaited = all_accepted || self.are_missing_members_suspected(attempt, next);
        if !self.is_chosen(attempt) {
            if none_awaited && !attempt.former_members_asked {
                self.ask_former_members();
            }
            return;
        }
        let chosen_at = attempt.chosen_at.unwrap_or(self.clock.now);
        let waits = !self.clock.timeouts_passed(MAX_ACTIVATION_TIMEOUTS, chosen_at);
        if !none_awaited && waits {
            if let Some(attempt) = &mut self.view_change.attempt {
                attempt.chosen_at = Some(chosen_at);
            }
            return;
        }
        self.announce_chosen(all_accepted);
    }

    /// Whether a quorum of the current view's voters has accepted.
    fn is_chosen(&self, attempt: &ViewChangeAttempt) -> bool {
        let accepted = attempt.accepted.values();
        let votes: BTreeSet<usize> = accepted.filter_map(|voter| self.voter_index_of(voter)).collect();
        self.is_quorum(votes.len())
    }

    /// Asks the voters that will not be members of the next view, because the members' votes don't suffice. Further
    /// requests to them are sent with the retries.
    fn ask_former_members(&mut self) {
        if let Some(attempt) = &mut self.view_change.attempt {
            attempt.former_members_asked = true;
        }
        self.send_phase_requests();
    }

    /// Whether all members that have not accepted are suspected.
    pub(super) fn are_missing_members_suspected(&self, attempt: &ViewChangeAttempt, next: &View) -> bool {
        let mut missing = next.members.iter().filter(|member| !attempt.has_accepted(member.id));
        missing.all(|member| self.is_suspected(member))
    }

    /// Ends the attempt and announces that the next view is chosen.
    fn announce_chosen(&mut self, view_active: bool) {
        let Some(attempt) = self.view_change.attempt.take() else { return };
        let Some(next_view) = &attempt.next_view else { return };
        let (view, proposal) = (self.view(), attempt.proposal);
        let members = next_view.chosen.view.members.iter().map(|member| self.address_of(member));
        let voters = view.voters().map(|voter| self.voter_address(voter));
        let mut receivers: BTreeSet<SocketAddrV4> = members.chain(voters).collect();
        receivers.insert(self.me().addr);
        let message = Message::Chosen { proposal, view: view.number, view_active };
        for to in receivers {
            self.send(to, message.clone());
        }
    }
}
