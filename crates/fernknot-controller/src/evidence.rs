//! Evidence for replies about the state of the whole system.
//!
//! A reply that asserts something about the whole system, beyond this controller, requires a [`QuorumEvidence`]. Only
//! this module creates one: from an action of the consensus member, from the committed history, or from the reply of
//! a controller that had evidence itself. Replies that assert nothing beyond this controller need none: a 503, an
//! error in the request, the acknowledgement of a plain heartbeat.

use crate::control_state::ControlState;
use fernknot_consensus::Action as ConsensusAction;

/// Reason why a statement holds beyond this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumEvidence(EvidenceKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EvidenceKind {
    /// The leader's own change is stored on the disks of all members.
    StoredByAllMembers,
    /// The change is in the history delivered to this controller; commits are final.
    InHistory,
    /// A majority of the voters confirmed the view after the call arrived.
    ConfirmedByMajority,
    /// Another controller replied, which had evidence of its own.
    ReportedByPeer,
    /// No evidence: a seeded bug replies without asking a majority.
    SeededBug,
}

impl QuorumEvidence {
    /// Returns the evidence that an action of the consensus member gives, if any.
    pub(crate) fn from_consensus(action: &ConsensusAction) -> Option<QuorumEvidence> {
        match action {
            ConsensusAction::Committed { .. } => Some(QuorumEvidence(EvidenceKind::StoredByAllMembers)),
            ConsensusAction::ReadIndexConfirmed { .. } => {
                Some(QuorumEvidence(EvidenceKind::ConfirmedByMajority))
            }
            _ => None,
        }
    }

    /// Returns evidence if the delivered history lists this configuration with this epoch.
    pub(crate) fn from_history(control: &ControlState, epoch: u64, digest: u64) -> Option<QuorumEvidence> {
        control.has_committed(epoch, digest).then_some(QuorumEvidence(EvidenceKind::InHistory))
    }

    /// Returns the evidence of a reply to a forwarded call; the other controller sends such a reply only with
    /// evidence of its own.
    pub(crate) fn from_peer() -> QuorumEvidence {
        QuorumEvidence(EvidenceKind::ReportedByPeer)
    }

    /// Returns evidence without any basis, for a seeded bug that the checkers must find.
    pub(crate) fn from_seeded_bug() -> QuorumEvidence {
        QuorumEvidence(EvidenceKind::SeededBug)
    }
}
