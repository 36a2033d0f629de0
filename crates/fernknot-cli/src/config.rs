//! `fernknot config`: reads and replaces the configuration of a running system.

use crate::arguments::{Arguments, parse_addrs};
use crate::check::read_file;
use crate::error::CliError;
use crate::output::print_line;
use fernknot_schema::SystemConfig;
use fernknot_testbed::operator::{CallOutcome, Operator};
use std::ffi::OsStr;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

const USAGE: &str = "config read ADDR[,ADDR...], or config replace ADDR[,ADDR...] FILE --base N";
/// Time-out of a call, retries included, after which the operator cannot tell whether a change is in force.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    match arguments.positional.first().map(|verb| verb.to_string_lossy()).as_deref() {
        Some("read") => {
            let [_, addrs] = arguments.expect_positional(USAGE)?;
            read(&operator(addrs)?)
        }
        Some("replace") => {
            let [_, addrs, file] = arguments.expect_positional(USAGE)?;
            let missing = "--base is missing: the version that this one follows, 0 for the first";
            let base = arguments.number("base")?.ok_or_else(|| CliError::Usage(missing.into()))?;
            replace(&operator(addrs)?, Path::new(file), base)
        }
        _ => Err(CliError::Usage(format!("wanted: {USAGE}"))),
    }
}

fn operator(addrs: &OsStr) -> Result<Operator, CliError> {
    Ok(Operator { addrs: parse_addrs(addrs)?, timeout: CALL_TIMEOUT })
}

fn format_responses(responses: &[String]) -> String {
    responses.iter().map(|response| format!("\n  {response}")).collect()
}

fn read(operator: &Operator) -> Result<(), CliError> {
    let failure = match operator.read() {
        CallOutcome::Completed { status: 200, body, .. } => {
            let mut stdout = std::io::stdout().lock();
            // Write errors are ignored: the reader of the output may have closed it.
            let _ = stdout.write_all(&body).and_then(|()| stdout.write_all(b"\n"));
            return Ok(());
        }
        CallOutcome::Completed { status, body, controller } => {
            format!("{controller} returned {status}: {}", String::from_utf8_lossy(&body))
        }
        CallOutcome::Unclear(responses) => {
            format!("no controller returned the configuration:{}", format_responses(&responses))
        }
    };
    Err(CliError::Failed(failure))
}

fn replace(operator: &Operator, path: &Path, base: u64) -> Result<(), CliError> {
    let bytes = read_file(path)?;
    let config = SystemConfig::validate(&bytes).map_err(CliError::invalid(path))?;
    let epoch = config.routing.epoch;
    let failure = match operator.replace(&bytes, base) {
        CallOutcome::Completed { status: 200, controller, .. } => {
            print_line(format!("accepted: version {epoch} is in force, says {controller}"));
            return Ok(());
        }
        CallOutcome::Completed { status: 412 | 409, body, controller } => format!(
            "not accepted: {controller} says that the current version is not {base}: {}",
            String::from_utf8_lossy(&body)
        ),
        CallOutcome::Completed { status, body, controller } => {
            format!("not accepted: {controller} returned {status}: {}", String::from_utf8_lossy(&body))
        }
        CallOutcome::Unclear(responses) => format!(
            "unclear: version {epoch} may be in force or not; run the same command again, or `fernknot config read`:{}",
            format_responses(&responses)
        ),
    };
    Err(CliError::Failed(failure))
}
