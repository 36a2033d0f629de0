//! Pending read indexes of one replica, and the confirmations of the voters.

use std::collections::BTreeMap;

use crate::types::{MemberId, ReadIndexId, Revision, View, ViewNumber};

/// Maximum number of pending read indexes.
const MAX_PENDING: usize = 256;

/// A read index that is not confirmed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingReadIndex {
    pub id: ReadIndexId,
    /// Sequence number of the request. Responses to it or to a later one were sent after the read index was requested;
    /// earlier ones don't count.
    pub sequence: u64,
    /// Revision that this replica had stored when the read index was requested. All that was committed by then is at or
    /// below it.
    pub min_revision: Revision,
}

/// Newest request that a voter has confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Confirmation {
    view: ViewNumber,
    sequence: u64,
}

/// Read indexes of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReadIndexes {
    /// The newest sequence number.
    pub sequence: u64,
    pending: Vec<PendingReadIndex>,
    confirmations: BTreeMap<MemberId, Confirmation>,
}

impl ReadIndexes {
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING
    }

    /// Adds a read index under a new sequence number.
    pub fn add(&mut self, id: ReadIndexId, min_revision: Revision) {
        self.sequence += 1;
        self.pending.push(PendingReadIndex { id, sequence: self.sequence, min_revision });
    }

    pub fn cancel(&mut self, id: ReadIndexId) {
        self.pending.retain(|pending| pending.id != id);
    }

    /// Records that a voter has confirmed the view, in response to this sequence number.
    pub fn confirm(&mut self, voter: MemberId, view: ViewNumber, sequence: u64) {
        let confirmation = self.confirmations.entry(voter).or_default();
        *confirmation = (*confirmation).max(Confirmation { view, sequence });
    }

    /// Whether the voter has confirmed the newest sequence number in this view.
    pub fn has_confirmed_newest(&self, voter: MemberId, view: ViewNumber) -> bool {
        self.confirmations.get(&voter) == Some(&Confirmation { view, sequence: self.sequence })
    }

    /// Returns the newest sequence number that more than half of the voters have confirmed in this view. `me` counts as
    /// having confirmed each.
    pub fn confirmed_by_majority(&self, view: &View, me: MemberId) -> u64 {
        let confirmed = |voter: MemberId| match self.confirmations.get(&voter) {
            _ if voter == me => self.sequence,
            Some(confirmation) if confirmation.view == view.number => confirmation.sequence,
            _ => 0,
        };
        let mut sequences: Vec<u64> = view.voters().map(|voter| confirmed(voter.id)).collect();
        sequences.sort_unstable_by(|a, b| b.cmp(a));
        // In descending order, the element at half of the length is reached by more than half of the voters.
        sequences.get(sequences.len() / 2).copied().unwrap_or(0)
    }

    /// Removes and returns the read indexes that are confirmed by this sequence number and whose revision is delivered.
    pub fn take_confirmed(&mut self, sequence: u64, delivered: Revision) -> Vec<PendingReadIndex> {
        let is_confirmed =
            |pending: &PendingReadIndex| pending.sequence <= sequence && pending.min_revision <= delivered;
        let (confirmed, pending) =
            self.pending.iter().copied().partition::<Vec<PendingReadIndex>, _>(is_confirmed);
        self.pending = pending;
        confirmed
    }

    /// Prepares for a new view: drops the confirmations of the last one, and lowers the revisions to be delivered to
    /// the start of the new view, since all that was committed before is at or below it.
    pub fn reset_for_view(&mut self, view_start: Revision) {
        self.confirmations.clear();
        for pending in &mut self.pending {
            pending.min_revision = pending.min_revision.min(view_start);
        }
    }
}
