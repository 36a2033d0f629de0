//! Adoption of a chosen view, its activation once all members have stored it, and the outcome of changes that were in
//! flight when the view before it ended. Also the new identity of a replica whose disk is outdated or excluded by a
//! forced view.

use std::mem;

use crate::replica::Replica;
use crate::state::replication::{DeliveredState, QueuedChange, UnresolvedChange};
use crate::types::{Action, ChosenView, MemberId, PersistentState, ProposalNumber, SeededBug, ViewNumber};

impl Replica {
    /// Adopts a view that is known to be chosen. This replica has its state only if it accepted exactly this view;
    /// otherwise the stored state stays that of an older view until a state transfer.
    pub fn adopt_view(&mut self, chosen: ChosenView) {
        let previous = self.view().number;
        if chosen.view.number <= previous {
            return;
        }
        if self.is_excluded_by(&chosen) && !self.has_bug(SeededBug::UnfencedForcedView) {
            return self.reset_identity();
        }
        if chosen.view.number.era() > previous.era() {
            // The operator who forced the view has accepted this disk, even if it is outdated.
            self.recovery.complete = true;
            self.recovery.outdated = false;
        }
        self.take_accepted_state(&chosen);
        for voter in chosen.view.voters() {
            self.peers.add_address(voter.addr);
        }
        self.start_view(chosen);
        self.end_changes_of(previous);
        if !self.is_member() && self.activation.entered_view.take().is_some() {
            self.outbox.push(Action::ViewLeft);
        }
    }

    /// Makes the state of the accepted next view the current one, if the chosen view is exactly that view.
    fn take_accepted_state(&mut self, chosen: &ChosenView) {
        let disk = &mut self.disk.state;
        let Some(accepted) = disk.accepted.take().filter(|accepted| accepted.next == *chosen) else { return };
        if let Some(state) = accepted.state {
            disk.state = state;
        }
        disk.state_view = chosen.view.number;
        disk.revision = accepted.revision;
    }

    fn start_view(&mut self, chosen: ChosenView) {
        let start = chosen.start();
        self.disk.state.prepared = ProposalNumber::default();
        self.disk.state.chosen = chosen;
        self.disk.mark_dirty();
        self.replication.commit_revision = start;
        self.read_indexes.reset_for_view(start);
        self.activation.active = false;
        self.activation.unstable_since = self.clock.now;
        self.view_change.reset();
    }

    fn end_changes_of(&mut self, view: ViewNumber) {
        if let Some(change) = self.replication.pending.take() {
            let (change_id, revision) = (change.change_id, change.revision);
            self.replication.unresolved.push(UnresolvedChange { change_id, view, revision });
        }
        self.reject_queued_changes();
        self.resolve_changes();
    }

    fn reject_queued_changes(&mut self) {
        for QueuedChange { change_id, .. } in mem::take(&mut self.replication.queued) {
            self.outbox.push(Action::Rejected { change_id });
        }
    }

    /// Reports the outcome of changes that were in flight when their view ended: a change is committed if the next view
    /// began at its revision or above, and rejected otherwise.
    fn resolve_changes(&mut self) {
        let chosen = &self.disk.state.chosen;
        let active = self.activation.active;
        let guesses = self.seeded_bug == Some(SeededBug::GuessForgottenViewStart);
        let outbox = &mut self.outbox;
        self.replication.unresolved.retain(|change| {
            let change_id = change.change_id;
            let next = change.view.next();
            let Some(start) = chosen.view_starts.iter().find(|start| start.view == next) else {
                if guesses {
                    outbox.push(Action::Rejected { change_id });
                }
                // The change stays unresolved, and is dropped once the start of the next view has been discarded.
                return chosen.view_starts.first().is_some_and(|oldest| oldest.view <= next);
            };
            if start.revision < change.revision {
                outbox.push(Action::Rejected { change_id });
            } else if active || chosen.view.number > next {
                outbox.push(Action::Committed { change_id, revision: change.revision });
            } else {
                return true; // the view is chosen, but may not be on all disks yet
            }
            false
        });
    }

