//! The command line of a server process: `--check`, `--help` and `--version`.

use std::process::ExitCode;

/// The exit code for a command line or settings that are not valid.
pub const BAD_USAGE_EXIT_CODE: u8 = 2;

/// What a program says of itself.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The name of the executable.
    pub name: &'static str,
    /// The version.
    pub version: &'static str,
    /// The text of `--help`.
    pub help: &'static str,
}

/// What the command line asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Serve.
    Run,
    /// Check the settings and end.
    Check,
    /// Print the help and end.
    Help,
    /// Print the version and end.
    Version,
}

impl Program {
    /// Reads the command line of the process, and prints what it asks to be printed.
    ///
    /// # Errors
    /// The process is to end with this code: the arguments are not valid, or what was asked for has been printed.
    pub fn parse_command_line(&self) -> Result<Command, ExitCode> {
        match parse(lexopt::Parser::from_env()) {
            Ok(Command::Help) => println!("{}", self.help),
            Ok(Command::Version) => println!("{} {}", self.name, self.version),
            Ok(command) => return Ok(command),
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                return Err(ExitCode::from(BAD_USAGE_EXIT_CODE));
            }
        }
        Err(ExitCode::SUCCESS)
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut command = Command::Run;
    while let Some(argument) = parser.next()? {
        command = match argument {
            Long("check") => Command::Check,
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            other => return Err(other.unexpected()),
        };
    }
    Ok(command)
}
