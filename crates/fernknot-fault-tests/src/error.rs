//! Errors of reading and running schedules.

use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Error in a schedule.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// The text is not valid JSON of a schedule.
    #[error("invalid schedule: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The number of routers is out of bounds.
    #[error("routers: {0} is not between 2 and 200")]
    RouterCount(usize),
    /// A step names a router that does not exist.
    #[error("steps[{step}]: there is no router {router}")]
    UnknownRouter {
        /// Index of the step in the schedule.
        step: usize,
        /// Number of the router.
        router: usize,
    },
}

/// Error that prevents a test run, or that fails a step of its schedule.
#[derive(Debug, Error)]
pub enum FaultTestError {
    /// The path of this program cannot be determined.
    #[error("cannot determine the path of this program: {0}")]
    OwnPath(std::io::Error),
    /// The router program was not found.
    #[error("fernknot-router not found in the directory of {0} or its parent; build it first")]
    RouterProgramNotFound(PathBuf),
    /// The router processes, the relays, or the stand-ins for stores and discovery could not be set up.
    #[error("cannot set up the processes: {0}")]
    Setup(std::io::Error),
    /// The routers did not become ready before the first fault.
    #[error("the routers did not become ready before the first fault: {0}")]
    NotReady(Box<FaultTestError>),
    /// A router could not be started.
    #[error("cannot start router {router}: {source}")]
    Spawn {
        /// Number of the router.
        router: usize,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// A signal is to be sent to a router that is not running.
    #[error("cannot signal router {0}: it is not running")]
    NotRunning(usize),
    /// A signal could not be sent.
    #[error("cannot signal router {router}: {source}")]
    Signal {
        /// Number of the router.
        router: usize,
        /// Cause of the error.
        source: rustix::io::Errno,
    },
    /// A router did not accept connections in time after its start.
    #[error("router {router} did not accept connections within {limit:?} of its start")]
    StartTimeout {
        /// Number of the router.
        router: usize,
        /// Time after which the wait for the router was given up.
        limit: Duration,
    },
    /// An awaited condition did not become true in time.
    #[error("condition not met in time: {condition}; router {router} does not meet it; last view: {view}")]
    ConditionNotMet {
        /// Description of the condition.
        condition: String,
        /// Number of one router at which the condition is not true.
        router: usize,
        /// Text of the most recent membership view, of any observer, that did not satisfy the condition.
        view: String,
    },
    /// The schedule is invalid.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
}
