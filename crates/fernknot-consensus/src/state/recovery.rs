//! How far disks had come: this replica's own when the process started, and those of others.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use super::peers::MAX_PEERS;
use crate::types::{DurableProgress, KnownProgress, Member, MemberId, Message, PersistentState, View};

/// Messages that wait for the end of the recovery, at most; the oldest are dropped, their senders send them again.
const MAX_DEFERRED_MESSAGES: usize = 32;

/// A message and where it came from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReceivedMessage {
    pub from: SocketAddrV4,
    pub message: Message,
}

/// What is known of the progress of disks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DiskRecovery {
    /// How far the disk had come when this process started from it.
    initial_progress: DurableProgress,
    /// Nothing that came from this disk is missing on it, as far as can be known.
    pub complete: bool,
    /// Others remember more than is on this disk.
    pub outdated: bool,
    /// Those who remember no more of this disk than is on it.
    responses: BTreeMap<MemberId, Member>,
    /// How far the disks of others had come.
    known_progress: BTreeMap<MemberId, DurableProgress>,
    deferred_messages: VecDeque<ReceivedMessage>,
}

impl DiskRecovery {
    /// An empty disk has nothing to recover, and is `complete`.
    pub fn new(state: &PersistentState, complete: bool) -> DiskRecovery {
        let known = state.known_progress.iter().take(MAX_PEERS);
        DiskRecovery {
            initial_progress: state.progress(),
            complete,
            outdated: false,
            responses: BTreeMap::new(),
            known_progress: known.map(|known| (known.member, known.progress)).collect(),
            deferred_messages: VecDeque::new(),
        }
    }

    /// Whether the recovery still waits for responses.
    pub fn is_waiting(&self) -> bool {
        !self.complete && !self.outdated
    }

    /// Whether nothing that others remember is missing on the disk that this process started from.
    pub fn covers(&self, progress: DurableProgress) -> bool {
        self.initial_progress.covers(progress)
    }

    /// Another member's disk has come so far, at least. Where there is no room, a member that doesn't vote in the view
    /// makes room.
    pub fn record_progress(&mut self, member: MemberId, progress: DurableProgress, view: &View) {
        let is_full = self.known_progress.len() >= MAX_PEERS;
        if is_full && !self.known_progress.contains_key(&member) {
            let stranger = self.known_progress.keys().find(|id| !view.has_voter_id(**id)).copied();
            let Some(stranger) = stranger else { return };
            self.known_progress.remove(&stranger);
        }
        let known = self.known_progress.entry(member).or_default();
        *known = known.merge(progress);
    }

    /// How far a member's disk had come, as far as was heard.
    pub fn known_progress_of(&self, member: MemberId) -> Option<KnownProgress> {
        self.known_progress.get(&member).map(|progress| KnownProgress { member, progress: *progress })
    }

    /// A replica remembers no more of this disk than is on it.
    pub fn record_response(&mut self, sender: Member) {
        if self.responses.len() < MAX_PEERS {
            self.responses.insert(sender.id, sender);
        }
    }

    /// Whether the voter remembers no more of this disk than is on it.
    pub fn has_response_of(&self, voter: &Member, view: &View) -> bool {
        self.responses.values().any(|sender| view.is_same_replica(voter, sender))
    }

    /// Keeps a message until the recovery is complete.
    pub fn defer(&mut self, from: SocketAddrV4, message: Message) {
        if self.deferred_messages.len() >= MAX_DEFERRED_MESSAGES {
            self.deferred_messages.pop_front();
        }
        self.deferred_messages.push_back(ReceivedMessage { from, message });
    }

    /// The recovery is complete.
    pub fn complete(&mut self) {
        self.complete = true;
        self.responses.clear();
    }

    pub fn take_deferred(&mut self) -> VecDeque<ReceivedMessage> {
        std::mem::take(&mut self.deferred_messages)
    }
}
