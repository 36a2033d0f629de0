//! Why a server process cannot run.

use crate::error::NetError;
use thiserror::Error;

/// What keeps a server process from running.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The settings lack what the process needs.
    #[error("settings: {0}")]
    Settings(String),
    /// The operating system refuses a resource.
    #[error("{step}: {source}")]
    System {
        /// What was being done.
        step: &'static str,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A socket cannot be opened.
    #[error(transparent)]
    Network(#[from] NetError),
}

impl ProcessError {
    /// Turns an error of the operating system into one that names the step.
    pub fn system(step: &'static str) -> impl FnOnce(std::io::Error) -> ProcessError {
        move |source| ProcessError::System { step, source }
    }
}
