//! Generations, the actions on them and their results. A generation is one store in the directory, with all values up
//! to its time.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::error::StorageError;

/// Newest value of each key.
pub type Values = BTreeMap<String, Arc<[u8]>>;

/// Number of a store in the directory. Once sealed, a store replaces all stores with lower numbers; no number is used
/// twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// Action on the directory that the host of the generation manager has to execute next.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "the host has to execute it and report its result"]
pub enum Action {
    /// List the generations in the directory.
    List,
    /// Read the values of a sealed generation, without keeping it open.
    Read(Generation),
    /// Create a store with these values, sync and close it, then reopen it and read its values back.
    Build(Generation, Values),
    /// Mark the store that was just built as sealed and sync the directories. It is the open store from then on.
    Seal(Generation),
    /// Add the values to the open store, which is the one of this generation, and sync it.
    Write(Generation, Values),
    /// Delete an obsolete generation.
    Remove(Generation),
}

/// Generation found in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedGeneration {
    /// Number of the generation.
    pub generation: Generation,
    /// Whether the generation is sealed, with complete contents of the file that marks it.
    pub sealed: bool,
}

/// Result of a successful [`Action`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Generations in the directory, in any order: the result of [`Action::List`].
    Listed(Vec<ListedGeneration>),
    /// Values read from a store: the result of [`Action::Read`] and [`Action::Build`].
    Contents(Values),
    /// Success of an action that has no further result.
    Done,
}

/// Write that has completed, with or without an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedWrite {
    /// Id that the write was submitted with, chosen by the caller.
    pub write_id: u64,
    /// `Ok`: the value, or a newer one that was submitted under the same key, is written and synced. After an error the
    /// value may or may not be stored.
    pub result: Result<(), StorageError>,
}
