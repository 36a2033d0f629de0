//! The rules that the checkers judge, and their violations.

use fernknot::interface::Nanos;
use std::fmt;

/// A rule; `docs/simulator.md` says what each of them asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Changes and drains have a clear response in time, once the system is calm.
    Acks,
    /// Subscribers in touch hold an acknowledged version in time, and all hold the newest in the end.
    Apply,
    /// Retries stay within the budget.
    Budget,
    /// What is acknowledged stays, what is rejected is never in force, and nobody goes back.
    Config,
    /// No route of every version is denied.
    Denied,
    /// Nobody in touch takes a node for ready, or sends to it, too long after its drain.
    Drain,
    /// The operators' history is that of one register.
    Linearizable,
    /// In the end every controller hands out the newest acknowledged version.
    Lost,
    /// A client gets the whole response to its own request.
    Mixed,
    /// A request that was rejected with a promise doesn't run.
    Refused,
    /// A gateway accepts its settings.
    Settings,
    /// A mutating request runs once.
    Twice,
    /// A node gets what a client sent, as it was sent.
    Unasked,
    /// The search for an order of the history was given up: nothing is known.
    Undecided,
}

impl Rule {
    /// The name in what is printed.
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

    /// Whether it holds however much is lost.
    pub(crate) fn is_safety(self) -> bool {
        matches!(self, Rule::Config | Rule::Linearizable | Rule::Undecided)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A rule that was broken in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was noticed, in simulated time.
    pub at: Nanos,
    /// What broke it.
    pub text: String,
}

/// A rule that a checker without a clock has found broken, and by what.
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
