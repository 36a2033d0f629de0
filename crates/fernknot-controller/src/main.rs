//! The program `fernknot-controller`: one member of the system's control plane.

use fernknot_controller::host::{Host, UnsuitableSettings, check_settings};
use fernknot_schema::{ProcessSettings, ValidationError};
use fernknot_telemetry::{LevelFilter, part};
use std::hash::{BuildHasher, Hasher};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "fernknot-controller: one controller, which knows the nodes and keeps the configuration

usage: fernknot-controller [--check] [--help] [--version]

  --check    reads the settings, names every fault, and ends

FERNKNOT_CONFIG  path of the settings, JSON
FERNKNOT_LOG     error, warn, info (the default), debug or trace

Exit codes: 0 after a requested stop, 1 where the system refuses what is needed, 2 for bad settings or usage.";

/// The exit code for bad settings or usage.
const EXIT_USAGE: u8 = 2;

/// What the command line asks for.
enum Command {
    /// Run until a stop is requested.
    Serve,
    /// Check the settings and end.
    Check,
    /// Print a text and end.
    Print(String),
}

/// Why the settings can't be used.
enum LoadError {
    /// The file can't be read.
    Read { path: PathBuf, source: std::io::Error },
    /// The settings are not valid.
    Invalid(Vec<ValidationError>),
    /// The settings lack what a controller needs.
    Unsuitable(UnsuitableSettings),
}

impl LoadError {
    /// A line for each fault.
    fn lines(&self) -> Vec<String> {
        match self {
            LoadError::Read { path, source } => {
                vec![format!("FERNKNOT_CONFIG: {}: {source}", path.display())]
            }
            LoadError::Invalid(errors) => errors.iter().map(ToString::to_string).collect(),
            LoadError::Unsuitable(faults) => faults.0.iter().map(ToString::to_string).collect(),
        }
    }
}

fn parse_arguments() -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut command = Command::Serve;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        command = match argument {
            Long("check") => Command::Check,
            Long("help") | Short('h') => return Ok(Command::Print(HELP.into())),
            Long("version") | Short('V') => {
                return Ok(Command::Print(format!("fernknot-controller {}", env!("CARGO_PKG_VERSION"))));
            }
            other => return Err(other.unexpected()),
        };
    }
    Ok(command)
}

fn load_settings(path: &Path) -> Result<ProcessSettings, LoadError> {
    let bytes = std::fs::read(path).map_err(|source| LoadError::Read { path: path.into(), source })?;
    let settings = ProcessSettings::parse(&bytes).map_err(LoadError::Invalid)?;
    check_settings(&settings).map_err(LoadError::Unsuitable)?;
    Ok(settings)
}

/// A seed from the system's random numbers, the address and the process: no two incarnations have the same, on whatever
/// machines.
fn random_seed(settings: &ProcessSettings) -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(u32::from(settings.ip));
    hasher.write_u32(std::process::id());
    hasher.finish()
}

fn serve(settings: ProcessSettings, path: PathBuf) -> ExitCode {
    let level = std::env::var("FERNKNOT_LOG").ok().and_then(|level| level.parse().ok());
    // It fails only where a log has been set up, and none has.
    let _ = fernknot_telemetry::init(level.unwrap_or(LevelFilter::Info));
    let seed = random_seed(&settings);
    match Host::new(settings, path, seed) {
        Ok(mut host) => {
            log::info!(target: part::PROCESS, "started");
            host.run();
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!(target: part::PROCESS, "{error}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("fernknot-controller: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if let Command::Print(text) = command {
        println!("{text}");
        return ExitCode::SUCCESS;
    }
    let path = PathBuf::from(std::env::var_os("FERNKNOT_CONFIG").unwrap_or_default());
    match load_settings(&path) {
        Ok(_) if matches!(command, Command::Check) => ExitCode::SUCCESS,
        Ok(settings) => serve(settings, path),
        Err(error) => {
            error.lines().iter().for_each(|line| eprintln!("settings: {line}"));
            ExitCode::from(EXIT_USAGE)
        }
    }
}