    /// Marks the last chosen view as active, so that changes are accepted and committed in it, and delivers its
    /// state. Does nothing while this replica's disk is not verified or lacks the view's state.
    pub fn activate_view(&mut self) {
        if !self.recovery.complete || !self.has_view_state() || self.view().number == ViewNumber(0) {
            return;
        }
        if !self.activation.active {
            self.activation.active = true;
            self.heartbeat_timer.request();
            self.view_change.scheduled = None;
            self.enter_view();
            self.resolve_changes();
        }
        self.deliver();
    }

    fn enter_view(&mut self) {
        let view = self.view().clone();
        if self.activation.entered_view.as_ref() != Some(&view) {
            self.outbox.push(Action::ViewActivated { view: view.clone() });
            self.activation.entered_view = Some(view);
        }
    }

    /// Activates a view that was chosen before all members had stored it, once they have. Only the leader does so.
    pub fn activate_when_replicated(&mut self) {
        if self.activation.active || self.is_changing_view() || self.view_change.attempt.is_some() {
            return;
        }
        if !self.may_lead() || !self.has_view_state() {
            return;
        }
        let view = self.view();
        let has_view = |id: MemberId| {
            if id == self.member_id() {
                let durable = &self.disk.durable;
                return self.disk.durable_view() == view.number && durable.state.view == view.number;
            }
            self.peers.get(id).is_some_and(|peer| peer.has_state_of(view) && !peer.heartbeat.changing_view)
        };
        let all_have_it = view.members.iter().all(|member| has_view(member.id));
        if all_have_it && view.members.len() > self.settings.fault_tolerance {
            self.activate_view();
        }
    }

    /// Delivers the newest state, if it is committed and was not delivered yet.
    pub fn deliver(&mut self) {
        let PersistentState { revision, .. } = self.disk.state;
        let is_newer = self.replication.delivered_revision().is_none_or(|delivered| delivered < revision);
        let is_committed = self.replication.commit_revision >= revision;
        if !self.activation.active || !self.has_view_state() || !is_committed || !is_newer {
            return;
        }
        let state = self.disk.state.state.clone();
        self.replication.delivered = Some(DeliveredState { revision, state: state.clone() });
        self.outbox.push(Action::Deliver { view: self.view().number, revision, state });
    }

    /// Whether a view of a later era excludes this disk: the disk has stored something, and this replica doesn't vote
    /// in the view.
    fn is_excluded_by(&self, chosen: &ChosenView) -> bool {
        let previous = self.view().number;
        let state = &self.disk.state;
        let accepted_nothing =
            state.state_view == ViewNumber(0) && state.accepted.is_none() && !self.is_changing_view();
        let is_later_era = previous > ViewNumber(0) && chosen.view.number.era() > previous.era();
        is_later_era && !accepted_nothing && !chosen.view.has_voter_id(self.member_id())
    }

    /// Continues as a new member. The content of the disk is no longer valid, and is overwritten.
    pub fn reset_identity(&mut self) {
        let previous = self.member_id();
        let mut settings = self.settings.clone();
        settings.me.id = MemberId(self.random.next().max(1));
        settings.bootstrap = false;
        let current = settings.me.id;
        let seed = self.random.next();
        let mut next = Replica::new(seed, settings, None, self.clock.now, self.seeded_bug);
        next.peers.inherit_addresses(&mut self.peers);
        next.disk.inherit_from(&mut self.disk);
        self.reject_queued_changes();
        next.outbox.inherit_from(&mut self.outbox);
        if self.activation.entered_view.is_some() {
            next.outbox.push(Action::ViewLeft);
        }
        next.outbox.push(Action::IdentityReplaced { previous, current });
        next.heartbeat_timer.request();
        next.disk.mark_dirty();
        *self = next;
    }
}
