//! A test run as a schedule of faults and waits, in JSON that can be printed, stored, played again and cut down.
//!
//! The names in the JSON are part of the format; the code's names differ where the field has another term.

use crate::error::ScheduleError;
use serde::{Deserialize, Serialize};

/// Routers by their numbers, from 0.
pub type Routers = Vec<usize>;

/// The numbers of routers that a schedule may have.
const ROUTER_COUNTS: std::ops::RangeInclusive<usize> = 2..=200;

/// A fault that is injected or ended, or a wait.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// SIGKILL, to all at one moment.
    Kill {
        /// Whom to kill.
        routers: Routers,
    },
    /// SIGSTOP.
    #[serde(rename = "stop")]
    Suspend {
        /// Whom to suspend.
        routers: Routers,
    },
    /// SIGCONT.
    #[serde(rename = "wake")]
    Resume {
        /// Whom to resume.
        routers: Routers,
    },
    /// SIGTERM.
    #[serde(rename = "term")]
    Terminate {
        /// Whom to terminate.
        routers: Routers,
    },
    /// Starts routers again, with the same names and addresses.
    Start {
        /// Whom to start.
        routers: Routers,
    },
    /// Drops datagrams one way.
    #[serde(rename = "cut")]
    Partition {
        /// Their senders.
        from: Routers,
        /// Their receivers.
        to: Routers,
        /// It is hidden from the checker, so that this finds a broken promise: a seeded bug.
        #[serde(rename = "secret", default)]
        hidden: bool,
    },
    /// Ends all faults of datagrams one way.
    #[serde(rename = "mend")]
    Heal {
        /// Their senders.
        from: Routers,
        /// Their receivers.
        to: Routers,
    },
    /// Degrades the links among all routers.
    #[serde(rename = "spoil")]
    Degrade {
        /// The share of datagrams to drop, from 0 to 1.
        #[serde(rename = "lose")]
        loss: f64,
        /// The share of datagrams to deliver twice, from 0 to 1.
        #[serde(rename = "repeat")]
        duplication: f64,
        /// The most by which a datagram is delayed, in milliseconds.
        #[serde(rename = "delay_ms")]
        max_delay_ms: f64,
    },
    /// Stalls connections to all stores: open, and nothing gets through.
    #[serde(rename = "silence")]
    StallConnections {
        /// Whose connections.
        routers: Routers,
    },
    /// Resets connections to all stores.
    #[serde(rename = "reset")]
    ResetConnections {
        /// Whose connections.
        routers: Routers,
    },
    /// Lets connections to all stores pass again.
    #[serde(rename = "speak")]
    RestoreConnections {
        /// Whose connections.
        routers: Routers,
    },
    /// Waits until each observer shows each member (itself apart) with one of these statuses.
    #[serde(rename = "await")]
    AwaitStatus {
        /// The routers that are asked.
        #[serde(rename = "by")]
        observers: Routers,
        /// The routers that they are asked about.
        #[serde(rename = "of")]
        members: Routers,
        /// Status names of `GET /fleet` ([`status_names`](crate::status_names)).
        #[serde(rename = "is")]
        statuses: Vec<String>,
    },
    /// Waits until each observer reports this of its own view.
    #[serde(rename = "view")]
    AwaitView {
        /// The routers that are asked.
        #[serde(rename = "by")]
        observers: Routers,
        /// `majority`, `young` or `alone`.
        key: String,
        /// Its value.
        #[serde(rename = "is")]
        value: bool,
    },
    /// Lets a fault last. For times that are themselves the fault; anything else is awaited.
    #[serde(rename = "last")]
    Sustain {
        /// How long, in milliseconds.
        ms: u64,
    },
    /// Some time after a fault by which all would have shown that was going to.
    #[serde(rename = "settle")]
    WaitPeriods {
        /// How long, in probe periods.
        periods: u64,
    },
}

/// A test run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Its name, for the output.
    pub name: String,
    /// How many routers there are.
    pub routers: usize,
    /// Determines the random choices of relays and clients.
    pub seed: u64,
    /// The probe period of membership, in milliseconds.
    pub period_ms: f64,
    /// Requests a second of all clients together.
    pub load_per_s: f64,
    /// What happens, in this order.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// A schedule from JSON.
    ///
    /// # Errors
    ///
    /// A [`ScheduleError`], which names the step at fault.
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
    /// All routers that the step names.
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

    /// Whether the step waits for a condition.
    pub fn is_wait(&self) -> bool {
        matches!(self, Step::AwaitStatus { .. } | Step::AwaitView { .. })
    }
}
