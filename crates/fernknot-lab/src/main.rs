//! `fernknot-lab NAME`: runs an experiment and prints its figures.

use clap::{Args, Parser, Subcommand};
use fernknot_lab::{report, two_phase};
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Experiments on the engine in simulated time")]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Args)]
struct Runs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, counted up from the first; each is a run of its own.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Simulated seconds of load.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// One JSON object a line instead of a table.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum Experiment {
    /// Queries in two phases: the split, the refusal and the pruning, each against its absence.
    TwoPhase(Runs),
}

fn main() -> ExitCode {
    let Cli { experiment: Experiment::TwoPhase(runs) } = Cli::parse();
    let results = two_phase::results(runs.seed..runs.seed.saturating_add(runs.seeds), runs.seconds);
    let rows: Vec<_> = results.iter().map(|result| &result.row).collect();
    let text = if runs.json { report::json(&rows) } else { report::table(&two_phase::means(&results)) };
    print!("{text}");
    ExitCode::SUCCESS
}
