//! Membership view for operators.

use crate::cause::Cause;
use crate::identity::{Incarnation, RouterId};
use crate::link::LinkState;
use crate::member::Member;
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;
use std::fmt;

/// Router status in the operator's view: without suspicion rounds, and with a separate state for routers about which
/// nothing is known.
///
/// Its [`Display`](fmt::Display) form appears in logs and in the operator's view (`docs/operating-router.md`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedStatus {
    /// Configured, without any message from or about it so far.
    Unknown,
    /// Live and not suspected.
    Alive,
    /// Suspected of having failed.
    Suspected,
    /// Confirmed as failed.
    Failed,
    /// Left after announcing its own shutdown.
    Left,
}

impl From<VersionedStatus> for ReportedStatus {
    fn from(state: VersionedStatus) -> ReportedStatus {
        match state.status {
            Status::Alive if !state.is_known() => ReportedStatus::Unknown,
            Status::Alive => ReportedStatus::Alive,
            Status::Suspected { .. } => ReportedStatus::Suspected,
            Status::Failed => ReportedStatus::Failed,
            Status::Left => ReportedStatus::Left,
        }
    }
}

impl fmt::Display for ReportedStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ReportedStatus::Unknown => "unheard",
            ReportedStatus::Alive => "alive",
            ReportedStatus::Suspected => "doubted",
            ReportedStatus::Failed => "lost",
            ReportedStatus::Left => "left",
        })
    }
}

/// One other router in the local router's view.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// Identifier of the router.
    pub id: RouterId,
    /// Current status.
    pub status: ReportedStatus,
    /// Incarnation that the status refers to.
    pub incarnation: Incarnation,
    /// Time since the local router learned the status.
    pub age: Nanos,
    /// Link between the router and the local one.
    pub link: LinkState,
    /// Reporter and evidence of the status.
    pub cause: Cause,
    /// Number of times that the router was confirmed as failed or returned after that.
    pub failure_changes: u32,
}

impl MemberReport {
    pub(crate) fn new(member: &Member, now: Nanos) -> MemberReport {
        MemberReport {
            id: member.id,
            status: member.state.into(),
            incarnation: member.state.incarnation,
            age: now - member.cause.learned_at,
            link: member.link(),
            cause: member.cause,
            failure_changes: member.failure_changes,
        }
    }
}
