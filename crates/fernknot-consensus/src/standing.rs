//! How the view stands: who counts in it, who is left out and why, and how many more disks may be lost.

use crate::types::*;
use crate::views::{Consensus, Peer, is_member, is_same_member, voters};

impl Consensus {
    /// How the view stands, as this member sees it; a loss is seen within `suspect_after`.
    pub fn status(&self) -> ViewStatus {
        let view = &self.persistent.chosen.view;
        let mut seats: Vec<ReplicaStatus> = Vec::new();
        for member in voters(view) {
            let inside = is_member(view, member);
            let lack = self.ineligibility_of_voter(member, inside);
            seats.push(ReplicaStatus {
                member: member.clone(),
                is_member: inside,
                is_voter: true,
                ineligibility: lack,
            });
        }
        for peer in self.peers.values() {
            let who = &peer.heartbeat.sender;
            if voters(view).all(|seat| !is_same_member(view.number, seat, who)) && self.is_reachable(peer) {
                let lack = Some(self.ineligibility_of(peer).unwrap_or(Ineligibility::CatchingUp));
                seats.push(ReplicaStatus {
                    member: who.clone(),
                    is_member: false,
                    is_voter: false,
                    ineligibility: lack,
                });
            }
        }
        let in_force = self.view_active && !self.is_changing_view() && is_member(view, &self.settings.me);
        let losses_borne = if in_force { self.remaining_fault_tolerance() } else { 0 };
        ViewStatus {
            number: view.number,
            active: in_force,
            replicas: seats,
            remaining_fault_tolerance: losses_borne,
        }
    }

    /// So many disks may go that one is left with all that was acknowledged, and a majority to go on with it.
    fn remaining_fault_tolerance(&self) -> usize {
        let view = &self.persistent.chosen.view;
        let holds =
            view.members.iter().filter(|member| self.ineligibility_of_voter(member, true).is_none()).count();
        let seats = voters(view).count();
        let votes = voters(view)
            .filter(|member| {
                let inside = is_member(view, member);
                matches!(self.ineligibility_of_voter(member, inside), None | Some(Ineligibility::CatchingUp))
            })
            .count();
        holds.saturating_sub(1).min(votes.saturating_sub(seats / 2 + 1))
    }

    fn ineligibility_of_voter(&self, member: &Member, inside: bool) -> Option<Ineligibility> {
        let view = &self.persistent.chosen.view;
        if is_same_member(view.number, member, &self.settings.me) {
            return match (
                self.recovery.complete,
                self.disk_healthy(),
                self.has_view_state() && self.durable_position.1 == view.number,
            ) {
                (false, ..) if self.recovery.outdated => Some(Ineligibility::OutdatedDisk),
                (false, ..) => Some(Ineligibility::Recovering),
                (_, false, _) => Some(Ineligibility::DiskUnhealthy),
                (_, _, false) => Some(Ineligibility::CatchingUp),
                _ => None,
            };
        }
        if self.is_replaced(member) {
            return Some(Ineligibility::Replaced);
        }
        let Some(peer) = self.peers.get(&member.id) else { return Some(Ineligibility::Unreachable) };
        let behind =
            !inside || peer.heartbeat.view != view.number || peer.heartbeat.state_view != view.number;
        let behind = behind && !(inside && self.seeded_bug == Some(SeededBug::JoinerCountsWithoutState));
        self.ineligibility_of(peer).or_else(|| behind.then_some(Ineligibility::CatchingUp))
    }

    fn ineligibility_of(&self, peer: &Peer) -> Option<Ineligibility> {
        if self.is_replaced(&peer.heartbeat.sender) {
            Some(Ineligibility::Replaced)
        } else if !self.is_reachable(peer) {
            Some(Ineligibility::Unreachable)
        } else if peer.heartbeat.recovering && !peer.heartbeat.disk_healthy {
            Some(Ineligibility::OutdatedDisk)
        } else if !peer.heartbeat.disk_healthy {
            Some(Ineligibility::DiskUnhealthy)
        } else if peer.excluded_until > self.now {
            Some(Ineligibility::SlowDisk)
        } else if peer.heartbeat.recovering {
            Some(Ineligibility::Recovering)
        } else {
            let view = &self.persistent.chosen.view;
            let apart = |member: &Member| {
                let known = self.peers.get(&member.id);
                member.id != self.member_id()
                    && member.id != peer.heartbeat.sender.id
                    && known.is_some_and(|known| {
                        !known.heartbeat.reachable.contains(&peer.heartbeat.sender.id)
                            || !peer.heartbeat.reachable.contains(&member.id)
                    })
            };
            let outside = !is_member(view, &peer.heartbeat.sender);
            (outside && view.members.iter().any(apart)).then_some(Ineligibility::PartiallyConnected)
        }
    }
}
