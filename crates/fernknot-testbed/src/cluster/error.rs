//! Errors of a cluster.

use thiserror::Error;

/// Error on starting, signalling or awaiting the processes of a cluster.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A system call failed.
    #[error("cannot {operation} {object}: {source}")]
    Io {
        /// Failed operation, a verb phrase that `object` completes.
        operation: &'static str,
        /// Name of the process, or "the cluster".
        object: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A program has not been built.
    #[error("program {name} not found next to {searcher}: build it with `cargo build -p {name}`")]
    MissingProgram {
        /// Name of the missing program.
        name: &'static str,
        /// Path of the program that searched for it.
        searcher: String,
    },
    /// A condition was not met in time.
    #[error("timed out after {seconds:.1} s waiting for: {condition}")]
    TimedOut {
        /// Awaited condition.
        condition: String,
        /// Time-out in seconds.
        seconds: f64,
    },
    /// A configuration was not accepted.
    #[error("configuration version {epoch} was not accepted: {outcome}")]
    ConfigNotAccepted {
        /// Version of the rejected configuration.
        epoch: u64,
        /// Outcome of the operator's call.
        outcome: String,
    },
    /// The cluster's network has fewer addresses than processes.
    #[error("{count} {role}s exceed the addresses of the cluster's network")]
    TooManyProcesses {
        /// Role of the processes.
        role: &'static str,
        /// Requested number of processes.
        count: usize,
    },
}

impl ClusterError {
    /// Returns a function for `map_err` that wraps the error of a failed operation.
    pub(crate) fn from_io(
        operation: &'static str,
        object: &str,
    ) -> impl Fn(std::io::Error) -> ClusterError + use<> {
        let object = object.to_string();
        move |source| ClusterError::Io { operation, object: object.clone(), source }
    }

    pub(crate) fn not_running(operation: &'static str, object: String) -> ClusterError {
        let source = std::io::Error::new(std::io::ErrorKind::NotFound, "the process is not running");
        ClusterError::Io { operation, object, source }
    }
}
