//! What must hold always, checked with every action that a replica gives.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fernknot_consensus::{ReadIndexId, Revision, View, ViewNumber};

use super::Cluster;

/// A read index that was requested.
#[derive(Clone, Copy, Debug)]
pub struct PendingRead {
    /// The machine that requested it.
    pub machine: usize,
    /// The newest revision that was acknowledged anywhere when it was requested.
    pub newest: Revision,
}

/// What was seen anywhere in the cluster.
#[derive(Debug, Default)]
pub struct Observed {
    /// The states that were proposed, by change id.
    pub proposals: BTreeMap<u64, Vec<u8>>,
    pub committed: BTreeMap<u64, Revision>,
    pub rejected: BTreeSet<u64>,
    /// What was delivered at each revision.
    pub states: BTreeMap<u64, Arc<[u8]>>,
    /// The views that were active.
    pub views: BTreeMap<u64, View>,
    pub pending_reads: BTreeMap<u64, PendingRead>,
    pub last_read_index: u64,
    pub confirmed_reads: u64,
    /// The first rule that was violated.
    pub violation: Option<String>,
}

impl Observed {
    pub fn newest_committed(&self) -> Option<Revision> {
        self.committed.values().copied().max()
    }

    pub fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// There is one state at each revision.
    fn check_state(&mut self, revision: Revision, state: Arc<[u8]>, violation: impl FnOnce() -> String) {
        let known = self.states.entry(revision.0).or_insert_with(|| state.clone());
        if *known != state {
            self.report_violation(violation());
        }
    }

    pub fn check_committed(&mut self, change_id: u64, revision: Revision) {
        self.committed.insert(change_id, revision);
        let state: Arc<[u8]> = self.proposals[&change_id].clone().into();
        self.check_state(revision, state, || {
            format!("acknowledged {change_id} at {revision:?} in place of another")
        });
        if self.rejected.contains(&change_id) {
            self.report_violation(format!("{change_id} was rejected and committed"));
        }
    }

    pub fn check_rejected(&mut self, change_id: u64) {
        self.rejected.insert(change_id);
        if self.committed.contains_key(&change_id) {
            self.report_violation(format!("{change_id} was committed and rejected"));
        }
    }

    pub fn check_activated(&mut self, view: View) {
        let known = self.views.entry(view.number.0).or_insert_with(|| view.clone());
        if *known != view {
            self.report_violation(format!("two views {:?}", view.number));
        }
    }
}

impl Cluster {
    /// `before`: the newest revision that the machine had delivered before.
    pub fn check_delivered(
        &mut self,
        at: usize,
        view: ViewNumber,
        revision: Revision,
        state: Arc<[u8]>,
        before: Option<Revision>,
    ) {
        let observed = &mut self.observed;
        if before.is_some_and(|before| before > revision) {
            observed.report_violation(format!("machine {at} went back from {before:?} to {revision:?}"));
        }
        observed.check_state(revision, state.clone(), || {
            format!("two states at {revision:?} (machine {at}, {view:?})")
        });
        let acknowledged = observed.committed.iter().find(|(change_id, committed)| {
            **committed == revision && observed.proposals[change_id] != state[..]
        });
        if let Some(change_id) = acknowledged.map(|(change_id, _)| *change_id) {
            observed.report_violation(format!("acknowledged {change_id} is not what {revision:?} holds"));
        }
        self.check_newest_view_continues(at, view, revision);
    }

    /// The leader of the newest view begins with all that was acknowledged before.
    fn check_newest_view_continues(&mut self, at: usize, view: ViewNumber, revision: Revision) {
        let newest = self.observed.newest_committed().unwrap_or_default();
        let is_newest_view = self.observed.views.keys().next_back() == Some(&view.0);
        if is_newest_view && revision < newest && self.machines[at].is_leader() {
            self.observed
                .report_violation(format!("{view:?} goes on from {revision:?}, acknowledged was {newest:?}"));
        }
    }

    pub fn check_read_index(&mut self, at: usize, read_index: ReadIndexId) {
        let Some(PendingRead { machine, newest }) = self.observed.pending_reads.remove(&read_index.0) else {
            let violation = format!("{read_index:?} was confirmed and not requested, or twice");
            return self.observed.report_violation(violation);
        };
        self.observed.confirmed_reads += 1;
        let delivered = self.machines[at].delivered_revision();
        if machine != at || delivered < Some(newest) {
            self.observed.report_violation(format!(
                "machine {at} was confirmed {delivered:?}, acknowledged was {newest:?}"
            ));
        }
    }
}
