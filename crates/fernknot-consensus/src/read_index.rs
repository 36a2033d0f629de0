//! Read index (Ongaro, "Consensus: Bridging Theory and Practice", section 6.4): after a read was requested, a
//! majority of the voters confirms that the view is still current, so that the read can't return a state that a later
//! view has replaced. The argument is in docs/consensus.md, rule 13.

use std::net::SocketAddrV4;

use crate::replica::Replica;
use crate::types::{Action, MemberId, Message, ReadIndexId, Revision, SeededBug, ViewNumber};

impl Replica {
    /// Begins a read index. Returns false if too many are pending.
    pub fn request_read_index(&mut self, id: ReadIndexId) -> bool {
        if self.read_indexes.is_full() {
            return false;
        }
        let ignores_pending = self.has_bug(SeededBug::ReadIndexIgnoresPendingChange);
        let is_current = self.has_view_state() && !ignores_pending;
        let min_revision = if is_current { self.disk.state.revision } else { Revision(0) };
        self.read_indexes.add(id, min_revision);
        self.send_read_index_requests();
        true
    }

    /// Sends the newest request to the voters that have not confirmed it yet.
    pub fn send_read_index_requests(&mut self) {
        let view = self.view().number;
        if self.read_indexes.is_empty() || view == ViewNumber(0) {
            return;
        }
        let (incarnation, sequence) = (self.incarnation, self.read_indexes.sequence);
        let voters = self.view().voters();
        let unconfirmed = voters
            .filter(|voter| !self.is_me(voter) && !self.read_indexes.has_confirmed_newest(voter.id, view));
        let receivers: Vec<SocketAddrV4> = unconfirmed.map(|voter| self.address_of(voter)).collect();
        for to in receivers {
            self.send(to, Message::ReadIndexRequest { view, incarnation, sequence });
        }
    }

    /// Confirms the view to the requester, if this replica is in it and not changing it.
    pub fn handle_read_index_request(
        &mut self,
        from: SocketAddrV4,
        view: ViewNumber,
        incarnation: u64,
        sequence: u64,
    ) {
        let current = self.view().number;
        if view < current {
            self.announce_view(from);
        } else if view > current {
            self.heartbeat_timer.request();
        } else if !self.is_changing_view() || self.has_bug(SeededBug::ReadIndexDuringViewChange) {
            // A voter that has not prepared now had not prepared when the read was requested. If a majority of the
            // voters confirms this, no later view had been chosen by then.
            let sender = self.member_id();
            self.send(from, Message::ReadIndexResponse { sender, view, incarnation, sequence });
        }
    }

    /// Records a voter's confirmation of the view.
    pub fn handle_read_index_response(
        &mut self,
        sender: MemberId,
        view: ViewNumber,
        incarnation: u64,
        sequence: u64,
    ) {
        // A response to an earlier process must not count: its sequence numbers were the same.
        let is_for_this_process = incarnation == self.incarnation;
        if is_for_this_process && view == self.view().number && self.view().has_voter_id(sender) {
            self.read_indexes.confirm(sender, view, sequence);
        }
    }

    /// Reports the read indexes that a majority has confirmed.
    pub fn complete_read_indexes(&mut self) {
        if self.read_indexes.is_empty() {
            return;
        }
        let Some(delivered) = self.replication.delivered_revision() else { return };
        // A replica that was dropped and has returned may store a change in flight without having delivered any state
        // of this view. Changes committed before the view began are at or below its start.
        if delivered < self.chosen().start() && !self.has_bug(SeededBug::ReadIndexBelowViewStart) {
            return;
        }
        if !self.activation.active || self.is_changing_view() || !self.has_view_state() {
            return;
        }
        let confirmed = match self.seeded_bug {
            Some(SeededBug::ReadIndexWithoutQuorum) => self.read_indexes.sequence,
            _ => self.read_indexes.confirmed_by_majority(self.view(), self.member_id()),
        };
        for read_index in self.read_indexes.take_confirmed(confirmed, delivered) {
            self.outbox.push(Action::ReadIndexConfirmed { read_index: read_index.id });
        }
    }
}
