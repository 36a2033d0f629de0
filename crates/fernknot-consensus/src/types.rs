//! What passes between the register and its host, between members, and onto disk.

use std::net::SocketAddrV4;
use std::sync::Arc;

use bitcode::{Decode, Encode};
use fernknot::interface::Nanos;
use thiserror::Error;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
        pub struct $name(pub u64);
    )*};
}

ids!(
    /// One life of a disk: drawn at random by the host when a disk is empty, and kept on it. Never 0.
    MemberId,
    /// The number of a view; 0 stands for the founders before there is any view.
    ViewNumber,
    /// The place of a state in the one order; 0 is the empty state that view 1 begins with.
    Revision,
    /// Names one request to write to disk.
    WriteId,
    /// Names one question whether what is known here still stands; given by the host, never twice in a life.
    ReadIndexId
);

/// A controller: the life of its disk, where it listens for other controllers, and its zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    pub id: MemberId,
    pub addr: SocketAddrV4,
    pub zone: String,
}

/// Who stores every change. The first member is the sequencer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct View {
    pub number: ViewNumber,
    pub members: Vec<Member>,
    /// Dropped members that still vote on the next view, kept only while the members are fewer
    /// than two times the losses to be borne and one. They store no changes.
    pub former_voters: Vec<Member>,
}

/// A view that is known to be chosen, and the order numbers at which the last views began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ChosenView {
    pub view: View,
    /// Oldest first. What an earlier view stored above the floor of its next was never taken.
    pub view_starts: Vec<(ViewNumber, Revision)>,
}

/// Number of an attempt to change a view: higher rounds win, ids part equal ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalNumber {
    pub term: u64,
    pub proposer: MemberId,
}

/// A next view that this member has accepted under a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AcceptedView {
    pub proposal: ProposalNumber,
    pub next: ChosenView,
    /// Order number that the next view begins with.
    pub revision: Revision,
    /// Absent where it is the state that the member holds as its newest.
    pub state: Option<Arc<[u8]>>,
}

/// How far a disk has come. Each part only rises as long as it is the same disk, so one that falls short of what
/// others heard of it is an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DurableProgress {
    /// What it promised, and in the change of which view.
    pub prepared: (ViewNumber, ProposalNumber),
    /// The ballot under which it accepted a next view, and in the change of which view.
    pub accepted: (ViewNumber, ProposalNumber),
    /// The newest state.
    pub state: (ViewNumber, Revision),
}

impl DurableProgress {
    /// The later of both, part by part.
    pub fn merge(self, other: DurableProgress) -> DurableProgress {
        DurableProgress {
            prepared: self.prepared.max(other.prepared),
            accepted: self.accepted.max(other.accepted),
            state: self.state.max(other.state),
        }
    }

    /// Nothing of the other is missing here.
    pub fn covers(self, other: DurableProgress) -> bool {
        self.merge(other) == self
    }
}

/// All that a member keeps on disk. The host writes it whole and hands it back at the next start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PersistentState {
    pub member_id: MemberId,
    /// The last view known to be chosen.
    pub chosen: ChosenView,
    /// Nothing below this ballot counts any more for the change of `base`; not 0: stopped.
    pub prepared: ProposalNumber,
    pub accepted: Option<AcceptedView>,
    /// The view that `no` and `state` belong to; below `base`, they only remember.
    pub state_view: ViewNumber,
    pub revision: Revision,
    pub state: Arc<[u8]>,
    /// How far the disks of the voters had come when this was written, as far as they had said.
    pub known_progress: Vec<(MemberId, DurableProgress)>,
}

impl PersistentState {
    /// What whoever has this on disk may have vouched for.
    pub fn progress(&self) -> DurableProgress {
        let view = self.chosen.view.number;
        let vouched = self.accepted.as_ref().map_or(ProposalNumber::default(), |vouched| vouched.proposal);
        DurableProgress {
            prepared: (view, self.prepared),
            accepted: (view, vouched),
            state: (self.state_view, self.revision),
        }
    }
}

