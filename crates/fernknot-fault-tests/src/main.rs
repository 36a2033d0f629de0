//! `fernknot-fault-tests NAME`: runs fault scenarios and prints their figures, one line for each run.

use clap::Parser;
use fernknot_fault_tests::checker::{NO_FALSE_FAILURE, Violation};
use fernknot_fault_tests::runner::{RunResult, run_schedule};
use fernknot_fault_tests::scenarios::{NAMES, scenario};
use fernknot_fault_tests::schedule::Schedule;
use fernknot_fault_tests::{FaultTestError, ScheduleError};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Range of valid probe periods, in milliseconds.
const VALID_PERIODS_MS: std::ops::RangeInclusive<f64> = 20.0..=60_000.0;
/// Maximum number of lines of evidence printed for a violation.
const MAX_EVIDENCE_LINES: usize = 10;
/// Exit code after an error that prevented a run, as opposed to a violation.
const EXIT_ERROR: u8 = 2;

#[derive(Parser)]
#[command(about = "Runs fault scenarios with many router processes")]
struct Cli {
    /// Name of a scenario, or `all`.
    #[arg(default_value = "all")]
    name: String,
    /// File with a schedule to run instead of a named scenario.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Number of routers.
    #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(3..=200))]
    routers: u64,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds; each is a separate run.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Probe period of the membership protocol, in milliseconds.
    #[arg(long, default_value_t = 400.0)]
    period: f64,
    /// Print one JSON object per line, without a prefix.
    #[arg(long)]
    json: bool,
    /// Print the schedules instead of running them.
    #[arg(long)]
    print: bool,
}

/// Error that prevented some or all runs.
#[derive(Debug, Error)]
enum CliError {
    #[error("cannot read the schedule {}: {source}", path.display())]
    ReadSchedule { path: PathBuf, source: std::io::Error },
    #[error("--period: {0} is not between 20 and 60000")]
    Period(f64),
    #[error("unknown scenario {0:?}; known are {names}, all", names = NAMES.join(", "))]
    UnknownScenario(String),
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    #[error(transparent)]
    Run(#[from] FaultTestError),
    #[error(transparent)]
    Print(#[from] serde_json::Error),
}

/// Figures of a run, as printed. The keys are part of the output format.
#[derive(Serialize)]
struct Row {
    experiment: &'static str,
    variant: String,
    seed: u64,
    routers: usize,
    requests: usize,
    unanswered: usize,
    double_effects: usize,
    #[serde(rename = "answered_wrongly")]
    wrong_answers: usize,
    #[serde(rename = "false_lost")]
    false_failures: usize,
    #[serde(rename = "breaks")]
    violations: usize,
    /// Longest time that a completed step of the schedule waited for a condition.
    longest_wait_ms: f64,
    datagrams_per_s: f64,
}

impl Row {
    fn new(schedule: &Schedule, result: &RunResult) -> Row {
        Row {
            experiment: "membership",
            variant: schedule.name.clone(),
            seed: schedule.seed,
            routers: schedule.routers,
            requests: result.history.requests.len(),
            unanswered: result.history.unanswered(),
            double_effects: result.history.duplicate_effects().len(),
            wrong_answers: result.history.wrong_answers().len(),
            false_failures: count_evidence_lines(&result.violations, NO_FALSE_FAILURE),
            violations: result.violations.len(),
            longest_wait_ms: (longest_wait(schedule, result).as_secs_f64() * 1e3).round(),
            datagrams_per_s: (result.datagrams_per_s * 10.0).round() / 10.0,
        }
    }
}

fn count_evidence_lines(violations: &[Violation], invariant: &str) -> usize {
    let of_invariant = violations.iter().filter(|violation| violation.invariant == invariant);
    of_invariant.map(|violation| violation.evidence.len()).sum()
}

fn longest_wait(schedule: &Schedule, result: &RunResult) -> Duration {
    let durations = result.step_durations.iter();
    let waits = durations.filter(|(index, _)| schedule.steps[*index].is_wait());
    waits.map(|(_, duration)| *duration).max().unwrap_or_default()
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fernknot-fault-tests: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs all selected schedules; returns whether no invariant was violated.
fn run(cli: &Cli) -> Result<bool, CliError> {
    let mut all_held = true;
    for schedule in schedules(cli)? {
        if cli.print {
            println!("{}", serde_json::to_string_pretty(&schedule)?);
            continue;
        }
        let result = run_schedule(&schedule)?;
        all_held &= result.violations.is_empty();
        print_result(cli, &Row::new(&schedule, &result), &result.violations)?;
    }
    Ok(all_held)
}

fn schedules(cli: &Cli) -> Result<Vec<Schedule>, CliError> {
    if let Some(path) = &cli.schedule {
        let read = std::fs::read_to_string(path);
        let text = read.map_err(|source| CliError::ReadSchedule { path: path.clone(), source })?;
        return Ok(vec![Schedule::parse(&text)?]);
    }
    if !VALID_PERIODS_MS.contains(&cli.period) {
        return Err(CliError::Period(cli.period));
    }
    let names: Vec<&str> = if cli.name == "all" { NAMES.to_vec() } else { vec![&cli.name] };
    let seeds = cli.seed..cli.seed.saturating_add(cli.seeds);
    let schedule = |name: &str, seed| {
        scenario(name, cli.routers as usize, seed, cli.period)
            .ok_or_else(|| CliError::UnknownScenario(name.to_string()))
    };
    names.iter().flat_map(|name| seeds.clone().map(move |seed| schedule(name, seed))).collect()
}

fn print_result(cli: &Cli, row: &Row, violations: &[Violation]) -> Result<(), CliError> {
    let text = serde_json::to_string(row)?;
    if cli.json {
        println!("{text}");
    } else {
        println!("{:10} seed {:3}: {text}", row.variant, row.seed);
    }
    for violation in violations {
        eprintln!("VIOLATED {}:", violation.invariant);
        for line in violation.evidence.iter().take(MAX_EVIDENCE_LINES) {
            eprintln!("  {line}");
        }
    }
    Ok(())
}
