//! Errors of an operator's request.

use std::net::SocketAddrV4;

use thiserror::Error;

/// Reason for which a view is not forced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ForceViewError {
    /// A majority of the voters is reachable, so a regular view change is possible.
    #[error("a majority of the voters is heard: the view changes by itself")]
    MajorityReachable,
    /// The replica at this address was named as lost, and is reachable.
    #[error("{0} is named as lost, and is heard")]
    LostMemberReachable(SocketAddrV4),
    /// The voter at this address is neither reachable nor named as lost.
    #[error("{0} votes, is not heard, and is not named as lost")]
    UnreachableNotNamed(SocketAddrV4),
    /// The replica at this address has a newer view or state: the view is to be forced there.
    #[error("{0} knows more: force the view there")]
    PeerMoreRecent(SocketAddrV4),
    /// This replica has no view: it never joined one, or has lost its disk.
    #[error("this controller was never in a view, or has lost its disk")]
    NoState,
    /// The disk of this replica hangs or rejects writes.
    #[error("the disk of this controller is not well")]
    DiskUnhealthy,
    /// This replica has run for less than `suspicion_timeout` since its start or its last suspension, so it can't
    /// tell yet which peers are unreachable.
    #[error("this controller has not listened for long enough yet")]
    StillListening,
    /// No view numbers are left for another era.
    #[error("no numbers are left for another forced view")]
    ViewNumbersExhausted,
}
