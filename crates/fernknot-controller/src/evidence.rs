//! What a claim about the whole system rests on. A reply that says that something is so in the whole system, and not
//! only here, is built with a [`QuorumEvidence`], which only this module makes: from the consensus member's own
//! actions, from a history that can't be undone, or from the reply of a controller that had evidence itself. What
//! rests on nothing has none: a 503, a fault of the request itself, the acknowledgement of a plain heartbeat.

use crate::control_state::ControlState;
use fernknot_consensus::Action as ConsensusAction;

/// The reason why a claim holds beyond this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumEvidence(EvidenceKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EvidenceKind {
    /// The leader's own change lies on the disks of all members.
    StoredByAllMembers,
    /// It was committed earlier, as the history delivered here says; what is committed stays so for ever.
    InHistory,
    /// A majority of the voters stood in the view after the call came.
    ConfirmedByMajority,
    /// Another controller had evidence.
    ReportedByPeer,
    /// None: a seeded bug.
    SeededBug,
}

impl QuorumEvidence {
    /// The evidence that an action of the consensus member gives, if it gives any.
    pub(crate) fn from_consensus(action: &ConsensusAction) -> Option<QuorumEvidence> {
        match action {
            ConsensusAction::Committed { .. } => Some(QuorumEvidence(EvidenceKind::StoredByAllMembers)),
            ConsensusAction::ReadIndexConfirmed { .. } => {
                Some(QuorumEvidence(EvidenceKind::ConfirmedByMajority))
            }
            _ => None,
        }
    }

    /// The delivered history names this very configuration under this epoch.
    pub(crate) fn from_history(control: &ControlState, epoch: u64, digest: u64) -> Option<QuorumEvidence> {
        control.has_committed(epoch, digest).then_some(QuorumEvidence(EvidenceKind::InHistory))
    }

    /// The reply of the controller to which a call was forwarded; it can't reply so without evidence of its own.
    pub(crate) fn from_peer() -> QuorumEvidence {
        QuorumEvidence(EvidenceKind::ReportedByPeer)
    }

    /// A claim that rests on nothing, for the checkers to find.
    pub(crate) fn from_seeded_bug() -> QuorumEvidence {
        QuorumEvidence(EvidenceKind::SeededBug)
    }
}
