//! Why the program can't run.

use crate::host::settings::UnsuitableSettings;
use fernknot_net::NetError;
use thiserror::Error;

/// Why the host can't be created.
#[derive(Debug, Error)]
pub enum HostError {
    /// The settings lack something that a controller needs.
    #[error("settings: {0}")]
    Unsuitable(#[from] UnsuitableSettings),
    /// The limits in the settings leave no room for what is needed.
    #[error("settings: {0}")]
    Settings(String),
    /// The system refuses what is needed.
    #[error("{step}: {source}")]
    System {
        /// What was attempted.
        step: &'static str,
        /// The error of the system.
        source: std::io::Error,
    },
    /// An address can't be listened at.
    #[error(transparent)]
    Network(#[from] NetError),
}
