//! Storage errors, and the operations that fail with them.

use std::fmt;

/// Kind of a storage operation, by which a [`StorageError`] names what failed.
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
    /// Marking a new generation as complete and so as the one in use.
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

/// Failure of a storage operation. After a failed write the value may or may not be stored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("disk: {operation}: {reason}")]
pub struct StorageError {
    /// Operation that failed.
    pub operation: Operation,
    /// Text of the underlying error, for the log.
    pub reason: String,
}

impl StorageError {
    /// Creates an error of this operation.
    pub fn new(operation: Operation, reason: impl fmt::Display) -> StorageError {
        StorageError { operation, reason: reason.to_string() }
    }

    /// Returns a function that converts the cause of a failed operation into a [`StorageError`].
    pub(crate) fn wrap<E: fmt::Display>(operation: Operation) -> impl Fn(E) -> StorageError {
        move |reason| StorageError::new(operation, reason)
    }
}
