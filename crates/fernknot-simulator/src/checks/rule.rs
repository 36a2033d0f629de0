//! Rules that the checkers verify, and their violations.

use fernknot::interface::Nanos;
use std::fmt;

/// A rule that every run must keep. `docs/simulator.md` defines the rules in detail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Changes and drains receive a definitive response within the acknowledgement deadline while the core is stable.
    Acks,
    /// Subscribers in contact have an acknowledged version within the apply deadline, and all subscribers have the
    /// newest one at the end.
    Apply,
    /// Retries stay within the retry budget.
    Budget,
    /// Acknowledged changes persist, rejected ones are never in force, and no process reverts to an older version.
    Config,
    /// Clients receive only 2xx, 408, 421, 429, 500, 502, 503 and 504, and 404 on the route of a single version.
    Denied,
    /// No process in contact considers a node ready, or sends requests to it, after the drain cutoff.
    Drain,
    /// The operators' history is linearizable as that of one register.
    Linearizable,
    /// At the end every running controller returns the newest acknowledged version of the configuration.
    Lost,
    /// A client receives the complete response to its own request.
    Mixed,
    /// A mutating request is not executed if its client received a status that guarantees that.
    Refused,
    /// A gateway accepts its simulated settings file when it starts.
    Settings,
    /// A mutating request is executed at most once.
    Twice,
    /// A node receives only requests that clients sent, unchanged.
    Unasked,
    /// The linearizability search exceeded its step limit without a verdict.
    Undecided,
}

impl Rule {
    /// Returns the name in printed output.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Acks => "ACKS",
            Rule::Apply => "APPLY",
            Rule::Budget => "BUDGET",
            Rule::Config => "CONFIG",
            Rule::Denied => "DENIED",
            Rule::Drain => "DRAIN",
            Rule::Linearizable => "LINEARIZABLE",
            Rule::Lost => "LOST",
            Rule::Mixed => "MIXED",
            Rule::Refused => "REFUSED",
            Rule::Settings => "SETTINGS",
            Rule::Twice => "TWICE",
            Rule::Unasked => "UNASKED",
            Rule::Undecided => "UNDECIDED",
        }
    }

    /// Returns whether the rule must hold even beyond the fault budget.
    pub(crate) fn is_safety(self) -> bool {
        matches!(self, Rule::Config | Rule::Linearizable | Rule::Undecided)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Violation of a rule in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Simulated time at which the violation was detected.
    pub at: Nanos,
    /// Description of the violation with the processes, versions or times concerned, for a person to read.
    pub text: String,
}

/// Violation found by a checker that does not know the current time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BrokenRule {
    pub rule: Rule,
    pub text: String,
}

impl BrokenRule {
    pub fn new(rule: Rule, text: String) -> BrokenRule {
        BrokenRule { rule, text }
    }
}
