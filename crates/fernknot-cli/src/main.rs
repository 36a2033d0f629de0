//! README: `fernknot`, the operator's command line: checks files, talks to a running system, shows one on loopback and
//! measures it. It decides nothing.

mod capacity;
mod check;
mod demo;
mod measure;
mod talk;

use std::ffi::{OsStr, OsString};
use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddrV4;
use std::process::ExitCode;

const HELP: &str = "fernknot: the operator's command line

usage: fernknot check FILE                             names every fault of a configuration
       fernknot check --settings FILE                  the same for the settings of a process
       fernknot config read ADDR[,ADDR...]             prints the newest configuration
       fernknot config replace ADDR[,ADDR...] FILE --base N
                                                       puts a configuration in the place of version N
                                                       (0: there is none yet)
       fernknot show nodes|views|homes|duties|counters ADDR
                                                       asks a process what it holds
       fernknot views force ADDR --lost ADDR[,ADDR...] --yes-the-others-are-lost
                                                       makes a view of what is left, when more disks are lost for good
                                                       than may be (`--lost none`: all disks are older copies
                                                       of themselves); see docs/operating.md before
       fernknot demo [--gateways N] [--seconds N]      starts a system on loopback and sends it queries
       fernknot measure gateways|nodes|routes|changes|queries|shards
                        [--sizes N,N...] [--seconds N] [--gateways N] [--zones N] [--json]
                                                       what each role costs, on loopback
       fernknot plan-capacity [--gateways N] [--nodes N] [--routes N] [--registrars N]
                              [--changes-a-day N] [--queries-per-s N] [--parts N] [--zones N] [--beat-ms N]
                                                       what each role would cost at that size
       fernknot --help | --version

config   ADDR is a control address of a registrar; another one is asked after a failure.
show, views
         ADDR is where a process listens for its own kind: the first port of `port_range` for a gateway, the second
         for a registrar.

Exit codes: 0 done, 1 it failed or was refused, 2 wrong usage or bad input.";

/// Why a command did not do what was asked.
enum CliError {
    /// Wrong usage or bad input.
    Usage(String),
    Failed(String),
}

impl From<lexopt::Error> for CliError {
    fn from(why: lexopt::Error) -> CliError {
        CliError::Usage(why.to_string())
    }
}

fn failed(why: impl Display) -> CliError {
    CliError::Failed(why.to_string())
}

/// Prints a line. A reader that has gone is none of our faults, and ends the command quietly.
fn print_line(text: impl Display) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(0);
    }
}

/// The words of a command: those without a dash, and options with their values.
struct Arguments {
    positional: Vec<OsString>,
    options: Vec<(String, Option<String>)>,
}

impl Arguments {
    /// `valued` are options that take a value, `flags` those that don't.
    fn parse(parser: &mut lexopt::Parser, valued: &[&str], flags: &[&str]) -> Result<Arguments, CliError> {
        let mut words = Arguments { positional: Vec::new(), options: Vec::new() };
        while let Some(arg) = parser.next()? {
            match arg {
                lexopt::Arg::Value(word) => words.positional.push(word),
                lexopt::Arg::Long(name) if valued.contains(&name) => {
                    let name = name.to_string();
                    let value = parser.value()?.to_string_lossy().into_owned();
                    words.options.push((name, Some(value)));
                }
                lexopt::Arg::Long(name) if flags.contains(&name) => words.options.push((name.into(), None)),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(words)
    }

    fn flag(&self, name: &str) -> bool {
        self.options.iter().any(|(key, _)| key == name)
    }

    fn value(&self, name: &str) -> Option<&str> {
        self.options.iter().rev().find(|(key, _)| key == name).and_then(|(_, value)| value.as_deref())
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, CliError> {
        let Some(value) = self.value(name) else { return Ok(None) };
        value
            .parse()
            .map(Some)
            .map_err(|_| CliError::Usage(format!("--{name}: {value} is no number that fits")))
    }

    /// The words without a dash, which must be so many.
    fn expect_positional<const COUNT: usize>(&self, wanted: &str) -> Result<[&OsString; COUNT], CliError> {
        let words: Vec<&OsString> = self.positional.iter().collect();
        words.try_into().map_err(|_| CliError::Usage(format!("wanted: {wanted}")))
    }
}

fn parse_addrs(text: &OsStr) -> Result<Vec<SocketAddrV4>, CliError> {
    let text = text.to_string_lossy();
    let read = |word: &str| {
        word.trim()
            .parse()
            .map_err(|_| CliError::Usage(format!("{word}: is not an IPv4 address with a port")))
    };
    text.split(',').map(read).collect()
}

fn run(mut parser: lexopt::Parser) -> Result<(), CliError> {
    let command = match parser.next()? {
        Some(lexopt::Arg::Value(word)) => word.to_string_lossy().into_owned(),
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => "help".into(),
        Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V')) => {
            print_line(format!("fernknot {}", env!("CARGO_PKG_VERSION")));
            return Ok(());
        }
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(CliError::Usage("no command".into())),
    };
    match command.as_str() {
        "help" => print_line(HELP),
        "check" => return check::run(&Arguments::parse(&mut parser, &[], &["settings"])?),
        "config" => return talk::config(&Arguments::parse(&mut parser, &["base"], &[])?),
        "show" => return talk::show(&Arguments::parse(&mut parser, &[], &[])?),
        "views" => {
            return talk::views(&Arguments::parse(&mut parser, &["lost"], &["yes-the-others-are-lost"])?);
        }
        "demo" => return demo::run(&Arguments::parse(&mut parser, &["gateways", "seconds"], &[])?),
        "measure" => {
            return measure::run(&Arguments::parse(
                &mut parser,
                &["sizes", "seconds", "gateways", "zones"],
                &["json"],
            )?);
        }
        "plan-capacity" => return capacity::run(&Arguments::parse(&mut parser, &capacity::OPTIONS, &[])?),
        other => return Err(CliError::Usage(format!("{other}: is no command"))),
    }
    Ok(())
}

fn main() -> ExitCode {
    let (text, code) = match run(lexopt::Parser::from_env()) {
        Ok(()) => return ExitCode::SUCCESS,
        Err(CliError::Failed(why)) => (why, 1),
        Err(CliError::Usage(why)) => (format!("{why}\n`fernknot --help` tells what there is"), 2),
    };
    // Where nobody reads it, nothing is lost.
    let _ = writeln!(std::io::stderr(), "fernknot: {text}");
    ExitCode::from(code)
}
