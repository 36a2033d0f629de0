//! Ownership state of one range, and its update by changes.

use crate::change::{Epoch, Migration, MigrationStage, OwnershipChange, Source, migration_rank};
use crate::owners::Owners;
use fernknot::interface::{Nanos, NodeId};
use std::ops::AddAssign;

/// Ownership state of a range.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RangeState {
    /// Epoch of the last change.
    pub epoch: Epoch,
    /// Current owners.
    pub owners: Owners,
    /// Migration in progress, if any.
    pub migration: Option<Migration>,
    /// Reporter of the state; if several sources have reported the same state, the one of the highest precedence.
    pub source: Source,
    /// Time of the last report by any source, on the caller's clock.
    pub last_reported: Nanos,
}

/// Effect of a change, in numbers of ranges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// Number of ranges that the change updated.
    pub changed: usize,
    /// Number of ranges already known at a later epoch.
    pub stale: usize,
    /// Number of ranges known at the same epoch with other owners or another migration.
    pub conflicting: usize,
}

impl AddAssign for ApplyOutcome {
    fn add_assign(&mut self, other: ApplyOutcome) {
        self.changed += other.changed;
        self.stale += other.stale;
        self.conflicting += other.conflicting;
    }
}

impl RangeState {
    pub(crate) fn from_change(change: &OwnershipChange, source: Source, now: Nanos) -> RangeState {
        RangeState {
            epoch: change.epoch,
            owners: change.owners.clone(),
            migration: change.migration.clone(),
            source,
            last_reported: now,
        }
    }

    /// Applies a report that overrides the known state: a later epoch overrides an earlier one; within an epoch, an
    /// owner overrides a list and a list a snapshot; from the same source, a later migration stage overrides an earlier
    /// one. Reports may therefore arrive late or out of order.
    pub(crate) fn update(&mut self, reported: &RangeState) -> ApplyOutcome {
        let mut outcome = ApplyOutcome::default();
        let is_same_epoch = reported.epoch == self.epoch;
        if is_same_epoch && self.has_same_ownership(reported) {
            self.last_reported = reported.last_reported;
            self.source = self.source.max(reported.source);
            return outcome;
        }
        outcome.conflicting = usize::from(is_same_epoch);
        if self.is_overridden_by(reported) {
            outcome.changed = 1;
            *self = reported.clone();
        } else {
            outcome.stale = usize::from(reported.epoch < self.epoch);
        }
        outcome
    }

    fn has_same_ownership(&self, other: &RangeState) -> bool {
        (&self.owners, &self.migration) == (&other.owners, &other.migration)
    }

    fn is_overridden_by(&self, reported: &RangeState) -> bool {
        let (known, new) = ((self.epoch, self.source), (reported.epoch, reported.source));
        let advances = migration_rank(reported.migration.as_ref()) > migration_rank(self.migration.as_ref());
        new > known || new == known && advances
    }

    /// Nodes to ask: the owners and, in [`MigrationStage::Moving`], also the targets, as either side may own the range.
    pub fn candidates(&self) -> Owners {
        match &self.migration {
            Some(migration) if migration.stage == MigrationStage::Moving => {
                Owners::new(self.owners.iter().chain(migration.targets.iter()))
            }
            _ => self.owners.clone(),
        }
    }

    /// Whether the migration of this epoch, unless it was aborted, gives or gave the range to the node, so that the
    /// node's caches are cold for it.
    pub fn is_new_to(&self, node: NodeId) -> bool {
        self.migration.as_ref().is_some_and(|migration| {
            migration.stage != MigrationStage::Aborted && migration.targets.contains(node)
        })
    }
}
