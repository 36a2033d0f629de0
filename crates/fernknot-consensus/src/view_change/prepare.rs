//! The proposer's first phase: collecting the voters' states, and selecting the next view to propose.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::replica::Replica;
use crate::state::attempt::{
    AcceptedProposal, AttemptPhase, NextView, PreparedVoter, StateSnapshot, ViewChangeAttempt,
};
use crate::types::{
    AcceptedView, DurableProgress, Member, MemberId, ProposalInView, ProposalNumber, Revision, SeededBug,
    StatePosition, ViewNumber,
};

/// A voter's response in the first phase.
pub(crate) struct PreparedReply {
    pub sender: Member,
    pub proposal: ProposalNumber,
    pub view: ViewNumber,
    pub revision: Option<Revision>,
    pub state: Option<Arc<[u8]>>,
    pub accepted: Option<AcceptedView>,
}

impl Replica {
    /// Handles a voter's response that it has prepared.
    pub fn handle_prepared(&mut self, reply: PreparedReply) {
        self.record_prepared_progress(&reply);
        if reply.view != self.view().number {
            return;
        }
        let own = self.own_snapshot();
        let Some(index) = self.voter_index_of(&reply.sender) else { return };
        let Some(attempt) = &mut self.view_change.attempt else { return };
        if attempt.proposal == reply.proposal
            && attempt.phase == AttemptPhase::Prepare
            && add_reply(attempt, index, reply, own.as_ref())
        {
            self.finish_prepare();
        }
    }

    fn record_prepared_progress(&mut self, reply: &PreparedReply) {
        let view = reply.view;
        let state = reply.revision.map(|revision| StatePosition { view, revision });
        let progress = DurableProgress {
            prepared: ProposalInView { view, proposal: reply.proposal },
            state: state.unwrap_or_default(),
            ..DurableProgress::default()
        };
        self.record_progress(reply.sender.id, progress);
    }

    /// Returns the newest state of the view that this replica has, if any.
    fn own_snapshot(&self) -> Option<StateSnapshot> {
        let state = &self.disk.state;
        self.has_view_state().then(|| StateSnapshot { revision: state.revision, state: state.state.clone() })
    }

    /// Returns the position of the replica among the voters of the current view.
    pub(super) fn voter_index_of(&self, replica: &Member) -> Option<usize> {
        let view = self.view();
        let at_address = || view.voters().position(|voter| voter.addr == replica.addr);
        let empty_votes = self.has_bug(SeededBug::EmptyDiskVotes);
        view.voter_index(replica).or_else(|| empty_votes.then(at_address).flatten())
    }

    /// Selects the next view and its first state, once enough voters have prepared.
    pub(super) fn finish_prepare(&mut self) {
        let Some(attempt) = &self.view_change.attempt else { return };
        if attempt.phase != AttemptPhase::Prepare || !self.has_enough_prepared(attempt) {
            return;
        }
        let quorum_at = attempt.quorum_prepared_at.unwrap_or(self.clock.now);
        let waits =
            self.waits_for_stragglers(attempt) && self.clock.now < quorum_at + attempt.straggler_timeout;
        if let Some(attempt) = &mut self.view_change.attempt {
            attempt.quorum_prepared_at = Some(quorum_at);
        }
        if waits {
            return;
        }
        match self.choose_next_view() {
            Some(next_view) => self.propose_next_view(next_view),
            None => self.abandon_attempt(),
        }
    }

    /// Whether a quorum has prepared, and the first state of the next view is known.
    fn has_enough_prepared(&self, attempt: &ViewChangeAttempt) -> bool {
        // Committed changes are on every member's disk, so one member with the state suffices.
        let is_state_known = attempt.prepared.values().any(|voter| voter.revision.is_some())
            || attempt.highest_accepted.is_some()
            || self.has_bug(SeededBug::EmptyDiskVotes);
        self.is_quorum(attempt.prepared.len()) && is_state_known
    }

    /// Whether a voter that is expected to respond has not done so yet.
    fn waits_for_stragglers(&self, attempt: &ViewChangeAttempt) -> bool {
        let mut voters = self.view().voters().enumerate();
        voters.any(|(index, voter)| !attempt.prepared.contains_key(&index) && self.is_eligible_member(voter))
    }

    /// Applies the value rule of Paxos: a view that may have been chosen under a lower number is proposed again;
    /// otherwise a view of the available replicas, with the newest state that a prepared voter has. Returns `None` if
    /// they are too few or have no state.
    fn choose_next_view(&self) -> Option<NextView> {
        let attempt = self.view_change.attempt.as_ref()?;
        let highest_accepted =
            attempt.highest_accepted.as_ref().filter(|_| !self.has_bug(SeededBug::ForgetAcceptedView));
        if let Some(accepted) = highest_accepted {
            return Some(accepted.next_view.clone());
        }
        let prepared: BTreeSet<MemberId> = attempt.prepared.values().map(|voter| voter.member.id).collect();
        let members = self.plan_members(Some(&prepared));
        let StateSnapshot { revision, state } = attempt.latest_state.clone()?;
        if members.len() < self.min_members() {
            return None;
        }
        let chosen = self.plan_next_view(members, revision);
        Some(NextView { chosen, revision, state, adopted: false })
    }

    fn propose_next_view(&mut self, next_view: NextView) {
        let view = self.view();
        let has_joining =
            next_view.chosen.view.members.iter().any(|member| view.voter_index(member).is_none());
        if let Some(attempt) = &mut self.view_change.attempt {
            attempt.next_view = Some(next_view);
        }
        self.start_phase(if has_joining { AttemptPhase::Join } else { AttemptPhase::Accept });
    }
}

/// Adds a voter's reply to the attempt. Returns false if the reply lacks a state that is needed, and so is not counted.
/// `own` is the proposer's own state, which a voter may leave out of its reply.
fn add_reply(
    attempt: &mut ViewChangeAttempt,
    index: usize,
    reply: PreparedReply,
    own: Option<&StateSnapshot>,
) -> bool {
    let PreparedReply { sender, revision, state, accepted, .. } = reply;
    let own_state =
        |revision: Revision| own.filter(|own| own.revision == revision).map(|own| own.state.clone());
    let mut newer_state = None;
    if let Some(revision) = revision {
        let is_known = attempt.latest_state.as_ref().is_some_and(|latest| latest.revision >= revision);
        let state = state.or_else(|| own_state(revision));
        // A revision up to the proposer's own needs no state: the proposer's reply to itself brings it, or a newer one.
        let is_below_own = own.is_some_and(|own| own.revision >= revision);
        match state {
            _ if is_known => {}
            Some(state) => newer_state = Some(StateSnapshot { revision, state }),
            None if is_below_own => {}
            None => return false,
        }
    }
    let mut accepted_proposal = None;
    if let Some(AcceptedView { proposal, next, revision, state }) = accepted {
        let Some(state) = state.or_else(|| own_state(revision)) else { return false };
        let next_view = NextView { chosen: next, revision, state, adopted: true };
        accepted_proposal = Some(AcceptedProposal { proposal, next_view });
    }
    if newer_state.is_some() {
        attempt.latest_state = newer_state;
    }
    if let Some(accepted) = accepted_proposal {
        attempt.consider_accepted(accepted);
    }
    attempt.prepared.insert(index, PreparedVoter { member: sender, revision });
    true
}
