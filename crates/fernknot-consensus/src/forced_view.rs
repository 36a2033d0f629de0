//! Views forced by an operator, after more disks were lost than are tolerated. A forced view rests on the operator's
//! guarantee that the voters left out of it are lost, not on votes. Its number is above all that those voters could
//! still reach by regular view changes, and a replica that learns of it and is not in it continues as a new member.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use crate::replica::Replica;
use crate::state::attempt::StateSnapshot;
use crate::state::peers::Peer;
use crate::types::{
    AcceptedView, ChosenView, ForceViewError, Member, Revision, SeededBug, StatePosition, VIEWS_PER_ERA,
    View, ViewNumber, ViewStart,
};

/// Number of views in a fork, a range of view numbers within an era. A forced view starts at the first number of a
/// random fork of the next era, so that views forced at the same time in different places are unlikely to have the
/// same number.
const VIEWS_PER_FORK: u64 = 1 << 16;
/// Highest view number, since fencing tokens carry it in 32 bits.
const MAX_VIEW_NUMBER: u64 = u32::MAX as u64;
/// Number of revisions per era. A forced view continues from a multiple of it, above all revisions that the lost
/// replicas may have committed.
const REVISIONS_PER_ERA: u64 = 1 << 32;

/// The newest state on this disk, and its position.
struct NewestState {
    view: ViewNumber,
    snapshot: StateSnapshot,
}

impl Replica {
    /// Forces a view of this replica and the voters that it receives heartbeats from, if all others are named as lost.
    pub fn force_view(&mut self, lost: &[SocketAddrV4]) -> Result<ViewNumber, ForceViewError> {
        self.check_may_force()?;
        let survivors = self.survivors(lost)?;
        let newest = self.newest_state();
        self.check_has_newest(&newest, &survivors)?;
        let start = self.forced_view_start(newest.snapshot.revision)?;
        let mut members = vec![self.me().clone()];
        members.extend(survivors);
        let view = View { number: start.view, members, former_voters: Vec::new() };
        let view_starts = self.chosen().view_starts_with(start);
        self.disk.state.accepted = None;
        self.adopt_view(ChosenView { view, view_starts });
        self.disk.state.state_view = start.view;
        self.disk.state.revision = start.revision;
        self.disk.state.state = newest.snapshot.state;
        Ok(start.view)
    }

    fn check_may_force(&self) -> Result<(), ForceViewError> {
        if self.view().number == ViewNumber(0) {
            return Err(ForceViewError::NoState);
        }
        if !self.disk_healthy() {
            return Err(ForceViewError::DiskUnhealthy);
        }
        if !self.clock.can_detect_failures(self.now()) {
            return Err(ForceViewError::StillListening);
        }
        Ok(())
    }

    /// Returns the other voters with a recent heartbeat, if they and this replica are no majority and all others are
    /// named as lost.
    fn survivors(&self, lost: &[SocketAddrV4]) -> Result<Vec<Member>, ForceViewError> {
        let view = self.view();
        let mut survivors = Vec::new();
        let mut votes = 0;
        for voter in view.voters() {
            if view.is_same_replica(voter, self.me()) {
                votes += usize::from(!self.recovery.outdated);
                continue;
            }
            let address = self.address_of(voter);
            let is_named = lost.contains(&address) || lost.contains(&voter.addr);
            let is_replaced = self.peers.is_replaced(voter);
            let survivor = self
                .peers
                .get(voter.id)
                .filter(|peer| peer.has_recent_heartbeat(&self.clock) && !is_replaced);
            match survivor {
                Some(_) if is_named => return Err(ForceViewError::LostMemberReachable(address)),
                Some(peer) => {
                    votes += usize::from(self.may_vote(peer));
                    survivors.push(peer.heartbeat.sender.clone());
                }
                None if is_named || is_replaced => {}
                None => return Err(ForceViewError::UnreachableNotNamed(address)),
            }
        }
        if view.is_majority(votes) {
            return Err(ForceViewError::MajorityReachable);
        }
        Ok(survivors)
    }

    /// Whether the peer counts as a vote. It doesn't if it is recovering, and either its disk is unhealthy or
    /// outdated or the recovery has taken longer than two suspicion time-outs.
    fn may_vote(&self, peer: &Peer) -> bool {
        let is_stuck = !peer.heartbeat.disk_healthy || peer.is_recovery_overdue(&self.clock);
        !(peer.heartbeat.recovering && is_stuck)
    }

    /// Returns the newest state on this disk: the current one, or that of an accepted next view if it is newer.
    fn newest_state(&self) -> NewestState {
        let disk = &self.disk.state;
        let stored = disk.state_position();
        match &disk.accepted {
            Some(AcceptedView { next, revision, state, .. })
                if (StatePosition { view: next.view.number, revision: *revision }) > stored =>
            {
                let state = state.clone().unwrap_or_else(|| disk.state.clone());
                let snapshot = StateSnapshot { revision: *revision, state };
                NewestState { view: next.view.number, snapshot }
            }
            _ => {
                let snapshot = StateSnapshot { revision: stored.revision, state: disk.state.clone() };
                NewestState { view: stored.view, snapshot }
            }
        }
    }

    /// Checks that no replica with a recent heartbeat knows of a later view, and no survivor has a newer state. Of
    /// several that have the same state, the view is forced at the one with the smallest id.
    fn check_has_newest(&self, newest: &NewestState, survivors: &[Member]) -> Result<(), ForceViewError> {
        let own = StatePosition { view: newest.view, revision: newest.snapshot.revision };
        for peer in self.peers.iter().filter(|peer| peer.has_recent_heartbeat(&self.clock)) {
            let heartbeat = &peer.heartbeat;
            let stored = StatePosition { view: heartbeat.state_view, revision: heartbeat.revision };
            let survives = survivors.iter().any(|member| member.id == heartbeat.sender.id);
            let takes_precedence = (stored, Reverse(heartbeat.sender.id)) > (own, Reverse(self.member_id()));
            if heartbeat.view > self.view().number || (survives && takes_precedence) {
                return Err(ForceViewError::PeerMoreRecent(heartbeat.sender.addr));
            }
        }
        Ok(())
    }

    /// Returns the first view number of a random fork in the next era, and the first revision above all that the lost
    /// replicas may have reached.
    fn forced_view_start(&mut self, newest: Revision) -> Result<ViewStart, ForceViewError> {
        let fork = self.random.next() % (VIEWS_PER_ERA / VIEWS_PER_FORK);
        let current = self.view().number;
        let era_start = (current.era() + 1).saturating_mul(VIEWS_PER_ERA);
        let view = ViewNumber(era_start.saturating_add(fork * VIEWS_PER_FORK));
        if view.0 > MAX_VIEW_NUMBER - VIEWS_PER_ERA {
            return Err(ForceViewError::ViewNumbersExhausted);
        }
        if self.has_bug(SeededBug::UnfencedForcedView) {
            return Ok(ViewStart { view: ViewNumber(current.0 + 1), revision: newest });
        }
        let revision = Revision((newest.0 / REVISIONS_PER_ERA + 1).saturating_mul(REVISIONS_PER_ERA));
        Ok(ViewStart { view, revision })
    }
}
