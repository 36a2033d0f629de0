//! Acceptors, the voters and joining members: they prepare, accept, and adopt the chosen view.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::replica::Replica;
use crate::types::{
    AcceptedView, ChosenView, Member, Message, ProposalNumber, Revision, SeededBug, ViewNumber,
};

/// A proposer's request to accept a next view.
pub(crate) struct AcceptRequest {
    pub proposal: ProposalNumber,
    pub current: ChosenView,
    pub next: ChosenView,
    pub revision: Revision,
    pub state: Option<Arc<[u8]>>,
}

impl Replica {
    /// Prepares the change of the view, and reports this replica's newest state and accepted next view.
    pub fn handle_prepare(
        &mut self,
        from: SocketAddrV4,
        proposal: ProposalNumber,
        current: ChosenView,
        proposer_revision: Option<Revision>,
    ) {
        if self.has_bug(SeededBug::EmptyDiskVotes) && *self.chosen() == ChosenView::default() {
            self.disk.state.chosen = current.clone();
        }
        self.adopt_founders(&current);
        if !self.participates_in_change_of(from, &current) || self.voter_index_of(self.me()).is_none() {
            return;
        }
        if !self.prepare_or_reject(from, proposal) {
            return;
        }
        let stored = &self.disk.state;
        let revision = self.has_view_state().then_some(stored.revision);
        let proposer_lacks = |own: &Revision| proposer_revision.is_none_or(|revision| revision < *own);
        let state = revision.filter(proposer_lacks).map(|_| stored.state.clone());
        let mut accepted = stored.accepted.clone();
        if let Some(accepted) = &mut accepted
            && proposer_revision != Some(accepted.revision)
            && accepted.state.is_none()
        {
            accepted.state = Some(stored.state.clone());
        }
        let (sender, view) = (self.me().clone(), current.view.number);
        let message = Message::Prepared { sender, proposal, view, revision, state, accepted };
        self.send_when_durable(from, message);
    }

    /// Adopts the proposer's view 0 if this disk is empty and the view names this replica's address. Without this, the
    /// founding would wait for ever for a founder that crashed before its first write and was restarted without
    /// `bootstrap`.
    fn adopt_founders(&mut self, current: &ChosenView) {
        let is_founder = |member: &Member| member.addr == self.me().addr;
        let is_named = current.view.number == ViewNumber(0) && current.view.members.iter().any(is_founder);
        let is_empty = *self.chosen() == ChosenView::default() && self.disk.state.accepted.is_none();
        if is_named && is_empty {
            self.disk.state.chosen = current.clone();
            self.disk.mark_dirty();
        }
    }

    /// Accepts the next view, unless a higher number was prepared.
    pub fn handle_accept(&mut self, from: SocketAddrV4, request: AcceptRequest) {
        let AcceptRequest { proposal, current, next, revision, state } = request;
        let view = current.view.number;
        let is_successor = next.view.number == view.next();
        if !is_successor || !self.participates_in_change_of(from, &current) {
            return;
        }
        let is_stored = self.disk.state.state_view == view && self.disk.state.revision == revision;
        if (!is_stored && state.is_none()) || !self.prepare_or_reject(from, proposal) {
            return;
        }
        let state = state.filter(|_| !is_stored);
        let accepted = AcceptedView { proposal, next, revision, state };
        if self.disk.state.accepted.as_ref() != Some(&accepted) {
            self.disk.state.accepted = Some(accepted);
            self.disk.mark_dirty();
        }
        let sender = self.me().clone();
        self.send_when_durable(from, Message::Accepted { sender, proposal, view });
    }

    /// Adopts the chosen view if this replica has accepted it, and activates it if all its members have.
    pub fn handle_chosen(&mut self, proposal: ProposalNumber, view: ViewNumber, view_active: bool) {
        let current = self.view().number;
        let accepted = self.disk.state.accepted.as_ref().filter(|accepted| accepted.proposal == proposal);
        match accepted {
            Some(accepted) if view == current => self.adopt_view(accepted.next.clone()),
            _ if view.next() != current => return,
            _ => {}
        }
        if view_active && !self.is_changing_view() {
            self.activate_view();
        }
    }

    /// Whether this replica takes part in the change from `view` to the next one: it does if `view` is the newest view
    /// that it knows. Adopts `view` first if it is later than the newest one known so far; if it is earlier, announces
    /// the newest one to the sender, `from`.
    fn participates_in_change_of(&mut self, from: SocketAddrV4, view: &ChosenView) -> bool {
        let current = self.view().number;
        if view.view.number < current {
            self.announce_view(from);
            return false;
        }
        if view.view.number > current {
            self.adopt_view(view.clone());
        }
        view == self.chosen()
    }

    /// Prepares the number of another's attempt, and abandons this replica's own. Rejects it and returns false if a
    /// higher number was prepared.
    fn prepare_or_reject(&mut self, from: SocketAddrV4, proposal: ProposalNumber) -> bool {
        let prepared = self.disk.state.prepared;
        if proposal < prepared {
            let view = self.view().number;
            self.send(from, Message::Rejected { view, prepared });
            return false;
        }
        self.view_change.observe_term(proposal.term);
        if proposal.proposer != self.member_id() {
            self.view_change.competing_proposal_at = Some(self.clock.now);
            if self.view_change.attempt.is_some() {
                self.abandon_attempt();
            }
        }
        if proposal > prepared {
            self.prepare_number(proposal);
        }
        true
    }
}
