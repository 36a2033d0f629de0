//! Read index: what a majority of the voters confirms after a question came, so that an answer stands on no state
//! that may have been outdone elsewhere. The argument stands in docs/views.md, rule 13.

use std::collections::BTreeMap;

use fernknot::interface::Nanos;

use crate::types::*;
use crate::views::{Consensus, is_member, view_start, voters};

/// Inquiries in hand, at most.
const MAX_PENDING_READ_INDEXES: usize = 256;

/// One who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingReadIndex {
    id: ReadIndexId,
    /// Only what was said in answer to this round, or to a later one, counts: it was said after the question came.
    sequence: u64,
    /// What this member had stored when the question came. All that was taken by then is at or below it.
    min_revision: Revision,
}

/// The inquiries of one member and what others have said to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReadIndexState {
    sequence: u64,
    pending: Vec<PendingReadIndex>,
    /// The newest round to which a voter said that it stands in a view and has not stopped.
    confirmed: BTreeMap<MemberId, (ViewNumber, u64)>,
}

impl Consensus {
    /// Asks whether the view still stands: `Order::Confirmed` comes once a majority of its voters has said so after
    /// this call, and all that was taken before it has been delivered here. It may never come. False where too many
    /// are in hand.
    pub fn read_index(&mut self, now: Nanos, inquiry: ReadIndexId) -> bool {
        self.advance_clock(now);
        if self.read_indexes.pending.len() >= MAX_PENDING_READ_INDEXES {
            return false;
        }
        self.read_indexes.sequence += 1;
        let stale = self.seeded_bug == Some(SeededBug::ReadIndexIgnoresPendingChange);
        let index = if self.has_view_state() && !stale { self.persistent.revision } else { Revision(0) };
        let round = self.read_indexes.sequence;
        self.read_indexes.pending.push(PendingReadIndex {
            id: inquiry,
            sequence: round,
            min_revision: index,
        });
        self.send_read_index_requests();
        self.finish_step();
        true
    }

    /// Nobody waits for it any more.
    pub fn cancel_read_index(&mut self, inquiry: ReadIndexId) {
        self.read_indexes.pending.retain(|waiting| waiting.id != inquiry);
    }

    /// True where this member has listened for long enough and no majority of the voters is in touch with it: what
    /// it is asked can't be confirmed here.
    pub fn is_partitioned(&self, now: Nanos) -> bool {
        let view = &self.persistent.chosen.view;
        let in_touch = voters(view).filter(|member| {
            self.is_me(member) || self.peers.get(&member.id).is_some_and(|peer| self.is_reachable(peer))
        });
        self.has_listened(now) && in_touch.count() <= voters(view).count() / 2
    }

    /// Says the newest round to all who vote, and have not said so yet.
    pub(crate) fn send_read_index_requests(&mut self) {
        let (view, life, round) =
            (self.persistent.chosen.view.number, self.incarnation, self.read_indexes.sequence);
        if self.read_indexes.pending.is_empty() || view == ViewNumber(0) {
            return;
        }
        let silent: Vec<Member> = voters(&self.persistent.chosen.view)
            .filter(|member| {
                !self.is_me(member) && self.read_indexes.confirmed.get(&member.id) != Some(&(view, round))
            })
            .cloned()
            .collect();
        for member in silent {
            let to = self.address_of(&member);
            self.send(to, Message::ReadIndexRequest { view, incarnation: life, sequence: round });
        }
    }

    pub(crate) fn handle_read_index_request(
        &mut self,
        from: std::net::SocketAddrV4,
        view: ViewNumber,
        life: u64,
        round: u64,
    ) {
        let mine = self.persistent.chosen.view.number;
        if view < mine {
            if self.may_announce_view() {
                let base = self.persistent.chosen.clone();
                self.send(from, Message::NewerView { chosen: base });
            }
        } else if view > mine {
            self.heartbeat_requested = true;
        } else if !self.is_changing_view() || self.seeded_bug == Some(SeededBug::ReadIndexDuringViewChange) {
            // Who has not stopped now had not when the question came; so no later view had been chosen by a majority.
            let who = self.member_id();
            self.send(
                from,
                Message::ReadIndexResponse { sender: who, view, incarnation: life, sequence: round },
            );
        }
    }

    pub(crate) fn handle_read_index_response(
        &mut self,
        who: MemberId,
        view: ViewNumber,
        life: u64,
        round: u64,
    ) {
        let votes = voters(&self.persistent.chosen.view).any(|member| member.id == who);
        // Guards against an answer to an earlier life of this process, whose rounds had the same numbers.
        if life != self.incarnation || view != self.persistent.chosen.view.number || !votes {
            return;
        }
        let said = self.read_indexes.confirmed.entry(who).or_default();
        *said = (*said).max((view, round));
    }

    /// After a change of view: what was taken before is at or below where the new one begins.
    pub(crate) fn restart_read_indexes(&mut self) {
        let floor = view_start(&self.persistent.chosen);
        self.read_indexes.confirmed.clear();
        self.read_indexes
            .pending
            .iter_mut()
            .for_each(|waiting| waiting.min_revision = waiting.min_revision.min(floor));
    }

    /// Ends the inquiries that a majority has confirmed.
    pub(crate) fn complete_read_indexes(&mut self) {
        if self.read_indexes.pending.is_empty() {
            return;
        }
        let view = &self.persistent.chosen.view;
        let Some(delivered) = self.delivered().map(|(no, _)| no) else { return };
        // Guards against one that was left out and is back: it may hold a change under way, and have delivered nothing
        // of the view yet. What was taken before the view began lies below its floor.
        if delivered < view_start(&self.persistent.chosen)
            && self.seeded_bug != Some(SeededBug::ReadIndexBelowViewStart)
        {
            return;
        }
        if !self.view_active
            || self.is_changing_view()
            || !self.has_view_state()
            || !is_member(view, &self.settings.me)
        {
            return;
        }
        let most = voters(view).count() / 2;
        // The newest round that more than half have answered: the one at place `most`, counted from the newest.
        let mut rounds: Vec<u64> = voters(view)
            .map(|member| match self.read_indexes.confirmed.get(&member.id) {
                _ if self.is_me(member) => self.read_indexes.sequence,
                Some((said, round)) if *said == view.number => *round,
                _ => 0,
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = match self.seeded_bug {
            Some(SeededBug::ReadIndexWithoutQuorum) => self.read_indexes.sequence,
            _ => rounds.get(most).copied().unwrap_or(0),
        };
        let ended =
            |waiting: &PendingReadIndex| waiting.sequence <= confirmed && waiting.min_revision <= delivered;
        let (ended, waiting) =
            self.read_indexes.pending.iter().copied().partition::<Vec<PendingReadIndex>, _>(ended);
        self.read_indexes.pending = waiting;
        ended
            .iter()
            .for_each(|waiting| self.push_action(Action::ReadIndexConfirmed { read_index: waiting.id }));
    }
}
