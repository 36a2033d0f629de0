//! A view by an operator's order, where more disks are lost than may be. It is given no votes but the operator's
//! word that the others are lost; its number is above all that they could still reach by themselves, and whoever
//! hears of it and is not in it goes on as a new member.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use crate::types::*;
use crate::views::{Consensus, MOST_FLOORS, same, voters};

/// View numbers are below 2^32, since cuts carry them in so many bits. A forced view begins a new era; within it, a
/// number drawn at random parts two that are forced at once by operators who don't know of each other.
const ERA: u64 = 1 << 26;
const FORK: u64 = 1 << 16;
const MOST: u64 = u32::MAX as u64;
/// Order numbers go on from a multiple of this: above all that was taken by those who are lost.
const ORDERS: u64 = 1 << 32;

/// Rises by one with each forced view.
pub(crate) fn era(no: ViewNumber) -> u64 {
    no.0 / ERA
}

impl Consensus {
    /// Makes a view of this member and of those whom it hears, by an operator's word that the disks of `lost` (as
    /// the view names them) are gone for good. In force once enough disks are in it, new ones counted.
    ///
    /// # Errors
    /// Where the view could change by itself, or something is held elsewhere that would be lost.
    pub fn force(&mut self, now: Nanos, lost: &[SocketAddrV4]) -> Result<ViewNumber, ForceViewError> {
        self.listen(now);
        let view = self.cur.base.view.clone();
        if view.number == ViewNumber(0) {
            return Err(ForceViewError::HoldsNothing);
        }
        if !self.well() {
            return Err(ForceViewError::DiskNotWell);
        }
        if !self.has_listened(now) {
            return Err(ForceViewError::Listening);
        }
        let limit = self.facts.suspect_after;
        let mut survivors: Vec<Member> = Vec::new();
        let mut votes = 0;
        for seat in voters(&view) {
            if same(view.number, seat, &self.facts.me) {
                votes += !self.past.condemned as usize;
                continue;
            }
            let at = self.addr(seat);
            let named = lost.contains(&at) || lost.contains(&seat.addr);
            let heard = self.peers.get(&seat.id).filter(|peer| now - peer.heard <= limit);
            match heard.filter(|_| !self.replaced(seat)) {
                Some(_) if named => return Err(ForceViewError::Heard(at)),
                Some(peer) => {
                    // An older copy votes on nothing by itself.
                    let told = &peer.told;
                    votes += !(told.asks && (!told.well || self.asks_long(peer))) as usize;
                    survivors.push(peer.told.who.clone());
                }
                None if named || self.replaced(seat) => {}
                None => return Err(ForceViewError::NotNamed(at)),
            }
        }
        if votes > voters(&view).count() / 2 {
            return Err(ForceViewError::MajorityHeard);
        }
        let mut newest = (self.cur.held, self.cur.no, self.cur.state.clone());
        if let Some(AcceptedView { next, no, state, .. }) = &self.cur.vouched
            && (next.view.number, *no) > (newest.0, newest.1)
        {
            newest = (next.view.number, *no, state.clone().unwrap_or_else(|| self.cur.state.clone()));
        }
        let mine = (newest.0, newest.1, Reverse(self.me()));
        for peer in self.peers.values().filter(|peer| now - peer.heard <= limit) {
            let at = peer.told.who.addr;
            if peer.told.view > view.number {
                return Err(ForceViewError::KnowsMore(at));
            }
            let survives = survivors.iter().any(|member| member.id == peer.told.who.id);
            if survives && (peer.told.held, peer.told.no, Reverse(peer.told.who.id)) > mine {
                return Err(ForceViewError::KnowsMore(at));
            }
        }
        let fork = self.draw() % (ERA / FORK);
        let no = ViewNumber((era(view.number) + 1).saturating_mul(ERA).saturating_add(fork * FORK));
        if no.0 > MOST - ERA {
            return Err(ForceViewError::NoNumber);
        }
        let order = Revision((newest.1.0 / ORDERS + 1).saturating_mul(ORDERS));
        let (no, order) = match self.plant {
            Some(SeededBug::UnfencedForce) => (ViewNumber(view.number.0 + 1), newest.1),
            _ => (no, order),
        };
        let mut floors = self.cur.base.floors.clone();
        floors.push((no, order));
        if floors.len() > MOST_FLOORS {
            floors.remove(0);
        }
        let mut members = vec![self.facts.me.clone()];
        members.append(&mut survivors);
        self.cur.vouched = None;
        self.move_to(ChosenView { view: View { number: no, members, absent: Vec::new() }, floors });
        (self.cur.held, self.cur.no, self.cur.state) = (no, order, newest.2);
        self.settle();
        Ok(no)
    }

    /// A view of a later era without this member has closed its disk out, if anything was ever vouched for from it.
    pub(crate) fn closed_out(&self, base: &ChosenView) -> bool {
        let was = self.cur.base.view.number;
        let blank = self.cur.held == ViewNumber(0) && self.cur.vouched.is_none() && !self.stopped();
        let later = was > ViewNumber(0) && era(base.view.number) > era(was);
        later && !blank && voters(&base.view).all(|seat| seat.id != self.me())
    }

    /// A forced view is on one disk only, and nobody may hear of it before it is there.
    pub(crate) fn may_tell(&self) -> bool {
        era(self.safe.0) == era(self.cur.base.view.number)
    }
}
