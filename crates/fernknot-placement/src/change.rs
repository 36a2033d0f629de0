//! Changes of ownership, as reported by an endpoint list (the list of nodes that routers receive) or by an owner.

use crate::key_range::KeyRange;
use crate::owners::Owners;
use serde::{Deserialize, Serialize};

/// Version of a range's ownership; each new ownership, with the migration that leads to it, has a higher one than
/// before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Stage of a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MigrationStage {
    /// The targets copy the range; the old owners answer.
    Prepared,
    /// Old owners and targets may answer; a node that does not own the range, any more or yet, redirects.
    Moving,
    /// The targets answer. A change of this stage lists them as owners.
    Done,
    /// The old owners continue to answer. A change of this stage lists them as owners.
    Aborted,
}

impl MigrationStage {
    /// Order of the stages: within an epoch, a migration only moves to a higher rank.
    fn rank(self) -> u8 {
        match self {
            MigrationStage::Prepared => 1,
            MigrationStage::Moving => 2,
            MigrationStage::Done | MigrationStage::Aborted => 3,
        }
    }
}

/// Move of a range to other owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Migration {
    /// Nodes that become the owners of the range.
    pub targets: Owners,
    /// Current stage.
    pub stage: MigrationStage,
}

/// Rank of a migration's stage; 0 without a migration.
pub(crate) fn migration_rank(migration: Option<&Migration>) -> u8 {
    migration.map_or(0, |migration| migration.stage.rank())
}

/// Change of a range's ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnershipChange {
    /// Keys whose ownership changes.
    pub range: KeyRange,
    /// Epoch of the ownership after the change.
    pub epoch: Epoch,
    /// Owners after the change.
    pub owners: Owners,
    /// Migration in progress, if any.
    pub migration: Option<Migration>,
}

/// Reporter of a change, in ascending order of precedence within an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// Snapshot restored after a restart: unconfirmed until a list or an owner reports the same or a newer state.
    Snapshot,
    /// List of all nodes with their ranges, as routers receive it.
    EndpointList,
    /// Node that received a request for the range and redirected it. It overrides the other sources within an epoch.
    Owner,
}
