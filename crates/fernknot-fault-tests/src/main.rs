//! `fernknot-fault-tests NAME`: plays trials and prints what they showed, an object or a row each.

use clap::Parser;
use fernknot_fault_tests::rig;
use fernknot_fault_tests::scenes::{NAMES, scene};
use fernknot_fault_tests::schedule::{Schedule, Step};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Many processes of the router, and faults between them")]
struct Cli {
    /// One of the trials, or `all`.
    #[arg(default_value = "all")]
    name: String,
    /// A schedule to play in place of a named trial.
    #[arg(long)]
    schedule: Option<PathBuf>,
    #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(3..=200))]
    routers: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// One other router is probed in each, in milliseconds.
    #[arg(long, default_value_t = 400.0)]
    period: f64,
    /// One JSON object a line.
    #[arg(long)]
    json: bool,
    /// Prints the schedule and plays nothing.
    #[arg(long)]
    print: bool,
}

#[derive(Serialize)]
struct Row {
    experiment: &'static str,
    variant: String,
    seed: u64,
    routers: usize,
    requests: usize,
    unanswered: usize,
    double_effects: usize,
    answered_wrongly: usize,
    false_lost: usize,
    breaks: usize,
    /// The longest that the schedule waited for a word of all that were asked.
    longest_wait_ms: f64,
    datagrams_per_s: f64,
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("fernknot-fault-tests: {message}");
            ExitCode::from(2)
        }
    }
}

fn schedules(cli: &Cli) -> Result<Vec<Schedule>, String> {
    if let Some(path) = &cli.schedule {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        return Ok(vec![Schedule::parse(&text)?]);
    }
    if !(20.0..=60_000.0).contains(&cli.period) {
        return Err(format!("--period: {} is not between 20 and 60000", cli.period));
    }
    let names: Vec<&str> = if cli.name == "all" { NAMES.to_vec() } else { vec![&cli.name] };
    let seeds = cli.seed..cli.seed.saturating_add(cli.seeds);
    let of = |name: &str, seed| {
        scene(name, cli.routers as usize, seed, cli.period)
            .ok_or_else(|| format!("{name:?} is none of {}, all", NAMES.join(", ")))
    };
    names.iter().flat_map(|name| seeds.clone().map(move |seed| of(name, seed))).collect()
}

/// Whether all promises were kept.
fn run(cli: &Cli) -> Result<bool, String> {
    let mut kept = true;
    for schedule in schedules(cli)? {
        if cli.print {
            println!("{}", serde_json::to_string_pretty(&schedule).map_err(|error| error.to_string())?);
            continue;
        }
        let outcome = rig::play(&schedule)?;
        kept &= outcome.breaks.is_empty();
        let of = |promise| {
            outcome.breaks.iter().filter(|one| one.promise == promise).map(|one| one.lines.len()).sum()
        };
        let waits = outcome
            .waits
            .iter()
            .filter(|(index, _)| matches!(schedule.steps[*index], Step::Await { .. } | Step::View { .. }));
        let longest = waits.map(|(_, took)| took.as_secs_f64() * 1e3).fold(0.0, f64::max);
        let row = Row {
            experiment: "membership",
            variant: schedule.name.clone(),
            seed: schedule.seed,
            routers: schedule.routers,
            requests: outcome.history.requests.len(),
            unanswered: outcome.history.unanswered(),
            double_effects: outcome.history.double_effects().len(),
            answered_wrongly: outcome.history.answered_wrongly().len(),
            false_lost: of("no-false-lost"),
            breaks: outcome.breaks.len(),
            longest_wait_ms: longest.round(),
            datagrams_per_s: (outcome.datagrams_per_s * 10.0).round() / 10.0,
        };
        let text = serde_json::to_string(&row).map_err(|error| error.to_string())?;
        if cli.json {
            println!("{text}");
        } else {
            println!("{:10} seed {:3}: {text}", row.variant, row.seed);
        }
        for one in &outcome.breaks {
            eprintln!("BROKEN {}:", one.promise);
            one.lines.iter().take(10).for_each(|line| eprintln!("  {line}"));
        }
    }
    Ok(kept)
}
