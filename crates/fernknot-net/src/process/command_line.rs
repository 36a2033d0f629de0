//! Command line of a server process: `--check`, `--help` and `--version`.

use std::process::ExitCode;

/// Exit code for an invalid command line or invalid settings.
pub const BAD_USAGE_EXIT_CODE: u8 = 2;

/// Name, version and help text of a program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the executable.
    pub name: &'static str,
    /// Version number.
    pub version: &'static str,
    /// Text of `--help`.
    pub help: &'static str,
}

/// Command given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the server.
    Run,
    /// Check the settings and exit.
    Check,
    /// Print the help text and exit.
    Help,
    /// Print the version and exit.
    Version,
}

impl Program {
    /// Parses the command line of the process, and prints the help text or the version if requested.
    ///
    /// # Errors
    /// The process must exit with the returned code: the arguments are not valid, or the requested text was printed.
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
