//! Generations of the store, and what is to be done with them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::error::StorageError;

/// Newest value by key.
pub type Values = BTreeMap<String, Arc<[u8]>>;

/// One store in the directory. A higher one replaces the lower ones once it is sealed; no number is given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "the host has to execute it and report its result"]
pub enum Action {
    /// List the generations that there are.
    List,
    /// Read the values of a sealed generation, without keeping it open.
    Read(Generation),
    /// Make a new store of these values, sync it, close it, open it and read its values.
    Build(Generation, Values),
    /// Mark the store just built as sealed and sync the directories. It is the open one from here on.
    Seal(Generation),
    /// Add the values to the open store and sync it.
    Write(Generation, Values),
    /// Delete an obsolete generation.
    Remove(Generation),
}

/// A generation in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedGeneration {
    /// Its number.
    pub generation: Generation,
    /// Whether its seal is complete.
    pub sealed: bool,
}

/// The result of an action that succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The generations in the directory.
    Listed(Vec<ListedGeneration>),
    /// The values of a store.
    Contents(Values),
    /// The action has no other result.
    Done,
}

/// A write that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedWrite {
    /// The id that it was submitted with.
    pub write_id: u64,
    /// `Ok`: the value, or a newer one that was submitted under the same key, is written and synced. After an error it
    /// may be there or not.
    pub result: Result<(), StorageError>,
}
