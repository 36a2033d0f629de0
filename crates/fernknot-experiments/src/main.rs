//! `fernknot-experiments NAME`: runs an experiment and prints its figures.

use clap::{Args, Parser, Subcommand};
use fernknot_experiments::{fleet, report, two_phase};
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
    /// Membership among query routers: each scenario against plain SWIM and fixed heartbeats.
    Fleet {
        #[command(flatten)]
        runs: Runs,
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(3..=3000))]
        routers: u32,
        /// One scenario alone.
        #[arg(long, value_parser = fleet::SCENARIOS)]
        scenario: Option<String>,
        /// One variant alone.
        #[arg(long, value_parser = fleet::VARIANTS)]
        variant: Option<String>,
    },
}

impl Runs {
    fn seeds(&self) -> std::ops::Range<u64> {
        self.seed..self.seed.saturating_add(self.seeds)
    }
}

fn main() -> ExitCode {
    let text = match Cli::parse().experiment {
        Experiment::TwoPhase(runs) => {
            let results = two_phase::results(runs.seeds(), runs.seconds);
            let rows: Vec<_> = results.iter().map(|result| &result.row).collect();
            if runs.json { report::json(&rows) } else { report::table(&two_phase::means(&results)) }
        }
        Experiment::Fleet { runs, routers, scenario, variant } => {
            let rows = fleet::results(runs.seeds(), routers, scenario.as_deref(), variant.as_deref());
            if runs.json { report::json(&rows) } else { report::table(&rows) }
        }
    };
    print!("{text}");
    ExitCode::SUCCESS
}
