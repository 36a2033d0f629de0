//! What was seen on the simulated wire, and the rules that it is held against.

use crate::register::{self, Call, Operation, OperationResult, Verdict, Version};
use crate::world::Simulation;
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// One order of an operator, over all its tries.
#[derive(Clone, Copy, Debug)]
pub struct ChangeRecord {
    pub base: u64,
    pub version: Version,
    pub invoked_at: u64,
    /// Its clear end, if it had one.
    pub completion: Option<(u64, OperationResult)>,
    pub operator: usize,
}

/// A node's word that it leaves, acknowledged by a machine in touch.
#[derive(Clone, Debug)]
pub struct DrainRecord {
    pub node: String,
    pub acknowledged_at: Nanos,
    pub machine: usize,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub at: Nanos,
    pub text: String,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Observations {
    pub changes: Vec<ChangeRecord>,
    pub reads: Vec<Call>,
    /// When a version was first seen in force, by anybody.
    pub first_seen: BTreeMap<Version, u64>,
    pub versions_by_revision: BTreeMap<u64, Version>,
    pub acknowledged: Vec<(Version, Nanos)>,
    pub drains: Vec<DrainRecord>,
    pub drain_count: usize,
    pub final_reads: BTreeMap<usize, Option<Version>>,
    pub violations: Vec<Violation>,
    /// Old answers, for a plant.
    pub stale_responses: BTreeMap<usize, Vec<u8>>,
}

/// Rules that hold however much is lost.
const SAFETY_RULES: [&str; 3] = ["CONFIG", "LINEARIZABLE", "UNDECIDED"];
/// Findings of one play that are kept.
const MAX_VIOLATIONS: usize = 20;

impl Simulation {
    /// Notes that a rule is broken; each rule's first few times.
    pub fn report_violation(&mut self, rule: &'static str, text: String) {
        // Where more is lost than may be, all may stand still; what is said must be true all the same.
        if self.settings.exceeds_fault_budget && !SAFETY_RULES.contains(&rule) {
            return;
        }
        self.trace(|| format!("FOUND {rule}: {text}"));
        let again = self.observations.violations.iter().filter(|finding| finding.rule == rule).count();
        if again < 3 && self.observations.violations.len() < MAX_VIOLATIONS {
            self.observations.violations.push(Violation { rule, at: self.now, text });
        }
    }

    /// Somebody saw this version in force.
    pub fn record_sighting(&mut self, version: Version, moment: u64) {
        self.observations.first_seen.entry(version).or_insert(moment);
    }

    /// The operators' history as the register's tester takes it. An order without a clear end that somebody saw in
    /// force by some moment was taken by then; any other stays in flight.
    pub fn call_history(&self) -> Vec<Call> {
        let orders = self.observations.changes.iter().map(|order| {
            let sighted = self
                .observations
                .first_seen
                .get(&order.version)
                .map(|moment| (*moment, OperationResult::Committed));
            let to = match order.completion {
                // Seen before it was acknowledged: it was in force by then.
                Some((moment, OperationResult::Committed)) => {
                    Some((sighted.map_or(moment, |(seen, _)| seen.min(moment)), OperationResult::Committed))
                }
                Some(end) => Some(end),
                None => sighted,
            };
            Call {
                operation: Operation::Replace { base: order.base, new: order.version },
                invoked_at: order.invoked_at,
                completion: to,
            }
        });
        orders.chain(self.observations.reads.iter().cloned()).collect()
    }

    /// What can only be judged when all is over.
    pub fn check_history(&mut self) {
        for (at, order) in self.observations.changes.clone().into_iter().enumerate() {
            let sighted = self.observations.first_seen.contains_key(&order.version);
            if matches!(order.completion, Some((_, OperationResult::Rejected))) && sighted {
                let text = format!("order {at} ({:?}) was refused and is seen in force", order.version);
                self.report_violation("CONFIG", text);
            }
        }
        let sent: BTreeSet<Version> = self.observations.changes.iter().map(|order| order.version).collect();
        let strange = self.observations.first_seen.keys().find(|version| !sent.contains(version)).copied();
        if let Some(version) = strange {
            self.report_violation("CONFIG", format!("{version:?} is seen in force and was never sent"));
        }
        match register::check_linearizability(&self.call_history()) {
            Verdict::Linearizable => {}
            Verdict::NotLinearizable { initial: on, calls } => {
                let text =
                    format!("no order explains these calls, begun on {on:?}: {}", format_calls(&calls));
                self.report_violation("LINEARIZABLE", text);
            }
            Verdict::Undecided { calls } => {
                let text = format!("not decided, {} calls overlap: {}", calls.len(), format_calls(&calls));
                self.report_violation("UNDECIDED", text);
            }
        }
    }
}

fn format_calls(calls: &[Call]) -> String {
    let lines = calls.iter().map(|call| {
        let op = match call.operation {
            Operation::Read => "read".to_string(),
            Operation::Replace { base, new } => format!("{base}->{}#{}", new.epoch, new.body),
        };
        let to = call.completion.map_or("no end".to_string(), |(to, ret)| match ret {
            OperationResult::Value(Some(found)) => format!("{to} {}#{}", found.epoch, found.body),
            ret => format!("{to} {ret:?}"),
        });
        format!("[{op} {}..{to}]", call.invoked_at)
    });
    lines.collect::<Vec<String>>().join(" ")
}
