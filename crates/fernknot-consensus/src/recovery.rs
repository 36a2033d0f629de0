//! Detection of outdated disks. A replica that starts from a disk can't tell by itself whether it is the newest copy;
//! the others know the progress that it acknowledged. The replica doesn't participate until a majority of the voters,
//! including itself, has confirmed the disk and the remaining voters are suspected. If another replica knows of later
//! progress, the disk is outdated: the replica never participates, and becomes a new member with an empty disk once a
//! view is active without it. This is the recovery of VR Revisited, section 4.3, with the disk as the state to be
//! recovered.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use crate::replica::Replica;
use crate::state::recovery::ReceivedMessage;
use crate::types::{
    DurableProgress, KnownProgress, MAX_MEMBERS, Member, MemberId, Message, PeerHeartbeat, ProposalInView,
    SeededBug, StatePosition, ViewNumber,
};

/// Maximum number of members whose progress is written to disk.
const MAX_PERSISTED_PROGRESS: usize = 4 * MAX_MEMBERS;

impl Replica {
    // Recovery of other replicas.

    /// Records a lower bound on the progress of another replica's disk.
    pub fn record_progress(&mut self, id: MemberId, progress: DurableProgress) {
        if id != self.member_id() && id != MemberId(0) {
            self.recovery.record_progress(id, progress, &self.disk.state.chosen.view);
        }
    }

    /// Returns the known progress to be stored with the next write: that of the voters of the current view and of the
    /// accepted next view.
    pub fn progress_to_persist(&self) -> Vec<KnownProgress> {
        let next = self.disk.state.accepted.iter().flat_map(|accepted| accepted.next.view.voters());
        let ids: BTreeSet<MemberId> = self.view().voters().chain(next).map(|voter| voter.id).collect();
        let progress = ids.into_iter().filter_map(|id| self.recovery.known_progress_of(id));
        progress.take(MAX_PERSISTED_PROGRESS).collect()
    }

    /// Returns a lower bound on the progress of a disk, from its messages and from this replica's own state: a change
    /// shows that the one before is on every member's disk. This doesn't hold for the first state of the view, which
    /// a member may still store as an accepted next view under the number of the last one.
    fn progress_of(&self, id: MemberId) -> DurableProgress {
        let known = self.recovery.known_progress_of(id).unwrap_or_default().progress;
        let view = self.view();
        let committed = self.replication.commit_revision.max(self.disk.state.revision.previous());
        let is_member = view.number > ViewNumber(0) && view.has_member_id(id);
        if !is_member || !self.has_view_state() || committed <= self.chosen().start() {
            return known;
        }
        let state = StatePosition { view: view.number, revision: committed };
        known.merge(DurableProgress { state, ..DurableProgress::default() })
    }

    /// Responds to a recovering replica, or records the reported progress of another. Called before anything is sent
    /// that the recovering replica might act on.
    pub fn answer_recovery(&mut self, from: SocketAddrV4, heartbeat: &PeerHeartbeat) {
        let id = heartbeat.sender.id;
        let PeerHeartbeat { view, state_view, revision, incarnation, .. } = *heartbeat;
        if heartbeat.recovering {
            let progress = self.progress_of(id);
            let sender = self.me().clone();
            // The progress that it reports while recovering is not recorded: it may include writes since its start,
            // which would make the disk that it started from look outdated.
            let response = Message::RecoveryResponse { sender, member_id: id, incarnation, progress };
            return self.send(from, response);
        }
        let progress = DurableProgress {
            prepared: ProposalInView { view, proposal: heartbeat.prepared },
            accepted: ProposalInView { view, proposal: heartbeat.accepted },
            state: StatePosition { view: state_view, revision },
        };
        self.record_progress(id, progress);
    }

    // Recovery of this replica.

    /// Defers or drops messages that ask a member to act while the recovery is incomplete. Returns the message if it
    /// can be handled now.
    #[must_use]
    pub fn defer_until_recovered(&mut self, from: SocketAddrV4, message: Message) -> Option<Message> {
        if self.recovery.complete {
            return Some(message);
        }
        match &message {
            Message::StateTransfer { chosen, .. }
            | Message::Prepare { current: chosen, .. }
            | Message::Accept { current: chosen, .. } => {
                // The newest view determines which voters have to respond to the recovery.
                self.adopt_view(chosen.clone());
                if self.recovery.complete {
                    return Some(message); // a forced view has reset this replica or made it a member
                }
            }
            Message::Replicate { .. } | Message::Commit { .. } | Message::Chosen { .. } => {}
            // An outdated disk may lack that this replica has prepared the change of the view.
            Message::ReadIndexRequest { .. } => return None,
            _ => return Some(message),
        }
        self.recovery.defer(from, message);
        None
    }

    /// Handles another replica's report of this disk's progress.
    pub fn handle_recovery_response(
        &mut self,
        sender: Member,
        member_id: MemberId,
        incarnation: u64,
        progress: DurableProgress,
    ) {
        let is_for_this_process = member_id == self.member_id() && incarnation == self.incarnation;
        if !is_for_this_process || self.recovery.complete {
            return;
        }
        if self.recovery.covers(progress) {
            return self.recovery.record_response(sender);
        }
        self.heartbeat_timer.request_if(!self.recovery.outdated);
        self.recovery.outdated = true;
        if self.has_bug(SeededBug::ResetOnFirstConflict) {
            self.reset_identity();
        }
    }

    /// Discards an outdated disk once a view is active without it, and not before: if all disks have lost writes that
    /// they had reported as synced, discarding them while no view is active could leave too few copies.
    pub fn reset_outdated_disk(&mut self, heartbeat: &PeerHeartbeat) {
        let answers_this_process = heartbeat.echo.incarnation == self.incarnation;
        let is_active = heartbeat.view_active && heartbeat.view >= self.view().number;
        if self.recovery.outdated && answers_this_process && is_active {
            self.reset_identity();
        }
    }

    /// Completes the recovery if a majority of the voters, including this replica, knows of no progress that is
    /// missing on the disk, and each other voter is suspected. Returns the messages that were deferred until now.
    #[must_use]
    pub fn complete_recovery(&mut self) -> VecDeque<ReceivedMessage> {
        if !self.recovery.is_waiting() || !self.is_recovery_confirmed() {
            return VecDeque::new();
        }
        self.recovery.complete();
        self.heartbeat_timer.request();
        let first = self.view().members.first().and_then(|first| self.peers.get(first.id));
        if let Some(heartbeat) = first.map(|first| first.heartbeat.clone()) {
            self.follow_leader(&heartbeat);
        }
        self.recovery.take_deferred()
    }

    fn is_recovery_confirmed(&self) -> bool {
        let view = self.view();
        let confirms = |voter: &&Member| {
            view.is_same_replica(voter, self.me()) || self.recovery.has_response_of(voter, view)
        };
        let (confirming, unconfirmed): (Vec<&Member>, Vec<&Member>) = view.voters().partition(confirms);
        let awaits_voter = unconfirmed.iter().any(|voter| !self.is_suspected(voter));
        !awaits_voter && view.is_majority(confirming.len())
    }
}
