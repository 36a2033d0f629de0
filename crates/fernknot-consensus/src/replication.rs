//! Changes in an active view: the leader sends each to all members, and it is committed once all have it on disk. This
//! is the normal operation of Viewstamped Replication, with all members in place of a majority.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::replica::Replica;
use crate::state::replication::{PendingChange, QueuedChange};
use crate::types::{
    Action, DurableProgress, Member, MemberId, Message, Revision, SeededBug, StatePosition, ViewNumber,
};

/// Maximum number of changes that the leader has accepted and not yet sent.
const MAX_QUEUED_CHANGES: usize = 8;

impl Replica {
    /// Queues the next state after `base`. Rejects it if this replica isn't the leader, `base` isn't the last assigned
    /// revision, the disk is unhealthy or the queue is full.
    pub fn accept_change(&mut self, change_id: u64, base: Revision, state: Vec<u8>) {
        let queued = self.replication.queued.len();
        let last = Revision(self.disk.state.revision.0.saturating_add(queued as u64));
        if self.is_leader() && self.disk_healthy() && base == last && queued < MAX_QUEUED_CHANGES {
            self.replication.queued.push_back(QueuedChange { change_id, state: Arc::from(state) });
            self.replicate_next();
        } else {
            self.outbox.push(Action::Rejected { change_id });
        }
    }

    /// Sends the next queued change, if none is in flight.
    fn replicate_next(&mut self) {
        if self.replication.pending.is_some() || !self.is_leader() {
            return;
        }
        let Some(QueuedChange { change_id, state }) = self.replication.queued.pop_front() else { return };
        let revision = self.disk.state.revision.next();
        self.disk.state.revision = revision;
        self.disk.state.state = state;
        self.disk.mark_dirty();
        self.activation.unstable_since = self.clock.now;
        let backoff = self.settings.heartbeat_interval;
        let (started_at, retry_at) = (self.clock.now, self.clock.now + backoff);
        self.replication.pending = Some(PendingChange { change_id, revision, started_at, retry_at, backoff });
        for to in self.other_members() {
            self.send_change(to);
        }
        self.commit_when_replicated();
    }

    fn send_change(&mut self, to: SocketAddrV4) {
        let state = &self.disk.state;
        let (view, revision, state) = (state.chosen.view.number, state.revision, state.state.clone());
        self.send(to, Message::Replicate { view, revision, state });
    }

    fn other_members(&self) -> Vec<SocketAddrV4> {
        let others = self.view().members.iter().filter(|member| !self.is_me(member));
        others.map(|member| self.address_of(member)).collect()
    }

    /// Whether the member has stored the change, or a later one, on disk.
    fn has_stored(&self, member: &Member, revision: Revision) -> bool {
        let includes =
            |stored: StatePosition| stored.view == self.view().number && stored.revision >= revision;
        if self.is_me(member) {
            return includes(self.disk.durable.state);
        }
        self.has_bug(SeededBug::CommitOnOneDisk)
            || self.peers.get(member.id).is_some_and(|peer| includes(peer.stored))
    }

    /// Commits the change in flight once it is on the disk of every member, and on more disks than may be lost.
    pub fn commit_when_replicated(&mut self) {
        let Some(PendingChange { change_id, revision, .. }) = self.replication.pending else { return };
        let view = self.view();
        let is_replicated = view.members.iter().all(|member| self.has_stored(member, revision));
        if view.members.len() <= self.settings.fault_tolerance || !is_replicated {
            return;
        }
        let view = view.number;
        self.replication.pending = None;
        self.replication.commit_revision = revision;
        self.outbox.push(Action::Committed { change_id, revision });
        for to in self.other_members() {
            self.send(to, Message::Commit { view, revision });
        }
        self.deliver();
        self.replicate_next();
    }

    /// Retransmits the change in flight to members that have not acknowledged it. A member that has not done so for two
    /// suspicion time-outs is left out of the next view.
    pub fn retransmit_change(&mut self) {
        let (now, limit) = (self.clock.now, self.settings.suspicion_timeout);
        let Some(change) = &self.replication.pending else { return };
        let (revision, started_at) = (change.revision, change.started_at);
        if now < change.retry_at {
            return;
        }
        let is_late = self.clock.timeouts_passed(2.0, started_at);
        let members = self.view().members.clone();
        for member in members {
            if self.is_me(&member) || self.has_stored(&member, revision) {
                continue;
            }
            self.send_change(self.address_of(&member));
            if is_late && let Some(peer) = self.peers.get_mut(member.id) {
                peer.excluded_until = now + limit.times(2.0);
            }
        }
        if let Some(change) = &mut self.replication.pending {
            change.backoff = change.backoff.times(2.0).min(limit);
            change.retry_at = now + change.backoff;
        }
    }

    /// Stores the leader's next change, and acknowledges it once it is durable.
    pub fn handle_replicate(
        &mut self,
        from: SocketAddrV4,
        view: ViewNumber,
        revision: Revision,
        state: Arc<[u8]>,
    ) {
        let current = self.view().number;
        if view != current || !self.has_view_state() || self.may_lead() {
            self.heartbeat_timer.request_if(view > current);
            return;
        }
        let newest = self.disk.state.revision;
        if revision == newest.next() && !self.is_changing_view() {
            // The leader sends the next change only once the last one is on all disks and the view is active.
            self.replication.commit_through(newest);
            self.activate_view();
            self.disk.state.revision = revision;
            self.disk.state.state = state;
            self.activation.unstable_since = self.clock.now;
            self.disk.mark_dirty();
        }
        if revision <= self.disk.state.revision {
            let sender = self.member_id();
            self.send_when_durable(from, Message::ReplicateAck { sender, view, revision });
        }
    }

    /// Records that the member `sender` has stored a change, and commits the change in flight if all members have.
    pub fn handle_replicate_ack(&mut self, sender: MemberId, view: ViewNumber, revision: Revision) {
        let stored = StatePosition { view, revision };
        self.record_progress(sender, DurableProgress { state: stored, ..DurableProgress::default() });
        if let Some(peer) = self.peers.get_mut(sender) {
            peer.stored = peer.stored.max(stored);
        }
        self.commit_when_replicated();
    }

    /// Delivers the change that the leader reports as committed.
    pub fn handle_commit(&mut self, view: ViewNumber, revision: Revision) {
        if view == self.view().number && self.has_view_state() && !self.may_lead() {
            self.replication.commit_through(revision);
            self.activate_view();
        }
    }
}
