//! Messages between replicas. Any of them may be lost, duplicated, delayed or reordered.
//!
//! The incarnation of a process, which many messages carry, is a random number drawn at the start of the process. It
//! has nothing to do with the incarnation of a disk, which [`MemberId`] identifies. An attempt is one proposer's try
//! to have the next view chosen, in two phases of Paxos; its number is a [`ProposalNumber`].

use std::sync::Arc;

use bitcode::{Decode, Encode};

use super::member::{Member, MemberId};
use super::persistent_state::{AcceptedView, DurableProgress, ProposalNumber};
use super::view::{ChosenView, Revision, ViewNumber};

/// Reference to the newest heartbeat of the receiver that the sender has received. Both fields are 0 if there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct HeartbeatEcho {
    /// Incarnation of the receiver's process, as reported in that heartbeat.
    pub incarnation: u64,
    /// Time at which that heartbeat was sent, in nanoseconds of the receiver's clock.
    pub sent_at: u64,
}

/// Status that a replica reports at every heartbeat interval, and earlier after a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PeerHeartbeat {
    /// Id, address and zone of the replica that reports.
    pub sender: Member,
    /// The last chosen view that is durable on its disk.
    pub view: ViewNumber,
    /// The view of the newest state that is durable on its disk.
    pub state_view: ViewNumber,
    /// The revision of the newest state that is durable on its disk.
    pub revision: Revision,
    /// The highest proposal number that is durably prepared for the change of `view`; the default if there is none.
    pub prepared: ProposalNumber,
    /// The number under which a next view is durably accepted in the change of `view`; the default if there is none.
    pub accepted: ProposalNumber,
    /// Whether the sender started from a disk and has not verified that the disk is the newest copy.
    pub recovering: bool,
    /// The newest revision known to be committed in `view`.
    pub commit_revision: Revision,
    /// Whether the sender knows that `view` is active.
    pub view_active: bool,
    /// Whether the sender has prepared the change of `view`, and stores no more changes in it.
    pub changing_view: bool,
    /// Whether the sender's disk completes writes without error and within half a suspicion time-out, and is not
    /// outdated.
    pub disk_healthy: bool,
    /// Incarnation of the sender's process.
    pub incarnation: u64,
    /// Time at which this heartbeat was sent, in nanoseconds of the sender's clock.
    pub sent_at: u64,
    /// The receiver's newest heartbeat that the sender has received.
    pub echo: HeartbeatEcho,
    /// Replicas that the sender has exchanged heartbeats with in both directions within its suspicion time-out.
    pub reachable: Vec<MemberId>,
    /// Members of the view that the sender suspects to have failed.
    pub suspected: Vec<MemberId>,
}

/// A message between replicas. The order of the variants and their fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Status of the sender.
    Heartbeat(PeerHeartbeat),
    /// Response to a recovering replica (RECOVERYRESPONSE in VR Revisited, section 4.3).
    RecoveryResponse {
        /// Id, address and zone of the replica that responds.
        sender: Member,
        /// Id of the recovering replica, and so of the disk that the progress is about.
        member_id: MemberId,
        /// Incarnation of the recovering process.
        incarnation: u64,
        /// The disk's newest progress that the sender knows of.
        progress: DurableProgress,
    },
    /// A later view, for a replica that knows only an older one.
    NewerView {
        /// Newest view that the sender knows to be chosen.
        chosen: ChosenView,
    },
    /// The newest state, for a member of the view that lacks it (NEWSTATE in VR Revisited, section 5.2).
    StateTransfer {
        /// The view that the state belongs to.
        chosen: ChosenView,
        /// Revision of the state.
        revision: Revision,
        /// Complete state at `revision`.
        state: Arc<[u8]>,
    },
    /// The leader's next change, to be stored and acknowledged by a member; sent again until it is acknowledged.
    Replicate {
        /// Number of the view in which the sender leads.
        view: ViewNumber,
        /// The change's revision.
        revision: Revision,
        /// The complete state after the change.
        state: Arc<[u8]>,
    },
    /// Acknowledgement that the sender has the change, or a later one, on disk.
    ReplicateAck {
        /// Id of the member that has stored the change.
        sender: MemberId,
        /// The view of the change.
        view: ViewNumber,
        /// The change's revision.
        revision: Revision,
    },
    /// Notice of the leader that all members have the change on disk, so that it can be delivered.
    Commit {
        /// The view of the change.
        view: ViewNumber,
        /// The change's revision.
        revision: Revision,
    },
    /// Paxos phase 1: request to prepare the change of `current` under this number.
    Prepare {
        /// Number of the attempt to change the view that this message belongs to.
        proposal: ProposalNumber,
        /// The view to be changed.
        current: ChosenView,
        /// The newest revision of `current` that the proposer has; `None` if it lacks the state of `current`.
        revision: Option<Revision>,
    },
    /// The sender has prepared, and stores no more changes in `view`.
    Prepared {
        /// Id, address and zone of the voter that has prepared.
        sender: Member,
        /// Number of the attempt to change the view that this message belongs to.
        proposal: ProposalNumber,
        /// The view to be changed.
        view: ViewNumber,
        /// The newest revision of `view` that the sender has; `None` if it lacks the state of `view`.
        revision: Option<Revision>,
        /// The state at `revision`; absent if the proposer has it, or if `revision` is.
        state: Option<Arc<[u8]>>,
        /// The next view that the sender accepted under an earlier number.
        accepted: Option<AcceptedView>,
    },
    /// The sender has prepared a higher proposal number than that of the receiver's request, and rejects the request.
    Rejected {
        /// The view to be changed.
        view: ViewNumber,
        /// Highest number that the sender has prepared in the change of `view`.
        prepared: ProposalNumber,
    },
    /// Paxos phase 2: request to accept the next view and its first state.
    Accept {
        /// Number of the attempt to change the view that this message belongs to.
        proposal: ProposalNumber,
        /// The view to be changed.
        current: ChosenView,
        /// The next view.
        next: ChosenView,
        /// The revision of its first state.
        revision: Revision,
        /// The state at `revision`; absent if the receiver has it.
        state: Option<Arc<[u8]>>,
    },
    /// The sender has written the next view to disk under this number.
    Accepted {
        /// Voter of `view`, or replica that joins with the next view, that has written the next view.
        sender: Member,
        /// Number of the attempt to change the view that this message belongs to.
        proposal: ProposalNumber,
        /// The view to be changed.
        view: ViewNumber,
    },
    /// Notice of the proposer that the next view is chosen, to the voters and the members of the next view.
    Chosen {
        /// Number of the attempt to change the view that this message belongs to.
        proposal: ProposalNumber,
        /// The view that was changed.
        view: ViewNumber,
        /// Whether all members of the next view have written it to disk.
        view_active: bool,
    },
    /// Request to confirm that the receiver is in this view and not changing it (the round of heartbeats of Raft's read
    /// index, section 6.4 of Ongaro's thesis).
    ReadIndexRequest {
        /// Number of the requester's view, which the receiver is to confirm.
        view: ViewNumber,
        /// Incarnation of the requesting process.
        incarnation: u64,
        /// Sequence number, increased with each read index of the requesting process.
        sequence: u64,
    },
    /// Confirmation that, after the request was sent, the sender was in the view and not changing it.
    ReadIndexResponse {
        /// Id of the voter that confirms.
        sender: MemberId,
        /// The view of the request.
        view: ViewNumber,
        /// The incarnation of the request.
        incarnation: u64,
        /// The sequence number of the request.
        sequence: u64,
    },
}
