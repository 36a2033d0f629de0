//! `fernknot-simulator play --seeds FROM..TO` plays seeds side by side and names those where a rule broke;
//! `fernknot-simulator replay SEED` prints one with its log, shrunk to the troubles that it needs.

use fernknot_simulator::play::{Settings, shrink, simulate, simulate_with_faults};
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

const HELP: &str =
    "fernknot-simulator play --seeds FROM..TO [--members 3|5] [--threads N] [--beyond] [--system]
fernknot-simulator replay SEED [--members 3|5] [--beyond] [--whole] [--system]

play    ends with 1 where a rule broke, and names the seeds
replay  prints the log and who knew what; without --whole, of the fewest troubles that still break the rule
--beyond  more is lost than the budget allows: only what must hold all the same is judged
--system  with the real gateways, among clients and nodes that answer";
/// Threads, where none are asked for.
const THREADS: usize = 4;
/// Findings that are printed.
const MOST_PRINTED: usize = 40;

struct RequestRecord {
    verb: String,
    seed: u64,
    seeds: (u64, u64),
    members: usize,
    threads: usize,
    whole: bool,
    beyond: bool,
    system: bool,
}

impl RequestRecord {
    fn facts(&self, seed: u64) -> Settings {
        let facts = if self.system {
            Settings::whole_system(seed, self.members)
        } else {
            Settings::new(seed, self.members)
        };
        Settings { exceeds_fault_budget: self.beyond, ..facts }
    }
}

fn asked() -> Result<RequestRecord, lexopt::Error> {
    use lexopt::prelude::*;
    let mut asked = RequestRecord {
        verb: String::new(),
        seed: 0,
        seeds: (0, 0),
        members: 3,
        threads: THREADS,
        whole: false,
        beyond: false,
        system: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(word) = parser.next()? {
        match word {
            Long("seeds") => {
                let text = parser.value()?.string()?;
                let (from, to) = text.split_once("..").ok_or("--seeds wants FROM..TO")?;
                asked.seeds = (from.parse().map_err(|_| "no number")?, to.parse().map_err(|_| "no number")?);
            }
            Long("members") => asked.members = parser.value()?.parse()?,
            Long("threads") => asked.threads = parser.value()?.parse()?,
            Long("whole") => asked.whole = true,
            Long("system") => asked.system = true,
            Long("beyond") => asked.beyond = true,
            Value(word) if asked.verb.is_empty() => asked.verb = word.string()?,
            Value(word) => asked.seed = word.parse()?,
            _ => return Err(word.unexpected()),
        }
    }
    if !(1..=9).contains(&asked.members) || !(1..=64).contains(&asked.threads) {
        return Err("1 to 9 members, 1 to 64 threads".into());
    }
    Ok(asked)
}

fn play_all(asked: &RequestRecord) -> ExitCode {
    let begun = Instant::now();
    let next = AtomicU64::new(asked.seeds.0);
    let [orders, reads, drains, troubles] = [const { AtomicU64::new(0) }; 4];
    let found = Mutex::new(Vec::new());
    let counts = Mutex::new(BTreeMap::<&str, u64>::new());
    std::thread::scope(|scope| {
        for _ in 0..asked.threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= asked.seeds.1 {
                        return;
                    }
                    let outcome = simulate(&asked.facts(seed));
                    orders.fetch_add(outcome.changes as u64, Ordering::Relaxed);
                    reads.fetch_add(outcome.reads as u64, Ordering::Relaxed);
                    drains.fetch_add(outcome.drains as u64, Ordering::Relaxed);
                    troubles.fetch_add(outcome.faults as u64, Ordering::Relaxed);
                    if let Ok(mut counts) = counts.lock() {
                        outcome
                            .counts
                            .iter()
                            .for_each(|(what, count)| *counts.entry(what).or_default() += count);
                    }
                    if let Ok(mut found) = found.lock() {
                        found.extend(outcome.violations.into_iter().map(|finding| (seed, finding)));
                    }
                }
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_default();
    found.sort_by_key(|(seed, finding)| (*seed, finding.at));
    for (seed, finding) in found.iter().take(MOST_PRINTED) {
        println!("seed {seed} at {:.0} ms: {}: {}", finding.at.as_millis(), finding.rule, finding.text);
    }
    let mut seeds: Vec<u64> = found.iter().map(|(seed, _)| *seed).collect();
    seeds.dedup();
    let mut rules = BTreeMap::<&str, BTreeSet<u64>>::new();
    found.iter().for_each(|(seed, finding)| _ = rules.entry(finding.rule).or_default().insert(*seed));
    for (rule, seeds) in &rules {
        let first: Vec<String> = seeds.iter().take(MOST_PRINTED).map(u64::to_string).collect();
        println!("{rule}: {} seeds: {}", seeds.len(), first.join(" "));
    }
    for (what, count) in counts.into_inner().unwrap_or_default() {
        println!("{what}: {count}");
    }
    println!(
        "{} seeds, {} members, {} orders, {} reads, {} drains, {} troubles, {:.1} s: {} seeds with findings",
        asked.seeds.1.saturating_sub(asked.seeds.0),
        asked.members,
        orders.into_inner(),
        reads.into_inner(),
        drains.into_inner(),
        troubles.into_inner(),
        begun.elapsed().as_secs_f64(),
        seeds.len(),
    );
    ExitCode::from(u8::from(!seeds.is_empty()))
}

fn replay(asked: &RequestRecord) -> ExitCode {
    let mut facts = asked.facts(asked.seed);
    let troubles = if asked.whole { facts.fault_schedule() } else { shrink(&facts).0 };
    facts.trace = true;
    let outcome = simulate_with_faults(&facts, troubles);
    for line in &outcome.log {
        println!("{line}");
    }
    for finding in &outcome.violations {
        println!("at {:.0} ms: {}: {}", finding.at.as_millis(), finding.rule, finding.text);
    }
    ExitCode::from(u8::from(!outcome.violations.is_empty()))
}

fn main() -> ExitCode {
    match asked() {
        Ok(asked) if asked.verb == "play" => play_all(&asked),
        Ok(asked) if asked.verb == "replay" => replay(&asked),
        Ok(_) => {
            eprintln!("{HELP}");
            ExitCode::from(2)
        }
        Err(why) => {
            eprintln!("{why}\n{HELP}");
            ExitCode::from(2)
        }
    }
}
