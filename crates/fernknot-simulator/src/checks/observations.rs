//! What was observed of the control plane, by its clients and subscribers.

use crate::checks::rule::Violation;
use crate::linearizability::{Call, Completion, Operation, OperationResult, Version};
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// Violations of one run that are kept, of all rules and of each.
const MAX_VIOLATIONS: usize = 20;
const MAX_VIOLATIONS_OF_RULE: usize = 3;

/// One change of an operator, over all its attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangeRecord {
    /// The number of the version that it replaces; 0 for none.
    pub base: u64,
    pub version: Version,
    /// Its beginning in the one sequence of all events.
    pub invoked_at: u64,
    /// Its clear end, if it had one.
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

/// A node's drain, acknowledged by a machine in touch.
#[derive(Clone, Debug)]
pub(crate) struct DrainRecord {
    pub node: String,
    pub acknowledged_at: Nanos,
    pub machine: usize,
}

/// All that was observed.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    pub changes: Vec<ChangeRecord>,
    pub reads: Vec<Call>,
    /// When anybody first saw a version in force, in the one sequence of all events.
    pub first_seen: BTreeMap<Version, u64>,
    pub versions_by_revision: BTreeMap<u64, Version>,
    /// Committed versions, and when operators learned of it.
    pub acknowledged: Vec<(Version, Nanos)>,
    /// Drains that subscribers may not know of yet, or have known of for a short time only.
    pub drains: Vec<DrainRecord>,
    pub drain_count: usize,
    /// What each machine hands out in the end.
    pub final_reads: BTreeMap<usize, Option<Version>>,
    pub violations: Vec<Violation>,
    /// Earlier responses of each machine, for a seeded bug.
    pub stale_responses: BTreeMap<usize, Vec<u8>>,
}

impl Observations {
    /// Somebody saw this version in force.
    pub fn record_sighting(&mut self, version: Version, at: u64) {
        self.first_seen.entry(version).or_insert(at);
    }

    /// The newest acknowledged version.
    pub fn newest_acknowledged(&self) -> Option<Version> {
        self.acknowledged.iter().map(|(version, _)| *version).max()
    }

    /// Keeps a violation, unless there are enough of its rule, or of all.
    pub fn add_violation(&mut self, violation: Violation) {
        let same_rule = self.violations.iter().filter(|other| other.rule == violation.rule).count();
        if same_rule < MAX_VIOLATIONS_OF_RULE && self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// The operators' history. A change without a clear end that somebody saw in force by some moment was committed by
    /// then; any other stays in flight.
    pub fn call_history(&self) -> Vec<Call> {
        let changes = self.changes.iter().map(|change| self.change_call(change));
        changes.chain(self.reads.iter().cloned()).collect()
    }

    fn change_call(&self, change: &ChangeRecord) -> Call {
        let seen_at = self.first_seen.get(&change.version).copied();
        let committed_at = |at| Completion { at, result: OperationResult::Committed };
        let completion = match change.completion {
            // Seen before it was acknowledged: it was in force by then.
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
