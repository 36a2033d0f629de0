//! Runs seeds in parallel and prints their violations and totals.

use crate::arguments::Arguments;
use fernknot_simulator::run::{Outcome, simulate};
use fernknot_simulator::{RequestEvent, Rule, Violation};
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of printed violations, and of printed seeds per rule.
const MAX_PRINTED: usize = 40;

/// Accumulated results of the runs of several seeds.
#[derive(Default)]
struct Totals {
    violations: Vec<(u64, Violation)>,
    changes: usize,
    reads: usize,
    drains: usize,
    faults: usize,
    counts: BTreeMap<RequestEvent, u64>,
}

impl Totals {
    fn add_outcome(&mut self, seed: u64, outcome: Outcome) {
        let violations = outcome.violations.into_iter().map(|violation| (seed, violation)).collect();
        let Outcome { changes, reads, drains, faults, counts, .. } = outcome;
        self.merge(Totals { violations, changes, reads, drains, faults, counts });
    }

    fn merge(&mut self, other: Totals) {
        self.violations.extend(other.violations);
        self.changes += other.changes;
        self.reads += other.reads;
        self.drains += other.drains;
        self.faults += other.faults;
        for (event, count) in other.counts {
            *self.counts.entry(event).or_default() += count;
        }
    }

    /// Returns the seeds at which each rule was violated.
    fn seeds_by_rule(&self) -> BTreeMap<Rule, BTreeSet<u64>> {
        let mut seeds_by_rule = BTreeMap::<Rule, BTreeSet<u64>>::new();
        for (seed, violation) in &self.violations {
            seeds_by_rule.entry(violation.rule).or_default().insert(*seed);
        }
        seeds_by_rule
    }

    fn print_violations(&self) {
        for (seed, violation) in self.violations.iter().take(MAX_PRINTED) {
            let (at_ms, rule, text) = (violation.at.as_millis(), violation.rule, &violation.text);
            println!("seed {seed} at {at_ms:.0} ms: {rule}: {text}");
        }
        for (rule, seeds) in self.seeds_by_rule() {
            let first: Vec<String> = seeds.iter().take(MAX_PRINTED).map(u64::to_string).collect();
            println!("{rule}: {} seeds: {}", seeds.len(), first.join(" "));
        }
    }

    fn print_summary(&self, arguments: &Arguments, elapsed: Duration) {
        for (event, count) in &self.counts {
            println!("{}: {count}", event.name());
        }
        let Totals { changes, reads, drains, faults, .. } = self;
        let seeds = arguments.seeds.end.saturating_sub(arguments.seeds.start);
        let broken: BTreeSet<u64> = self.violations.iter().map(|(seed, _)| *seed).collect();
        println!(
            "{seeds} seeds, {} members, {changes} changes, {reads} reads, {drains} drains, {faults} faults, \
             {:.1} s: {} seeds with violations",
            arguments.members,
            elapsed.as_secs_f64(),
            broken.len(),
        );
    }
}

/// Runs all seeds and prints the violations. Fails if there is any.
pub fn run_seeds(arguments: &Arguments) -> ExitCode {
    let started_at = Instant::now();
    let next_seed = AtomicU64::new(arguments.seeds.start);
    let run_remaining_seeds = || {
        let mut totals = Totals::default();
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= arguments.seeds.end {
                return totals;
            }
            totals.add_outcome(seed, simulate(&arguments.settings(seed)));
        }
    };
    let mut totals = Totals::default();
    let all_succeeded = thread::scope(|scope| {
        let threads: Vec<_> = (0..arguments.threads).map(|_| scope.spawn(run_remaining_seeds)).collect();
        threads.into_iter().all(|thread| thread.join().map(|part| totals.merge(part)).is_ok())
    });
    if !all_succeeded {
        eprintln!("a run panicked");
        return ExitCode::FAILURE;
    }
    totals.violations.sort_by_key(|(seed, violation)| (*seed, violation.at));
    totals.print_violations();
    totals.print_summary(arguments, started_at.elapsed());
    ExitCode::from(u8::from(!totals.violations.is_empty()))
}
