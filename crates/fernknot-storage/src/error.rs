//! What goes wrong with a disk, and at which step.

use std::fmt;

/// Where in the work with the folder it went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    Open,
    Insert,
    Sync,
    Read,
    /// Making a new generation the one that counts.
    Seal,
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

/// A step that failed. Nothing is known of a write that ended so: it may be there or not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("disk: {operation}: {reason}")]
pub struct StorageError {
    pub operation: Operation,
    pub reason: String,
}

impl StorageError {
    pub fn new(step: Operation, why: impl fmt::Display) -> StorageError {
        StorageError { operation: step, reason: why.to_string() }
    }

    /// Turns any error of a step into this one.
    pub(crate) fn at<E: fmt::Display>(step: Operation) -> impl Fn(E) -> StorageError {
        move |why| StorageError::new(step, why)
    }
}
