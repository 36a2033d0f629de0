//! Command-line arguments.

use fernknot_simulator::settings::Settings;
use lexopt::prelude::*;
use std::ops::Range;

pub const HELP: &str =
    "fernknot-simulator run --seeds FROM..TO [--members 3|5] [--threads N] [FAULTS] [--system [--gateways N] [--series]]
fernknot-simulator replay SEED [--members 3|5] [FAULTS] [--all-faults] [--system [--gateways N] [--series]]
FAULTS: [--exceed-budget] [--split-core] [--uneven-clocks]

run     runs all seeds, prints those that violate a rule, and exits with 1 if there are any
replay  prints the log of one seed, with the state known to each controller; without --all-faults, the schedule is
        reduced to the faults that are needed to violate the rule
--exceed-budget  loses more machines than the fault budget allows, and checks only the safety rules
--system         runs production gateways with clients and responding nodes
--gateways N     number of gateways (2)
--series         sends hundreds of changes one after another under overlapping losses, 100 s long (4 gateways)
--split-core     partitions the controllers into two halves at times, in addition to the other losses
--uneven-clocks  runs the clocks of processes at different rates

play, --beyond and --whole are aliases of run, --exceed-budget and --all-faults";
const DEFAULT_THREADS: usize = 4;
const DEFAULT_MEMBERS: usize = 3;
const MAX_GATEWAYS: usize = 16;

/// Command to execute.
#[derive(Clone, Copy)]
pub enum Command {
    /// Runs all seeds of a range.
    Run,
    /// Prints the log of one seed.
    Replay(u64),
}

/// Command and options.
pub struct Arguments {
    pub command: Command,
    pub seeds: Range<u64>,
    pub threads: usize,
    pub members: usize,
    pub keeps_all_faults: bool,
    exceeds_fault_budget: bool,
    is_whole_system: bool,
    changes_in_series: bool,
    gateways: Option<usize>,
    splits_core: bool,
    uneven_clocks: bool,
}

impl Arguments {
    /// Parses the command line.
    ///
    /// # Errors
    /// An argument is unknown, or a value is invalid or out of range.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
        let mut arguments = Arguments {
            command: Command::Run,
            seeds: 0..0,
            threads: DEFAULT_THREADS,
            members: DEFAULT_MEMBERS,
            keeps_all_faults: false,
            exceeds_fault_budget: false,
            is_whole_system: false,
            changes_in_series: false,
            gateways: None,
            splits_core: false,
            uneven_clocks: false,
        };
        let (mut command_name, mut seed) = (String::new(), 0);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seeds") => arguments.seeds = parse_range(&parser.value()?.string()?)?,
                Long("members") => arguments.members = parser.value()?.parse()?,
                Long("threads") => arguments.threads = parser.value()?.parse()?,
                Long("all-faults" | "whole") => arguments.keeps_all_faults = true,
                Long("exceed-budget" | "beyond") => arguments.exceeds_fault_budget = true,
                Long("system") => arguments.is_whole_system = true,
                Long("series") => arguments.changes_in_series = true,
                Long("gateways") => arguments.gateways = Some(parser.value()?.parse()?),
                Long("split-core") => arguments.splits_core = true,
                Long("uneven-clocks") => arguments.uneven_clocks = true,
                Value(value) if command_name.is_empty() => command_name = value.string()?,
                Value(value) => seed = value.parse()?,
                _ => return Err(argument.unexpected()),
            }
        }
        arguments.command = match command_name.as_str() {
            "run" | "play" => Command::Run,
            "replay" => Command::Replay(seed),
            _ => return Err("missing command: expected run or replay".into()),
        };
        if !(1..=9).contains(&arguments.members) || !(1..=64).contains(&arguments.threads) {
            return Err("--members must be 1 to 9, and --threads 1 to 64".into());
        }
        if !arguments.gateways.is_none_or(|gateways| (1..=MAX_GATEWAYS).contains(&gateways)) {
            return Err("--gateways must be 1 to 16".into());
        }
        if arguments.gateways.is_some() && !arguments.is_whole_system {
            return Err("--gateways requires --system".into());
        }
        if arguments.changes_in_series && !arguments.is_whole_system {
            return Err("--series requires --system".into());
        }
        Ok(arguments)
    }

    /// Returns the settings of the run with this seed.
    pub fn settings(&self, seed: u64) -> Settings {
        let mut settings = if self.changes_in_series {
            Settings::change_series(seed, self.members)
        } else if self.is_whole_system {
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
    let (from, to) = text.split_once("..").ok_or("--seeds: expected FROM..TO")?;
    let parse = |number: &str| number.parse().map_err(|_| "--seeds: invalid number");
    Ok(parse(from)?..parse(to)?)
}
