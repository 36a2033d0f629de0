//! A complete run, from its seed to the verdicts of the checkers.

use crate::checks::requests::RequestEvent;
use crate::checks::rule::{Rule, Violation};
use crate::faults::schedule::{Fault, draw_core_splits, draw_fault_schedule};
use crate::faults::series::draw_series_schedule;
use crate::linearizability::Version;
use crate::rng::Rng;
use crate::settings::Settings;
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// Earliest time of a fault, which leaves the system time to form its first view.
const FIRST_FAULT_AT: Nanos = millis(2500);
/// Value XORed into the run's seed for the fault schedule, so that its draws differ from all others.
const SCHEDULE_SEED: u64 = 0x7200_b1e5;
/// Value XORed into the run's seed for the core splits.
const SPLIT_SEED: u64 = 0x5b11_7c0e;

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violations in the order of their detection: at most three of each rule, and at most 20 in all.
    pub violations: Vec<Violation>,
    /// Number of changes that operators sent.
    pub changes: usize,
    /// Number of reads that returned a configuration, or 404 for none.
    pub reads: usize,
    /// Number of acknowledged drains.
    pub drains: usize,
    /// Number of faults that were injected, or skipped because they would exceed the budget or no machine was running.
    pub faults: usize,
    /// Number of events of each kind in the processing of requests.
    pub counts: BTreeMap<RequestEvent, u64>,
    /// Log lines; empty unless `Settings::trace` is set.
    pub log: Vec<String>,
}

/// Returns the fault schedule drawn from the seed of these settings.
pub fn fault_schedule(settings: &Settings) -> Vec<Fault> {
    let rng = Rng::new(settings.seed ^ SCHEDULE_SEED);
    if settings.changes_in_series {
        return draw_series_schedule(&rng, FIRST_FAULT_AT, settings.fault_period);
    }
    let mut faults = draw_fault_schedule(&rng, FIRST_FAULT_AT, settings.fault_period);
    if settings.splits_core {
        let rng = Rng::new(settings.seed ^ SPLIT_SEED);
        faults.extend(draw_core_splits(&rng, FIRST_FAULT_AT, settings.fault_period));
    }
    faults
}

/// Runs a simulation with the fault schedule of its seed.
pub fn simulate(settings: &Settings) -> Outcome {
    simulate_with_faults(settings, fault_schedule(settings))
}

/// Runs a simulation with these faults.
pub fn simulate_with_faults(settings: &Settings, faults: Vec<Fault>) -> Outcome {
    let mut simulation = Simulation::new(settings.clone(), faults);
    simulation.run_fault_period();
    simulation.complete_changes();
    simulation.check_final_versions();
    simulation.check_requests();
    simulation.check_history();
    Outcome {
        violations: simulation.observations.violations,
        changes: simulation.observations.changes.len(),
        reads: simulation.observations.reads.len(),
        drains: simulation.observations.drain_count,
        faults: simulation.faults.injected.len(),
        counts: simulation.traffic.checker.counts,
        log: simulation.log,
    }
}

impl Simulation {
    /// Runs the fault period, ends all faults, and runs until all processes should be in contact again.
    fn run_fault_period(&mut self) {
        let fault_period = self.settings.fault_period;
        self.run_until(fault_period);
        self.end_all_faults();
        self.run_until(fault_period + millis(2000) + self.settings.bounds.contact_timeout);
    }

    /// Runs until every change should have a definitive response, then submits one more change and checks that no
    /// change is left without a definitive response.
    fn complete_changes(&mut self) {
        let ack_deadline = self.settings.bounds.ack_deadline;
        self.control_clients.in_final_phase = true;
        self.resume_changes();
        self.run_until(self.now + ack_deadline + millis(2000));
        self.settings.max_changes += 1;
        // The operator needs the newest epoch as the base of its next change.
        self.send_read(Some(0), None);
        self.run_until(self.now + millis(2500));
        let newest = self.control_clients.newest_known_epoch();
        self.submit_change(0, newest, newest + 1);
        self.run_until(self.now + ack_deadline + millis(500));
        if !self.control_clients.pending_changes().is_empty() {
            self.report(Rule::Acks, "at the end a change has no clear response".into());
        }
    }

    /// Checks that every running controller returns the newest acknowledged version and that every subscriber has it.
    fn check_final_versions(&mut self) {
        let running = self.running_machines();
        for machine in &running {
            self.send_read(None, Some(*machine));
        }
        self.run_until(self.now + self.settings.bounds.ack_deadline);
        let newest = self.observations.newest_acknowledged();
        for machine in running {
            self.check_final_read(machine, newest);
        }
        for (index, version) in self.subscribers.versions().into_iter().enumerate() {
            if version != newest {
                let text = format!("in the end subscriber {index} holds {version:?} and not {newest:?}");
                self.report(Rule::Apply, text);
            }
        }
    }

    fn check_final_read(&mut self, machine: usize, newest: Option<Version>) {
        match self.observations.final_reads.get(&machine).copied() {
            None => self.report(Rule::Lost, format!("{machine} hands out nothing in the end")),
            Some(found) if found != newest => {
                let text = format!("in the end {machine} hands out {found:?}, acknowledged was {newest:?}");
                self.report(Rule::Lost, text);
            }
            Some(_) => {}
        }
    }
}

/// Tries the run without each fault, from the last to the first, and drops the fault if the rule that was violated
/// first is still violated. Returns the remaining faults and the outcome with them; all faults if no rule is violated.
pub fn shrink(settings: &Settings) -> (Vec<Fault>, Outcome) {
    let mut faults = fault_schedule(settings);
    let mut outcome = simulate_with_faults(settings, faults.clone());
    let Some(rule) = outcome.violations.first().map(|violation| violation.rule) else {
        return (faults, outcome);
    };
    for dropped in (0..faults.len()).rev() {
        let mut fewer = faults.clone();
        fewer.remove(dropped);
        let next = simulate_with_faults(settings, fewer.clone());
        if next.violations.iter().any(|violation| violation.rule == rule) {
            (faults, outcome) = (fewer, next);
        }
    }
    (faults, outcome)
}
