//! Outdated disks. A replica that starts from a disk can't see whether it is the newest copy: others remember what came
//! from it. Until those who could know have answered, or have been unreachable for as long as anybody is waited for, it
//! takes no part. One that others remember further never does, and becomes a new member with an empty disk once a view
//! is active without it. (The recovery of VR Revisited, section 4.3, with the disk as the state that is recovered.)

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use crate::replica::Replica;
use crate::state::recovery::ReceivedMessage;
use crate::types::{
    DurableProgress, KnownProgress, MAX_MEMBERS, Member, MemberId, Message, PeerHeartbeat, ProposalInView,
    SeededBug, StatePosition, ViewNumber,
};

/// Members whose progress is written to disk, at most.
const MAX_PERSISTED_PROGRESS: usize = 4 * MAX_MEMBERS;

impl Replica {
    // For others.

    /// Another replica's disk has come so far at least.
    pub fn record_progress(&mut self, id: MemberId, progress: DurableProgress) {
        if id != self.member_id() && id != MemberId(0) {
            self.recovery.record_progress(id, progress, &self.disk.state.chosen.view);
        }
    }

    /// What goes onto this disk with the next write: the progress of all who vote now or may vote next.
    pub fn progress_to_persist(&self) -> Vec<KnownProgress> {
        let next = self.disk.state.accepted.iter().flat_map(|accepted| accepted.next.view.voters());
        let ids: BTreeSet<MemberId> = self.view().voters().chain(next).map(|voter| voter.id).collect();
        let progress = ids.into_iter().filter_map(|id| self.recovery.known_progress_of(id));
        progress.take(MAX_PERSISTED_PROGRESS).collect()
    }

    /// How far a disk had come, by what was heard of it and by what this disk has: a change that follows another shows
    /// that the one before is on every member. (What the view began with may be on a member's disk as the next view
    /// that it accepted, still under the number of the last one.)
    fn progress_of(&self, id: MemberId) -> DurableProgress {
        let heard = self.recovery.known_progress_of(id).unwrap_or_default().progress;
        let view = self.view();
        let committed = self.replication.commit_revision.max(self.disk.state.revision.previous());
        let is_member = view.number > ViewNumber(0) && view.has_member_id(id);
        if !is_member || !self.has_view_state() || committed <= self.chosen().start() {
            return heard;
        }
        let state = StatePosition { view: view.number, revision: committed };
        heard.merge(DurableProgress { state, ..DurableProgress::default() })
    }

    /// Answers a recovering replica, before it is sent anything that it might act on.
    pub fn answer_recovery(&mut self, from: SocketAddrV4, heartbeat: &PeerHeartbeat) {
        let id = heartbeat.sender.id;
        let PeerHeartbeat { view, state_view, revision, incarnation, .. } = *heartbeat;
        if heartbeat.recovering {
            let progress = self.progress_of(id);
            let sender = self.me().clone();
            // What it has on disk since it began to recover is not what came from it before.
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

    // For this one.

    /// Keeps back what asks a member to act, until it is known that this replica may act.
    #[must_use]
    pub fn defer_until_recovered(&mut self, from: SocketAddrV4, message: Message) -> Option<Message> {
        if self.recovery.complete {
            return Some(message);
        }
        match &message {
            Message::StateTransfer { chosen, .. }
            | Message::Prepare { current: chosen, .. }
            | Message::Accept { current: chosen, .. } => {
                // Who is to be asked is known by the newest view.
                self.adopt_view(chosen.clone());
                if self.recovery.complete {
                    return Some(message); // a forced view: excluded by it, or taken into it
                }
            }
            Message::Replicate { .. } | Message::Commit { .. } | Message::Chosen { .. } => {}
            // What this disk may have forgotten is that it prepared for the next view.
            Message::ReadIndexRequest { .. } => return None,
            _ => return Some(message),
        }
        self.recovery.defer(from, message);
        None
    }

    /// Another replica tells how far this disk had come.
    pub fn handle_recovery_response(
        &mut self,
        sender: Member,
        member_id: MemberId,
        incarnation: u64,
        progress: DurableProgress,
    ) {
        let is_mine = member_id == self.member_id() && incarnation == self.incarnation;
        if !is_mine || self.recovery.complete {
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

    /// An outdated disk is given up only for a view that is active without it. Guards against few replicas or one being
    /// left while no view is active, where all disks have lost something that they had reported as synced.
    pub fn reset_outdated_disk(&mut self, heartbeat: &PeerHeartbeat) {
        let answers_this_process = heartbeat.echo.incarnation == self.incarnation;
        let is_active = heartbeat.view_active && heartbeat.view >= self.view().number;
        if self.recovery.outdated && answers_this_process && is_active {
            self.reset_identity();
        }
    }

    /// Completes the recovery if a majority of the voters, itself counted, knows of nothing that is missing, and each
    /// other voter has said so or has been unreachable for as long as anybody is waited for. Gives the messages that
    /// were deferred until then.
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
        let (confirming, silent): (Vec<&Member>, Vec<&Member>) = view.voters().partition(confirms);
        let waits = silent.iter().any(|voter| !self.is_suspected(voter));
        !waits && view.is_majority(confirming.len())
    }
}
