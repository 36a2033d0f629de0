//! What a replica stores on its disk, and how far a disk has come.

use std::sync::Arc;

use bitcode::{Decode, Encode};

use super::member::MemberId;
use super::view::{ChosenView, Revision, ViewNumber};

/// The number of an attempt to change the view: a Paxos proposal number. The higher term wins; ids order equal terms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalNumber {
    /// Higher than any that the proposer knows of.
    pub term: u64,
    /// The member that makes the attempt.
    pub proposer: MemberId,
}

/// A next view that this member has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AcceptedView {
    /// The number under which it was accepted.
    pub proposal: ProposalNumber,
    /// The next view.
    pub next: ChosenView,
    /// The revision that the next view begins with.
    pub revision: Revision,
    /// The state at `revision`; absent where it is the newest state that the member stores anyway.
    pub state: Option<Arc<[u8]>>,
}

/// A proposal number and the view to whose change it belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalInView {
    /// The view that is to be changed.
    pub view: ViewNumber,
    /// The attempt.
    pub proposal: ProposalNumber,
}

/// How new a stored state is: first by its view, then by its revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StatePosition {
    /// The view that the state belongs to.
    pub view: ViewNumber,
    /// Its place in the total order.
    pub revision: Revision,
}

/// How far a disk has come. Each part only rises as long as it is the same disk, so a disk that falls short of what
/// others heard of it is outdated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DurableProgress {
    /// The highest proposal number that it prepared.
    pub prepared: ProposalInView,
    /// The proposal number under which it accepted a next view.
    pub accepted: ProposalInView,
    /// The newest state.
    pub state: StatePosition,
}

impl DurableProgress {
    /// The later of both, part by part.
    #[must_use]
    pub fn merge(self, other: DurableProgress) -> DurableProgress {
        DurableProgress {
            prepared: self.prepared.max(other.prepared),
            accepted: self.accepted.max(other.accepted),
            state: self.state.max(other.state),
        }
    }

    /// Whether nothing of the other is missing here.
    #[must_use]
    pub fn covers(self, other: DurableProgress) -> bool {
        self.merge(other) == self
    }
}

/// How far another member's disk had come, at least.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct KnownProgress {
    /// The member.
    pub member: MemberId,
    /// The progress of its disk.
    pub progress: DurableProgress,
}

/// All that a replica stores on disk. The host writes it as a whole and returns it at the next start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PersistentState {
    /// The incarnation of the disk that this was written by.
    pub member_id: MemberId,
    /// The last view known to be chosen.
    pub chosen: ChosenView,
    /// No lower proposal counts any more for the change of `chosen`. The default: no attempt was prepared.
    pub prepared: ProposalNumber,
    /// The next view that this replica accepted last.
    pub accepted: Option<AcceptedView>,
    /// The view that `revision` and `state` belong to; below `chosen`, they only serve as memory.
    pub state_view: ViewNumber,
    /// The newest revision.
    pub revision: Revision,
    /// The state at `revision`.
    pub state: Arc<[u8]>,
    /// How far the voters' disks had come when this was written, as far as was known.
    pub known_progress: Vec<KnownProgress>,
}

impl PersistentState {
    /// An empty disk.
    pub(crate) fn empty(member_id: MemberId) -> PersistentState {
        PersistentState {
            member_id,
            chosen: ChosenView::default(),
            prepared: ProposalNumber::default(),
            accepted: None,
            state_view: ViewNumber(0),
            revision: Revision(0),
            state: Arc::from([]),
            known_progress: Vec::new(),
        }
    }

    /// Everything that a replica with this on its disk may have vouched for.
    #[must_use]
    pub fn progress(&self) -> DurableProgress {
        let view = self.chosen.view.number;
        let accepted = self.accepted.as_ref().map_or(ProposalNumber::default(), |accepted| accepted.proposal);
        DurableProgress {
            prepared: ProposalInView { view, proposal: self.prepared },
            accepted: ProposalInView { view, proposal: accepted },
            state: self.state_position(),
        }
    }

    /// How new the stored state is.
    pub(crate) fn state_position(&self) -> StatePosition {
        StatePosition { view: self.state_view, revision: self.revision }
    }
}
