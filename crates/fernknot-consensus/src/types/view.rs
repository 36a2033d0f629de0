//! Views and the total order of states. A view is a configuration in the sense of Viewstamped Replication Revisited
//! (Liskov and Cowling, 2012, section 7): changing the view may change the members.

use bitcode::{Decode, Encode};

use super::member::{Member, MemberId};

/// Maximum number of members of a view; larger views in received messages are rejected.
pub(crate) const MAX_MEMBERS: usize = 9;
/// Maximum number of view starts that a chosen view carries.
pub(crate) const MAX_VIEW_STARTS: usize = 32;

/// Number of views per era; a forced view begins a new era. View numbers stay below 2^32, because a fencing token
/// carries them in 32 bits.
pub(crate) const VIEWS_PER_ERA: u64 = 1 << 26;

/// The number of a view; 0 stands for the founders before there is any view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// Returns the number that a regular view change assigns to the next view.
    pub(crate) fn next(self) -> ViewNumber {
        ViewNumber(self.0.saturating_add(1))
    }

    /// Returns the era: the number of times that a view was forced up to this one.
    pub(crate) fn era(self) -> u64 {
        self.0 / VIEWS_PER_ERA
    }
}

/// The position of a state in the total order; 0 is the empty state that view 1 begins with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision of the next change.
    pub(crate) fn next(self) -> Revision {
        Revision(self.0.saturating_add(1))
    }

    /// Returns the revision before this one, or 0 for 0.
    pub(crate) fn previous(self) -> Revision {
        Revision(self.0.saturating_sub(1))
    }
}

/// The replicas that store every change. The first member is the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct View {
    /// View number, increased by one with each regular view change.
    pub number: ViewNumber,
    /// Replicas that store every change and vote on the next view.
    pub members: Vec<Member>,
    /// Dropped members that still vote on the next view, kept only while the members are fewer than
    /// `2 * fault_tolerance + 1`. They store no changes.
    pub former_voters: Vec<Member>,
}

impl View {
    /// Returns the replicas that vote on the next view, members first.
    pub(crate) fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().chain(&self.former_voters)
    }

    /// Whether both are the same replica. View 0 identifies replicas by address, later views by the incarnation of the
    /// disk.
    pub(crate) fn is_same_replica(&self, one: &Member, other: &Member) -> bool {
        if self.number == ViewNumber(0) { one.addr == other.addr } else { one.id == other.id }
    }

    /// Whether the replica stores the changes of this view.
    pub(crate) fn is_member(&self, replica: &Member) -> bool {
        self.members.iter().any(|member| self.is_same_replica(member, replica))
    }

    /// Whether the id is that of a member.
    pub(crate) fn has_member_id(&self, id: MemberId) -> bool {
        self.members.iter().any(|member| member.id == id)
    }

    /// Whether the id is that of a voter.
    pub(crate) fn has_voter_id(&self, id: MemberId) -> bool {
        self.voters().any(|voter| voter.id == id)
    }

    /// Returns the position of the replica among the voters.
    pub(crate) fn voter_index(&self, replica: &Member) -> Option<usize> {
        self.voters().position(|voter| self.is_same_replica(voter, replica))
    }

    /// Whether this number of votes is more than half of the voters.
    pub(crate) fn is_majority(&self, votes: usize) -> bool {
        votes > self.voters().count() / 2
    }

    /// Returns the number of founders needed to choose the first view. Any two such sets share more disks than may be
    /// lost, so among the voters of a second founding there is one that still has the first on disk.
    pub(crate) fn founding_quorum(&self, fault_tolerance: usize) -> usize {
        let founders = self.members.len();
        (founders.saturating_add(fault_tolerance) / 2 + 1).min(founders)
    }
}

/// Beginning of a view, as a revision: changes of the view have higher ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ViewStart {
    /// The view that began.
    pub view: ViewNumber,
    /// The revision of the state that it began with.
    pub revision: Revision,
}

/// A view that is known to be chosen, and the revisions at which the last views began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ChosenView {
    /// The view that was chosen.
    pub view: View,
    /// Starts of the last views, oldest first, including this view's. A change of an earlier view with a revision above
    /// the start of the next view was never committed.
    pub view_starts: Vec<ViewStart>,
}

impl ChosenView {
    /// Returns the revision at which this view began.
    pub(crate) fn start(&self) -> Revision {
        self.view_starts.last().map_or(Revision(0), |start| start.revision)
    }

    /// Returns the starts of the last views with one more, dropping the oldest beyond [`MAX_VIEW_STARTS`].
    pub(crate) fn view_starts_with(&self, start: ViewStart) -> Vec<ViewStart> {
        let mut view_starts = self.view_starts.clone();
        view_starts.push(start);
        if view_starts.len() > MAX_VIEW_STARTS {
            view_starts.remove(0);
        }
        view_starts
    }
}
