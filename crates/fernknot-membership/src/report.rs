//! The view as operators see it.

use crate::cause::Cause;
use crate::identity::{Incarnation, RouterId};
use crate::link::LinkState;
use crate::member::Member;
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;
use std::fmt;

/// A router's status as operators see it: no rounds, and routers never heard of apart.
///
/// Its [`Display`](fmt::Display) form is the one of logs and of the operator's view
/// (`docs/operating-router.md`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedStatus {
    /// Configured, and never heard of.
    Unheard,
    /// Live.
    Alive,
    /// Suspected of having failed.
    Suspected,
    /// Confirmed as failed.
    Failed,
    /// It announced its own shutdown.
    Left,
}

impl From<VersionedStatus> for ReportedStatus {
    fn from(state: VersionedStatus) -> ReportedStatus {
        match state.status {
            Status::Alive if !state.is_known() => ReportedStatus::Unheard,
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
            ReportedStatus::Unheard => "unheard",
            ReportedStatus::Alive => "alive",
            ReportedStatus::Suspected => "doubted",
            ReportedStatus::Failed => "lost",
            ReportedStatus::Left => "left",
        })
    }
}

/// One other router as the local one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// The router.
    pub id: RouterId,
    /// Its status.
    pub status: ReportedStatus,
    /// The incarnation that the status is about.
    pub incarnation: Incarnation,
    /// How long the status has been so, as known here.
    pub age: Nanos,
    /// The link to it.
    pub link: LinkState,
    /// Why it has this status.
    pub cause: Cause,
    /// How often it was confirmed as failed or came back from that.
    pub failure_changes: u32,
}

impl MemberReport {
    pub(crate) fn new(member: &Member, now: Nanos) -> MemberReport {
        MemberReport {
            id: member.id,
            status: member.state.into(),
            incarnation: member.state.incarnation,
            age: now - member.cause.at,
            link: member.link(),
            cause: member.cause,
            failure_changes: member.failure_changes,
        }
    }
}
