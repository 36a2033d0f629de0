//! What a replica reports of its view to operators and metrics.

use super::member::Member;
use super::view::ViewNumber;

/// Why a replica does not count in the view now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ineligibility {
    /// No heartbeat was received from it for `suspicion_timeout`, or it receives none from this one.
    Unreachable,
    /// Another incarnation of a disk is at its address.
    Replaced,
    /// Its disk hangs or rejects writes, by its own report.
    DiskUnhealthy,
    /// It did not store in time what it was sent.
    SlowDisk,
    /// It started from a disk, and doesn't know yet whether the disk is outdated.
    Recovering,
    /// Its disk is an older copy of itself, or unhealthy.
    OutdatedDisk,
    /// It has not yet stored what the view began with.
    CatchingUp,
    /// It is reachable from here, but not from all in the view.
    PartiallyConnected,
}

/// A replica in the view or beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaStatus {
    /// The replica.
    pub member: Member,
    /// Stores every change.
    pub is_member: bool,
    /// Votes on the next view.
    pub is_voter: bool,
    /// `None`: it counts.
    pub ineligibility: Option<Ineligibility>,
}

/// The state of the view, as one replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ViewStatus {
    /// The last view known to be chosen.
    pub number: ViewNumber,
    /// Changes are accepted in it.
    pub active: bool,
    /// The voters, and those who ask to join.
    pub replicas: Vec<ReplicaStatus>,
    /// So many more disks may be lost for good, at once and now, with nothing acknowledged lost and no operator needed
    /// to continue.
    pub remaining_fault_tolerance: usize,
}
