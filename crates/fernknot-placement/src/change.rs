//! Changes of ownership, as an endpoint list or an owner reports them.

use crate::key_range::KeyRange;
use crate::owners::Owners;
use serde::{Deserialize, Serialize};

/// The version of a range's ownership: each change has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// How far a migration has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MigrationStage {
    /// The targets copy; the old owners answer.
    Prepared,
    /// Either side may answer: a node that no longer owns the range redirects.
    Moving,
    /// The targets answer. A change of this stage names them as owners.
    Done,
    /// The old owners stay. A change of this stage names them as owners.
    Aborted,
}

impl MigrationStage {
    /// Within an epoch a migration only goes to a higher rank.
    fn rank(self) -> u8 {
        match self {
            MigrationStage::Prepared => 1,
            MigrationStage::Moving => 2,
            MigrationStage::Done | MigrationStage::Aborted => 3,
        }
    }
}

/// A range's move to other owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Migration {
    /// The nodes that take the range over.
    pub targets: Owners,
    /// How far it has come.
    pub stage: MigrationStage,
}

/// The progress of a migration, 0 where there is none.
pub(crate) fn migration_rank(migration: Option<&Migration>) -> u8 {
    migration.map_or(0, |migration| migration.stage.rank())
}

/// One change of ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnershipChange {
    /// The keys that it is about.
    pub range: KeyRange,
    /// Its epoch.
    pub epoch: Epoch,
    /// The owners from this change on.
    pub owners: Owners,
    /// The migration in progress, if any.
    pub migration: Option<Migration>,
}

/// Who reported a change, in the order of precedence within an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// A snapshot kept over a restart: unconfirmed until a list or an owner reports the same or more.
    Snapshot,
    /// The endpoint list.
    EndpointList,
    /// A node that was asked: authoritative within an epoch.
    Owner,
}
