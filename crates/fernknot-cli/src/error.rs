//! Why a command did not do what was asked.

use fernknot_schema::ValidationError;
use fernknot_testbed::ConnectionError;
use fernknot_testbed::cluster::ClusterError;
use std::path::{Path, PathBuf};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum CliError {
    /// Wrong usage.
    #[error("{0}")]
    Usage(String),
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    #[error("{path}: {source}", path = path.display())]
    ReadFile { path: PathBuf, source: std::io::Error },
    /// A file that names no valid configuration or settings.
    #[error("{}", lines(path, errors))]
    InvalidFile { path: PathBuf, errors: Vec<ValidationError> },
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("signals: {0}")]
    Signals(std::io::Error),
    #[error("start a node: {0}")]
    StartNode(std::io::Error),
    /// What was asked was rejected, or has no clear end.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// For `map_err`: the errors of a file.
    pub fn invalid(path: &Path) -> impl Fn(Vec<ValidationError>) -> CliError {
        move |errors| CliError::InvalidFile { path: path.into(), errors }
    }

    /// Whether the user has to change the command or its input.
    pub fn is_usage(&self) -> bool {
        matches!(
            self,
            CliError::Usage(_)
                | CliError::Arguments(_)
                | CliError::ReadFile { .. }
                | CliError::InvalidFile { .. }
        )
    }
}

/// A line for each error, with its place in the file.
fn lines(path: &Path, errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("{}: {error}", path.display())).collect();
    lines.join("\n")
}
