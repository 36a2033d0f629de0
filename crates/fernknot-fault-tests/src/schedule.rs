//! A trial as a schedule of faults and waits, in JSON that can be printed, stored, played again and cut down.

use serde::{Deserialize, Serialize};

/// Routers by their numbers.
pub type Routers = Vec<usize>;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// SIGKILL, all at one moment.
    Kill {
        routers: Routers,
    },
    /// SIGSTOP and SIGCONT.
    Stop {
        routers: Routers,
    },
    Wake {
        routers: Routers,
    },
    /// SIGTERM.
    Term {
        routers: Routers,
    },
    /// Again, with the same names and addresses.
    Start {
        routers: Routers,
    },
    /// Datagrams one way; `secret`: the checker is not told, which plants a break of its promises.
    Cut {
        from: Routers,
        to: Routers,
        #[serde(default)]
        secret: bool,
    },
    Mend {
        from: Routers,
        to: Routers,
    },
    /// Spoils all datagrams among all routers.
    Spoil {
        lose: f64,
        repeat: f64,
        delay_ms: f64,
    },
    /// Connections of these routers to all stores.
    Silence {
        routers: Routers,
    },
    Reset {
        routers: Routers,
    },
    Speak {
        routers: Routers,
    },
    /// Waits until each of `by` says this of each of `of`: a word of `GET /fleet`, or one of several.
    Await {
        by: Routers,
        of: Routers,
        is: Vec<String>,
    },
    /// Waits until each of `by` says so of its own view: `majority`, `young` or `alone`.
    View {
        by: Routers,
        key: String,
        is: bool,
    },
    /// Lets a fault last. For times that are themselves the fault; anything else is awaited.
    Last {
        ms: u64,
    },
    /// Some time after a fault by which all would have shown that was going to.
    Settle {
        periods: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    pub name: String,
    pub routers: usize,
    pub seed: u64,
    /// One other router is probed in each, in milliseconds.
    pub period_ms: f64,
    /// Requests a second of all clients together.
    pub load_per_s: f64,
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Messages name the step at fault.
    pub fn parse(text: &str) -> Result<Schedule, String> {
        let schedule: Schedule =
            serde_json::from_str(text).map_err(|error| format!("the schedule: {error}"))?;
        if !(2..=200).contains(&schedule.routers) {
            return Err(format!("routers: {} is not between 2 and 200", schedule.routers));
        }
        for (index, step) in schedule.steps.iter().enumerate() {
            if let Some(router) = step.routers().into_iter().find(|router| *router >= schedule.routers) {
                return Err(format!("steps[{index}]: there is no router {router}"));
            }
        }
        Ok(schedule)
    }
}

impl Step {
    fn routers(&self) -> Vec<usize> {
        match self {
            Step::Kill { routers }
            | Step::Stop { routers }
            | Step::Wake { routers }
            | Step::Term { routers }
            | Step::Start { routers }
            | Step::Silence { routers }
            | Step::Reset { routers }
            | Step::Speak { routers } => routers.clone(),
            Step::Cut { from, to, .. } | Step::Mend { from, to } => [from.clone(), to.clone()].concat(),
            Step::Await { by, of, .. } => [by.clone(), of.clone()].concat(),
            Step::View { by, .. } => by.clone(),
            Step::Spoil { .. } | Step::Last { .. } | Step::Settle { .. } => Vec::new(),
        }
    }
}
