//! Error of an invalid value.

use std::fmt;

/// Error of an invalid value, with the path of its key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ValidationError {
    /// Path such as `limits.cpu_share`; empty for the complete body.
    pub path: String,
    /// Description of the error as a predicate, such as "is missing".
    pub reason: String,
}

impl ValidationError {
    /// Returns an error at a path; the empty path stands for the complete body.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> ValidationError {
        ValidationError { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            f.write_str(&self.reason)
        } else {
            write!(f, "{}: {}", self.path, self.reason)
        }
    }
}
