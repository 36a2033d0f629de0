//! `fernknot-experiments NAME`: runs an experiment and prints its figures.

use clap::{Args, Parser, Subcommand};
use fernknot_experiments::membership::{self, Scenario, Selection, Variant};
use fernknot_experiments::{report, two_phase};
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Experiments on the engine in simulated time")]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Args)]
struct Runs {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds; each is a separate run.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Duration of the load, in simulated seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Print one JSON object per line instead of a table.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum Experiment {
    /// Two-phase queries: the complete planner against variants without the learned split, rejection or pruning.
    TwoPhase(Runs),
    /// Membership of query routers: the protocol against plain SWIM and fixed heartbeats, in each fault scenario.
    #[command(name = "fleet", alias = "membership")]
    Membership {
        #[command(flatten)]
        runs: Runs,
        /// Number of routers.
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(3..=3000))]
        routers: u32,
        /// Run only this scenario.
        #[arg(long, value_parser = Scenario::NAMES)]
        scenario: Option<String>,
        /// Run only this variant.
        #[arg(long, value_parser = Variant::NAMES)]
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
        Experiment::TwoPhase(runs) => run_two_phase(&runs),
        Experiment::Membership { runs, routers, scenario, variant } => {
            let scenario = scenario.and_then(|name| Scenario::from_name(&name));
            let variant = variant.and_then(|name| Variant::from_name(&name));
            run_membership(&runs, Selection { routers, scenario, variant })
        }
    };
    print!("{text}");
    ExitCode::SUCCESS
}

fn run_two_phase(runs: &Runs) -> String {
    let figures = two_phase::run_all(runs.seeds(), runs.seconds);
    let rows: Vec<_> = figures.iter().map(|figures| &figures.row).collect();
    if runs.json { report::json(&rows) } else { report::table(&two_phase::means(&figures)) }
}

fn run_membership(runs: &Runs, selection: Selection) -> String {
    let rows = membership::run_all(runs.seeds(), selection);
    if runs.json { report::json(&rows) } else { report::table(&rows) }
}
