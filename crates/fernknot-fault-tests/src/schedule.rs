//! Schedule of the faults and waits of a test run, in JSON that can be printed, stored, edited and run again.
//!
//! The names in the JSON are part of the format; the identifiers in the code may differ from them. Routers are numbered
//! from 0. Unless a step says otherwise, it does not wait for its effects.

use crate::error::ScheduleError;
use serde::{Deserialize, Serialize};

/// Numbers of routers, from 0.
pub type Routers = Vec<usize>;

/// Range of the number of routers in a schedule.
const ROUTER_COUNTS: std::ops::RangeInclusive<usize> = 2..=200;

/// Step of a schedule: begins or ends a fault, or waits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// Sends SIGKILL to all routers, then waits until they have exited.
    Kill {
        /// Routers to kill.
        routers: Routers,
    },
    /// Suspends routers by SIGSTOP.
    #[serde(rename = "stop")]
    Suspend {
        /// Routers to suspend.
        routers: Routers,
    },
    /// Resumes suspended routers by SIGCONT.
    #[serde(rename = "wake")]
    Resume {
        /// Routers to resume.
        routers: Routers,
    },
    /// Sends SIGTERM and waits until the routers have exited.
    #[serde(rename = "term")]
    Terminate {
        /// Routers to terminate.
        routers: Routers,
    },
    /// Starts routers that were killed or terminated, with the same names and addresses, and waits until each accepts
    /// connections.
    Start {
        /// Routers to start.
        routers: Routers,
    },
    /// Drops all datagrams between routers in one direction, until `Heal`.
    #[serde(rename = "cut")]
    Partition {
        /// Senders of the datagrams.
        from: Routers,
        /// Receivers of the datagrams.
        to: Routers,
        /// Whether the fault is hidden from the checker, which then has to report its effects as a violation.
        #[serde(rename = "secret", default)]
        hidden: bool,
    },
    /// Ends the faults of datagrams in one direction: those of `Partition` and those of `Degrade`.
    #[serde(rename = "mend")]
    Heal {
        /// Senders of the datagrams.
        from: Routers,
        /// Receivers of the datagrams.
        to: Routers,
    },
    /// Sets the loss, duplication and delay of the datagrams between all routers, until the next `Degrade` or `Heal`.
    #[serde(rename = "spoil")]
    Degrade {
        /// Share of datagrams to drop, from 0 to 1.
        #[serde(rename = "lose")]
        loss: f64,
        /// Share of datagrams to deliver twice, from 0 to 1.
        #[serde(rename = "repeat")]
        duplication: f64,
        /// Upper bound of the random delay of a datagram, in milliseconds.
        #[serde(rename = "delay_ms")]
        max_delay_ms: f64,
    },
    /// Stalls the connections of routers to all stores, until `RestoreConnections`: they stay open, but nothing is
    /// forwarded in either direction.
    #[serde(rename = "silence")]
    StallConnections {
        /// Routers whose connections are affected.
        routers: Routers,
    },
    /// Closes the connections of routers to all stores, and closes new ones at once, until `RestoreConnections`.
    #[serde(rename = "reset")]
    ResetConnections {
        /// Routers whose connections are affected.
        routers: Routers,
    },
    /// Ends the effect of `StallConnections` and `ResetConnections`.
    #[serde(rename = "speak")]
    RestoreConnections {
        /// Routers whose connections are affected.
        routers: Routers,
    },
    /// Waits until each observer has once shown all members other than itself with one of these statuses.
    #[serde(rename = "await")]
    AwaitStatus {
        /// Routers that are queried.
        #[serde(rename = "by")]
        observers: Routers,
        /// Routers whose status at the observers is awaited.
        #[serde(rename = "of")]
        members: Routers,
        /// Accepted status names, as in `GET /fleet` (see [`status_names`](crate::status_names)).
        #[serde(rename = "is")]
        statuses: Vec<String>,
    },
    /// Waits until each observer has once reported this value of the key about itself.
    #[serde(rename = "view")]
    AwaitView {
        /// Routers that are queried.
        #[serde(rename = "by")]
        observers: Routers,
        /// Key of the report: `majority` (more than half of the routers are live, and the observer is not alone),
        /// `young` (its view is not yet reliable after a start or a stall) or `alone` (no message reaches it).
        key: String,
        /// Awaited value of the key.
        #[serde(rename = "is")]
        value: bool,
    },
    /// Waits for a fixed time while a fault lasts. It is meant for faults that are defined by their duration; effects
    /// of other faults are awaited.
    #[serde(rename = "last")]
    Sustain {
        /// Duration in milliseconds.
        ms: u64,
    },
    /// Waits for a number of probe periods, in which every effect of a fault would appear.
    #[serde(rename = "settle")]
    WaitPeriods {
        /// Duration in probe periods.
        periods: u64,
    },
}

/// Schedule of a test run: the routers, the load, and the steps that run while clients send requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Name of the scenario in the output.
    pub name: String,
    /// Number of routers.
    pub routers: usize,
    /// Seed of the random choices of routers, datagram relay and clients.
    pub seed: u64,
    /// Probe period of the membership protocol, in milliseconds.
    pub period_ms: f64,
    /// Total requests per second of all clients.
    pub load_per_s: f64,
    /// Steps, in the order of execution.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Parses and validates a schedule in JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`ScheduleError`] if the JSON is malformed, the number of routers is out of bounds, or a step names an
    /// unknown router.
    pub fn parse(text: &str) -> Result<Schedule, ScheduleError> {
        let schedule: Schedule = serde_json::from_str(text)?;
        if !ROUTER_COUNTS.contains(&schedule.routers) {
            return Err(ScheduleError::RouterCount(schedule.routers));
        }
        for (index, step) in schedule.steps.iter().enumerate() {
            if let Some(router) = step.routers().into_iter().find(|router| *router >= schedule.routers) {
                return Err(ScheduleError::UnknownRouter { step: index, router });
            }
        }
        Ok(schedule)
    }
}

impl Step {
    /// Returns all routers that the step names.
    fn routers(&self) -> Routers {
        match self {
            Step::Kill { routers }
            | Step::Suspend { routers }
            | Step::Resume { routers }
            | Step::Terminate { routers }
            | Step::Start { routers }
            | Step::StallConnections { routers }
            | Step::ResetConnections { routers }
            | Step::RestoreConnections { routers } => routers.clone(),
            Step::Partition { from, to, .. } | Step::Heal { from, to } => [from.clone(), to.clone()].concat(),
            Step::AwaitStatus { observers, members, .. } => [observers.clone(), members.clone()].concat(),
            Step::AwaitView { observers, .. } => observers.clone(),
            Step::Degrade { .. } | Step::Sustain { .. } | Step::WaitPeriods { .. } => Routers::new(),
        }
    }

    /// Whether the step waits for a condition, not for a fixed time.
    pub fn is_wait(&self) -> bool {
        matches!(self, Step::AwaitStatus { .. } | Step::AwaitView { .. })
    }
}
