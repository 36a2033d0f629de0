//! The past of a disk. A member that starts from a disk can't see whether it is the newest copy: others remember
//! what came from it. Until those who could know have spoken, or have been silent for as long as anybody is
//! waited for, it takes no part. One that others remember further never does, and becomes a new member with an empty
//! disk once a view is in force without it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use crate::types::*;
use crate::views::{Consensus, MAX_MEMBERS, MAX_PEERS, PendingWrite, is_same_member, view_start, voters};

/// Words that wait for the end of the questions, at most; the oldest are dropped, their senders say them again.
const MAX_DEFERRED_MESSAGES: usize = 32;

/// What is known of the pasts of this disk and of the others'.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DiskRecovery {
    /// How far the disk had come when this process started from it.
    initial_progress: DurableProgress,
    /// How far it has come now.
    pub durable_progress: DurableProgress,
    /// Nothing that came from this disk is missing on it, as far as can be known.
    pub complete: bool,
    /// Others remember more than there is.
    pub outdated: bool,
    /// Those who remember no more of it than there is.
    responses: BTreeMap<MemberId, Member>,
    /// How far the disks of others had come.
    known_progress: BTreeMap<MemberId, DurableProgress>,
    deferred_messages: VecDeque<(SocketAddrV4, Message)>,
}

impl DiskRecovery {
    /// An empty disk has no past, and is `proven`.
    pub fn new(saved: &PersistentState, proven: bool) -> DiskRecovery {
        DiskRecovery {
            initial_progress: saved.progress(),
            durable_progress: saved.progress(),
            complete: proven,
            outdated: false,
            responses: BTreeMap::new(),
            known_progress: saved.known_progress.iter().take(MAX_PEERS).copied().collect(),
            deferred_messages: VecDeque::new(),
        }
    }
}

impl Consensus {
    // For others.

    /// Another's disk has come so far at least.
    pub(crate) fn record_progress(&mut self, id: MemberId, mark: DurableProgress) {
        if id == self.member_id() || id == MemberId(0) {
            return;
        }
        let full = self.recovery.known_progress.len() >= MAX_PEERS;
        if full && !self.recovery.known_progress.contains_key(&id) {
            let votes = |id: &MemberId| voters(&self.persistent.chosen.view).any(|seat| seat.id == *id);
            match self.recovery.known_progress.keys().find(|id| !votes(id)).copied() {
                Some(stranger) => self.recovery.known_progress.remove(&stranger),
                None => return,
            };
        }
        let known = self.recovery.known_progress.entry(id).or_default();
        *known = known.merge(mark);
    }

    /// The marks that go onto this disk with the next write: those of all who vote now or may vote next.
    pub(crate) fn progress_to_persist(&self) -> Vec<(MemberId, DurableProgress)> {
        let next = self.persistent.accepted.iter().flat_map(|vouched| voters(&vouched.next.view));
        let ids = voters(&self.persistent.chosen.view).chain(next).map(|seat| seat.id);
        let ids: std::collections::BTreeSet<MemberId> = ids.collect();
        let marks = ids.into_iter().filter_map(|id| Some((id, *self.recovery.known_progress.get(&id)?)));
        marks.take(4 * MAX_MEMBERS).collect()
    }

    /// How far a disk had come, by what was heard of it and by what this disk holds: a change that follows
    /// another shows that the one before is with every member. (What the view began with may lie on a member's disk
    /// as the next view that it vouched for, still under the number of the last one.)
    fn progress_of(&self, id: MemberId) -> DurableProgress {
        let heard = self.recovery.known_progress.get(&id).copied().unwrap_or_default();
        let view = &self.persistent.chosen.view;
        let inside = view.members.iter().any(|seat| seat.id == id);
        let taken = self.commit_revision.max(Revision(self.persistent.revision.0.saturating_sub(1)));
        if view.number == ViewNumber(0)
            || !inside
            || !self.has_view_state()
            || taken <= view_start(&self.persistent.chosen)
        {
            return heard;
        }
        heard.merge(DurableProgress { state: (view.number, taken), ..DurableProgress::default() })
    }

    /// Answers one who asks, before it is told anything that it might act on.
    pub(crate) fn answer_recovery(&mut self, from: SocketAddrV4, told: &PeerHeartbeat) {
        let id = told.sender.id;
        if told.recovering {
            let mark = self.progress_of(id);
            let who = self.settings.me.clone();
            // What it has on disk since it began to ask is not what came from it before.
            return self.send(
                from,
                Message::RecoveryResponse {
                    sender: who,
                    member_id: id,
                    incarnation: told.incarnation,
                    progress: mark,
                },
            );
        }
        let (promise, vouched) = ((told.view, told.prepared), (told.view, told.accepted));
        self.record_progress(
            id,
            DurableProgress { prepared: promise, accepted: vouched, state: (told.state_view, told.revision) },
        );
    }

    // For this one.

