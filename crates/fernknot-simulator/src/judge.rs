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
    pub from: u64,
    /// Its clear end, if it had one.
    pub to: Option<(u64, OperationResult)>,
    pub by: usize,
}

/// A node's word that it leaves, acknowledged by a machine in touch.
#[derive(Clone, Debug)]
pub struct DrainRecord {
    pub node: String,
    pub at: Nanos,
    pub by: usize,
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
    pub orders: Vec<ChangeRecord>,
    pub reads: Vec<Call>,
    /// When a version was first seen in force, by anybody.
    pub sightings: BTreeMap<Version, u64>,
    pub by_order: BTreeMap<u64, Version>,
    pub acknowledged: Vec<(Version, Nanos)>,
    pub drains: Vec<DrainRecord>,
    pub drains_seen: usize,
    pub last_reads: BTreeMap<usize, Option<Version>>,
    pub findings: Vec<Violation>,
    /// Old answers, for a plant.
    pub kept: BTreeMap<usize, Vec<u8>>,
}

/// Rules that hold however much is lost.
const SAFETY: [&str; 3] = ["CONFIG", "LINEARIZABLE", "UNDECIDED"];
/// Findings of one play that are kept.
const MOST_FINDINGS: usize = 20;

impl Simulation {
    /// Notes that a rule is broken; each rule's first few times.
    pub fn found(&mut self, rule: &'static str, text: String) {
        // Where more is lost than may be, all may stand still; what is said must be true all the same.
        if self.facts.beyond && !SAFETY.contains(&rule) {
            return;
        }
        self.say(|| format!("FOUND {rule}: {text}"));
        let again = self.seen.findings.iter().filter(|finding| finding.rule == rule).count();
        if again < 3 && self.seen.findings.len() < MOST_FINDINGS {
            self.seen.findings.push(Violation { rule, at: self.now, text });
        }
    }

    /// Somebody saw this version in force.
    pub fn sighted(&mut self, version: Version, moment: u64) {
        self.seen.sightings.entry(version).or_insert(moment);
    }

    /// The operators' history as the register's tester takes it. An order without a clear end that somebody saw in
    /// force by some moment was taken by then; any other stays in flight.
    pub fn history(&self) -> Vec<Call> {
        let orders = self.seen.orders.iter().map(|order| {
            let sighted =
                self.seen.sightings.get(&order.version).map(|moment| (*moment, OperationResult::Taken));
            let to = match order.to {
                // Seen before it was acknowledged: it was in force by then.
                Some((moment, OperationResult::Taken)) => {
                    Some((sighted.map_or(moment, |(seen, _)| seen.min(moment)), OperationResult::Taken))
                }
                Some(end) => Some(end),
                None => sighted,
            };
            Call { op: Operation::Replace { base: order.base, new: order.version }, from: order.from, to }
        });
        orders.chain(self.seen.reads.iter().cloned()).collect()
    }

    /// What can only be judged when all is over.
    pub fn judge(&mut self) {
        for (at, order) in self.seen.orders.clone().into_iter().enumerate() {
            let sighted = self.seen.sightings.contains_key(&order.version);
            if matches!(order.to, Some((_, OperationResult::Refused))) && sighted {
                let text = format!("order {at} ({:?}) was refused and is seen in force", order.version);
                self.found("CONFIG", text);
            }
        }
        let sent: BTreeSet<Version> = self.seen.orders.iter().map(|order| order.version).collect();
        let strange = self.seen.sightings.keys().find(|version| !sent.contains(version)).copied();
        if let Some(version) = strange {
            self.found("CONFIG", format!("{version:?} is seen in force and was never sent"));
        }
        match register::judge(&self.history()) {
            Verdict::Linearizable => {}
            Verdict::Broken { on, calls } => {
                let text = format!("no order explains these calls, begun on {on:?}: {}", listed(&calls));
                self.found("LINEARIZABLE", text);
            }
            Verdict::Undecided { calls } => {
                let text = format!("not decided, {} calls overlap: {}", calls.len(), listed(&calls));
                self.found("UNDECIDED", text);
            }
        }
    }
}

fn listed(calls: &[Call]) -> String {
    let lines = calls.iter().map(|call| {
        let op = match call.op {
            Operation::Read => "read".to_string(),
            Operation::Replace { base, new } => format!("{base}->{}#{}", new.epoch, new.body),
        };
        let to = call.to.map_or("no end".to_string(), |(to, ret)| match ret {
            OperationResult::Found(Some(found)) => format!("{to} {}#{}", found.epoch, found.body),
            ret => format!("{to} {ret:?}"),
        });
        format!("[{op} {}..{to}]", call.from)
    });
    lines.collect::<Vec<String>>().join(" ")
}
