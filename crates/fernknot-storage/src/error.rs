//! What fails on a disk, and in which operation.

use std::fmt;

/// The operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Opening or creating a store, or listing the directory.
    Open,
    /// Adding a value to a store.
    Insert,
    /// Syncing a store.
    Sync,
    /// Reading a store or a seal.
    Read,
    /// Making a new generation the one that counts.
    Seal,
    /// Deleting an obsolete generation.
    Remove,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Open => "open",
            Operation::Insert => "insert",
            Operation::Sync => "sync",
            Operation::Read => "read",
            Operation::Seal => "seal",
            Operation::Remove => "remove",
        })
    }
}

/// An operation that failed. Nothing is known of a write that ended so: it may be there or not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("disk: {operation}: {reason}")]
pub struct StorageError {
    /// What was attempted.
    pub operation: Operation,
    /// The message of the error that caused it.
    pub reason: String,
}

impl StorageError {
    /// An error of this operation.
    pub fn new(operation: Operation, reason: impl fmt::Display) -> StorageError {
        StorageError { operation, reason: reason.to_string() }
    }

    /// Turns any error of an operation into this one.
    pub(crate) fn at<E: fmt::Display>(operation: Operation) -> impl Fn(E) -> StorageError {
        move |reason| StorageError::new(operation, reason)
    }
}
