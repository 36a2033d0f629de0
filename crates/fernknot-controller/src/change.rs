//! One change of the routing configuration: who asked for it, how far it is, and what the control state says of it.

use crate::action::PendingCall;
use crate::calls::ChangeOutcome;
use crate::control_state::ControlState;
use crate::evidence::QuorumEvidence;
use fernknot::interface::Nanos;
use std::net::SocketAddrV4;

/// The reason given for a change whose epoch lies beyond the history.
const BEYOND_HISTORY_REASON: &str = "older than all versions that are remembered; read the newest one";

/// Who waits for the outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// The operator who called this controller.
    Caller(PendingCall),
    /// Another controller that forwarded the call, by its internal address and its identifier of the call.
    Peer(SocketAddrV4, ForwardedCallId),
}

/// A controller's identifier of a call that it forwards to the leader. The incarnation guards against the outcome of a
/// call that an earlier incarnation at the same address forwarded under the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedCallId {
    /// The incarnation of the controller that was called.
    pub incarnation: u64,
    /// Its number for the change.
    pub call: u64,
}

/// How far a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStage {
    /// No leader is known, or another change goes before it.
    Queued,
    /// Forwarded to the leader at this address.
    Forwarded(SocketAddrV4),
    /// Proposed by this controller, under this number.
    Proposed(u64),
    /// The local state speaks against it; a majority is asked whether that state is the newest.
    AwaitingQuorum,
}

/// One pending change.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Its number here, never used again in this incarnation.
    pub id: u64,
    /// Who waits for the outcome.
    pub origin: RequestOrigin,
    /// The epoch that must be in force for the change to be accepted.
    pub base_epoch: u64,
    /// The operator's number of the configuration.
    pub epoch: u64,
    /// A hash of the configuration by its value.
    pub digest: u64,
    /// The configuration as the operator sent it.
    pub body: Vec<u8>,
    /// When its origin is sent that the outcome is unknown.
    pub deadline: Nanos,
    /// It isn't tried again before this.
    pub not_before: Nanos,
    /// How far it is.
    pub stage: ChangeStage,
}

impl ConfigChange {
    /// Queues it again, to be tried no earlier than `not_before`.
    pub fn requeue(&mut self, not_before: Nanos) {
        self.stage = ChangeStage::Queued;
        self.not_before = not_before;
    }
}

/// What the control state that is in force here says of a change.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangeAssessment {
    /// Committed earlier.
    AlreadyCommitted(QuorumEvidence),
    /// It may be proposed.
    Propose,
    /// Another version is in force than the one it builds on: to be said only once a majority has confirmed that.
    VersionConflict(String),
    /// Its epoch is not above the one in force: to be said only once a majority has confirmed that.
    StaleEpoch(String),
    /// It may have been committed so long ago that it is no longer remembered.
    BeyondHistory,
}

/// Assesses a change by the state in force alone, so that every leader decides alike.
///
/// `rejects_forgotten` is a seeded bug: what is no longer remembered is rejected.
pub fn assess_change(
    control: &ControlState,
    change: &ConfigChange,
    rejects_forgotten: bool,
) -> ChangeAssessment {
    if let Some(evidence) = QuorumEvidence::from_history(control, change.epoch, change.digest) {
        return ChangeAssessment::AlreadyCommitted(evidence);
    }
    // Epoch 0 is below all that were ever committed, remembered or not.
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
    /// The outcome that the assessment stands for, on this evidence. None where the change is to be proposed.
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
