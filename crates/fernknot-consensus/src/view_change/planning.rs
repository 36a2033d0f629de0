//! Planning of the next view's members.

use std::collections::BTreeSet;

use crate::replica::Replica;
use crate::state::peers::Peer;
use crate::types::{ChosenView, MAX_MEMBERS, Member, MemberId, Revision, View, ViewNumber, ViewStart};

/// Maximum number of candidates that are considered for the next view.
const MAX_CANDIDATES: usize = 12;

/// Replicas that may be in the next view in addition to the proposer, and their mutual reachability. A set of
/// candidates is a bit mask over their positions.
struct Candidates<'a> {
    peers: Vec<&'a Peer>,
    /// Number of members of the current view; they come first.
    member_count: usize,
}

impl Candidates<'_> {
    /// Whether two candidates reach each other. For two members it suffices that neither suspects the other.
    fn are_linked(&self, a: usize, b: usize) -> bool {
        let (one, other) = (&self.peers[a].heartbeat, &self.peers[b].heartbeat);
        if a < self.member_count && b < self.member_count {
            return !one.suspected.contains(&other.sender.id) && !other.suspected.contains(&one.sender.id);
        }
        one.reachable.contains(&other.sender.id) && other.reachable.contains(&one.sender.id)
    }

    /// Returns for each candidate the set of candidates that it reaches, including itself.
    fn links(&self) -> Vec<u32> {
        let count = self.peers.len();
        let linked_to = |a: usize| {
            let linked = (0..count).filter(move |b| *b == a || self.are_linked(a, *b));
            linked.fold(0, |mask, b| mask | (1 << b))
        };
        (0..count).map(linked_to).collect()
    }

    /// Returns the largest set of candidates that all reach each other. Of sets of the same size, it prefers the one
    /// with more members of the current view, then the one with earlier candidates.
    fn largest_clique(&self) -> u32 {
        let links = self.links();
        let all = (1u32 << self.peers.len()) - 1;
        let members = (1u32 << self.member_count.min(self.peers.len())) - 1;
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
    /// Whether the peer could store changes as a member: it is reachable, its disk is healthy and not replaced, it is
    /// not left out for being slow, and it has not been recovering for more than two suspicion time-outs.
    pub fn is_eligible(&self, peer: &Peer) -> bool {
        self.is_reachable(peer)
            && peer.heartbeat.disk_healthy
            && peer.excluded_until <= self.now()
            && !peer.is_recovery_overdue(&self.clock)
            && !self.peers.is_replaced(&peer.heartbeat.sender)
    }

    /// Whether the member of the current view is eligible.
    pub fn is_eligible_member(&self, member: &Member) -> bool {
        let view = self.view();
        let is_eligible =
            |peer: &Peer| self.is_eligible(peer) && view.is_same_replica(member, &peer.heartbeat.sender);
        self.peers.iter().any(is_eligible)
    }

    /// Returns the largest set of eligible replicas that includes this one and in which all reach each other. If
    /// `prepared` is given, voters of the current view that are not in it are left out.
    pub fn plan_members(&self, prepared: Option<&BTreeSet<MemberId>>) -> Vec<Member> {
        let candidates = self.candidates(prepared);
        let mut members = candidates.members_of(candidates.largest_clique());
        members.push(self.me().clone());
        let view = self.view();
        // Current members keep their order, so that the leader changes only if it is no longer a member.
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
        Candidates { peers, member_count }
    }

    /// Returns the next view with these members. Dropped ones keep their vote while there are fewer than
    /// `2 * fault_tolerance + 1` members.
    pub fn plan_next_view(&self, members: Vec<Member>, revision: Revision) -> ChosenView {
        let current = self.view();
        let number = current.number.next();
        let target_voters =
            self.settings.fault_tolerance.saturating_mul(2).saturating_add(1).min(MAX_MEMBERS);
        let mut former_voters: Vec<Member> = Vec::new();
        for voter in current.voters() {
            let is_dropped =
                current.number > ViewNumber(0) && members.iter().all(|member| member.id != voter.id);
            let is_below_target = members.len() + former_voters.len() < target_voters;
            if is_dropped && !self.peers.is_replaced(voter) && is_below_target {
                former_voters.push(voter.clone());
            }
        }
        let view_starts = self.chosen().view_starts_with(ViewStart { view: number, revision });
        ChosenView { view: View { number, members, former_voters }, view_starts }
    }

    /// Returns the minimum number of members of the next view: those needed to commit a change. The first view may have
    /// fewer if fewer founders are configured, so that a large system with few founders can be founded; it commits no
    /// change until others have joined.
    pub fn min_members(&self) -> usize {
        let view = self.view();
        let needed = self.settings.fault_tolerance.saturating_add(1);
        if view.number == ViewNumber(0) { needed.min(view.members.len()).max(1) } else { needed }
    }
}
