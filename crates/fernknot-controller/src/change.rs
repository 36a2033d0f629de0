//! One change of the routing configuration: its origin, its stage, and its assessment against the control state.

use crate::action::PendingCall;
use crate::calls::ChangeOutcome;
use crate::control_state::ControlState;
use crate::evidence::QuorumEvidence;
use fernknot::interface::Nanos;
use std::net::SocketAddrV4;

/// Reason in the reply to a change whose epoch is older than the history.
const BEYOND_HISTORY_REASON: &str = "older than all versions that are remembered; read the newest one";

/// Origin of a change, which receives the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// An operator that called this controller.
    Caller(PendingCall),
    /// Another controller that forwarded the call: its internal address and its identifier of the call.
    Peer(SocketAddrV4, ForwardedCallId),
}

/// A controller's identifier of a call that it forwards to the leader. Includes the incarnation, so that an outcome
/// meant for an earlier incarnation at the same address is not matched to a new call with the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedCallId {
    /// Incarnation of the controller that received the call.
    pub incarnation: u64,
    /// Number that the controller that received the call assigned to the change.
    pub call: u64,
}

/// Stage of a pending change: what happens to it next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStage {
    /// Waiting for a leader to be known, or for another change to finish.
    Queued,
    /// Forwarded to the leader at this address.
    Forwarded(SocketAddrV4),
    /// Proposed by this controller to its consensus member, with this number as the change's id.
    Proposed(u64),
    /// Waiting for a majority to confirm that the local state, which conflicts with the change, is the newest one.
    AwaitingQuorum,
}

/// Change of the routing configuration that has no outcome yet.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Number of the change at this controller, unique within this incarnation.
    pub id: u64,
    /// Recipient of the outcome.
    pub origin: RequestOrigin,
    /// Epoch that must be active for the change to be accepted.
    pub base_epoch: u64,
    /// Epoch of the new configuration, chosen by the operator.
    pub epoch: u64,
    /// Hash of the parsed configuration, independent of its formatting.
    pub digest: u64,
    /// Configuration as the operator sent it.
    pub body: Vec<u8>,
    /// Time at which the origin is sent an unknown outcome if there is no other by then.
    pub deadline: Nanos,
    /// Earliest time at which the queued change is assessed next, to be proposed, forwarded or finished.
    pub not_before: Nanos,
    /// Current stage of the change.
    pub stage: ChangeStage,
}

impl ConfigChange {
    /// Queues the change again, with the next attempt no earlier than `not_before`.
    pub fn requeue(&mut self, not_before: Nanos) {
        self.stage = ChangeStage::Queued;
        self.not_before = not_before;
    }
}

/// Result of comparing a change with the active control state.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangeAssessment {
    /// The history lists the change as committed; the call is a retry.
    AlreadyCommitted(QuorumEvidence),
    /// The change builds on the active version with a higher epoch, so it may be proposed.
    Propose,
    /// The change builds on a version other than the active one. May be replied only after a majority has confirmed
    /// the active version.
    VersionConflict(String),
    /// The epoch is not above the active one. May be replied only after a majority has confirmed the active version.
    StaleEpoch(String),
    /// The epoch is older than the history, so the change may have been committed.
    BeyondHistory,
}

/// Assesses a change using the active state alone, so that every leader decides alike.
///
/// `rejects_forgotten` is a seeded bug: changes older than the history are rejected.
pub fn assess_change(
    control: &ControlState,
    change: &ConfigChange,
    rejects_forgotten: bool,
) -> ChangeAssessment {
    if let Some(evidence) = QuorumEvidence::from_history(control, change.epoch, change.digest) {
        return ChangeAssessment::AlreadyCommitted(evidence);
    }
    // Epoch 0 is below every committed epoch, whether in the history or not.
    if (1..=control.newest_forgotten_epoch()).contains(&change.epoch) && !rejects_forgotten {
        return ChangeAssessment::BeyondHistory;
    }
    if change.base_epoch != control.epoch {
        return ChangeAssessment::VersionConflict(format!("version {} is in place", control.epoch));
    }
    if change.epoch <= control.epoch {
        return ChangeAssessment::StaleEpoch(format!("epoch: is not above {}", control.epoch));
    }
    ChangeAssessment::Propose
}

impl ChangeAssessment {
    /// Returns the outcome that follows from the assessment and this evidence, or None if the change is to be
    /// proposed.
    pub fn into_outcome(self, evidence: QuorumEvidence) -> Option<ChangeOutcome> {
        match self {
            ChangeAssessment::AlreadyCommitted(known) => Some(ChangeOutcome::Committed(known)),
            ChangeAssessment::Propose => None,
            ChangeAssessment::VersionConflict(reason) => {
                Some(ChangeOutcome::VersionConflict(reason, evidence))
            }
            ChangeAssessment::StaleEpoch(reason) => Some(ChangeOutcome::StaleEpoch(reason, evidence)),
            ChangeAssessment::BeyondHistory => Some(ChangeOutcome::Unknown(BEYOND_HISTORY_REASON)),
        }
    }
}