    /// Keeps back what asks for an act of a member, until it is known that it may act.
    pub(crate) fn defer_until_recovered(&mut self, from: SocketAddrV4, word: Message) -> Option<Message> {
        if self.recovery.complete {
            return Some(word);
        }
        match &word {
            Message::StateTransfer { chosen: base, .. }
            | Message::Prepare { current: base, .. }
            | Message::Accept { current: base, .. } => {
                // Who is to be asked is known by the newest view.
                self.adopt_view(base.clone());
                if self.recovery.complete {
                    return Some(word); // a forced view: closed out by it, or taken into it
                }
            }
            Message::Replicate { .. } | Message::Commit { .. } | Message::Chosen { .. } => {}
            // What this disk may have forgotten is that it stopped.
            Message::ReadIndexRequest { .. } => return None,
            _ => return Some(word),
        }
        if self.recovery.deferred_messages.len() >= MAX_DEFERRED_MESSAGES {
            self.recovery.deferred_messages.pop_front();
        }
        self.recovery.deferred_messages.push_back((from, word));
        None
    }

    pub(crate) fn handle_recovery_response(
        &mut self,
        who: Member,
        of: MemberId,
        life: u64,
        mark: DurableProgress,
    ) {
        if of != self.member_id() || life != self.incarnation || self.recovery.complete {
            return;
        }
        if !self.recovery.initial_progress.covers(mark) {
            self.heartbeat_requested |= !self.recovery.outdated;
            self.recovery.outdated = true;
            if self.seeded_bug == Some(SeededBug::ResetOnFirstConflict) {
                self.reset_identity();
            }
            return;
        }
        if self.recovery.responses.len() < MAX_PEERS {
            self.recovery.responses.insert(who.id, who);
        }
    }

    /// An older copy is given up only for a view that goes on without it. Guards against few copies or one being left
    /// while no view goes on, where all disks have lost something that they had called synced.
    pub(crate) fn reset_outdated_disk(&mut self, told: &PeerHeartbeat) {
        let live = told.echo.0 == self.incarnation;
        if self.recovery.outdated
            && live
            && told.view_active
            && told.view >= self.persistent.chosen.view.number
        {
            self.reset_identity();
        }
    }

    /// Acts from here on if a majority of the voters, itself counted, knows of nothing that is missing, and each
    /// other voter has said so or has been silent for as long as anybody is waited for.
    pub(crate) fn complete_recovery(&mut self) {
        if self.recovery.complete || self.recovery.outdated {
            return;
        }
        let view = &self.persistent.chosen.view;
        let me = &self.settings.me;
        let recalled = |seat: &Member| {
            is_same_member(view.number, seat, me)
                || self.recovery.responses.values().any(|who| is_same_member(view.number, seat, who))
        };
        let (spoke, silent): (Vec<&Member>, Vec<&Member>) = voters(view).partition(|seat| recalled(seat));
        let waits = silent.iter().any(|seat| !self.is_suspected(seat));
        if waits || spoke.len() <= (spoke.len() + silent.len()) / 2 {
            return;
        }
        self.recovery.complete = true;
        self.recovery.responses.clear();
        self.heartbeat_requested = true;
        let first = view.members.first().and_then(|first| self.peers.get(&first.id));
        if let Some(told) = first.map(|first| first.heartbeat.clone()) {
            self.follow_leader(&told);
        }
        for (from, word) in std::mem::take(&mut self.recovery.deferred_messages) {
            self.dispatch(from, word);
        }
    }

    /// Goes on as a new member: what lay on the disk counts for nothing any more, and is written over.
    pub(crate) fn reset_identity(&mut self) {
        let was = self.member_id();
        let mut facts = self.settings.clone();
        facts.me.id = MemberId(self.next_random().max(1));
        facts.bootstrap = false;
        let me = facts.me.id;
        let mut next = Consensus::with_seeded_bug(self.next_random(), facts, None, self.now, self.seeded_bug);
        next.addresses.append(&mut self.addresses);
        next.last_write_id = self.last_write_id;
        next.host_disk_healthy = self.host_disk_healthy;
        next.write_failed_at = self.write_failed_at;
        // A write of the old life may still be under way, and says nothing of the new one.
        next.pending_write = self.pending_write.take();
        if let Some(PendingWrite { position: safe, progress: mark, sends: words, .. }) =
            &mut next.pending_write
        {
            (*safe, *mark) = Default::default();
            words.clear();
        }
        next.actions = std::mem::take(&mut self.actions);
        for (proposal, _) in std::mem::take(&mut self.queued_changes) {
            next.actions.push_back(Action::Rejected { change_id: proposal });
        }
        if self.entered_view.is_some() {
            next.actions.push_back(Action::ViewLeft);
        }
        next.actions.push_back(Action::IdentityReplaced { previous: was, current: me });
        next.heartbeat_requested = true;
        next.mark_dirty();
        *self = next;
    }
}
