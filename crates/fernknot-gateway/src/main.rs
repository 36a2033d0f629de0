//! `fernknot-gateway`: one gateway of the system's data plane.

use fernknot_gateway::host::Host;
use fernknot_net::process::{Command, Program, SettingsFile, init_log};
use fernknot_schema::ProcessSettings;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

const HELP: &str = "fernknot-gateway: a gateway; forwards client requests to nodes and returns their responses

usage: fernknot-gateway [--check] [--help] [--version]

  --check    validates the settings, reports every error, and exits

FERNKNOT_CONFIG  path of the settings file (JSON)
FERNKNOT_LOG     error, warn, info (the default), debug or trace

Exit codes: 0 after a requested shutdown, 1 if a system call fails at start, 2 for invalid settings or usage.";

const PROGRAM: Program = Program { name: "fernknot-gateway", version: env!("CARGO_PKG_VERSION"), help: HELP };

fn main() -> ExitCode {
    run().unwrap_or_else(|code| code)
}

fn run() -> Result<ExitCode, ExitCode> {
    let command = PROGRAM.parse_command_line()?;
    let settings_file = SettingsFile::from_env();
    let settings = settings_file.load_or_report(|_| Ok(()))?;
    if command == Command::Check {
        return Ok(ExitCode::SUCCESS);
    }
    init_log();
    let seed = incarnation_seed(&settings);
    match Host::new(settings, settings_file, seed) {
        Ok(mut host) => {
            host.run();
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => {
            log::error!(target: fernknot_telemetry::component::PROCESS, "{error}");
            eprintln!("gateway: {error}");
            Err(ExitCode::from(1))
        }
    }
}

/// Returns the identifier of this incarnation, which also seeds its random numbers. It is unique as long as no two
/// processes with the same address and process identifier start in the same nanosecond.
fn incarnation_seed(settings: &ProcessSettings) -> u64 {
    let time_ns = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    time_ns ^ (u64::from(u32::from(settings.ip)) << 32) ^ u64::from(std::process::id())
}
