//! Errors of commands.

use fernknot_schema::ValidationError;
use fernknot_testbed::ConnectionError;
use fernknot_testbed::cluster::ClusterError;
use std::path::{Path, PathBuf};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum CliError {
    /// Arguments that the command does not accept, with the reason.
    #[error("{0}")]
    Usage(String),
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    #[error("{path}: {source}", path = path.display())]
    ReadFile { path: PathBuf, source: std::io::Error },
    /// A file does not contain a valid configuration or valid settings.
    #[error("{}", format_errors(path, errors))]
    InvalidFile { path: PathBuf, errors: Vec<ValidationError> },
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("cannot register signal handlers: {0}")]
    RegisterSignals(std::io::Error),
    #[error("cannot start a node: {0}")]
    StartNode(std::io::Error),
    /// A gateway's processor time for a query, measured and at most, in milliseconds.
    #[error(
        "a query takes {query_cpu_ms:.3} ms of a gateway's processor time; at most {max_ms:.3} ms fit its latency target"
    )]
    QueryTooExpensive { query_cpu_ms: f64, max_ms: f64 },
    /// The command was valid, but its operation was rejected or failed, or it is unclear whether it took effect.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// Returns a function for `map_err` that adds the path to the errors of a file.
    pub fn invalid(path: &Path) -> impl Fn(Vec<ValidationError>) -> CliError {
        move |errors| CliError::InvalidFile { path: path.into(), errors }
    }

    /// Whether the cause is the command or its input, for exit code 2.
    pub fn is_usage_error(&self) -> bool {
        matches!(
            self,
            CliError::Usage(_)
                | CliError::Arguments(_)
                | CliError::ReadFile { .. }
                | CliError::InvalidFile { .. }
        )
    }
}

/// Formats one line per error, with the file's path and the error, which names the invalid field.
fn format_errors(path: &Path, errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("{}: {error}", path.display())).collect();
    lines.join("\n")
}
