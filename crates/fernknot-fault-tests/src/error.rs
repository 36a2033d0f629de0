//! Why a schedule could not be read, or a test run not be played.

use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Why a schedule is rejected.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// It is not the JSON of a schedule.
    #[error("the schedule: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The number of routers is out of its bounds.
    #[error("routers: {0} is not between 2 and 200")]
    RouterCount(usize),
    /// A step names a router that there is not.
    #[error("steps[{step}]: there is no router {router}")]
    UnknownRouter {
        /// The index of the step.
        step: usize,
        /// The router's number.
        router: usize,
    },
}

/// Why a test run could not be played, or a step of its schedule failed.
#[derive(Debug, Error)]
pub enum FaultTestError {
    /// The path of this program is not known.
    #[error("own path: {0}")]
    OwnPath(std::io::Error),
    /// The router's program was not built.
    #[error("no fernknot-router beside {0}: build it first")]
    NoRouterProgram(PathBuf),
    /// The processes, relays or stand-ins could not be set up.
    #[error("the processes could not be set up: {0}")]
    Setup(std::io::Error),
    /// The routers did not become ready before the first fault.
    #[error("the routers never became ready: {0}")]
    NeverReady(Box<FaultTestError>),
    /// A router could not be started.
    #[error("router {router}: {source}")]
    Spawn {
        /// The router's number.
        router: usize,
        /// Why.
        source: std::io::Error,
    },
    /// A router is not running, and cannot get a signal.
    #[error("router {0} does not run")]
    NotRunning(usize),
    /// A signal could not be sent.
    #[error("router {router}: {source}")]
    Signal {
        /// The router's number.
        router: usize,
        /// Why.
        source: rustix::io::Errno,
    },
    /// A router did not answer after it was started.
    #[error("router {router} never came up (in {limit:?})")]
    NeverUp {
        /// The router's number.
        router: usize,
        /// How long it was waited for.
        limit: Duration,
    },
    /// A condition of the schedule did not come true in time.
    #[error("{condition}: router {router} shows {view}")]
    NeverTrue {
        /// What was awaited, of whom, at whom.
        condition: String,
        /// One of the routers at which it did not come true.
        router: usize,
        /// The last view that any of them showed.
        view: String,
    },
    /// The schedule could not be read.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
}
