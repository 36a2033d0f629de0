//! Status of the view: the replicas that are counted, those that are left out and why, and the remaining fault
//! tolerance.

use crate::replica::Replica;
use crate::state::peers::Peer;
use crate::types::{Ineligibility, Member, ReplicaStatus, SeededBug, ViewStatus};

impl Replica {
    /// Returns the status of the view, as known to this replica.
    pub fn status(&self) -> ViewStatus {
        let view = self.view();
        let mut replicas: Vec<ReplicaStatus> = view.voters().map(|voter| self.voter_status(voter)).collect();
        replicas.extend(self.peers.iter().filter_map(|peer| self.joining_status(peer)));
        let active = self.activation.active && !self.is_changing_view() && self.is_member();
        let remaining_fault_tolerance = if active { self.remaining_fault_tolerance() } else { 0 };
        ViewStatus { number: view.number, active, replicas, remaining_fault_tolerance }
    }

    fn voter_status(&self, voter: &Member) -> ReplicaStatus {
        let is_member = self.view().is_member(voter);
        let ineligibility = self.ineligibility_of_voter(voter, is_member);
        ReplicaStatus { member: voter.clone(), is_member, is_voter: true, ineligibility }
    }

    /// Returns the status of a replica that asks to join; `None` if it votes already or is unreachable.
    fn joining_status(&self, peer: &Peer) -> Option<ReplicaStatus> {
        let replica = &peer.heartbeat.sender;
        if self.view().voter_index(replica).is_some() || !self.is_reachable(peer) {
            return None;
        }
        let ineligibility = self.ineligibility_of(peer).unwrap_or(Ineligibility::CatchingUp);
        Some(ReplicaStatus {
            member: replica.clone(),
            is_member: false,
            is_voter: false,
            ineligibility: Some(ineligibility),
        })
    }

    /// Returns the number of disks that may be lost such that one with the acknowledged state remains, and a majority
    /// of the voters to continue with.
    fn remaining_fault_tolerance(&self) -> usize {
        let view = self.view();
        let has_state = |member: &&Member| self.ineligibility_of_voter(member, true).is_none();
        let replicas = view.members.iter().filter(has_state).count();
        let may_vote = |voter: &&Member| {
            let ineligibility = self.ineligibility_of_voter(voter, view.is_member(voter));
            matches!(ineligibility, None | Some(Ineligibility::CatchingUp))
        };
        let votes = view.voters().filter(may_vote).count();
        let majority = view.voters().count() / 2 + 1;
        replicas.saturating_sub(1).min(votes.saturating_sub(majority))
    }

    fn ineligibility_of_voter(&self, voter: &Member, is_member: bool) -> Option<Ineligibility> {
        let view = self.view();
        if view.is_same_replica(voter, self.me()) {
            return self.own_ineligibility();
        }
        if self.peers.is_replaced(voter) {
            return Some(Ineligibility::Replaced);
        }
        let Some(peer) = self.peers.get(voter.id) else { return Some(Ineligibility::Unreachable) };
        let is_behind = !is_member || !peer.has_state_of(view);
        let counts_early = is_member && self.has_bug(SeededBug::JoinerCountsWithoutState);
        self.ineligibility_of(peer).or((is_behind && !counts_early).then_some(Ineligibility::CatchingUp))
    }

    fn own_ineligibility(&self) -> Option<Ineligibility> {
        let has_durable_state = self.has_view_state() && self.disk.durable.state.view == self.view().number;
        if self.recovery.is_waiting() {
            Some(Ineligibility::Recovering)
        } else if !self.recovery.complete {
            Some(Ineligibility::OutdatedDisk)
        } else if !self.disk_healthy() {
            Some(Ineligibility::DiskUnhealthy)
        } else if !has_durable_state {
            Some(Ineligibility::CatchingUp)
        } else {
            None
        }
    }

    fn ineligibility_of(&self, peer: &Peer) -> Option<Ineligibility> {
        let heartbeat = &peer.heartbeat;
        if self.peers.is_replaced(&heartbeat.sender) {
            Some(Ineligibility::Replaced)
        } else if !self.is_reachable(peer) {
            Some(Ineligibility::Unreachable)
        } else if heartbeat.recovering && !heartbeat.disk_healthy {
            Some(Ineligibility::OutdatedDisk)
        } else if !heartbeat.disk_healthy {
            Some(Ineligibility::DiskUnhealthy)
        } else if peer.excluded_until > self.now() {
            Some(Ineligibility::SlowDisk)
        } else if heartbeat.recovering {
            Some(Ineligibility::Recovering)
        } else if self.is_partially_connected(peer) {
            Some(Ineligibility::PartiallyConnected)
        } else {
            None
        }
    }

    /// Whether the peer is not a member, and it and a known member of the view don't reach each other.
    fn is_partially_connected(&self, peer: &Peer) -> bool {
        let id = peer.heartbeat.sender.id;
        let view = self.view();
        let is_disconnected = |member: &Member| {
            let known = self.peers.get(member.id).filter(|known| {
                !known.heartbeat.reachable.contains(&id) || !peer.heartbeat.reachable.contains(&member.id)
            });
            !self.is_me(member) && member.id != id && known.is_some()
        };
        !view.is_member(&peer.heartbeat.sender) && view.members.iter().any(is_disconnected)
    }
}
