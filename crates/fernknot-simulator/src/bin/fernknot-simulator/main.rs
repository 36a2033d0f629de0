//! `fernknot-simulator run --seeds FROM..TO` runs seeds in parallel and prints those that violate a rule;
//! `fernknot-simulator replay SEED` prints the log of one seed, reduced to the faults that the violation needs.

mod arguments;
mod batch;

use arguments::{Arguments, Command, HELP};
use fernknot_simulator::run::{fault_schedule, shrink, simulate_with_faults};
use std::process::ExitCode;

/// Prints the log of one seed and its violations.
fn replay(arguments: &Arguments, seed: u64) -> ExitCode {
    let mut settings = arguments.settings(seed);
    let faults = if arguments.keeps_all_faults { fault_schedule(&settings) } else { shrink(&settings).0 };
    settings.trace = true;
    let outcome = simulate_with_faults(&settings, faults);
    for line in &outcome.log {
        println!("{line}");
    }
    for violation in &outcome.violations {
        println!("at {:.0} ms: {}: {}", violation.at.as_millis(), violation.rule, violation.text);
    }
    ExitCode::from(u8::from(!outcome.violations.is_empty()))
}

fn main() -> ExitCode {
    let error = match Arguments::parse(lexopt::Parser::from_env()) {
        Ok(arguments) => match arguments.command {
            Command::Run => return batch::run_seeds(&arguments),
            Command::Replay(seed) => return replay(&arguments, seed),
        },
        Err(error) => error,
    };
    eprintln!("{error}\n{HELP}");
    ExitCode::from(2)
}
