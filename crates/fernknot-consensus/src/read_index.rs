//! Read index (Ongaro, "Consensus: Bridging Theory and Practice", section 6.4): a majority of the voters confirms after
//! a read was requested that the view stands, so that an answer rests on no state that may have been replaced elsewhere.
//! The argument is in docs/consensus.md, rule 13.

use std::net::SocketAddrV4;

use crate::replica::Replica;
use crate::types::{Action, MemberId, Message, ReadIndexId, Revision, SeededBug, ViewNumber};

impl Replica {
    /// Begins a read index; says whether there was room for it.
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

    /// Sends the newest request to all who vote, and have not confirmed it yet.
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

    /// Confirms that this replica is in the view and not changing it.
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
            // Who has not prepared now had not when the read was requested; so no later view had been chosen by a
            // majority.
            let sender = self.member_id();
            self.send(from, Message::ReadIndexResponse { sender, view, incarnation, sequence });
        }
    }

    /// A voter confirms the view.
    pub fn handle_read_index_response(
        &mut self,
        sender: MemberId,
        view: ViewNumber,
        incarnation: u64,
        sequence: u64,
    ) {
        // Guards against a response to an earlier process, whose sequence numbers were the same.
        let is_mine = incarnation == self.incarnation;
        if is_mine && view == self.view().number && self.view().has_voter_id(sender) {
            self.read_indexes.confirm(sender, view, sequence);
        }
    }

    /// Ends the read indexes that a majority has confirmed.
    pub fn complete_read_indexes(&mut self) {
        if self.read_indexes.is_empty() {
            return;
        }
        let Some(delivered) = self.replication.delivered_revision() else { return };
        // Guards against a replica that was dropped and is back: it may store a change in flight, and have delivered
        // nothing of the view yet. What was committed before the view began is below its start.
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
