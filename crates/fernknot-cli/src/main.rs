//! `fernknot`, the operator's command line: checks files, inspects and configures a running system, and runs and measures
//! a system on loopback.

mod arguments;
mod check;
mod config;
mod demo;
mod error;
mod measure;
mod output;
mod plan_capacity;
mod show;
mod views;

use arguments::Arguments;
use error::CliError;
use output::print_line;
use std::io::Write;
use std::process::ExitCode;

const HELP: &str = "fernknot: the operator's command line

usage: fernknot check FILE                             validates a configuration and lists all errors
       fernknot check --settings FILE                  validates the settings of a process and lists all errors
       fernknot config read ADDR[,ADDR...]             prints the newest configuration
       fernknot config replace ADDR[,ADDR...] FILE --base N
                                                       replaces version N of the configuration
                                                       (0: there is none yet)
       fernknot show nodes|views|relays|ownership|counters ADDR
                                                       prints a report on the state of a process
       fernknot views force ADDR --lost ADDR[,ADDR...] --yes-the-others-are-lost
                                                       forces a view of the remaining controllers, when more disks
                                                       are permanently lost than tolerated (`--lost none`: all
                                                       disks are older copies of themselves); read
                                                       docs/operating-system.md first
       fernknot demo [--gateways N] [--seconds N]      starts a system on loopback and sends it queries
       fernknot measure gateways|nodes|routes|changes|queries|shards|replicas
                        [--sizes N,N...] [--seconds N] [--gateways N] [--zones N] [--json]
                                                       measures the resource usage of each role, on loopback
       fernknot plan-capacity [--gateways N] [--nodes N] [--routes N] [--controllers N]
                              [--changes-a-day N] [--queries-per-s N] [--shards N] [--zones N]
                              [--heartbeat-ms N]
                                                       estimates the resource usage of each role at this size
       fernknot --help | --version

config   ADDR is a control address of a controller; after a failure the next one is tried.
show, views
         ADDR is the address where a process accepts its peers: the first port of `port_range` for a gateway, the
         second for a controller.
Earlier names are accepted too: show homes (relays), duties (ownership); plan-capacity --registrars (--controllers),
         --parts (--shards), --beat-ms (--heartbeat-ms).

Exit codes: 0 success, 1 failed or rejected, 2 wrong usage or invalid input.";

fn run(mut parser: lexopt::Parser) -> Result<(), CliError> {
    let command = match parser.next()? {
        Some(lexopt::Arg::Value(command)) => command.to_string_lossy().into_owned(),
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => "help".into(),
        Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V')) => "version".into(),
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(CliError::Usage("no command".into())),
    };
    let mut arguments = |valued: &[&str], flags: &[&str]| Arguments::parse(&mut parser, valued, flags);
    match command.as_str() {
        "help" => print_line(HELP),
        "version" => print_line(format!("fernknot {}", env!("CARGO_PKG_VERSION"))),
        "check" => check::run(&arguments(&[], &["settings"])?)?,
        "config" => config::run(&arguments(&["base"], &[])?)?,
        "show" => show::run(&arguments(&[], &[])?)?,
        "views" => views::run(&arguments(&["lost"], &["yes-the-others-are-lost"])?)?,
        "demo" => demo::run(&arguments(&["gateways", "seconds"], &[])?)?,
        "measure" => measure::run(&arguments(&["sizes", "seconds", "gateways", "zones"], &["json"])?)?,
        "plan-capacity" => plan_capacity::run(&arguments(&plan_capacity::OPTIONS, &[])?)?,
        other => return Err(CliError::Usage(format!("{other}: is no command"))),
    }
    Ok(())
}

fn main() -> ExitCode {
    let Err(error) = run(lexopt::Parser::from_env()) else { return ExitCode::SUCCESS };
    let hint = if error.is_usage_error() { "\nsee `fernknot --help` for usage" } else { "" };
    // Write errors are ignored: standard error may be closed.
    let _ = writeln!(std::io::stderr(), "fernknot: {error}{hint}");
    ExitCode::from(if error.is_usage_error() { 2 } else { 1 })
}
