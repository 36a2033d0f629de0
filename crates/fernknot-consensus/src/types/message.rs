//! Messages between replicas. Any may be lost, duplicated or delayed.

use std::sync::Arc;

use bitcode::{Decode, Encode};

use super::member::{Member, MemberId};
use super::persistent_state::{AcceptedView, DurableProgress, ProposalNumber};
use super::view::{ChosenView, Revision, ViewNumber};

/// The newest heartbeat of the receiver that the sender has received. Both 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct HeartbeatEcho {
    /// The receiver's process, as it named itself.
    pub incarnation: u64,
    /// When that heartbeat left, by the receiver's clock, in nanoseconds.
    pub sent_at: u64,
}

/// What a replica reports of itself, at every heartbeat interval and at once where something has changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PeerHeartbeat {
    /// The replica that reports.
    pub sender: Member,
    /// The last chosen view that is durable on its disk.
    pub view: ViewNumber,
    /// The view of the newest state that is durable on its disk.
    pub state_view: ViewNumber,
    /// The revision of the newest state that is durable on its disk.
    pub revision: Revision,
    /// The durable prepared number in the change of `view`.
    pub prepared: ProposalNumber,
    /// The durable accepted number in the change of `view`.
    pub accepted: ProposalNumber,
    /// Started from a disk, and not known yet whether the disk is outdated.
    pub recovering: bool,
    /// The newest revision known to be committed in `view`.
    pub commit_revision: Revision,
    /// Whether `view` is active, as far as the sender knows.
    pub view_active: bool,
    /// Whether the sender has prepared for the change of `view`, and stores no more of its changes.
    pub changing_view: bool,
    /// Whether its disk takes writes in time and is not outdated.
    pub disk_healthy: bool,
    /// The sender's process.
    pub incarnation: u64,
    /// When this left, by the sender's clock, in nanoseconds.
    pub sent_at: u64,
    /// The receiver's newest heartbeat that the sender has received.
    pub echo: HeartbeatEcho,
    /// Those that the sender reaches both ways.
    pub reachable: Vec<MemberId>,
    /// Members of the view that the sender certainly doesn't reach.
    pub suspected: Vec<MemberId>,
}

/// A message between replicas. The order of the variants and their fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// What the sender reports of itself.
    Heartbeat(PeerHeartbeat),
    /// Answers a recovering replica (as RECOVERYRESPONSE in VR Revisited, section 4.3).
    RecoveryResponse {
        /// The replica that answers.
        sender: Member,
        /// The disk that is asked about.
        member_id: MemberId,
        /// The recovering process, as it named itself.
        incarnation: u64,
        /// How far the disk had come, as far as the sender ever heard.
        progress: DurableProgress,
    },
    /// A later view, for a replica that isn't in it or votes in an older one.
    NewerView {
        /// The later view.
        chosen: ChosenView,
    },
    /// The newest state, for a member of the view that lacks it (as NEWSTATE in VR Revisited, section 5.2).
    StateTransfer {
        /// The view that the state belongs to.
        chosen: ChosenView,
        /// The state's revision.
        revision: Revision,
        /// The complete state.
        state: Arc<[u8]>,
    },
    /// The leader's next change.
    Replicate {
        /// The leader's view.
        view: ViewNumber,
        /// The change's revision.
        revision: Revision,
        /// The complete state after the change.
        state: Arc<[u8]>,
    },
    /// The sender has the change on disk.
    ReplicateAck {
        /// The member that has it.
        sender: MemberId,
        /// The view of the change.
        view: ViewNumber,
        /// The change's revision.
        revision: Revision,
    },
    /// All members have the change on disk.
    Commit {
        /// The view of the change.
        view: ViewNumber,
        /// The change's revision.
        revision: Revision,
    },
    /// Paxos phase 1: prepare the change of `current` under this number.
    Prepare {
        /// The attempt.
        proposal: ProposalNumber,
        /// The view that is to be changed.
        current: ChosenView,
        /// The newest revision of `current` that the proposer has.
        revision: Option<Revision>,
    },
    /// The sender has prepared, and stores no more changes of `view`.
    Prepared {
        /// The voter.
        sender: Member,
        /// The attempt.
        proposal: ProposalNumber,
        /// The view that is to be changed.
        view: ViewNumber,
        /// The newest revision of `view` that the sender has.
        revision: Option<Revision>,
        /// The state at `revision`, where the proposer lacks it.
        state: Option<Arc<[u8]>>,
        /// The next view that the sender accepted before.
        accepted: Option<AcceptedView>,
    },
    /// The sender has prepared a higher number.
    Rejected {
        /// The view that is to be changed.
        view: ViewNumber,
        /// The higher number.
        prepared: ProposalNumber,
    },
    /// Paxos phase 2: accept the next view and the state that it begins with.
    Accept {
        /// The attempt.
        proposal: ProposalNumber,
        /// The view that is to be changed.
        current: ChosenView,
        /// The next view.
        next: ChosenView,
        /// The revision that it begins with.
        revision: Revision,
        /// The state at `revision`; absent where the receiver has it.
        state: Option<Arc<[u8]>>,
    },
    /// The sender has the next view on disk with its number.
    Accepted {
        /// The voter or joining member.
        sender: Member,
        /// The attempt.
        proposal: ProposalNumber,
        /// The view that is to be changed.
        view: ViewNumber,
    },
    /// The next view is chosen.
    Chosen {
        /// The attempt.
        proposal: ProposalNumber,
        /// The view that was changed.
        view: ViewNumber,
        /// Whether all members of the next view have it on disk.
        view_active: bool,
    },
    /// Is the receiver in this view, and not changing it? (The round of heartbeats of Raft's read index, section 6.4
    /// of Ongaro's thesis.)
    ReadIndexRequest {
        /// The asker's view.
        view: ViewNumber,
        /// The asking process.
        incarnation: u64,
        /// Rises with each read index of the asking process.
        sequence: u64,
    },
    /// The sender is, and was so after the request had left.
    ReadIndexResponse {
        /// The voter.
        sender: MemberId,
        /// The view of the request.
        view: ViewNumber,
        /// The incarnation of the request.
        incarnation: u64,
        /// The sequence number of the request.
        sequence: u64,
    },
}
