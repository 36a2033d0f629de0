//! Errors of an operator's request.

use std::net::SocketAddrV4;

use thiserror::Error;

/// Reason for which a view is not forced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ForceViewError {
    /// A majority of the voters is reachable, so a regular view change is possible.
    #[error("a majority of the voters is heard; the view can change without being forced")]
    MajorityReachable,
    /// The replica at this address was named as lost, and is reachable.
    #[error("{0} is named as lost, but is heard")]
    LostMemberReachable(SocketAddrV4),
    /// The voter at this address is neither reachable nor named as lost.
    #[error("voter {0} is unreachable and not named as lost")]
    UnreachableNotNamed(SocketAddrV4),
    /// The replica at this address has a newer view or state: the view is to be forced there.
    #[error("{0} has a newer view or state; force the view there")]
    PeerMoreRecent(SocketAddrV4),
    /// This replica has no view: it never joined one, or has lost its disk.
    #[error("this controller has no view: it never joined one, or has lost its disk")]
    NoState,
    /// The disk of this replica hangs or rejects writes.
    #[error("the disk of this controller is unhealthy")]
    DiskUnhealthy,
    /// This replica has run for less than `suspicion_timeout` since its start or its last suspension, so it can't
    /// tell yet which peers are unreachable.
    #[error("this controller has not run long enough to tell which peers are unreachable; try again later")]
    StillListening,
    /// No view numbers are left for another era.
    #[error("no view numbers are left for another forced view")]
    ViewNumbersExhausted,
}
