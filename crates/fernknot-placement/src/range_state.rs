//! What is known of one range, and how a change updates it.

use crate::change::{Epoch, Migration, MigrationStage, OwnershipChange, Source, migration_rank};
use crate::owners::Owners;
use fernknot::interface::{Nanos, NodeId};
use std::ops::AddAssign;

/// What is known of a range.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RangeState {
    /// The epoch of its last change.
    pub epoch: Epoch,
    /// Its owners.
    pub owners: Owners,
    /// The migration in progress, if any.
    pub migration: Option<Migration>,
    /// Who reported it, the most authoritative one.
    pub source: Source,
    /// When it was last reported, by any source, on the caller's clock.
    pub last_reported: Nanos,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// Ranges of the map that the change updated.
    pub changed: usize,
    /// Ranges of which a later epoch was known.
    pub stale: usize,
    /// Ranges of which the same epoch was known with other owners or another migration.
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

    /// Takes a newer report: a later epoch overrides an earlier one; within an epoch an owner overrides a list, a list
    /// a snapshot, and of one source a migration's later stage the earlier one. So reports may arrive late or out of
    /// order.
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

    /// The nodes to ask: while a migration is moving, either side may own the range.
    pub fn candidates(&self) -> Owners {
        match &self.migration {
            Some(migration) if migration.stage == MigrationStage::Moving => {
                Owners::new(self.owners.iter().chain(migration.targets.iter()))
            }
            _ => self.owners.clone(),
        }
    }

    /// Whether the node has just been given this range, so that its caches are cold for it.
    pub fn is_new_to(&self, node: NodeId) -> bool {
        self.migration.as_ref().is_some_and(|migration| {
            migration.stage != MigrationStage::Aborted && migration.targets.contains(node)
        })
    }
}
