//! Errors that stop a server process.

use crate::error::NetError;
use thiserror::Error;

/// Error because of which a server process cannot run.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The settings lack a value that the process needs, or have one with which it cannot run.
    #[error("settings: {0}")]
    Settings(String),
    /// The operating system rejected a request for a resource.
    #[error("{step}: {source}")]
    System {
        /// Operation that failed.
        step: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A socket cannot be opened.
    #[error(transparent)]
    Network(#[from] NetError),
}

impl ProcessError {
    /// Returns a function that adds the failed operation to an error of the operating system.
    pub fn system(step: &'static str) -> impl FnOnce(std::io::Error) -> ProcessError {
        move |source| ProcessError::System { step, source }
    }
}
