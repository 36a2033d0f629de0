//! Faults put into the protocol on purpose, one per run and only in tests, to check that the checkers detect them.

/// Bug that a test seeds and a checker must detect.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededBug {
    /// A majority of the founders suffices to choose the first view, instead of the founding quorum.
    FoundByMajority,
    /// An empty disk at a member's address votes in place of that member.
    EmptyDiskVotes,
    /// Messages are sent before the state that they acknowledge is durable.
    SendBeforePersist,
    /// The leader commits a change once it is on its own disk only.
    CommitOnOneDisk,
    /// A proposer ignores a next view that the voters accepted earlier and may have chosen.
    ForgetAcceptedView,
    /// A leader leads the same view again after a restart, although changes that it sent may not be on its disk.
    LeadAgainAfterRestart,
    /// A replica doesn't verify at its start that its disk is the newest copy.
    OutdatedDiskVotes,
    /// A replica resets its outdated disk at once, without waiting for a view that is active without it.
    ResetOnFirstConflict,
    /// A joining member is counted before it has stored the view's first state.
    JoinerCountsWithoutState,
    /// A change is reported as rejected when the start of the view after it has been discarded.
    GuessForgottenViewStart,
    /// A forced view has the next view number, and excludes no replica.
    UnfencedForcedView,
    /// A read index is confirmed without asking the other voters.
    ReadIndexWithoutQuorum,
    /// A voter confirms the view although it has prepared the next one.
    ReadIndexDuringViewChange,
    /// A read index doesn't wait for a change that is stored here and not yet known to be committed.
    ReadIndexIgnoresPendingChange,
    /// A read index doesn't wait for the view's first state.
    ReadIndexBelowViewStart,
}
