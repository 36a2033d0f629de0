//! Safety rules, checked with every action of a replica.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fernknot_consensus::{ReadIndexId, Revision, View, ViewNumber};

use super::Cluster;

/// A requested read index that is not confirmed yet; by its confirmation the machine must have delivered
/// `newest_committed`.
#[derive(Clone, Copy, Debug)]
pub struct PendingRead {
    /// The machine that requested it.
    pub machine: usize,
    /// The newest revision that was committed anywhere when it was requested.
    pub newest_committed: Revision,
}

/// Everything observed in the whole cluster.
#[derive(Debug, Default)]
pub struct Observed {
    /// Proposed states by change id.
    pub proposals: BTreeMap<u64, Vec<u8>>,
    pub committed: BTreeMap<u64, Revision>,
    pub rejected: BTreeSet<u64>,
    /// Delivered or committed states by revision.
    pub states: BTreeMap<u64, Arc<[u8]>>,
    /// Activated views by number.
    pub views: BTreeMap<u64, View>,
    pub pending_reads: BTreeMap<u64, PendingRead>,
    pub last_read_index: u64,
    pub confirmed_reads: u64,
    /// Description of the first violation of a rule.
    pub violation: Option<String>,
}

impl Observed {
    pub fn newest_committed(&self) -> Option<Revision> {
        self.committed.values().copied().max()
    }

    pub fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Checks that there is only one state at the revision.
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
            format!("{change_id} was committed at {revision:?}, which has another state")
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
            self.report_violation(format!("two different views have the number {:?}", view.number));
        }
    }
}

impl Cluster {
    /// Checks a delivered state. `before` is the newest revision that the machine had delivered before.
    pub fn check_delivered(
        &mut self,
        index: usize,
        view: ViewNumber,
        revision: Revision,
        state: Arc<[u8]>,
        before: Option<Revision>,
    ) {
        let observed = &mut self.observed;
        if before.is_some_and(|before| before > revision) {
            observed.report_violation(format!("machine {index} delivered {revision:?} after {before:?}"));
        }
        observed.check_state(revision, state.clone(), || {
            format!("two different states at {revision:?} (machine {index}, {view:?})")
        });
        let mismatch = observed.committed.iter().find(|(change_id, committed)| {
            **committed == revision && observed.proposals[change_id] != state[..]
        });
        if let Some(change_id) = mismatch.map(|(change_id, _)| *change_id) {
            observed.report_violation(format!(
                "{change_id} was committed at {revision:?}, where another state was delivered"
            ));
        }
        self.check_newest_view_has_committed(index, view, revision);
    }

    /// Checks that the leader of the newest view has all that was committed before.
    fn check_newest_view_has_committed(&mut self, index: usize, view: ViewNumber, revision: Revision) {
        let newest_committed = self.observed.newest_committed().unwrap_or_default();
        let is_newest_view = self.observed.views.keys().next_back() == Some(&view.0);
        if is_newest_view && revision < newest_committed && self.machines[index].is_leader() {
            self.observed.report_violation(format!(
                "{view:?} continues from {revision:?} after {newest_committed:?} was committed"
            ));
        }
    }

    pub fn check_read_index(&mut self, index: usize, read_index: ReadIndexId) {
        let Some(PendingRead { machine, newest_committed }) =
            self.observed.pending_reads.remove(&read_index.0)
        else {
            let violation = format!("{read_index:?} was confirmed twice or without a request");
            return self.observed.report_violation(violation);
        };
        self.observed.confirmed_reads += 1;
        let delivered = self.machines[index].delivered_revision();
        if machine != index || delivered < Some(newest_committed) {
            self.observed.report_violation(format!(
                "machine {index} confirmed a read index at {delivered:?} after {newest_committed:?} was committed"
            ));
        }
    }
}
