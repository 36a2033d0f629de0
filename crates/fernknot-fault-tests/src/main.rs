//! `fernknot-fault-tests NAME`: plays scenarios under faults and prints what they showed, an object or a row each.

use clap::Parser;
use fernknot_fault_tests::checker::{NO_FALSE_FAILURE, Violation};
use fernknot_fault_tests::runner::{RunResult, play};
use fernknot_fault_tests::scenarios::{NAMES, scenario};
use fernknot_fault_tests::schedule::Schedule;
use fernknot_fault_tests::{FaultTestError, ScheduleError};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// The probe periods that may be asked for, in milliseconds.
const PERIODS_MS: std::ops::RangeInclusive<f64> = 20.0..=60_000.0;
/// Lines of evidence that are printed of a violation.
const MAX_EVIDENCE_LINES: usize = 10;
/// The exit code where no run could be played.
const EXIT_NOT_PLAYED: u8 = 2;

#[derive(Parser)]
#[command(about = "Many processes of the router, and faults between them")]
struct Cli {
    /// One of the scenarios, or `all`.
    #[arg(default_value = "all")]
    name: String,
    /// A schedule to play in place of a named scenario.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// How many routers there are.
    #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(3..=200))]
    routers: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, counted up from the first; each is a run of its own.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// The probe period of membership, in milliseconds.
    #[arg(long, default_value_t = 400.0)]
    period: f64,
    /// One JSON object a line.
    #[arg(long)]
    json: bool,
    /// Prints the schedule and plays nothing.
    #[arg(long)]
    print: bool,
}

/// Why nothing, or not all, could be played.
#[derive(Debug, Error)]
enum CliError {
    #[error("{}: {source}", path.display())]
    ReadSchedule { path: PathBuf, source: std::io::Error },
    #[error("--period: {0} is not between 20 and 60000")]
    Period(f64),
    #[error("{0:?} is none of {names}, all", names = NAMES.join(", "))]
    UnknownScenario(String),
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    #[error(transparent)]
    Run(#[from] FaultTestError),
    #[error(transparent)]
    Print(#[from] serde_json::Error),
}

/// What is printed of a run. The keys are part of the output's format.
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
    /// The longest that the schedule waited for a condition.
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
            double_effects: result.history.double_effects().len(),
            wrong_answers: result.history.wrong_answers().len(),
            false_failures: evidence_lines(&result.violations, NO_FALSE_FAILURE),
            violations: result.violations.len(),
            longest_wait_ms: (longest_wait(schedule, result).as_secs_f64() * 1e3).round(),
            datagrams_per_s: (result.datagrams_per_s * 10.0).round() / 10.0,
        }
    }
}

fn evidence_lines(violations: &[Violation], promise: &str) -> usize {
    let of_promise = violations.iter().filter(|violation| violation.promise == promise);
    of_promise.map(|violation| violation.evidence.len()).sum()
}

fn longest_wait(schedule: &Schedule, result: &RunResult) -> Duration {
    let durations = result.step_durations.iter();
    let waits = durations.filter(|(index, _)| schedule.steps[*index].is_wait());
    waits.map(|(_, took)| *took).max().unwrap_or_default()
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fernknot-fault-tests: {error}");
            ExitCode::from(EXIT_NOT_PLAYED)
        }
    }
}

/// Whether all promises were kept.
fn run(cli: &Cli) -> Result<bool, CliError> {
    let mut all_kept = true;
    for schedule in schedules(cli)? {
        if cli.print {
            println!("{}", serde_json::to_string_pretty(&schedule)?);
            continue;
        }
        let result = play(&schedule)?;
        all_kept &= result.violations.is_empty();
        print_result(cli, &Row::new(&schedule, &result), &result.violations)?;
    }
    Ok(all_kept)
}

fn schedules(cli: &Cli) -> Result<Vec<Schedule>, CliError> {
    if let Some(path) = &cli.schedule {
        let read = std::fs::read_to_string(path);
        let text = read.map_err(|source| CliError::ReadSchedule { path: path.clone(), source })?;
        return Ok(vec![Schedule::parse(&text)?]);
    }
    if !PERIODS_MS.contains(&cli.period) {
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
        eprintln!("BROKEN {}:", violation.promise);
        for line in violation.evidence.iter().take(MAX_EVIDENCE_LINES) {
            eprintln!("  {line}");
        }
    }
    Ok(())
}
