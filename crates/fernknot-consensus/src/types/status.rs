//! Status of the view, for operators and metrics.

use super::member::Member;
use super::view::ViewNumber;

/// Reason for which a replica is currently not counted in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ineligibility {
    /// No heartbeat was received from it for `suspicion_timeout`, or it receives none from this one.
    Unreachable,
    /// A replica with another disk id was heard from at its address since its own last heartbeat, or is this one.
    Replaced,
    /// Its disk hangs or rejects writes, by its own report.
    DiskUnhealthy,
    /// The replica did not store a state that it was sent, for two suspicion time-outs if it was a change or for one
    /// if it was to join; it is left out of views for two suspicion time-outs after that.
    SlowDisk,
    /// The replica started from a disk and has not verified that the disk is the newest copy.
    Recovering,
    /// The replica started from a disk that is an older copy of itself, or whose writes fail or hang while the
    /// replica verifies it.
    OutdatedDisk,
    /// The replica has not yet stored the view's first state, or could join and is not a member yet.
    CatchingUp,
    /// The replica is reachable from this one, but not from all members of the view.
    PartiallyConnected,
}

/// Status of a replica that votes in the view or asks to join.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaStatus {
    /// Id, address and zone of the replica, as the view or its own heartbeat names them.
    pub member: Member,
    /// Whether it is a member of the view, which stores every change.
    pub is_member: bool,
    /// Whether it votes on the next view, as a member or as a dropped one that kept its vote.
    pub is_voter: bool,
    /// Reason for which it is not counted; `None` if it is.
    pub ineligibility: Option<Ineligibility>,
}

/// The state of the view, as one replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ViewStatus {
    /// Number of the last view known to be chosen; 0 before the founding.
    pub number: ViewNumber,
    /// Whether the view is active here: this replica is a member, knows that changes can be committed in the view,
    /// and has not prepared a change of it.
    pub active: bool,
    /// The voters, followed by the replicas that ask to join.
    pub replicas: Vec<ReplicaStatus>,
    /// Number of further disks that may now be lost at once, without losing an acknowledged change and without needing
    /// an operator to continue.
    pub remaining_fault_tolerance: usize,
}
