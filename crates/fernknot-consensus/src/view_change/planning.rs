//! Who belongs to the next view.

use std::collections::BTreeSet;

use crate::replica::Replica;
use crate::state::peers::Peer;
use crate::types::{ChosenView, MAX_MEMBERS, Member, MemberId, Revision, View, ViewNumber, ViewStart};

/// Candidates for the next view that are considered, at most.
const MAX_CANDIDATES: usize = 12;

/// The replicas that may be in the next view beside the proposer, and who of them reaches whom. A set of candidates is a
/// bit mask over their positions.
struct Candidates<'a> {
    peers: Vec<&'a Peer>,
    /// So many of them, from the first on, are members of the current view.
    members: usize,
}

impl Candidates<'_> {
    /// Whether two candidates reach each other. Of two members it is enough that neither suspects the other.
    fn are_linked(&self, a: usize, b: usize) -> bool {
        let (one, other) = (&self.peers[a].heartbeat, &self.peers[b].heartbeat);
        if a < self.members && b < self.members {
            return !one.suspected.contains(&other.sender.id) && !other.suspected.contains(&one.sender.id);
        }
        one.reachable.contains(&other.sender.id) && other.reachable.contains(&one.sender.id)
    }

    /// For each candidate, the set that it reaches, itself included.
    fn links(&self) -> Vec<u32> {
        let count = self.peers.len();
        let linked_to = |a: usize| {
            let linked = (0..count).filter(move |b| *b == a || self.are_linked(a, *b));
            linked.fold(0, |mask, b| mask | (1 << b))
        };
        (0..count).map(linked_to).collect()
    }

    /// The largest set in which all reach all. Of equal ones, that with more members of the current view, then that
    /// with the candidates that come first.
    fn largest_clique(&self) -> u32 {
        let links = self.links();
        let all = (1u32 << self.peers.len()) - 1;
        let members = (1u32 << self.members.min(self.peers.len())) - 1;
        let rank = |set: u32| (set.count_ones(), (set & members).count_ones(), !set);
        let mut best = 0u32;
        for set in (0..=all).rev() {
            let is_clique = (0..links.len()).all(|a| set & (1 << a) == 0 || links[a] & set == set);
            let has_room_for_proposer = set.count_ones() < MAX_MEMBERS as u32;
            if is_clique && has_room_for_proposer && (best == 0 || rank(set) > rank(best)) {
                best = set;
                if set == all {
                    break;
                }
            }
        }
        best
    }

    fn members_of(&self, set: u32) -> Vec<Member> {
        let is_in = |a: &usize| set & (1 << a) != 0;
        let candidates = (0..self.peers.len()).filter(is_in);
        candidates.map(|a| self.peers[a].heartbeat.sender.clone()).collect()
    }
}

impl Replica {
    /// Whether a view with the peer could commit changes: it is reachable, its disk is healthy and known as its newest.
    pub fn is_eligible(&self, peer: &Peer) -> bool {
        self.is_reachable(peer)
            && peer.heartbeat.disk_healthy
            && peer.excluded_until <= self.now()
            && !peer.recovers_too_long(&self.clock)
            && !self.peers.is_replaced(&peer.heartbeat.sender)
    }

    /// Whether the member of the current view is eligible.
    pub fn is_eligible_member(&self, member: &Member) -> bool {
        let view = self.view();
        let is_eligible =
            |peer: &Peer| self.is_eligible(peer) && view.is_same_replica(member, &peer.heartbeat.sender);
        self.peers.iter().any(is_eligible)
    }

    /// The largest set that has this replica in it and in which all reach all. `prepared`: of the voters of the current
    /// view only those, where given.
    pub fn plan_members(&self, prepared: Option<&BTreeSet<MemberId>>) -> Vec<Member> {
        let candidates = self.candidates(prepared);
        let mut members = candidates.members_of(candidates.largest_clique());
        members.push(self.me().clone());
        let view = self.view();
        // Who was first stays first, so that the leader changes only where it must.
        members.sort_by_key(|member| {
            let position = view.members.iter().position(|current| view.is_same_replica(current, member));
            (position.unwrap_or(usize::MAX), member.id)
        });
        members
    }

    fn candidates(&self, prepared: Option<&BTreeSet<MemberId>>) -> Candidates<'_> {
        let view = self.view();
        let mut members: Vec<&Peer> = Vec::new();
        let mut joining: Vec<&Peer> = Vec::new();
        for peer in self.peers.iter().filter(|peer| self.is_eligible(peer)) {
            let sender = &peer.heartbeat.sender;
            let is_voter = view.voter_index(sender).is_some();
            if is_voter && prepared.is_some_and(|prepared| !prepared.contains(&sender.id)) {
                continue;
            }
            if view.is_member(sender) {
                members.push(peer);
            } else if view.number > ViewNumber(0) {
                joining.push(peer);
            }
        }
        let member_count = members.len();
        let mut peers = members;
        peers.append(&mut joining);
        peers.truncate(MAX_CANDIDATES);
        Candidates { peers, members: member_count }
    }

    /// The next view with these members. Dropped ones keep their vote while the members are few.
    pub fn plan_next_view(&self, members: Vec<Member>, revision: Revision) -> ChosenView {
        let current = self.view();
        let number = current.number.next();
        let seats = self.settings.fault_tolerance.saturating_mul(2).saturating_add(1).min(MAX_MEMBERS);
        let mut former_voters: Vec<Member> = Vec::new();
        for voter in current.voters() {
            let is_dropped =
                current.number > ViewNumber(0) && members.iter().all(|member| member.id != voter.id);
            let has_seat = members.len() + former_voters.len() < seats;
            if is_dropped && !self.peers.is_replaced(voter) && has_seat {
                former_voters.push(voter.clone());
            }
        }
        let view_starts = self.chosen().view_starts_with(ViewStart { view: number, revision });
        ChosenView { view: View { number, members, former_voters }, view_starts }
    }

    /// Members of the next view, at least: those that a change needs. The first view may have fewer where fewer founders
    /// were named: it accepts no change, and lets the others join. Guards a large system with few seeds against never
    /// being founded.
    pub fn min_members(&self) -> usize {
        let view = self.view();
        let needed = self.settings.fault_tolerance.saturating_add(1);
        if view.number == ViewNumber(0) { needed.min(view.members.len()).max(1) } else { needed }
    }
}
