//! What the host is to do, or to record.

use crate::cause::Cause;
use crate::identity::{Incarnation, RouterId};
use crate::report::ReportedStatus;

/// What the host is to do, or to record.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram. It may get lost.
    Send {
        /// The router to send it to.
        to: RouterId,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The status of a router has changed.
    StatusChanged {
        /// The router whose status it is.
        member: RouterId,
        /// The status before.
        from: ReportedStatus,
        /// The status now.
        to: ReportedStatus,
        /// The incarnation that the new status is about.
        incarnation: Incarnation,
        /// Why it changed.
        cause: Cause,
    },
    /// Another process uses the local router's name; the one that started later gives way.
    DuplicateName {
        /// The router that uses the name as well.
        other: RouterId,
        /// Whether the local router gives way: it announces that it leaves.
        yields: bool,
    },
    /// The local router refutes a suspicion or failure of itself by a higher incarnation.
    Refuted {
        /// The router that reported it.
        accuser: RouterId,
        /// The new incarnation.
        incarnation: Incarnation,
    },
}
