//! The program `fernknot-controller`: one member of the control plane.

use fernknot_controller::host::{Host, check_settings};
use fernknot_net::process::{Command, Program, SettingsFile, init_log};
use fernknot_schema::{DigestKey, ProcessSettings};
use fernknot_telemetry::component;
use std::hash::{BuildHasher, Hasher};
use std::process::ExitCode;

const HELP: &str = "fernknot-controller: a controller; tracks the nodes and stores the configuration

usage: fernknot-controller [--check] [--help] [--version]

  --check    validates the settings, reports every error, and exits

FERNKNOT_CONFIG  path of the settings file (JSON)
FERNKNOT_LOG     error, warn, info (the default), debug or trace

Exit codes: 0 after a requested shutdown, 1 if a system call fails at start, 2 for invalid settings or usage.";

const PROGRAM: Program =
    Program { name: "fernknot-controller", version: env!("CARGO_PKG_VERSION"), help: HELP };

fn main() -> ExitCode {
    run().unwrap_or_else(|code| code)
}

fn run() -> Result<ExitCode, ExitCode> {
    let command = PROGRAM.parse_command_line()?;
    let settings_file = SettingsFile::from_env();
    let check =
        |settings: &ProcessSettings| check_settings(settings).map_err(|unsuitable| unsuitable.messages());
    let settings = settings_file.load_or_report(check)?;
    if command == Command::Check {
        return Ok(ExitCode::SUCCESS);
    }
    init_log();
    let seed = random_seed(&settings);
    match random_digest_key() {
        Ok(digest_key) => Ok(serve(settings, settings_file, seed, digest_key)),
        Err(error) => {
            log::error!(target: component::PROCESS, "cannot read random numbers of the system: {error}");
            Err(ExitCode::FAILURE)
        }
    }
}

fn serve(
    settings: ProcessSettings,
    settings_file: SettingsFile,
    seed: u64,
    digest_key: DigestKey,
) -> ExitCode {
    match Host::new(settings, settings_file, seed, digest_key) {
        Ok(mut host) => {
            log::info!(target: component::PROCESS, "controller started");
            host.run();
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!(target: component::PROCESS, "cannot start the controller: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns a secret for the digests of the tenants' keys.
fn random_digest_key() -> Result<DigestKey, getrandom::Error> {
    let mut random = [0; DigestKey::BYTES];
    getrandom::fill(&mut random)?;
    Ok(DigestKey::new(random))
}

/// Returns a seed derived from the system's random numbers, the address and the process identifier, so that two runs
/// of the program never share one, even on different machines.
fn random_seed(settings: &ProcessSettings) -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(u32::from(settings.ip));
    hasher.write_u32(std::process::id());
    hasher.finish()
}
