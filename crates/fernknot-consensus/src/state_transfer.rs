//! State transfer: replicas that are behind are sent the newest state of the view, or the view that they missed.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::replica::Replica;
use crate::types::{ChosenView, Member, Message, PeerHeartbeat, Revision};

impl Replica {
    /// Sends a replica that is behind what it lacks: the state if it is a member of the view, otherwise the view.
    pub fn send_missing_state(&mut self, from: SocketAddrV4, heartbeat: &PeerHeartbeat) {
        let view = self.view();
        let misses_view = heartbeat.view < view.number;
        let lacks_nothing =
            !misses_view && (heartbeat.view > view.number || heartbeat.state_view >= view.number);
        if lacks_nothing || !self.may_announce_view() {
            return;
        }
        let is_member = view.number.0 > 0 && view.has_member_id(heartbeat.sender.id);
        if !is_member || !self.has_view_state() {
            if misses_view {
                self.announce_view(from);
            }
        } else if !self.first_member_sends_state(&heartbeat.sender) {
            self.send_state(from, &heartbeat.sender);
        }
    }

    /// Whether the first member of the view is another replica that has the state and will send it to the receiver.
    fn first_member_sends_state(&self, receiver: &Member) -> bool {
        let view = self.view();
        let Some(first) = view.members.first() else { return false };
        let has_state = || self.peers.get(first.id).filter(|peer| peer.has_state_of(view));
        !self.is_me(first)
            && first.id != receiver.id
            && has_state().is_some_and(|peer| self.is_reachable(peer))
    }

    /// Sends the newest state, at most once per heartbeat interval.
    fn send_state(&mut self, to: SocketAddrV4, receiver: &Member) {
        let (now, interval) = (self.clock.now, self.settings.heartbeat_interval);
        let Some(peer) = self.peers.get_mut(receiver.id) else { return };
        if peer.state_sent_at.is_some_and(|at| now - at < interval) {
            return;
        }
        peer.state_sent_at = Some(now);
        let state = &self.disk.state;
        let (chosen, revision, state) = (state.chosen.clone(), state.revision, state.state.clone());
        self.send(to, Message::StateTransfer { chosen, revision, state });
    }

    /// Adopts a later view that was chosen.
    pub fn handle_newer_view(&mut self, chosen: ChosenView) {
        if chosen.view.number > self.view().number {
            self.adopt_view(chosen);
            self.heartbeat_timer.request();
        }
    }

    /// Stores the newest state of a view, adopting the view first if it is later.
    pub fn handle_state_transfer(&mut self, chosen: ChosenView, revision: Revision, state: Arc<[u8]>) {
        if chosen.view.number > self.view().number {
            self.adopt_view(chosen.clone());
        }
        let is_newer = self.disk.state.state_view < chosen.view.number || self.disk.state.revision < revision;
        let is_current = chosen == *self.chosen() && self.is_member();
        let leads_already = self.may_lead() && self.has_view_state();
        if !is_current || !is_newer || self.is_changing_view() || leads_already {
            return;
        }
        // A later revision in the same view shows that all revisions before it are committed.
        if self.has_view_state() && self.disk.state.revision < revision {
            self.replication.commit_through(revision.previous());
            self.deliver();
        }
        self.disk.state.state_view = chosen.view.number;
        self.disk.state.revision = revision;
        self.disk.state.state = state;
        self.disk.mark_dirty();
    }
}
