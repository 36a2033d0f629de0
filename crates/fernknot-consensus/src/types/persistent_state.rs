//! State that a replica stores on its disk, and the progress of a disk.

use std::sync::Arc;

use bitcode::{Decode, Encode};

use super::member::MemberId;
use super::view::{ChosenView, Revision, ViewNumber};

/// Number of an attempt to change the view: a Paxos proposal number, ordered by term and then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalNumber {
    /// Term, higher than any that the proposer had seen.
    pub term: u64,
    /// The member that makes the attempt.
    pub proposer: MemberId,
}

/// A next view that this member has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AcceptedView {
    /// The number under which it was accepted.
    pub proposal: ProposalNumber,
    /// The accepted next view, with the starts of the views before it.
    pub next: ChosenView,
    /// The revision of the next view's first state.
    pub revision: Revision,
    /// The state at `revision`; absent if it is the newest state, which the member stores in any case.
    pub state: Option<Arc<[u8]>>,
}

/// A proposal number and the view whose change it belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalInView {
    /// The view to be changed.
    pub view: ViewNumber,
    /// The number of the attempt.
    pub proposal: ProposalNumber,
}

/// Position of a stored state, ordered by view and then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StatePosition {
    /// The view that the state belongs to.
    pub view: ViewNumber,
    /// Its position in the total order.
    pub revision: Revision,
}

/// Progress of a disk. No field ever decreases on the same incarnation of a disk, so a disk that is behind what others
/// know of it is an outdated copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DurableProgress {
    /// The highest proposal number that it prepared.
    pub prepared: ProposalInView,
    /// The highest proposal number under which it accepted a next view.
    pub accepted: ProposalInView,
    /// Position of the newest state that it stores.
    pub state: StatePosition,
}

impl DurableProgress {
    /// Returns the maximum of both, field by field.
    #[must_use]
    pub fn merge(self, other: DurableProgress) -> DurableProgress {
        DurableProgress {
            prepared: self.prepared.max(other.prepared),
            accepted: self.accepted.max(other.accepted),
            state: self.state.max(other.state),
        }
    }

    /// Whether this progress is at least `other` in every field.
    #[must_use]
    pub fn covers(self, other: DurableProgress) -> bool {
        self.merge(other) == self
    }
}

/// Lower bound on the progress of another member's disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct KnownProgress {
    /// Id of the member, and so of the disk that the progress is about.
    pub member: MemberId,
    /// Progress that the member's disk has at least made, unless it lost writes.
    pub progress: DurableProgress,
}

/// Everything that a replica stores on disk. The host writes it atomically and returns it at the next start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PersistentState {
    /// Id of the replica that wrote this; the content is ignored at a start under another id.
    pub member_id: MemberId,
    /// The last view known to be chosen.
    pub chosen: ChosenView,
    /// The number prepared for the change of `chosen`; lower ones are rejected. The default if none was prepared.
    pub prepared: ProposalNumber,
    /// The next view that this replica accepted last, if any.
    pub accepted: Option<AcceptedView>,
    /// The view that `revision` and `state` belong to. If it is older than `chosen`, this replica lacks the state of
    /// `chosen`; the older one then only shows its progress, and may be the start of a forced view.
    pub state_view: ViewNumber,
    /// The revision of `state`.
    pub revision: Revision,
    /// Complete state at `revision`: the newest that this replica has stored, apart from that of an accepted next
    /// view.
    pub state: Arc<[u8]>,
    /// Progress of the voters' disks, as known to this replica when this was written.
    pub known_progress: Vec<KnownProgress>,
}

impl PersistentState {
    /// Returns the state of an empty disk.
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

    /// Returns the progress that a replica with this on its disk may have acknowledged to others.
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

    /// Returns the position of the stored state.
    pub(crate) fn state_position(&self) -> StatePosition {
        StatePosition { view: self.state_view, revision: self.revision }
    }
}
