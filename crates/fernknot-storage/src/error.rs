//! What goes wrong with a disk, and at which step.

use std::fmt;

/// Where in the work with the folder it went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Open,
    Insert,
    Sync,
    Read,
    /// Making a new generation the one that counts.
    Seal,
    Remove,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Open => "open",
            Step::Insert => "insert",
            Step::Sync => "sync",
            Step::Read => "read",
            Step::Seal => "seal",
            Step::Remove => "remove",
        })
    }
}

/// A step that failed. Nothing is known of a write that ended so: it may be there or not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("disk: {step}: {why}")]
pub struct StoreError {
    pub step: Step,
    pub why: String,
}

impl StoreError {
    pub fn new(step: Step, why: impl fmt::Display) -> StoreError {
        StoreError { step, why: why.to_string() }
    }

    /// Turns any error of a step into this one.
    pub(crate) fn at<E: fmt::Display>(step: Step) -> impl Fn(E) -> StoreError {
        move |why| StoreError::new(step, why)
    }
}
