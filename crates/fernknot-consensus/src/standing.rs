//! How the view stands: who counts in it, who is left out and why, and how many more disks may be lost.

use crate::types::*;
use crate::views::{Consensus, Peer, is_member, same, voters};

impl Consensus {
    /// How the view stands, as this member sees it; a loss is seen within `suspect_after`.
    pub fn standing(&self) -> ViewStatus {
        let view = &self.cur.base.view;
        let mut seats: Vec<ReplicaStatus> = Vec::new();
        for member in voters(view) {
            let inside = is_member(view, member);
            let lack = self.lack_of_voter(member, inside);
            seats.push(ReplicaStatus { member: member.clone(), inside, votes: true, lack });
        }
        for peer in self.peers.values() {
            let who = &peer.told.who;
            if voters(view).all(|seat| !same(view.number, seat, who)) && self.fresh(peer) {
                let lack = Some(self.lack(peer).unwrap_or(Ineligibility::CatchingUp));
                seats.push(ReplicaStatus { member: who.clone(), inside: false, votes: false, lack });
            }
        }
        let in_force = self.force && !self.stopped() && is_member(view, &self.facts.me);
        let losses_borne = if in_force { self.losses_borne() } else { 0 };
        ViewStatus { no: view.number, in_force, seats, losses_borne }
    }

    /// So many disks may go that one is left with all that was acknowledged, and a majority to go on with it.
    fn losses_borne(&self) -> usize {
        let view = &self.cur.base.view;
        let holds = view.members.iter().filter(|member| self.lack_of_voter(member, true).is_none()).count();
        let seats = voters(view).count();
        let votes = voters(view)
            .filter(|member| {
                let inside = is_member(view, member);
                matches!(self.lack_of_voter(member, inside), None | Some(Ineligibility::CatchingUp))
            })
            .count();
        holds.saturating_sub(1).min(votes.saturating_sub(seats / 2 + 1))
    }

    fn lack_of_voter(&self, member: &Member, inside: bool) -> Option<Ineligibility> {
        let view = &self.cur.base.view;
        if same(view.number, member, &self.facts.me) {
            return match (self.past.proven, self.well(), self.holds() && self.safe.1 == view.number) {
                (false, ..) if self.past.condemned => Some(Ineligibility::OlderCopy),
                (false, ..) => Some(Ineligibility::Asks),
                (_, false, _) => Some(Ineligibility::DiskNotWell),
                (_, _, false) => Some(Ineligibility::CatchingUp),
                _ => None,
            };
        }
        if self.replaced(member) {
            return Some(Ineligibility::Replaced);
        }
        let Some(peer) = self.peers.get(&member.id) else { return Some(Ineligibility::Silent) };
        let behind = !inside || peer.told.view != view.number || peer.told.held != view.number;
        let behind = behind && !(inside && self.plant == Some(SeededBug::JoinerCounts));
        self.lack(peer).or_else(|| behind.then_some(Ineligibility::CatchingUp))
    }

    fn lack(&self, peer: &Peer) -> Option<Ineligibility> {
        if self.replaced(&peer.told.who) {
            Some(Ineligibility::Replaced)
        } else if !self.fresh(peer) {
            Some(Ineligibility::Silent)
        } else if peer.told.asks && !peer.told.well {
            Some(Ineligibility::OlderCopy)
        } else if !peer.told.well {
            Some(Ineligibility::DiskNotWell)
        } else if peer.slow_until > self.now {
            Some(Ineligibility::TooSlow)
        } else if peer.told.asks {
            Some(Ineligibility::Asks)
        } else {
            let view = &self.cur.base.view;
            let apart = |member: &Member| {
                let known = self.peers.get(&member.id);
                member.id != self.me()
                    && member.id != peer.told.who.id
                    && known.is_some_and(|known| {
                        !known.told.hears.contains(&peer.told.who.id) || !peer.told.hears.contains(&member.id)
                    })
            };
            let outside = !is_member(view, &peer.told.who);
            (outside && view.members.iter().any(apart)).then_some(Ineligibility::NotWithAll)
        }
    }
}