/// What a member tells of itself, at every pulse and at once where something has changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PeerHeartbeat {
    pub sender: Member,
    /// What is safely on disk: the view, the view of the newest state, its order number.
    pub view: ViewNumber,
    pub state_view: ViewNumber,
    pub revision: Revision,
    /// What is safely promised and vouched for in the change of `view`.
    pub prepared: ProposalNumber,
    pub accepted: ProposalNumber,
    /// Started from a disk, and nobody has said enough yet of what came from it before.
    pub recovering: bool,
    /// The newest order number known to be taken in `view`.
    pub commit_revision: Revision,
    pub view_active: bool,
    pub stopped: bool,
    pub disk_healthy: bool,
    /// The sender's life and clock, and the receiver's as last heard by the sender.
    pub incarnation: u64,
    pub sent_at: u64,
    pub echo: (u64, u64),
    /// Those with whom the sender is in touch both ways.
    pub reachable: Vec<MemberId>,
    /// Members of the view with whom it is certainly not.
    pub suspected: Vec<MemberId>,
}

/// A message between controllers. May be lost, doubled or late.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    Heartbeat(PeerHeartbeat),
    /// To one who asks: how far the disk of the life `of` had come, as far as `who` ever heard. `life` is the
    /// asking process as it named itself.
    RecoveryResponse {
        sender: Member,
        member_id: MemberId,
        incarnation: u64,
        progress: DurableProgress,
    },
    /// A later view, to one who isn't in it or votes in an older one.
    NewerView {
        chosen: ChosenView,
    },
    /// The newest state, to a member of the view that lacks it.
    StateTransfer {
        chosen: ChosenView,
        revision: Revision,
        state: Arc<[u8]>,
    },
    /// The sequencer's next change.
    Replicate {
        view: ViewNumber,
        revision: Revision,
        state: Arc<[u8]>,
    },
    /// `who` has the change on disk.
    ReplicateAck {
        sender: MemberId,
        view: ViewNumber,
        revision: Revision,
    },
    /// All members have it on disk.
    Commit {
        view: ViewNumber,
        revision: Revision,
    },
    /// Stop `base` under this ballot; `no` is the newest that the proposer holds.
    Prepare {
        proposal: ProposalNumber,
        current: ChosenView,
        revision: Option<Revision>,
    },
    /// Stopped. `holds` is the newest order number, `state` goes with it where the proposer lacks it.
    Prepared {
        sender: Member,
        proposal: ProposalNumber,
        view: ViewNumber,
        revision: Option<Revision>,
        state: Option<Arc<[u8]>>,
        accepted: Option<AcceptedView>,
    },
    /// A higher ballot has been promised.
    Rejected {
        view: ViewNumber,
        prepared: ProposalNumber,
    },
    /// The next view, and what it begins with; no state where the receiver holds it.
    Accept {
        proposal: ProposalNumber,
        current: ChosenView,
        next: ChosenView,
        revision: Revision,
        state: Option<Arc<[u8]>>,
    },
    /// On disk with the view's number.
    Accepted {
        sender: Member,
        proposal: ProposalNumber,
        view: ViewNumber,
    },
    /// The next view is chosen; `force`: all its members have it on disk.
    Chosen {
        proposal: ProposalNumber,
        view: ViewNumber,
        view_active: bool,
    },
    /// Does the hearer stand in this view, not stopped? `life` is that of the speaker's process.
    ReadIndexRequest {
        view: ViewNumber,
        incarnation: u64,
        sequence: u64,
    },
    /// `who` does, and said so after the round had begun.
    ReadIndexResponse {
        sender: MemberId,
        view: ViewNumber,
        incarnation: u64,
        sequence: u64,
    },
}

/// What the register is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConsensusSettings {
    pub me: Member,
    /// Inner addresses of the controllers that found the first view.
    pub founders: Vec<SocketAddrV4>,
    /// Only true when the whole system starts for the first time.
    pub bootstrap: bool,
    /// How many disks may be lost at once.
    pub fault_tolerance: usize,
    /// A member that was not heard for this long is dropped.
    pub suspicion_timeout: Nanos,
    /// How often members tell of themselves; well below `suspect_after`.
    pub heartbeat_interval: Nanos,
    /// How old word from a majority may be for a claim of freshness; three pulses at least.
    pub lease_duration: Nanos,
}

/// Why a controller does not count in the view now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ineligibility {
    /// Not heard for `suspect_after`, or it does not hear this one.
    Unreachable,
    /// Another life of a disk speaks at its address.
    Replaced,
    /// Its disk hangs or refuses, by its own word.
    DiskUnhealthy,
    /// It did not store in time what it was sent.
    SlowDisk,
    /// It started from a disk, and waits for word of what had come from it before.
    Recovering,
    /// Its disk is an older copy of itself, or not well.
    OutdatedDisk,
    /// It has not yet what the view holds.
    CatchingUp,
    /// It is in touch with this one, but not with all in the view.
    PartiallyConnected,
}

