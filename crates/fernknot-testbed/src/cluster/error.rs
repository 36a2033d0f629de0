//! What can go wrong with a cluster.

use thiserror::Error;

/// What failed, and of which process.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// The system refused a step.
    #[error("{step} {who}: {source}")]
    Step {
        /// What was being done, as the beginning of a sentence that `who` ends.
        step: &'static str,
        /// The process, or the cluster.
        who: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A program has not been built.
    #[error("no {name} beside {beside}: build it with `cargo build -p {name}`")]
    MissingProgram {
        /// The program.
        name: &'static str,
        /// The program that looked for it.
        beside: String,
    },
    /// Something did not hold in time.
    #[error("waited {seconds:.1} s in vain: {what}")]
    TimedOut {
        /// What was awaited.
        what: String,
        /// For how long.
        seconds: f64,
    },
    /// A configuration was not accepted.
    #[error("version {epoch} was not accepted: {outcome}")]
    NotAccepted {
        /// The number of the configuration.
        epoch: u64,
        /// How the call ended.
        outcome: String,
    },
    /// More processes than the network has addresses for.
    #[error("{count} {role}s are more than the cluster's network has room for")]
    TooManyProcesses {
        /// Their role.
        role: &'static str,
        /// How many were asked for.
        count: usize,
    },
}

impl ClusterError {
    /// For `map_err`: the system's error at this step.
    pub(crate) fn at(step: &'static str, who: &str) -> impl Fn(std::io::Error) -> ClusterError + use<> {
        let who = who.to_string();
        move |source| ClusterError::Step { step, who: who.clone(), source }
    }

    pub(crate) fn not_running(step: &'static str, who: String) -> ClusterError {
        let source = std::io::Error::new(std::io::ErrorKind::NotFound, "it does not run");
        ClusterError::Step { step, who, source }
    }
}
