//! `fernknot-gateway`: one gateway of the system's data plane.

use fernknot_schema::ProcessSettings;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

const HELP: &str = "fernknot-gateway: one gateway between clients and nodes

usage: fernknot-gateway [--check] [--help] [--version]

  --check    reads the settings, names every fault, and ends

FERNKNOT_CONFIG  path of the settings, JSON
FERNKNOT_LOG     error, warn, info (the default), debug or trace

Exit codes: 0 after an order to stop, 1 where the system refuses what is needed, 2 for bad settings or usage.";

fn main() -> ExitCode {
    let mut check = false;
    let mut parser = lexopt::Parser::from_env();
    loop {
        match parser.next() {
            Ok(None) => break,
            Ok(Some(lexopt::Arg::Long("check"))) => check = true,
            Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
                println!("{HELP}");
                return ExitCode::SUCCESS;
            }
            Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
                println!("fernknot-gateway {}", env!("CARGO_PKG_VERSION"));
                return ExitCode::SUCCESS;
            }
            Ok(Some(arg)) => {
                eprintln!("fernknot-gateway: {}", arg.unexpected());
                return ExitCode::from(2);
            }
            Err(why) => {
                eprintln!("fernknot-gateway: {why}");
                return ExitCode::from(2);
            }
        }
    }
    let path = std::env::var("FERNKNOT_CONFIG").unwrap_or_default();
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(why) => {
            eprintln!("settings: FERNKNOT_CONFIG: {path}: {why}");
            return ExitCode::from(2);
        }
    };
    let facts = match ProcessSettings::parse(&bytes) {
        Ok(facts) => facts,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("settings: {}: {}", fault.path, fault.reason));
            return ExitCode::from(2);
        }
    };
    if check {
        return ExitCode::SUCCESS;
    }
    let level = std::env::var("FERNKNOT_LOG").ok().and_then(|level| level.parse().ok());
    // It fails only where a log has begun, and none has.
    let _ = fernknot_telemetry::init(level.unwrap_or(fernknot_telemetry::LevelFilter::Info));
    // A life's number and its chance: no two processes start at one place at one time.
    let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    let seed = time ^ (u64::from(u32::from(facts.ip)) << 32) ^ u64::from(std::process::id());
    match fernknot_gateway::host::Host::new(facts, path.into(), seed) {
        Ok(mut host) => {
            host.run();
            ExitCode::SUCCESS
        }
        Err(why) => {
            log::error!("gateway: {why}");
            eprintln!("gateway: {why}");
            ExitCode::from(1)
        }
    }
}
