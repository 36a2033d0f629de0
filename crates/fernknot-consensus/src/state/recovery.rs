//! Progress of disks: this replica's own at the start of the process, and those of others.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use super::peers::MAX_PEERS;
use crate::types::{DurableProgress, KnownProgress, Member, MemberId, Message, PersistentState, View};

/// Maximum number of messages that wait for the end of the recovery. Beyond it the oldest are dropped; their senders
/// retransmit them.
const MAX_DEFERRED_MESSAGES: usize = 32;

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReceivedMessage {
    pub from: SocketAddrV4,
    pub message: Message,
}

/// Recovery of this replica's disk, and the known progress of others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DiskRecovery {
    /// Progress of the disk when this process started from it; for an empty disk, the default.
    initial_progress: DurableProgress,
    /// Whether the disk is verified to be the newest copy, as far as others know.
    pub complete: bool,
    /// Whether another replica knows of progress that is missing on this disk.
    pub outdated: bool,
    /// Replicas that know of no progress that is missing on this disk.
    responses: BTreeMap<MemberId, Member>,
    /// Known progress of the disks of others.
    known_progress: BTreeMap<MemberId, DurableProgress>,
    deferred_messages: VecDeque<ReceivedMessage>,
}

impl DiskRecovery {
    /// Begins a recovery. `complete` is true for an empty disk, which has nothing to recover.
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

    /// Whether the recovery is still waiting for responses.
    pub fn is_waiting(&self) -> bool {
        !self.complete && !self.outdated
    }

    /// Whether the disk that this process started from has all of this progress.
    pub fn covers(&self, progress: DurableProgress) -> bool {
        self.initial_progress.covers(progress)
    }

    /// Records a lower bound on the progress of another member's disk. If there is no room, a member that doesn't
    /// vote in the view is removed.
    pub fn record_progress(&mut self, member: MemberId, progress: DurableProgress, view: &View) {
        let is_full = self.known_progress.len() >= MAX_PEERS;
        if is_full && !self.known_progress.contains_key(&member) {
            let non_voter = self.known_progress.keys().find(|id| !view.has_voter_id(**id)).copied();
            let Some(non_voter) = non_voter else { return };
            self.known_progress.remove(&non_voter);
        }
        let known = self.known_progress.entry(member).or_default();
        *known = known.merge(progress);
    }

    /// Returns the known progress of a member's disk.
    pub fn known_progress_of(&self, member: MemberId) -> Option<KnownProgress> {
        self.known_progress.get(&member).map(|progress| KnownProgress { member, progress: *progress })
    }

    /// Records that a replica knows of no progress that is missing on this disk.
    pub fn record_response(&mut self, sender: Member) {
        if self.responses.len() < MAX_PEERS {
            self.responses.insert(sender.id, sender);
        }
    }

    /// Whether the voter has responded that it knows of no progress that is missing on this disk.
    pub fn has_response_of(&self, voter: &Member, view: &View) -> bool {
        self.responses.values().any(|sender| view.is_same_replica(voter, sender))
    }

    /// Defers a message until the recovery is complete.
    pub fn defer(&mut self, from: SocketAddrV4, message: Message) {
        if self.deferred_messages.len() >= MAX_DEFERRED_MESSAGES {
            self.deferred_messages.pop_front();
        }
        self.deferred_messages.push_back(ReceivedMessage { from, message });
    }

    /// Marks the recovery as complete.
    pub fn complete(&mut self) {
        self.complete = true;
        self.responses.clear();
    }

    pub fn take_deferred(&mut self) -> VecDeque<ReceivedMessage> {
        std::mem::take(&mut self.deferred_messages)
    }
}
