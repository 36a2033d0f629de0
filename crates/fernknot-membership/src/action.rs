//! Actions that the protocol returns to its host.

use crate::cause::Cause;
use crate::identity::{Incarnation, RouterId};
use crate::report::ReportedStatus;

/// Action for the host: a datagram to send, or an event to record.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a datagram, which the network may lose.
    Send {
        /// Destination router.
        to: RouterId,
        /// Encoded [`Message`](crate::Message).
        bytes: Vec<u8>,
    },
    /// Reports a change of another router's status.
    StatusChanged {
        /// Router whose status changed.
        member: RouterId,
        /// Status before the change.
        from: ReportedStatus,
        /// Status after the change.
        to: ReportedStatus,
        /// Incarnation that the new status refers to.
        incarnation: Incarnation,
        /// Reporter and evidence of the change.
        cause: Cause,
    },
    /// Reports another process that uses the local router's name; the one that started later leaves.
    DuplicateName {
        /// Router that uses the same name.
        other: RouterId,
        /// Whether the local router is the one that leaves.
        yields: bool,
    },
    /// Reports that the local router refuted a suspicion or failure of itself with a higher incarnation.
    Refuted {
        /// Router that reported the suspicion or failure.
        accuser: RouterId,
        /// Incarnation of the refutation.
        incarnation: Incarnation,
    },
}
