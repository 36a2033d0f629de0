//! `fernknot-soak --seeds FROM..TO` soaks real processes on loopback, one seed after another, and prints broken rules.

use fernknot_testbed::soak::{SoakReport, SoakSettings, draw_schedule, run_soak};
use lexopt::prelude::*;
use std::ops::Range;
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "fernknot-soak --seeds FROM..TO [--seconds N] [--controllers N] [--gateways N] [--nodes N]
              [--requests-per-s N] [--max-pause-ms N] [--logs] [--schedule]

Soaks real processes on loopback, one seed after another: N seconds of faults each (30), with N controllers (3),
gateways (4) and stand-in nodes of each of four services (3). --logs prints the last log lines of all processes if a
rule is broken; --schedule prints the faults of each seed, and runs nothing. Exits with 1 if a rule is broken, and with 2 if a soak
can't be run.";
/// Limits of the sizes and of the duration of one soak.
const MAX_CONTROLLERS: usize = 9;
const MAX_GATEWAYS: usize = 200;
const MAX_NODES: usize = 50;
const MAX_SECONDS: u64 = 3600;

struct Arguments {
    seeds: Range<u64>,
    settings: SoakSettings,
    prints_logs: bool,
    prints_schedule: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let settings = SoakSettings::default();
    let mut arguments = Arguments { seeds: 1..2, settings, prints_logs: false, prints_schedule: false };
    let settings = &mut arguments.settings;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seeds") => arguments.seeds = parse_range(&parser.value()?.string()?)?,
            Long("logs") => arguments.prints_logs = true,
            Long("schedule") => arguments.prints_schedule = true,
            Long("seconds") => {
                let seconds: u64 = parser.value()?.parse()?;
                settings.duration = Duration::from_secs(seconds.clamp(1, MAX_SECONDS));
            }
            Long("controllers") => settings.controllers = parser.value()?.parse()?,
            Long("gateways") => settings.gateways = parser.value()?.parse()?,
            Long("nodes") => settings.nodes_per_service = parser.value()?.parse()?,
            Long("requests-per-s") => settings.requests_per_s = parser.value()?.parse()?,
            Long("max-pause-ms") => settings.max_pause = Duration::from_millis(parser.value()?.parse()?),
            _ => return Err(argument.unexpected()),
        }
    }
    let is_in_range = (1..=MAX_CONTROLLERS).contains(&settings.controllers)
        && (2..=MAX_GATEWAYS).contains(&settings.gateways)
        && (1..=MAX_NODES).contains(&settings.nodes_per_service);
    if !is_in_range {
        return Err("--controllers must be 1 to 9, --gateways 2 to 200, and --nodes 1 to 50".into());
    }
    Ok(arguments)
}

fn parse_range(text: &str) -> Result<Range<u64>, lexopt::Error> {
    let (from, to) = text.split_once("..").ok_or("--seeds: expected FROM..TO")?;
    let parse = |number: &str| number.parse().map_err(|_| "--seeds: invalid number");
    Ok(parse(from)?..parse(to)?)
}

fn print_report(seed: u64, report: &SoakReport) {
    let SoakReport { violations, requests, served, changes, sightings, faults, lag, .. } = report;
    for violation in violations {
        println!("seed {seed}: {violation}");
    }
    println!(
        "seed {seed}: {requests} requests, {served} served, {changes} changes, {faults} faults, routes seen {}, in \
         contact {}, longest wake-up {:.1?}, disk sync {:.1?}: {} violations",
        sightings.0,
        sightings.1,
        lag.wake_up,
        lag.disk_sync,
        violations.len()
    );
}

fn main() -> ExitCode {
    let Arguments { seeds, settings, prints_logs, prints_schedule } = match parse(lexopt::Parser::from_env())
    {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let mut is_clean = true;
    for seed in seeds {
        let settings = SoakSettings { seed, ..settings.clone() };
        if prints_schedule {
            draw_schedule(&settings).iter().for_each(|fault| println!("seed {seed}: {fault:?}"));
            continue;
        }
        match run_soak(&settings) {
            Ok(report) => {
                print_report(seed, &report);
                if prints_logs {
                    report.logs.iter().for_each(|line| println!("{line}"));
                }
                is_clean &= report.violations.is_empty();
            }
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(!is_clean))
}
