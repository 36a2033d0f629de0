//! What an answer stands on. Whatever says that something is so in the whole system, and not only here, is built
//! with a [`Ground`], and a ground is made here alone: from the views' own orders, from a history that can't be
//! undone, or from the word of a controller that had one. What stands on nobody says so by having none: 503, a fault
//! of the body itself, a plain beat.

use crate::control::ControlState;
use fernknot_consensus::Action as ViewOrder;

/// The reason why an answer holds beyond this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumEvidence(EvidenceKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EvidenceKind {
    /// The sequencer's own change lies on the disks of all members.
    StoredByAllMembers,
    /// It was taken earlier, as the history delivered here says; what is taken stays so for ever.
    InHistory,
    /// A majority of the voters stood in the view after the call came.
    ConfirmedByMajority,
    /// Another controller had one of these.
    ReportedByPeer,
    /// A break planted for the checkers.
    SeededBug,
}

impl QuorumEvidence {
    /// That of an order of the views, where it has one.
    pub fn from_consensus(order: &ViewOrder) -> Option<QuorumEvidence> {
        match order {
            ViewOrder::Committed { .. } => Some(QuorumEvidence(EvidenceKind::StoredByAllMembers)),
            ViewOrder::ReadIndexConfirmed { .. } => Some(QuorumEvidence(EvidenceKind::ConfirmedByMajority)),
            _ => None,
        }
    }

    /// The delivered history names this very configuration under this number.
    pub fn from_history(control: &ControlState, epoch: u64, digest: u64) -> Option<QuorumEvidence> {
        control.has_committed(epoch, digest).then_some(QuorumEvidence(EvidenceKind::InHistory))
    }

    /// The word of the controller to which a call was handed; it can't say so without a ground of its own.
    pub fn from_peer() -> QuorumEvidence {
        QuorumEvidence(EvidenceKind::ReportedByPeer)
    }

    #[doc(hidden)]
    pub fn from_seeded_bug() -> QuorumEvidence {
        QuorumEvidence(EvidenceKind::SeededBug)
    }
}