/// A controller's place in the view or beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaStatus {
    pub member: Member,
    /// Stores every change.
    pub is_member: bool,
    /// Votes on the next view.
    pub is_voter: bool,
    /// None: it counts.
    pub ineligibility: Option<Ineligibility>,
}

/// How the view stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ViewStatus {
    pub number: ViewNumber,
    /// Changes are taken in it.
    pub active: bool,
    pub replicas: Vec<ReplicaStatus>,
    /// So many disks more may be lost for good, at once and now, with nothing acknowledged lost and no order of an
    /// operator needed to go on.
    pub remaining_fault_tolerance: usize,
}

/// Why a view is not forced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ForceViewError {
    #[error("a majority of the voters is heard: the view changes by itself")]
    MajorityReachable,
    #[error("{0} is named as lost, and is heard")]
    LostMemberReachable(SocketAddrV4),
    #[error("{0} votes, is not heard, and is not named as lost")]
    UnreachableNotNamed(SocketAddrV4),
    #[error("{0} knows more: force the view there")]
    PeerMoreRecent(SocketAddrV4),
    #[error("this controller was never in a view, or has lost its disk")]
    NoState,
    #[error("the disk of this controller is not well")]
    DiskUnhealthy,
    #[error("this controller has not listened for long enough yet")]
    StillListening,
    #[error("no numbers are left for another forced view")]
    ViewNumbersExhausted,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Send {
        to: SocketAddrV4,
        message: Message,
    },
    /// Write and sync, then call `stored`. Only one is out at a time, except after a failure.
    Persist {
        write_id: WriteId,
        state: PersistentState,
    },
    /// In force, in one order, on every member; also once after a start, when the view is in force.
    Deliver {
        view: ViewNumber,
        revision: Revision,
        state: Arc<[u8]>,
    },
    /// On disk with every member of its view: nothing within the losses to be borne can undo it.
    Committed {
        change_id: u64,
        revision: Revision,
    },
    /// Certainly not taken, now or later. A proposal that gets neither word is not known yet.
    Rejected {
        change_id: u64,
    },
    /// This member is in the view, and the view is in force.
    ViewActivated {
        view: View,
    },
    /// This member is in no view any more; it asks to be let in again by itself.
    ViewLeft,
    /// The disk was an older copy of itself, or a forced view has closed it out: this member goes on as a new one
    /// with an empty disk, and asks to be let in.
    IdentityReplaced {
        previous: MemberId,
        current: MemberId,
    },
    /// A majority of the voters stood in the view, not stopped, after the inquiry was made, and all that was taken
    /// before it has been delivered here.
    ReadIndexConfirmed {
        read_index: ReadIndexId,
    },
    /// Call `next` again after this long at the latest.
    Wake {
        after: Nanos,
    },
}

/// Breaks planted for the checkers, which must find each one.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededBug {
    /// An empty disk at a member's address votes for it.
    EmptyDiskVotes,
    /// Words leave before what they vouch for is on disk.
    SendBeforePersist,
    /// The sequencer's own disk is enough.
    CommitOnOneDisk,
    /// What others may have chosen is not taken over.
    ForgetAcceptedView,
    /// A sequencer goes on after a restart as if it had sent nothing.
    LeadAgainAfterRestart,
    /// An older copy of a disk is taken for the disk.
    OutdatedDiskVotes,
    /// An older copy gives itself up as soon as it hears that it is one.
    ResetOnFirstConflict,
    /// One that joins counts before it has what the view begins with.
    JoinerCountsWithoutState,
    /// Where a view began is guessed when it is not remembered any more.
    GuessForgottenViewStart,
    /// A forced view has the next number, and closes nobody out.
    UnfencedForcedView,
    /// An inquiry is confirmed by the member's own state.
    ReadIndexWithoutQuorum,
    /// One that has stopped confirms the view all the same.
    ReadIndexDuringViewChange,
    /// An inquiry doesn't wait for what is stored here and not yet known as taken.
    ReadIndexIgnoresPendingChange,
    /// An inquiry doesn't wait for what the view began with.
    ReadIndexBelowViewStart,
}
