//! A view by an operator's order, where more disks are lost than may be. It is given no votes but the operator's
//! word that the others are lost; its number is above all that they could still reach by themselves, and whoever
//! hears of it and is not in it goes on as a new member.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use crate::types::*;
use crate::views::{Consensus, MAX_VIEW_STARTS, is_same_member, voters};

/// View numbers are below 2^32, since cuts carry them in so many bits. A forced view begins a new era; within it, a
/// number drawn at random parts two that are forced at once by operators who don't know of each other.
const VIEWS_PER_ERA: u64 = 1 << 26;
const VIEWS_PER_FORCED_VIEW: u64 = 1 << 16;
const MAX_VIEW_NUMBER: u64 = u32::MAX as u64;
/// Order numbers go on from a multiple of this: above all that was taken by those who are lost.
const REVISIONS_PER_ERA: u64 = 1 << 32;

/// Rises by one with each forced view.
pub(crate) fn era(no: ViewNumber) -> u64 {
    no.0 / VIEWS_PER_ERA
}

impl Consensus {
    /// Makes a view of this member and of those whom it hears, by an operator's word that the disks of `lost` (as
    /// the view names them) are gone for good. In force once enough disks are in it, new ones counted.
    ///
    /// # Errors
    /// Where the view could change by itself, or something is held elsewhere that would be lost.
    pub fn force_view(&mut self, now: Nanos, lost: &[SocketAddrV4]) -> Result<ViewNumber, ForceViewError> {
        self.advance_clock(now);
        let view = self.persistent.chosen.view.clone();
        if view.number == ViewNumber(0) {
            return Err(ForceViewError::NoState);
        }
        if !self.disk_healthy() {
            return Err(ForceViewError::DiskUnhealthy);
        }
        if !self.has_listened(now) {
            return Err(ForceViewError::StillListening);
        }
        let limit = self.settings.suspicion_timeout;
        let mut survivors: Vec<Member> = Vec::new();
        let mut votes = 0;
        for seat in voters(&view) {
            if is_same_member(view.number, seat, &self.settings.me) {
                votes += !self.recovery.outdated as usize;
                continue;
            }
            let at = self.address_of(seat);
            let named = lost.contains(&at) || lost.contains(&seat.addr);
            let heard = self.peers.get(&seat.id).filter(|peer| now - peer.last_heard <= limit);
            match heard.filter(|_| !self.is_replaced(seat)) {
                Some(_) if named => return Err(ForceViewError::LostMemberReachable(at)),
                Some(peer) => {
                    // An older copy votes on nothing by itself.
                    let told = &peer.heartbeat;
                    votes +=
                        !(told.recovering && (!told.disk_healthy || self.recovers_too_long(peer))) as usize;
                    survivors.push(peer.heartbeat.sender.clone());
                }
                None if named || self.is_replaced(seat) => {}
                None => return Err(ForceViewError::UnreachableNotNamed(at)),
            }
        }
        if votes > voters(&view).count() / 2 {
            return Err(ForceViewError::MajorityReachable);
        }
        let mut newest =
            (self.persistent.state_view, self.persistent.revision, self.persistent.state.clone());
        if let Some(AcceptedView { next, revision: no, state, .. }) = &self.persistent.accepted
            && (next.view.number, *no) > (newest.0, newest.1)
        {
            newest = (next.view.number, *no, state.clone().unwrap_or_else(|| self.persistent.state.clone()));
        }
        let mine = (newest.0, newest.1, Reverse(self.member_id()));
        for peer in self.peers.values().filter(|peer| now - peer.last_heard <= limit) {
            let at = peer.heartbeat.sender.addr;
            if peer.heartbeat.view > view.number {
                return Err(ForceViewError::PeerMoreRecent(at));
            }
            let survives = survivors.iter().any(|member| member.id == peer.heartbeat.sender.id);
            if survives
                && (peer.heartbeat.state_view, peer.heartbeat.revision, Reverse(peer.heartbeat.sender.id))
                    > mine
            {
                return Err(ForceViewError::PeerMoreRecent(at));
            }
        }
        let fork = self.next_random() % (VIEWS_PER_ERA / VIEWS_PER_FORCED_VIEW);
        let no = ViewNumber(
            (era(view.number) + 1).saturating_mul(VIEWS_PER_ERA).saturating_add(fork * VIEWS_PER_FORCED_VIEW),
        );
        if no.0 > MAX_VIEW_NUMBER - VIEWS_PER_ERA {
            return Err(ForceViewError::ViewNumbersExhausted);
        }
        let order = Revision((newest.1.0 / REVISIONS_PER_ERA + 1).saturating_mul(REVISIONS_PER_ERA));
        let (no, order) = match self.seeded_bug {
            Some(SeededBug::UnfencedForcedView) => (ViewNumber(view.number.0 + 1), newest.1),
            _ => (no, order),
        };
        let mut floors = self.persistent.chosen.view_starts.clone();
        floors.push((no, order));
        if floors.len() > MAX_VIEW_STARTS {
            floors.remove(0);
        }
        let mut members = vec![self.settings.me.clone()];
        members.append(&mut survivors);
        self.persistent.accepted = None;
        self.adopt_view(ChosenView {
            view: View { number: no, members, former_voters: Vec::new() },
            view_starts: floors,
        });
        (self.persistent.state_view, self.persistent.revision, self.persistent.state) = (no, order, newest.2);
        self.finish_step();
        Ok(no)
    }

    /// A view of a later era without this member has closed its disk out, if anything was ever vouched for from it.
    pub(crate) fn is_excluded_by(&self, base: &ChosenView) -> bool {
        let was = self.persistent.chosen.view.number;
        let blank = self.persistent.state_view == ViewNumber(0)
            && self.persistent.accepted.is_none()
            && !self.is_changing_view();
        let later = was > ViewNumber(0) && era(base.view.number) > era(was);
        later && !blank && voters(&base.view).all(|seat| seat.id != self.member_id())
    }

    /// A forced view is on one disk only, and nobody may hear of it before it is there.
    pub(crate) fn may_announce_view(&self) -> bool {
        era(self.durable_position.0) == era(self.persistent.chosen.view.number)
    }
}
