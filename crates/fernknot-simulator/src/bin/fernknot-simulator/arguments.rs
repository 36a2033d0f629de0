//! The command line.

use fernknot_simulator::settings::Settings;
use lexopt::prelude::*;
use std::ops::Range;

pub const HELP: &str =
    "fernknot-simulator run --seeds FROM..TO [--members 3|5] [--threads N] [FAULTS] [--system [--gateways N]]
fernknot-simulator replay SEED [--members 3|5] [FAULTS] [--all-faults] [--system [--gateways N]]
FAULTS: [--exceed-budget] [--split-core] [--uneven-clocks]

run     ends with 1 where a rule broke, and names the seeds
replay  prints the log and who knew what; without --all-faults, of the fewest faults that still break the rule
--exceed-budget  more is lost than the budget allows: only what must hold all the same is judged
--system         with the production gateways, among clients and nodes that answer
--gateways N     so many of them (2)
--split-core     the core is partitioned into two halves now and then, whatever is lost besides
--uneven-clocks  the clocks of processes run at different rates

play, --beyond and --whole are earlier names of run, --exceed-budget and --all-faults";
const DEFAULT_THREADS: usize = 4;
const DEFAULT_MEMBERS: usize = 3;
const MAX_GATEWAYS: usize = 16;

/// What is to be done.
#[derive(Clone, Copy)]
pub enum Command {
    /// Run all seeds of a range.
    Run,
    /// Print the log of one seed.
    Replay(u64),
}

/// The options of both commands.
pub struct Arguments {
    pub command: Command,
    pub seeds: Range<u64>,
    pub threads: usize,
    pub members: usize,
    pub keeps_all_faults: bool,
    exceeds_fault_budget: bool,
    is_whole_system: bool,
    gateways: Option<usize>,
    splits_core: bool,
    uneven_clocks: bool,
}

impl Arguments {
    /// # Errors
    /// A word that is no argument, or a value out of bounds.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
        let mut arguments = Arguments {
            command: Command::Run,
            seeds: 0..0,
            threads: DEFAULT_THREADS,
            members: DEFAULT_MEMBERS,
            keeps_all_faults: false,
            exceeds_fault_budget: false,
            is_whole_system: false,
            gateways: None,
            splits_core: false,
            uneven_clocks: false,
        };
        let (mut verb, mut seed) = (String::new(), 0);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seeds") => arguments.seeds = parse_range(&parser.value()?.string()?)?,
                Long("members") => arguments.members = parser.value()?.parse()?,
                Long("threads") => arguments.threads = parser.value()?.parse()?,
                Long("all-faults" | "whole") => arguments.keeps_all_faults = true,
                Long("exceed-budget" | "beyond") => arguments.exceeds_fault_budget = true,
                Long("system") => arguments.is_whole_system = true,
                Long("gateways") => arguments.gateways = Some(parser.value()?.parse()?),
                Long("split-core") => arguments.splits_core = true,
                Long("uneven-clocks") => arguments.uneven_clocks = true,
                Value(value) if verb.is_empty() => verb = value.string()?,
                Value(value) => seed = value.parse()?,
                _ => return Err(argument.unexpected()),
            }
        }
        arguments.command = match verb.as_str() {
            "run" | "play" => Command::Run,
            "replay" => Command::Replay(seed),
            _ => return Err("no command".into()),
        };
        if !(1..=9).contains(&arguments.members) || !(1..=64).contains(&arguments.threads) {
            return Err("1 to 9 members, 1 to 64 threads".into());
        }
        if !arguments.gateways.is_none_or(|gateways| (1..=MAX_GATEWAYS).contains(&gateways)) {
            return Err("--gateways: 1 to 16".into());
        }
        if arguments.gateways.is_some() && !arguments.is_whole_system {
            return Err("--gateways goes with --system".into());
        }
        Ok(arguments)
    }

    /// The settings of the run with this seed.
    pub fn settings(&self, seed: u64) -> Settings {
        let mut settings = if self.is_whole_system {
            Settings::whole_system(seed, self.members)
        } else {
            Settings::new(seed, self.members)
        };
        if let Some(gateways) = self.gateways {
            settings = settings.with_gateways(gateways);
        }
        Settings {
            exceeds_fault_budget: self.exceeds_fault_budget,
            splits_core: self.splits_core,
            uneven_clocks: self.uneven_clocks,
            ..settings
        }
    }
}

fn parse_range(text: &str) -> Result<Range<u64>, lexopt::Error> {
    let (from, to) = text.split_once("..").ok_or("--seeds wants FROM..TO")?;
    let parse = |number: &str| number.parse().map_err(|_| "--seeds: not a number");
    Ok(parse(from)?..parse(to)?)
}
