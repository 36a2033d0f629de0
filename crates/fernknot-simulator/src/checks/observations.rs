//! Observations of the control plane by its clients and subscribers.

use crate::checks::rule::Violation;
use crate::linearizability::{Call, Completion, Operation, OperationResult, Version};
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// Limits on the recorded violations of a run: in total and per rule.
const MAX_VIOLATIONS: usize = 20;
const MAX_VIOLATIONS_OF_RULE: usize = 3;

/// A change of an operator, including all its attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangeRecord {
    /// Epoch of the version that the change replaces; 0 for none.
    pub base: u64,
    pub version: Version,
    /// Sequence number of the beginning among all events.
    pub invoked_at: u64,
    pub sent_at: Nanos,
    /// Definitive response, if there was one.
    pub completion: Option<Completion>,
    pub operator: usize,
}

impl ChangeRecord {
    pub fn is_committed(&self) -> bool {
        self.has_result(OperationResult::Committed)
    }

    pub fn is_rejected(&self) -> bool {
        self.has_result(OperationResult::Rejected)
    }

    fn has_result(&self, result: OperationResult) -> bool {
        self.completion.is_some_and(|completion| completion.result == result)
    }
}

/// An acknowledged drain of a node.
#[derive(Clone, Debug)]
pub(crate) struct DrainRecord {
    pub node: String,
    pub acknowledged_at: Nanos,
    pub machine: usize,
}

/// Observations of the control plane in a run, from which the rules are checked.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    pub changes: Vec<ChangeRecord>,
    pub reads: Vec<Call>,
    /// Sequence number at which each version was first observed in force.
    pub first_seen: BTreeMap<Version, u64>,
    pub versions_by_revision: BTreeMap<u64, Version>,
    /// Committed versions with the time of their acknowledgement.
    pub acknowledged: Vec<(Version, Nanos)>,
    /// Acknowledged drains that are still checked.
    pub drains: Vec<DrainRecord>,
    pub drain_count: usize,
    /// Version that each machine returned in the final reads.
    pub final_reads: BTreeMap<usize, Option<Version>>,
    pub violations: Vec<Violation>,
    /// Earlier read response of each machine, for the seeded bug `StaleReads`.
    pub stale_responses: BTreeMap<usize, Vec<u8>>,
}

impl Observations {
    /// Records that a version was observed in force.
    pub fn record_observed_version(&mut self, version: Version, at: u64) {
        self.first_seen.entry(version).or_insert(at);
    }

    /// Returns the newest acknowledged version.
    pub fn newest_acknowledged(&self) -> Option<Version> {
        self.acknowledged.iter().map(|(version, _)| *version).max()
    }

    /// Adds a violation unless a limit is reached.
    pub fn add_violation(&mut self, violation: Violation) {
        let same_rule = self.violations.iter().filter(|other| other.rule == violation.rule).count();
        if same_rule < MAX_VIOLATIONS_OF_RULE && self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Returns the operators' history. A change without a definitive response counts as committed by the time it was
    /// first observed in force; if it never was, it stays in flight.
    pub fn call_history(&self) -> Vec<Call> {
        let changes = self.changes.iter().map(|change| self.change_call(change));
        changes.chain(self.reads.iter().cloned()).collect()
    }

    fn change_call(&self, change: &ChangeRecord) -> Call {
        let seen_at = self.first_seen.get(&change.version).copied();
        let committed_at = |at| Completion { at, result: OperationResult::Committed };
        let completion = match change.completion {
            // If it was observed before its acknowledgement, it was in force by then.
            Some(completion) if change.is_committed() => {
                Some(committed_at(seen_at.map_or(completion.at, |seen_at| seen_at.min(completion.at))))
            }
            Some(completion) => Some(completion),
            None => seen_at.map(committed_at),
        };
        Call {
            operation: Operation::Replace { base: change.base, new: change.version },
            invoked_at: change.invoked_at,
            completion,
        }
    }
}
