//! The error for a value that is not valid.

use std::fmt;

/// What is wrong with a value that was parsed, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ValidationError {
    /// A path such as `limits.cpu_share`; empty for the body as a whole.
    pub path: String,
    /// What is wrong, as a predicate: "is missing".
    pub reason: String,
}

impl ValidationError {
    /// An error at a path; the empty path stands for the body as a whole.
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
