//! Read index: what a majority of the voters confirms after a question came, so that an answer stands on no state
//! that may have been outdone elsewhere. The argument stands in docs/views.md, rule 13.

use std::collections::BTreeMap;

use fernknot::interface::Nanos;

use crate::types::*;
use crate::views::{Consensus, floor, is_member, voters};

/// Inquiries in hand, at most.
const MOST_INQUIRIES: usize = 256;

/// One who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingReadIndex {
    inquiry: ReadIndexId,
    /// Only what was said in answer to this round, or to a later one, counts: it was said after the question came.
    round: u64,
    /// What this member had stored when the question came. All that was taken by then is at or below it.
    index: Revision,
}

/// The inquiries of one member and what others have said to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReadIndexState {
    round: u64,
    waiting: Vec<PendingReadIndex>,
    /// The newest round to which a voter said that it stands in a view and has not stopped.
    said: BTreeMap<MemberId, (ViewNumber, u64)>,
}

impl Consensus {
    /// Asks whether the view still stands: `Order::Confirmed` comes once a majority of its voters has said so after
    /// this call, and all that was taken before it has been delivered here. It may never come. False where too many
    /// are in hand.
    pub fn inquire(&mut self, now: Nanos, inquiry: ReadIndexId) -> bool {
        self.listen(now);
        if self.inquiries.waiting.len() >= MOST_INQUIRIES {
            return false;
        }
        self.inquiries.round += 1;
        let stale = self.plant == Some(SeededBug::ReadDelivered);
        let index = if self.holds() && !stale { self.cur.no } else { Revision(0) };
        let round = self.inquiries.round;
        self.inquiries.waiting.push(PendingReadIndex { inquiry, round, index });
        self.ask_voters();
        self.settle();
        true
    }

    /// Nobody waits for it any more.
    pub fn withdraw(&mut self, inquiry: ReadIndexId) {
        self.inquiries.waiting.retain(|waiting| waiting.inquiry != inquiry);
    }

    /// True where this member has listened for long enough and no majority of the voters is in touch with it: what
    /// it is asked can't be confirmed here.
    pub fn is_cut_off(&self, now: Nanos) -> bool {
        let view = &self.cur.base.view;
        let in_touch = voters(view).filter(|member| {
            self.is_me(member) || self.peers.get(&member.id).is_some_and(|peer| self.fresh(peer))
        });
        self.has_listened(now) && in_touch.count() <= voters(view).count() / 2
    }

    /// Says the newest round to all who vote, and have not said so yet.
    pub(crate) fn ask_voters(&mut self) {
        let (view, life, round) = (self.cur.base.view.number, self.life, self.inquiries.round);
        if self.inquiries.waiting.is_empty() || view == ViewNumber(0) {
            return;
        }
        let silent: Vec<Member> = voters(&self.cur.base.view)
            .filter(|member| {
                !self.is_me(member) && self.inquiries.said.get(&member.id) != Some(&(view, round))
            })
            .cloned()
            .collect();
        for member in silent {
            let to = self.addr(&member);
            self.say(to, Message::Confirm { view, life, round });
        }
    }

    pub(crate) fn hear_confirm(
        &mut self,
        from: std::net::SocketAddrV4,
        view: ViewNumber,
        life: u64,
        round: u64,
    ) {
        let mine = self.cur.base.view.number;
        if view < mine {
            if self.may_tell() {
                let base = self.cur.base.clone();
                self.say(from, Message::Told { base });
            }
        } else if view > mine {
            self.pulse_soon = true;
        } else if !self.stopped() || self.plant == Some(SeededBug::ConfirmStopped) {
            // Who has not stopped now had not when the question came; so no later view had been chosen by a majority.
            let who = self.me();
            self.say(from, Message::Confirmed { who, view, life, round });
        }
    }

    pub(crate) fn hear_confirmed(&mut self, who: MemberId, view: ViewNumber, life: u64, round: u64) {
        let votes = voters(&self.cur.base.view).any(|member| member.id == who);
        // Guards against an answer to an earlier life of this process, whose rounds had the same numbers.
        if life != self.life || view != self.cur.base.view.number || !votes {
            return;
        }
        let said = self.inquiries.said.entry(who).or_default();
        *said = (*said).max((view, round));
    }

    /// After a change of view: what was taken before is at or below where the new one begins.
    pub(crate) fn reindex(&mut self) {
        let floor = floor(&self.cur.base);
        self.inquiries.said.clear();
        self.inquiries.waiting.iter_mut().for_each(|waiting| waiting.index = waiting.index.min(floor));
    }

    /// Ends the inquiries that a majority has confirmed.
    pub(crate) fn confirm(&mut self) {
        if self.inquiries.waiting.is_empty() {
            return;
        }
        let view = &self.cur.base.view;
        let Some(delivered) = self.delivered().map(|(no, _)| no) else { return };
        // Guards against one that was left out and is back: it may hold a change under way, and have delivered nothing
        // of the view yet. What was taken before the view began lies below its floor.
        if delivered < floor(&self.cur.base) && self.plant != Some(SeededBug::ConfirmBelowFloor) {
            return;
        }
        if !self.force || self.stopped() || !self.holds() || !is_member(view, &self.facts.me) {
            return;
        }
        let most = voters(view).count() / 2;
        // The newest round that more than half have answered: the one at place `most`, counted from the newest.
        let mut rounds: Vec<u64> = voters(view)
            .map(|member| match self.inquiries.said.get(&member.id) {
                _ if self.is_me(member) => self.inquiries.round,
                Some((said, round)) if *said == view.number => *round,
                _ => 0,
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = match self.plant {
            Some(SeededBug::ConfirmAlone) => self.inquiries.round,
            _ => rounds.get(most).copied().unwrap_or(0),
        };
        let ended = |waiting: &PendingReadIndex| waiting.round <= confirmed && waiting.index <= delivered;
        let (ended, waiting) =
            self.inquiries.waiting.iter().copied().partition::<Vec<PendingReadIndex>, _>(ended);
        self.inquiries.waiting = waiting;
        ended.iter().for_each(|waiting| self.order(Action::Confirmed { inquiry: waiting.inquiry }));
    }
}
