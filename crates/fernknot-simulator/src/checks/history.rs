//! Reports of violations, and the checks of the control plane's history at the end of a run.

use crate::checks::rule::{BrokenRule, Rule, Violation};

use crate::linearizability::{
    Call, Completion, Operation, OperationResult, Verdict, Version, check_linearizability,
};
use crate::simulation::Simulation;
use std::collections::BTreeSet;

impl Simulation {
    /// Records a violation with the current time, unless the rule need not hold in this run.
    pub(crate) fn report(&mut self, rule: Rule, text: String) {
        // Beyond the fault budget the system may be unavailable, but safety must hold.
        if self.settings.exceeds_fault_budget && !rule.is_safety() {
            return;
        }
        self.trace(|| format!("FOUND {rule}: {text}"));
        self.observations.add_violation(Violation { rule, at: self.now, text });
    }

    pub(crate) fn report_broken_rule(&mut self, broken: Option<BrokenRule>) {
        if let Some(BrokenRule { rule, text }) = broken {
            self.report(rule, text);
        }
    }

    /// Checks the history of the control plane.
    pub(crate) fn check_history(&mut self) {
        self.check_rejected_changes();
        self.check_unknown_versions();
        match check_linearizability(&self.observations.call_history()) {
            Verdict::Linearizable => {}
            Verdict::NotLinearizable { initial, calls } => {
                let calls = format_calls(&calls);
                let text = format!("no order explains these calls, begun on {initial:?}: {calls}");
                self.report(Rule::Linearizable, text);
            }
            Verdict::Undecided { calls } => {
                let text = format!("not decided, {} calls overlap: {}", calls.len(), format_calls(&calls));
                self.report(Rule::Undecided, text);
            }
        }
    }

    fn check_rejected_changes(&mut self) {
        for (index, change) in self.observations.changes.clone().into_iter().enumerate() {
            if change.is_rejected() && self.observations.first_seen.contains_key(&change.version) {
                let text = format!("change {index} ({:?}) was rejected and is seen in force", change.version);
                self.report(Rule::Config, text);
            }
        }
    }

    fn check_unknown_versions(&mut self) {
        let sent: BTreeSet<Version> = self.observations.changes.iter().map(|change| change.version).collect();
        let unknown = self.observations.first_seen.keys().find(|version| !sent.contains(version)).copied();
        if let Some(version) = unknown {
            self.report(Rule::Config, format!("{version:?} is seen in force and was never sent"));
        }
    }
}

fn format_calls(calls: &[Call]) -> String {
    calls.iter().map(format_call).collect::<Vec<_>>().join(" ")
}

fn format_call(call: &Call) -> String {
    let operation = match call.operation {
        Operation::Read => "read".to_string(),
        Operation::Replace { base, new } => format!("{base}->{}#{}", new.epoch, new.body),
    };
    let completion = call.completion.map_or("no end".to_string(), |Completion { at, result }| match result {
        OperationResult::Value(Some(found)) => format!("{at} {}#{}", found.epoch, found.body),
        other => format!("{at} {other:?}"),
    });
    format!("[{operation} {}..{completion}]", call.invoked_at)
}
