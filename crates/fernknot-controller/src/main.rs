//! `fernknot-controller`: one controller of the system's control plane.

use fernknot_controller::host::{Host, check_settings};
use fernknot_schema::ProcessSettings;
use fernknot_telemetry::{LevelFilter, part};
use std::hash::{BuildHasher, Hasher};
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "fernknot-controller: one controller, which knows the nodes and keeps the configuration

usage: fernknot-controller [--check] [--help] [--version]

  --check    reads the settings, names every fault, and ends

FERNKNOT_CONFIG  path of the settings, JSON
FERNKNOT_LOG     error, warn, info (the default), debug or trace

Exit codes: 0 after an order to stop, 1 where the system refuses what is needed, 2 for bad settings or usage.";

const EXIT_USAGE: u8 = 2;

enum Command {
    Serve,
    Check,
    Print(String),
}

fn parse_arguments() -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut run = Command::Serve;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        run = match arg {
            Long("check") => Command::Check,
            Long("help") | Short('h') => return Ok(Command::Print(HELP.into())),
            Long("version") | Short('V') => {
                return Ok(Command::Print(format!("fernknot-controller {}", env!("CARGO_PKG_VERSION"))));
            }
            other => return Err(other.unexpected()),
        };
    }
    Ok(run)
}

/// Reads and checks the settings; every fault by its place.
fn load_settings(path: &PathBuf) -> Result<ProcessSettings, Vec<String>> {
    let bytes =
        std::fs::read(path).map_err(|why| vec![format!("FERNKNOT_CONFIG: {}: {why}", path.display())])?;
    let facts = ProcessSettings::parse(&bytes)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<String>>())?;
    check_settings(&facts)?;
    Ok(facts)
}

fn main() -> ExitCode {
    let run = match parse_arguments() {
        Ok(Command::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(run) => run,
        Err(why) => {
            eprintln!("fernknot-controller: {why}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let path = PathBuf::from(std::env::var_os("FERNKNOT_CONFIG").unwrap_or_default());
    let facts = match load_settings(&path) {
        Ok(facts) => facts,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("settings: {fault}"));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches!(run, Command::Check) {
        return ExitCode::SUCCESS;
    }
    let level = std::env::var("FERNKNOT_LOG").ok().and_then(|level| level.parse().ok());
    // It fails only where a log has begun, and none has.
    let _ = fernknot_telemetry::init(level.unwrap_or(LevelFilter::Info));
    // Chance of the system's own, and the address: no two lives are alike, on whatever machines.
    let mut seed = std::collections::hash_map::RandomState::new().build_hasher();
    seed.write_u32(u32::from(facts.ip));
    seed.write_u32(std::process::id());
    match Host::new(facts, path, seed.finish()) {
        Ok(mut host) => {
            log::info!(target: part::PROCESS, "started");
            host.run();
            ExitCode::SUCCESS
        }
        Err(why) => {
            log::error!(target: part::PROCESS, "{why}");
            ExitCode::FAILURE
        }
    }
}
